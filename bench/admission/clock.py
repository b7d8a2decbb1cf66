"""Virtual time: a queue of scheduled calls."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Clock:
    """Calls functions in the order of their times; those of the same time in scheduling order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = 0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at ``when``, or now if that is past."""
        self._sequence += 1
        heappush(self._queue, (max(when, self.now), self._sequence, call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay_s, call, *arguments)

    def run(self, until: float) -> None:
        """Make all calls that are due by ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, arguments = heappop(self._queue)
            call(*arguments)
