"""Writes that a machine has handed out: which are not yet durable, and what is."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.frozen
class SnapshotHeader:
    """A snapshot without its state, which stays on disk."""

    index: int
    epoch: int
    members: bytes
    state_bytes: int
    encoded_bytes: int = 0  # length of the state's encoded form; 0 where it is not divided

    @staticmethod
    def of(snapshot: Snapshot) -> SnapshotHeader:
        """Return the header of ``snapshot``."""
        state = snapshot.state
        encoded_bytes = sum(state.encoded_lengths) if state.uses_packs else 0
        return SnapshotHeader(snapshot.index, snapshot.epoch, snapshot.members, len(state), encoded_bytes)


@attrs.define
class PendingWrite:
    """A write handed out and not reported as durable.

    ``last_index`` is the highest index that it syncs and that was not replaced since. ``started_at`` is in
    seconds of the monotonic clock.
    """

    ticket: int
    started_at: float
    hard_state: HardState | None = None
    snapshot: SnapshotHeader | None = None
    last_index: int = 0


class PendingWrites:
    """Writes in the order in which they become durable, and the durable state that they lead to.

    Owned by ``ReplicaCore``. After a failed write nothing is removed: the writer repeats it until it
    succeeds, and everything behind it waits.
    """

    def __init__(self, hard_state: HardState, synced_index: int) -> None:
        """``hard_state`` and the entries up to ``synced_index`` were recovered from disk."""
        self.durable_hard_state = hard_state
        self.synced_index = synced_index
        self._pending: deque[PendingWrite] = deque()
        self._last_ticket = 0

    @property
    def is_empty(self) -> bool:
        """Whether everything handed out is durable."""
        return not self._pending

    @property
    def oldest_data_write_at(self) -> float:
        """When the oldest pending write of entries or a snapshot was handed out; infinity if none is."""
        return next((write.started_at for write in self._pending if write.hard_state is None), float("inf"))

    def add_hard_state(self, hard_state: HardState) -> int:
        """Record a write of ``hard_state``; return its ticket."""
        return self._add(PendingWrite(self._next_ticket(), 0.0, hard_state=hard_state))

    def add_entries(self, last_index: int, now: float) -> int:
        """Record a write of entries up to ``last_index``; return its ticket."""
        return self._add(PendingWrite(self._next_ticket(), now, last_index=last_index))

    def add_snapshot(self, snapshot: SnapshotHeader, last_index: int, now: float) -> int:
        """Record a write of a snapshot and the log after it, up to ``last_index``; return its ticket."""
        return self._add(PendingWrite(self._next_ticket(), now, snapshot=snapshot, last_index=last_index))

    def _next_ticket(self) -> int:
        self._last_ticket += 1
        return self._last_ticket

    def _add(self, write: PendingWrite) -> int:
        self._pending.append(write)
        return write.ticket

    def invalidate_from(self, first_index: int) -> None:
        """Entries from ``first_index`` on are replaced: having synced the earlier ones no longer counts."""
        self.synced_index = min(self.synced_index, first_index - 1)
        for write in self._pending:
            write.last_index = min(write.last_index, first_index - 1)

    def skip_snapshot(self, ticket: int) -> None:
        """The snapshot of ``ticket`` could not be stored; the log and the older snapshot stay in use."""
        for write in self._pending:
            if write.ticket == ticket:
                write.snapshot = None

    def complete(self, ticket: int) -> list[SnapshotHeader]:
        """All writes up to ``ticket`` are durable; return the snapshots among them, oldest first."""
        snapshots = []
        while self._pending and self._pending[0].ticket <= ticket:
            write = self._pending.popleft()
            self.synced_index = max(self.synced_index, write.last_index)
            if write.hard_state is not None:
                self.durable_hard_state = write.hard_state
            if write.snapshot is not None:
                snapshots.append(write.snapshot)
        return snapshots
