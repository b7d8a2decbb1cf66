"""Policy that decides when a replica takes a snapshot of its state machine."""

from __future__ import annotations

SNAPSHOT_LOG_BYTES = 1024 * 1024


class SnapshotPolicy:
    """Decides when a snapshot is due.

    A snapshot is due when the entries applied since the last one exceed both ``min_log_bytes`` and half of
    the bytes that each snapshot rewrites, so that a large state is not written for a few entries. Final
    blocks do not count, because they are written only once. Only one snapshot is written at a time.
    """

    def __init__(self, min_log_bytes: int) -> None:
        self._min_log_bytes = min_log_bytes
        self._log_bytes = 0  # applied since the last snapshot
        self._rewritten_bytes = 0  # size of the plain blocks in the last snapshot's state
        self._pending_ticket = 0  # write of a snapshot in progress; 0 if there is none

    @property
    def is_due(self) -> bool:
        """Return whether a snapshot should be taken now."""
        threshold_bytes = max(self._min_log_bytes, self._rewritten_bytes // 2)
        return not self._pending_ticket and self._log_bytes > threshold_bytes

    def entry_applied(self, size_bytes: int) -> None:
        """Count the bytes of an applied entry."""
        self._log_bytes += size_bytes

    def reset_after_snapshot(self, rewritten_bytes: int) -> None:
        """Restart the count after a snapshot was taken or restored.

        ``rewritten_bytes`` is the part of its state that the next snapshot writes again.
        """
        self._rewritten_bytes = rewritten_bytes
        self._log_bytes = 0

    def write_started(self, ticket: int) -> None:
        """Record the ticket of the write that stores the snapshot just taken."""
        self._pending_ticket = ticket

    def write_finished(self, ticket: int) -> None:
        """Record that all writes up to ``ticket`` are durable or skipped."""
        if self._pending_ticket and ticket >= self._pending_ticket:
            self._pending_ticket = 0
