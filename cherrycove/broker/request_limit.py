"""The limit of open requests, lowered while the event loop runs late. Pure: no I/O and no clock.

An open request occupies its client's connection, also while it waits to be accepted, read and handled: three
turns of the loop. At 400 requests a second and a loop that is 30 ms late, 36 requests are on their way, more
than the quarter of their connections that clients have beyond the usual limit. The loop is late when another
process takes the core, such as a successor that has just been started.
"""

from __future__ import annotations

TOLERATED_LATENESS_S = 0.005  # has no effect
FULL_LATENESS_S = 0.020  # lowers the limit to MIN_FRACTION
MIN_FRACTION = 0.5
HALF_LIFE_S = 0.3  # of a lateness that was seen
STEPS = 16  # in which the limit changes, so that it does not change with each turn


class RequestLimit:
    """The limit for a loop that is on time (``max_requests``), and the limit at present. The core owns it."""

    def __init__(self, max_requests: int) -> None:
        self.max_requests = max_requests
        self._lateness_s, self._seen_at = 0.0, 0.0

    def update(self, now: float, lateness_s: float) -> int:
        """Return how many requests may be open, the loop having run what was due this much late."""
        decayed = self._lateness_s * 0.5 ** (max(now - self._seen_at, 0.0) / HALF_LIFE_S)
        self._lateness_s, self._seen_at = max(decayed, lateness_s), now
        excess = (self._lateness_s - TOLERATED_LATENESS_S) / (FULL_LATENESS_S - TOLERATED_LATENESS_S)
        steps = int(min(max(excess, 0.0), 1.0) * STEPS)
        return self.max_requests - int(self.max_requests * (1.0 - MIN_FRACTION) * steps / STEPS)
