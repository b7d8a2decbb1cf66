"""Time limits for what arrives over sockets, which a late event loop does not shorten.

An event loop that was kept busy finds an expired timer and a readable socket in the same turn.
``asyncio.timeout`` then ends the wait although its bytes had arrived in time, and a peer seems unreachable or
silent because of a delay of this process.
"""

from __future__ import annotations

import asyncio
from math import inf
from types import TracebackType

HANDLING_TIME_S = 0.01  # for the event loop to handle what has arrived when a limit is about to expire


class ArrivalTimeout:
    """Like ``asyncio.timeout_at``, but what has arrived by ``when`` is handled before the limit expires.

    ``when`` is a time of the event loop, infinity for none. A loop that is not late expires the limit at
    ``when``; one that is late does so ``HANDLING_TIME_S`` after it has begun to handle what had arrived.
    Raises ``TimeoutError`` at the end of the block, which must be entered in a task.
    """

    def __init__(self, when: float = inf) -> None:
        self._when = when
        self._limit = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> ArrivalTimeout:
        await self._limit.__aenter__()
        self._set_timer()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._cancel_timer()
        await self._limit.__aexit__(kind, error, trace)

    def when(self) -> float:
        """The time at which the limit expires."""
        return self._when

    def expired(self) -> bool:
        """Whether the limit has expired."""
        return self._limit.expired()

    def reschedule(self, when: float) -> None:
        """Let the limit, which must not have expired, expire at ``when``."""
        self._when = when
        self._cancel_timer()
        self._limit.reschedule(None)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._when < inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._when - HANDLING_TIME_S, self._set_expiry)

    def _set_expiry(self) -> None:
        """Set the second timer: between the two, the event loop polls its sockets."""
        loop = asyncio.get_running_loop()
        self._limit.reschedule(max(self._when, loop.time() + HANDLING_TIME_S))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def arrival_timeout(seconds: float | None) -> ArrivalTimeout:
    """Return an ``ArrivalTimeout`` that expires in ``seconds``; None for one that never expires."""
    return ArrivalTimeout(inf if seconds is None else asyncio.get_running_loop().time() + seconds)
