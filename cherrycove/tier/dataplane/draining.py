"""Graceful shutdown: which requests a draining proxy still accepts, and by when all of them are answered."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf

NOTICE_S = 2.5  # after which the platform has seen this proxy unready and sends no new connections
END_RESERVE_S = 0.7  # of the grace period, for the end of the process itself


class DrainDeadline:
    """The end of one proxy's drain; times are those of the event loop.

    Owned by the ``DataPlane``. States: *serving* (no deadline, everything is accepted); *draining* from
    ``begin``: only what will be answered by ``at`` is accepted, and every open ``limit`` ends then; *closed*:
    nothing is accepted. A request that reaches the deadline gets ``TimeoutError``.
    """

    def __init__(self) -> None:
        self.at = inf  # by when every request is answered
        self._notice_until = inf
        self._closed = False
        self._limits: set[asyncio.Timeout] = set()

    def begin(self, now: float, grace_s: float, notice_s: float = NOTICE_S) -> None:
        """The process is to end within ``grace_s``; ``notice_s``: until the platform has noticed."""
        self.at = now + max(grace_s - END_RESERVE_S, 0.0)
        self._notice_until = min(now + notice_s, self.at)
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(min(_when(limit), self.at))

    def close(self) -> None:
        """From now on nothing is accepted."""
        self._closed = True

    def notice_elapsed(self, now: float) -> bool:
        """Whether the platform had the time to send new connections elsewhere."""
        return now >= self._notice_until

    def accepts(self, now: float, latest: float, usual_s: float) -> bool:
        """Whether a request that arrives now will be answered in time.

        ``latest`` is when it is answered at the latest, which decides once no new connections are expected.
        Until then clients still come, and ``usual_s`` decides, the longest that such requests took recently.
        """
        expected = latest if self.notice_elapsed(now) else min(latest, now + usual_s)
        return not self._closed and expected <= self.at

    @asynccontextmanager
    async def limit(self, latest: float = inf) -> AsyncIterator[asyncio.Timeout]:
        """Raise ``TimeoutError`` within the block at ``latest``, or when a drain ends if that is sooner."""
        when = min(latest, self.at)
        async with asyncio.timeout_at(when if when < inf else None) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)


def _when(limit: asyncio.Timeout) -> float:
    when = limit.when()
    return inf if when is None else when
