"""The limit on open requests, which is lowered while the event loop runs late. Pure: no I/O and no clock.

An open request occupies its client's connection, also while it waits to be accepted, read and handled, which
takes three iterations of the event loop. At 400 requests a second and a loop that is 30 ms late, 36 requests
are in these stages, more than the quarter of the connections that the normal limit leaves to clients. The
loop runs late when another process uses the core, such as a successor that has just been started.
"""

from __future__ import annotations

TOLERATED_LATENESS_S = 0.005  # up to this, the limit is not lowered
FULL_LATENESS_S = 0.020  # from this on, the limit is MIN_FRACTION of the maximum
MIN_FRACTION = 0.5
HALF_LIFE_S = 0.3  # of a measured lateness, which decays exponentially
STEPS = 16  # number of steps in which the limit changes, so that not every loop iteration changes it


class RequestLimit:
    """Computes the limit on open requests; ``max_requests`` applies while the loop is on time."""

    def __init__(self, max_requests: int) -> None:
        self.max_requests = max_requests
        self._lateness_s, self._updated_at = 0.0, 0.0

    def update(self, now: float, lateness_s: float) -> int:
        """Return how many requests may be open now.

        ``lateness_s`` is how late the event loop ran what was due.
        """
        decayed = self._lateness_s * 0.5 ** (max(now - self._updated_at, 0.0) / HALF_LIFE_S)
        self._lateness_s, self._updated_at = max(decayed, lateness_s), now
        excess = (self._lateness_s - TOLERATED_LATENESS_S) / (FULL_LATENESS_S - TOLERATED_LATENESS_S)
        steps = int(min(max(excess, 0.0), 1.0) * STEPS)
        return self.max_requests - int(self.max_requests * (1.0 - MIN_FRACTION) * steps / STEPS)
