"""Graceful shutdown: which requests a draining proxy still accepts, and the deadline for answering them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf

from cherrycove.broker.timeouts import ArrivalTimeout

UNREADY_PROPAGATION_S = 2.5  # until the platform has seen the unready proxy and sends it no new connections
EXIT_RESERVE_S = 0.7  # of the grace period, reserved for the exit of the process


class DrainDeadline:
    """The deadline of one proxy's drain; times are those of the event loop.

    Owned by the ``DataPlane``. States: *serving* (no deadline, all requests are accepted); *draining* from
    ``begin``: only requests expected to be answered by ``at`` are accepted, and every open ``limit`` expires
    at ``at``; *closed*: no request is accepted. An expired ``limit`` raises ``TimeoutError``.
    """

    def __init__(self) -> None:
        self.at = inf  # when every request must have been answered
        self._unready_propagated_at = inf
        self._closed = False
        self._limits: set[ArrivalTimeout] = set()

    def begin(self, now: float, grace_s: float, unready_propagation_s: float = UNREADY_PROPAGATION_S) -> None:
        """Begin a drain of a process that must have ended after ``grace_s``.

        ``unready_propagation_s`` is the time until the platform has observed that the proxy is unready.
        """
        self.at = now + max(grace_s - EXIT_RESERVE_S, 0.0)
        self._unready_propagated_at = min(now + unready_propagation_s, self.at)
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(min(limit.when(), self.at))

    def close(self) -> None:
        """Accept no further requests."""
        self._closed = True

    def is_unready_propagated(self, now: float) -> bool:
        """Whether the platform has had time to stop routing new connections to this proxy."""
        return now >= self._unready_propagated_at

    def accepts(self, now: float, deadline: float, recent_max_s: float) -> bool:
        """Whether a request that arrives now is expected to be answered before the end of the drain.

        ``deadline`` is when the request is answered at the latest, and decides once no new connections are
        expected. Until then clients still connect, so the request is expected to take ``recent_max_s``, the
        longest recent duration of such requests, unless ``deadline`` is earlier.
        """
        expected = deadline if self.is_unready_propagated(now) else min(deadline, now + recent_max_s)
        return not self._closed and expected <= self.at

    @asynccontextmanager
    async def limit(self, deadline: float = inf) -> AsyncIterator[ArrivalTimeout]:
        """Raise ``TimeoutError`` within the block at ``deadline``, or at the end of a drain if earlier."""
        when = min(deadline, self.at)
        async with ArrivalTimeout(when) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)
