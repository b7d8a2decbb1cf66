"""When a replica takes a snapshot of its state machine."""

from __future__ import annotations

SNAPSHOT_LOG_BYTES = 1024 * 1024


class SnapshotPolicy:
    """Decides when a snapshot is due.

    One is due when the entries applied since the last one are larger than ``min_log_bytes`` and than half of
    what each snapshot writes again, so that a large state is not written for a few entries. Final blocks do
    not count: they are written once. Only one snapshot is written at a time.
    """

    def __init__(self, min_log_bytes: int) -> None:
        self._min_log_bytes = min_log_bytes
        self._log_bytes = 0  # applied since the last snapshot
        self._rewritten_bytes = 0  # of the last snapshot's state: its plain blocks
        self._pending_ticket = 0  # of the snapshot that is being written; 0: none

    @property
    def is_due(self) -> bool:
        """Whether a snapshot should be taken now."""
        threshold_bytes = max(self._min_log_bytes, self._rewritten_bytes // 2)
        return not self._pending_ticket and self._log_bytes > threshold_bytes

    def entry_applied(self, size_bytes: int) -> None:
        """Count an entry that was applied."""
        self._log_bytes += size_bytes

    def reset_after_snapshot(self, rewritten_bytes: int) -> None:
        """Start to count anew behind a snapshot that was taken or restored.

        ``rewritten_bytes``: how much of its state the next one writes again.
        """
        self._rewritten_bytes = rewritten_bytes
        self._log_bytes = 0

    def write_started(self, ticket: int) -> None:
        """Note the ticket of the write that stores the snapshot just taken."""
        self._pending_ticket = ticket

    def write_finished(self, ticket: int) -> None:
        """Note that all writes up to ``ticket`` are durable or skipped."""
        if self._pending_ticket and ticket >= self._pending_ticket:
            self._pending_ticket = 0
