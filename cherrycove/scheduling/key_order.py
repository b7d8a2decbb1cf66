"""Serialization of requests of an ordered class that share a key, in order of arrival.

The first request of a key may run. The next one is admitted once all earlier ones have ended, none of their
attempts is in flight, and ``Settings.order_settle`` has passed since an attempt that may still be running.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Request


class KeyOrder:
    """FIFO chains of requests by key. Owned by ``Scheduler``.

    ``admit`` is called with each request that had to wait for earlier ones, once it may run.
    """

    def __init__(self, state: SchedulerState, admit: Callable[[Request], None]) -> None:
        self._state = state
        self._admit = admit
        self._chains: dict[str, deque[Request]] = {}

    def add(self, request: Request, key: str) -> bool:
        """Append a request to its key's chain; return whether it may run at once."""
        chain = self._chains.setdefault(key, deque())
        chain.append(request)
        request.waits_turn = len(chain) > 1
        return not request.waits_turn

    def schedule_next(self, request: Request) -> None:
        """Schedule a check of the key's chain after a request or an attempt of it has ended."""
        if request.key in self._chains:
            self._state.timers.schedule(
                max(request.key_blocked_until, self._state.now), self._advance, request.key
            )

    def _advance(self, key: str) -> None:
        now = self._state.now
        chain = self._chains.get(key, deque())
        while chain and chain[0].done and not chain[0].in_flight and chain[0].key_blocked_until <= now:
            chain.popleft()
        if chain and not chain[0].done and not chain[0].admitted:
            self._admit(chain[0])
        elif not chain:
            self._chains.pop(key, None)
