"""What a proxy that leaves still takes, and by when all that it took is answered.

It owns the bound on requests during a drain. It must never let one in that may not be answered before the
process ends, once the platform had the time to send its clients elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf

NOTICE_S = 2.5  # after which the platform has seen this proxy unready and sends no new connections
END_RESERVE_S = 0.7  # of the grace period, for the end of the process itself
SPAN_S = 10.0  # for which at least the longest request of a route is remembered


class RecentMaxDuration:
    """The longest that a finished request of each route took, over the last one to two spans. Pure."""

    def __init__(self, span_s: float = SPAN_S) -> None:
        self._span_s = span_s
        self._began = -inf
        self._present: dict[str, float] = {}
        self._former: dict[str, float] = {}

    def add(self, route: str, duration_s: float, now: float) -> None:
        self._turn(now)
        self._present[route] = max(self._present.get(route, 0.0), duration_s)

    def longest_s(self, route: str, now: float) -> float:
        """Seconds; 0 where none finished lately."""
        self._turn(now)
        return max(self._present.get(route, 0.0), self._former.get(route, 0.0))

    def _turn(self, now: float) -> None:
        if now - self._began < self._span_s:
            return
        recent = now - self._began < 2 * self._span_s
        self._former = self._present if recent else {}
        self._present, self._began = {}, now


class DrainDeadline:
    """When this proxy ends; never while it serves as usual. Times are those of the event loop."""

    def __init__(self) -> None:
        self.at = inf  # by when every request is answered
        self._notice_until = inf
        self._closed = False
        self._open: set[asyncio.Timeout] = set()

    def begin(self, now: float, grace_s: float, notice_s: float = NOTICE_S) -> None:
        """The process was told to end within ``grace_s``."""
        self.at = now + max(grace_s - END_RESERVE_S, 0.0)
        self._notice_until = min(now + notice_s, self.at)
        for limit in self._open:
            if not limit.expired():
                limit.reschedule(min(_when(limit), self.at))

    def close(self) -> None:
        """From now on nothing is taken."""
        self._closed = True

    def notice_elapsed(self, now: float) -> bool:
        """Whether the platform had the time to send new connections elsewhere."""
        return now >= self._notice_until

    def accepts(self, now: float, latest: float, usual_s: float) -> bool:
        """Whether a request that comes now will be answered in time. ``latest`` is when it is answered
        whatever happens; it decides once new connections should come no more. Until then ``usual_s`` does,
        the longest that such requests took lately."""
        expected = latest if self.notice_elapsed(now) else min(latest, now + usual_s)
        return not self._closed and expected <= self.at

    @asynccontextmanager
    async def limit(self, latest: float = inf) -> AsyncIterator[asyncio.Timeout]:
        """``TimeoutError`` within the block at ``latest``, or when this proxy ends, if that is sooner."""
        when = min(latest, self.at)
        async with asyncio.timeout_at(when if when < inf else None) as limit:
            self._open.add(limit)
            try:
                yield limit
            finally:
                self._open.discard(limit)


def _when(limit: asyncio.Timeout) -> float:
    when = limit.when()
    return inf if when is None else when
