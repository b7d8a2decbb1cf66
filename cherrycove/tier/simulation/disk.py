"""Simulates the disk of one replica: synced data, and writes in progress that a crash may lose.

A write that was synced is never lost or changed. A crash keeps a prefix of the writes in progress: none of
them, the first few, or all.
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
    """Holds the durable state of one replica and the writes in progress."""

    member_id: str = ""  # "" while the disk is empty and has no identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)  # after the snapshot
    in_progress: list[Write] = attrs.field(factory=list)

    @property
    def base_index(self) -> int:
        """Return the index of the last entry that the snapshot covers; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the synced log and snapshot."""
        snapshot_bytes = self.snapshot.size_bytes if self.snapshot is not None else 0
        return snapshot_bytes + sum(entry.size_bytes for entry in self.entries)

    def recovered(self) -> RecoveredState:
        """Return the durable state, as a starting process reads it."""
        return RecoveredState(self.hard_state, self.snapshot, list(self.entries))

    def holds(self, index: int, epoch: int) -> bool:
        """Return whether the entry of ``epoch`` at ``index`` is synced, in the log or in the snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the snapshot at entry ``index``; empty if the disk has no such snapshot."""
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
        """Simulate the end of the process or a power loss: keep a random prefix of the writes in progress."""
        for write in self.in_progress[: random.randint(0, len(self.in_progress))]:
            self.perform(write)
        self.in_progress = []


@attrs.define(eq=False)
class BufferedDisk(SimulatedDisk):
    """A disk that queues writes in order and syncs them as one batch when ``finish`` is called."""

    _waiting: list[Write] = attrs.field(factory=list, init=False)

    def submit(self, writes: list[Write]) -> None:
        """Append ``writes`` to the queue."""
        self._waiting.extend(writes)

    def begin(self) -> bool:
        """Start to sync all queued writes; return False if a sync is running or the queue is empty."""
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
        """Drop the queued writes, and keep a random prefix of the writes in progress."""
        super().crash(random)
        self._waiting = []
