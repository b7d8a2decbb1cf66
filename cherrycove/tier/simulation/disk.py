"""A simulated disk of one replica: what is synced, and what of the writes in progress a crash may lose.

A write that was synced is never lost or changed. Of the writes in progress at a crash the first few, none, or
all have reached the disk, in their order.
"""

from __future__ import annotations

from random import Random

import attrs

from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.define(eq=False)
class SimulatedDisk:
    """The durable state of one replica, and the writes that are on their way to it."""

    member_id: str = ""  # "": the disk is empty, and nobody has given it an identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)  # behind the snapshot
    in_progress: list[Write] = attrs.field(factory=list)

    @property
    def base_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without one."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def size_bytes(self) -> int:
        """Size of the synced log and snapshot."""
        snapshot_bytes = self.snapshot.size_bytes if self.snapshot is not None else 0
        return snapshot_bytes + sum(entry.size_bytes for entry in self.entries)

    def recovered(self) -> RecoveredState:
        """Return what a start finds."""
        return RecoveredState(self.hard_state, self.snapshot, list(self.entries))

    def holds(self, index: int, epoch: int) -> bool:
        """Whether the entry of ``epoch`` at ``index`` is synced, as itself or in a snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the state in the snapshot of entry ``index``; empty if it is not there."""
        snapshot = self.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state.read(offset, size, encoded=encoded)

    def perform(self, write: Write) -> None:
        """Make ``write`` durable."""
        if isinstance(write, WriteHardState):
            self.hard_state = write.hard_state
        elif isinstance(write, WriteEntries):
            self._append(write.entries)
        else:
            self.snapshot = write.snapshot
            self.entries = list(write.tail)

    def _append(self, entries: list[Entry]) -> None:
        for entry in entries:
            position = entry.index - self.base_index - 1
            if position >= 0:
                del self.entries[position:]
                self.entries.append(entry)

    def crash(self, random: Random) -> None:
        """The process ends or power is lost: some of the writes in progress may have reached the disk."""
        for write in self.in_progress[: random.randint(0, len(self.in_progress))]:
            self.perform(write)
        self.in_progress = []


@attrs.define(eq=False)
class BufferedDisk(SimulatedDisk):
    """A disk whose writes wait in order, and are synced all at once when ``finish`` is called."""

    _waiting: list[Write] = attrs.field(factory=list, init=False)

    def submit(self, writes: list[Write]) -> None:
        """Add ``writes`` to those that wait."""
        self._waiting.extend(writes)

    def begin(self) -> bool:
        """Start to sync all that waits; False if a sync is running or nothing waits."""
        if self.in_progress or not self._waiting:
            return False
        self.in_progress, self._waiting = self._waiting, []
        return True

    def finish(self) -> int:
        """Make the writes in progress durable, and return the ticket of the last one."""
        for write in self.in_progress:
            self.perform(write)
        ticket = self.in_progress[-1].ticket
        self.in_progress = []
        return ticket

    def crash(self, random: Random) -> None:
        """Lose what waits, and some of the writes in progress."""
        super().crash(random)
        self._waiting = []
