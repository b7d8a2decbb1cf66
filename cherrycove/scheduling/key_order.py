"""Requests of an ordered class that share a key run one at a time, in order of arrival.

The first of a key may run; the next is admitted once all before it are over, none of their attempts is in
flight, and the rest after an attempt that may still run has passed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Request


class KeyOrder:
    """The chains of requests by key. Owned by ``Scheduler``.

    ``admit`` is called with each request that was not the first of its key, when its turn comes.
    """

    def __init__(self, state: SchedulerState, admit: Callable[[Request], None]) -> None:
        self._state = state
        self._admit = admit
        self._chains: dict[str, deque[Request]] = {}

    def add(self, request: Request, key: str) -> bool:
        """Append a request to its key's chain; return whether its turn has come already."""
        chain = self._chains.setdefault(key, deque())
        chain.append(request)
        request.waits_turn = len(chain) > 1
        return not request.waits_turn

    def schedule_next(self, request: Request) -> None:
        """A request is over, or an attempt of it is: look at its key's chain once its rest has passed."""
        if request.key in self._chains:
            self._state.timers.schedule(
                max(request.key_rests_until, self._state.now), self._advance, request.key
            )

    def _advance(self, key: str) -> None:
        now = self._state.now
        chain = self._chains.get(key, deque())
        while chain and chain[0].done and not chain[0].in_flight and chain[0].key_rests_until <= now:
            chain.popleft()
        if chain and not chain[0].done and not chain[0].admitted:
            self._admit(chain[0])
        elif not chain:
            self._chains.pop(key, None)
