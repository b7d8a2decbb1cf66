"""The longest recent request duration by route, with which a draining proxy estimates the next.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from math import inf

WINDOW_S = 10.0


class RecentMaxDuration:
    """Maximum by route over the last one to two windows; times are monotonic seconds.

    Owned by the ``Ingress``.
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._window_start = -inf
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def add(self, route: str, duration_s: float, now: float) -> None:
        """Record the duration of a request of this route that has just ended."""
        self._advance(now)
        self._current[route] = max(self._current.get(route, 0.0), duration_s)

    def longest_s(self, route: str, now: float) -> float:
        """The longest recent duration in seconds; 0 if no request of this route has ended recently."""
        self._advance(now)
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))

    def _advance(self, now: float) -> None:
        if now - self._window_start < self._window_s:
            return
        is_adjacent = now - self._window_start < 2 * self._window_s
        self._previous = self._current if is_adjacent else {}
        self._current = {}
        self._window_start = now
