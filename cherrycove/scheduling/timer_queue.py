"""Tasks of one scheduler by the time at which they are due."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any


class TimerQueue:
    """Tasks by their time; those of one time in the order in which they were added. Reads no clock."""

    def __init__(self) -> None:
        self._tasks: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._serial = 0

    def schedule(self, when: float, task: Callable[[Any], None], subject: Any = None) -> None:
        """Add a task: ``task(subject)`` is called by the first ``run`` at or after this time (s)."""
        self._serial += 1
        heappush(self._tasks, (when, self._serial, task, subject))

    def next_due(self) -> float:
        """Return when the first task is due; infinity: there is none."""
        return self._tasks[0][0] if self._tasks else inf

    def run_due(self, now: float) -> None:
        """Carry out what is due, also what the tasks themselves add for now."""
        while self.next_due() <= now:
            _, _, task, subject = heappop(self._tasks)
            task(subject)
