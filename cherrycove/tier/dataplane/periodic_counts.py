"""Counters by key and name that are logged at most once per second; the base of the data plane's records."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping

LOG_INTERVAL_S = 1.0  # between two log lines

Counts = Mapping[str, Mapping[str, int]]  # by key, then by name


class PeriodicCounts(ABC):
    """Counts in memory since the start of the process.

    While something is counted, it logs the counts since the previous line once per ``LOG_INTERVAL_S``.
    """

    def __init__(self) -> None:
        self._totals: dict[str, Counter[str]] = {}
        self._unlogged: dict[str, Counter[str]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def totals(self) -> Counts:
        """All counts since the start of the process."""
        return self._totals

    def stop(self) -> None:
        """Log the counts that are not logged yet."""
        if self._timer is not None:
            self._timer.cancel()
            self._flush()

    def _add(self, key: str, name: str) -> None:
        """Count one more. Must be called within the event loop."""
        for counts in (self._totals, self._unlogged):
            counts.setdefault(key, Counter())[name] += 1
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self._flush)

    @abstractmethod
    def _log_counts(self, counts: Counts) -> None:
        """Write one log line with the counts since the previous one."""

    def _flush(self) -> None:
        self._timer = None
        self._log_counts(self._unlogged)
        self._unlogged = {}
