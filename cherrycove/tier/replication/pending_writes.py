"""Tracks the writes that a replica machine has issued and the state that is durable so far."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.frozen
class SnapshotHeader:
    """Describes a snapshot without its state, which stays on disk."""

    index: int
    epoch: int
    members: bytes
    state_bytes: int
    encoded_bytes: int = 0  # length of the encoded state; 0 if it is not divided into blocks

    @staticmethod
    def of(snapshot: Snapshot) -> SnapshotHeader:
        """Return the header of ``snapshot``."""
        state = snapshot.state
        encoded_bytes = sum(state.encoded_lengths) if state.uses_packs else 0
        return SnapshotHeader(snapshot.index, snapshot.epoch, snapshot.members, len(state), encoded_bytes)


@attrs.define
class PendingWrite:
    """A write that was issued and is not yet reported as durable.

    ``last_index`` is the highest index that it syncs and that has not been replaced since. ``started_at`` is
    in monotonic seconds.
    """

    ticket: int
    started_at: float
    hard_state: HardState | None = None
    snapshot: SnapshotHeader | None = None
    last_index: int = 0


class PendingWrites:
    """Holds the pending writes in the order in which they become durable, and the durable state.

    Owned by ``ReplicaCore``. A failed write stays pending: the writer retries it until it succeeds, and all
    later writes wait.
    """

    def __init__(self, hard_state: HardState, synced_index: int) -> None:
        """Start from ``hard_state`` and the entries up to ``synced_index``, as recovered from disk."""
        self.durable_hard_state = hard_state
        self.synced_index = synced_index
        self._pending: deque[PendingWrite] = deque()
        self._last_ticket = 0

    @property
    def is_empty(self) -> bool:
        """Return whether all issued writes are durable."""
        return not self._pending

    @property
    def oldest_data_write_at(self) -> float:
        """Return the issue time of the oldest pending write of entries or a snapshot; infinity if none."""
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
        """Treat entries from ``first_index`` on as not synced, because they are being replaced."""
        self.synced_index = min(self.synced_index, first_index - 1)
        for write in self._pending:
            write.last_index = min(write.last_index, first_index - 1)

    def skip_snapshot(self, ticket: int) -> None:
        """Record that the snapshot of ``ticket`` was not stored; the log and the older snapshot remain."""
        for write in self._pending:
            if write.ticket == ticket:
                write.snapshot = None

    def complete(self, ticket: int) -> list[SnapshotHeader]:
        """Record the writes up to ``ticket`` as durable; return the snapshots among them, oldest first."""
        snapshots = []
        while self._pending and self._pending[0].ticket <= ticket:
            write = self._pending.popleft()
            self.synced_index = max(self.synced_index, write.last_index)
            if write.hard_state is not None:
                self.durable_hard_state = write.hard_state
            if write.snapshot is not None:
                snapshots.append(write.snapshot)
        return snapshots
