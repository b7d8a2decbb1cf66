"""Virtual time: an agenda of calls."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Clock:
    """Calls functions in the order of their times, those of one time in the order of their entry."""

    def __init__(self) -> None:
        self.now = 0.0
        self._serial = 0
        self._agenda: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call at a time, now at the earliest."""
        self._serial += 1
        heappush(self._agenda, (max(when, self.now), self._serial, call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call after a delay."""
        self.at(self.now + delay_s, call, *arguments)

    def run(self, until: float) -> None:
        """Make all calls up to a time."""
        while self._agenda and self._agenda[0][0] <= until:
            self.now, _, call, arguments = heappop(self._agenda)
            call(*arguments)
