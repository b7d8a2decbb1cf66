"""Provides a deterministic asyncio event loop on virtual time, shared by many simulated processes.

Every callback belongs to one incarnation of a process, which is stored in its context. Callbacks of an
incarnation that has ended are dropped; those of a frozen one are deferred until it is thawed.
"""

from __future__ import annotations

import asyncio
import heapq
from asyncio import Handle, TimerHandle
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from inspect import CORO_CREATED, getcoroutinestate
from random import Random
from typing import Any

import attrs

TIMER_LATENESS_S = 0.001  # maximum lateness of timers
SPAWNED_PRUNE_SIZE = 64  # number of recorded coroutines at which those that have begun are dropped
MAX_CALLBACKS_AT_ONCE = 1_000_000  # at one virtual time; more are taken as a livelock


@attrs.define(eq=False)
class Incarnation:
    """One incarnation of a process, from its start to its end; callbacks are deferred while it is frozen."""

    name: str
    ended: bool = False
    frozen: bool = False
    deferred: list[Handle] = attrs.field(factory=list)
    # Kept to close those that never begin.
    spawned: list[Coroutine[Any, Any, Any]] = attrs.field(factory=list)


CURRENT_INCARNATION: ContextVar[Incarnation | None] = ContextVar("incarnation", default=None)


class LivelockError(RuntimeError):
    """Raised when callbacks keep scheduling others without virtual time passing."""


class VirtualLoop(asyncio.AbstractEventLoop):
    """Runs callbacks in the order of their times; ``time`` advances from one timer to the next."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._now = 0.0
        self._ready: deque[Handle] = deque()
        self._timers: list[tuple[float, int, TimerHandle]] = []
        self._scheduled = 0
        self.callbacks = 0  # number run so far
        self.errors: list[str] = []  # unhandled errors of tasks and callbacks

    # Running

    def run_until(self, end: float) -> None:
        """Run everything due up to virtual time ``end``."""
        asyncio._set_running_loop(self)  # noqa: SLF001 - as asyncio's own loops do
        try:
            while True:
                self._run_ready()
                if not self._timers or self._timers[0][0] > end:
                    break
                self._take_due()
            self._now = end
        finally:
            asyncio._set_running_loop(None)  # noqa: SLF001

    def _take_due(self) -> None:
        when, _, first = heapq.heappop(self._timers)
        self._now = max(self._now, when)
        self._ready.append(first)

    def _run_ready(self) -> None:
        ready = self._ready
        left = MAX_CALLBACKS_AT_ONCE
        while ready:
            handle = ready.popleft()
            if handle.cancelled():
                continue
            incarnation = handle._context.get(CURRENT_INCARNATION)  # type: ignore[attr-defined]  # noqa: SLF001
            if incarnation is not None and incarnation.ended:
                continue
            if incarnation is not None and incarnation.frozen:
                incarnation.deferred.append(handle)
                continue
            self.callbacks += 1
            left -= 1
            if left == 0:
                raise LivelockError(f"at {self._now}: {handle!r}")
            handle._run()  # noqa: SLF001 - as asyncio's own loops do

    # Incarnations

    def spawn(
        self, incarnation: Incarnation, coroutine: Coroutine[Any, Any, Any], name: str = ""
    ) -> asyncio.Task[Any]:
        """Run ``coroutine`` as a task of ``incarnation``."""
        context = copy_context()
        context.run(CURRENT_INCARNATION.set, incarnation)
        if len(incarnation.spawned) >= SPAWNED_PRUNE_SIZE:
            incarnation.spawned = [
                one for one in incarnation.spawned if getcoroutinestate(one) == CORO_CREATED
            ]
        incarnation.spawned.append(coroutine)
        return asyncio.Task(coroutine, loop=self, name=name or None, context=context)

    def call_in(
        self, incarnation: Incarnation | None, delay: float, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Call back after ``delay`` seconds in ``incarnation``, or outside all processes if it is None."""
        context = copy_context()
        context.run(CURRENT_INCARNATION.set, incarnation)
        self._schedule(self._now + delay, callback, args, context)

    def thaw(self, incarnation: Incarnation) -> None:
        """Resume a frozen process; its deferred callbacks run in order."""
        incarnation.frozen = False
        self._ready.extend(incarnation.deferred)
        incarnation.deferred.clear()

    def end(self, incarnation: Incarnation) -> None:
        """End the process: none of its callbacks runs from now on."""
        incarnation.ended = True
        incarnation.deferred.clear()
        for coroutine in incarnation.spawned:
            if getcoroutinestate(coroutine) == CORO_CREATED:
                coroutine.close()
        incarnation.spawned.clear()

    # AbstractEventLoop

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run ``callback`` after those that are ready."""
        handle = Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run ``callback`` after those that are ready; there is only one thread."""
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> TimerHandle:
        """Run ``callback`` after ``delay`` seconds, or up to TIMER_LATENESS_S later."""
        return self._schedule(self._now + delay, callback, args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> TimerHandle:
        """Run ``callback`` at the time ``when``, or up to TIMER_LATENESS_S later."""
        return self._schedule(when, callback, args, context)

    def _schedule(
        self, when: float, callback: Callable[..., Any], args: Any, context: Context | None
    ) -> TimerHandle:
        when = max(when, self._now) + self._random.random() * TIMER_LATENESS_S
        handle = TimerHandle(when, callback, args, self, context)
        self._scheduled += 1
        heapq.heappush(self._timers, (when, self._scheduled, handle))
        return handle

    def _timer_handle_cancelled(self, handle: TimerHandle) -> None:
        """Do nothing: a cancelled timer is dropped when it is due."""

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task[Any]:
        """Return a task of this loop that belongs to the calling incarnation."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Return False: the loop has no debug mode."""
        return False

    def is_running(self) -> bool:
        """Return True: every caller runs on this loop."""
        return True

    def is_closed(self) -> bool:
        """Return False: the loop is never closed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception.

        Reports without one are ignored, such as that of a pending task destroyed with its incarnation.
        """
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{self._now:.3f} {context.get('message', '')}: {error!r}")
