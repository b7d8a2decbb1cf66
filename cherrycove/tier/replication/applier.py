"""Applies committed entries and snapshots to the application's state machine."""

from __future__ import annotations

import logging

from cherrycove.tier.replication.interface import StateMachine
from cherrycove.tier.replication.pending_proposals import PendingProposals
from cherrycove.tier.replication.snapshot_policy import SnapshotPolicy
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.snapshot_state import SnapshotState

_log = logging.getLogger(__name__)


class Applier:
    """Applies committed entries in order, resolves their proposals and takes snapshots when they are due."""

    def __init__(
        self,
        group_name: str,
        state_machine: StateMachine,
        proposals: PendingProposals,
        snapshot_policy: SnapshotPolicy,
    ) -> None:
        """Create an applier; ``group_name`` appears in log lines."""
        self._group_name = group_name
        self._state_machine = state_machine
        self._proposals = proposals
        self._snapshot_policy = snapshot_policy

    def restore(self, state: SnapshotState) -> None:
        """Replace the state with that of a snapshot."""
        self._state_machine.restore(state)
        self._snapshot_policy.reset_after_snapshot(state.rewritten_bytes)

    def apply(self, entry: Entry) -> None:
        """Apply a committed entry and resolve the proposal that waits for it, if any."""
        self._snapshot_policy.entry_applied(entry.size_bytes)
        outcome: object = None
        if entry.kind is EntryKind.COMMAND:
            try:
                outcome = self._state_machine.apply(entry.index, entry.payload)
            except Exception:  # noqa: BLE001 -- later commands must still be applied; all replicas fail alike
                _log.exception("apply_failed", extra={"group": self._group_name, "index": entry.index})
                self._proposals.fail(entry.index)
        self._proposals.resolve(entry.index, entry.epoch, outcome)

    def take_due_snapshot(self) -> SnapshotState | None:
        """Return the complete state if a snapshot is due, otherwise None."""
        if not self._snapshot_policy.is_due:
            return None
        state = SnapshotState.of(self._state_machine.snapshot())
        self._snapshot_policy.reset_after_snapshot(state.rewritten_bytes)
        return state

    def snapshot_write_started(self, ticket: int) -> None:
        """Record the ticket of the write that stores the snapshot taken last."""
        self._snapshot_policy.write_started(ticket)

    def writes_finished(self, ticket: int) -> None:
        """Record that all writes up to ``ticket`` are durable or skipped."""
        self._snapshot_policy.write_finished(ticket)
