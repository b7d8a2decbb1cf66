"""The scheduler's driver: its clock, its timers and its batches of events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from cherrycove.broker.event_log import Log
from cherrycove.broker.request_limit import RequestLimit
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler

log = Log("cherrycove.core")

_UNLIMITED = 1 << 30  # requests


class SchedulerDriver:
    """Collects events into batches for the scheduler and has its actions carried out. The core owns it.

    ``on_batch_due`` is called when a batch is due and calls ``run_batch``; ``carry_out`` is called with each
    action. A fault of the scheduler is logged, and the actions of that batch that were left are lost.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        on_batch_due: Callable[[], None],
        carry_out: Callable[[api.Action], None],
    ) -> None:
        self.scheduler = Scheduler(settings, seed)
        self.pending_events: list[api.Event] = []
        self._tick_s = settings.tick
        self._on_batch_due, self._carry_out = on_batch_due, carry_out
        self._loop = asyncio.get_running_loop()
        self._wake: asyncio.TimerHandle | None = None
        self._last_batch_at = -inf
        self._open_limit = RequestLimit(_UNLIMITED)
        self._reported_limit = _UNLIMITED  # that the scheduler knows

    def push(self, event: api.Event) -> None:
        """Add an event to the next batch; batches are a tick apart, so that a burst costs one call."""
        self.pending_events.append(event)
        if self._wake is None:
            when = max(self._last_batch_at + self._tick_s, self._loop.time())
            self._wake = self._loop.call_at(when, self._on_batch_due)

    def push_later(self, delay_s: float, event: api.Event) -> None:
        """Add an event to the batch that follows this delay."""
        self._loop.call_later(delay_s, self.push, event)

    def limit_open_requests(self, most: int) -> None:
        """Limit the requests in flight; the limit falls below ``most`` while the loop runs late."""
        self._open_limit.max_requests = self._reported_limit = most
        self.push(api.OpenRequestLimit(most))

    def run_batch(self) -> None:
        """Pass the events since the last batch to the scheduler and have its actions carried out."""
        now = self._loop.time()
        events = self._take_events(now)
        try:
            for action in self.scheduler.handle(now, events):
                self._carry_out(action)
        except Exception:
            # The requests concerned fail at their deadlines; the broker goes on serving the others.
            log.exception("module.failed", events=len(events))

    def _take_events(self, now: float) -> list[api.Event]:
        limit = self._open_limit.update(now, now - self._wake.when() if self._wake else 0.0)
        self._wake, self._last_batch_at = None, now
        events, self.pending_events = self.pending_events, []
        if limit != self._reported_limit:
            self._reported_limit = limit
            events.append(api.OpenRequestLimit(limit))
        return events
