"""Provides virtual time: a queue of events that run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """The event queue of one world; events of the same time run in the order they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0  # s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay_s`` seconds."""
        self._scheduled += 1
        heapq.heappush(self._events, (self.now + delay_s, self._scheduled, action))

    def run_until(self, end: float) -> None:
        """Run all events up to the time ``end``, and set the virtual time to it."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
