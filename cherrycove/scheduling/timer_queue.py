"""A queue of timed tasks, ordered by due time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any


class TimerQueue:
    """Tasks in order of due time, and of insertion where the times are equal. Reads no clock."""

    def __init__(self) -> None:
        self._tasks: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._serial = 0

    def schedule(self, when: float, task: Callable[[Any], None], subject: Any = None) -> None:
        """Add a task: the first ``run_due`` at or after this time (s) calls ``task(subject)``."""
        self._serial += 1
        heappush(self._tasks, (when, self._serial, task, subject))

    def next_due(self) -> float:
        """Return when the first task is due; infinity if there is none."""
        return self._tasks[0][0] if self._tasks else inf

    def run_due(self, now: float) -> None:
        """Run all due tasks, including due tasks that they add."""
        while self.next_due() <= now:
            _, _, task, subject = heappop(self._tasks)
            task(subject)
