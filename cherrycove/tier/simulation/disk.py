"""A simulated disk: what is synced, and what of the write in progress may be lost."""

from __future__ import annotations

from random import Random

from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot


class SimulatedDisk:
    """The durable state of one replica. Writes wait in order; those in progress become durable together."""

    def __init__(self, member_id: str) -> None:
        self.member_id = member_id
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self._waiting: list[Write] = []
        self._in_progress: list[Write] = []

    def recovered(self) -> RecoveredState:
        return RecoveredState(self.hard_state, self.snapshot, list(self.entries))

    @property
    def base_index(self) -> int:
        return self.snapshot.index if self.snapshot is not None else 0

    def holds(self, index: int, epoch: int) -> bool:
        """Whether the entry of ``epoch`` at ``index`` is synced, as itself or in a snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def submit(self, writes: list[Write]) -> None:
        self._waiting.extend(writes)

    def begin(self) -> bool:
        """Start on all that waits; False if a sync is running or nothing waits."""
        if self._in_progress or not self._waiting:
            return False
        self._in_progress, self._waiting = self._waiting, []
        return True

    def finish(self) -> int:
        """The writes in progress are durable; their last ticket."""
        for write in self._in_progress:
            self._perform(write)
        ticket = self._in_progress[-1].ticket
        self._in_progress = []
        return ticket

    def stop(self, random: Random) -> None:
        """The process dies or power is lost: some of the writes in progress may have reached the disk."""
        for write in self._in_progress[: random.randint(0, len(self._in_progress))]:
            self._perform(write)
        self._in_progress = []
        self._waiting = []

    def _perform(self, write: Write) -> None:
        if isinstance(write, WriteHardState):
            self.hard_state = write.hard_state
        elif isinstance(write, WriteEntries):
            for entry in write.entries:
                position = entry.index - self.base_index - 1
                if position >= 0:
                    del self.entries[position:]
                    self.entries.append(entry)
        else:
            self.snapshot = write.snapshot
            self.entries = list(write.tail)

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        snapshot = self.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state[offset : offset + size]
