"""Whether a client that sends a request or reads a response makes progress."""

from __future__ import annotations

STALL_TIME_S = 1.0  # in which a client may send or read next to nothing before it counts as stalled
MIN_PROGRESS_BYTES = 16 * 1024  # what it sends or reads in that time if it makes progress


class TransferProgress:
    """The progress of one transfer; times are those of the event loop, in seconds."""

    def __init__(self) -> None:
        self.transferred_bytes = 0
        self._noted_bytes = 0  # of these, at ``_since``
        self._since = 0.0

    def begin(self, now: float) -> None:
        """Start with another transfer."""
        self._since = now
        self.transferred_bytes = self._noted_bytes = 0

    def exclude(self, duration_s: float) -> None:
        """Leave out a time in which the client could not go on."""
        self._since += duration_s

    def is_stalled(self, now: float) -> bool:
        """Whether little was transferred in the latest ``STALL_TIME_S``."""
        if self.transferred_bytes - self._noted_bytes >= MIN_PROGRESS_BYTES:
            self._since, self._noted_bytes = now, self.transferred_bytes
        return now - self._since > STALL_TIME_S
