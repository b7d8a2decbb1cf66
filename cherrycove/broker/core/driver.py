"""Drives the scheduler: provides its clock and timers and collects its events into batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from cherrycove.broker.event_log import Log
from cherrycove.broker.request_limit import RequestLimit
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler

log = Log("cherrycove.core")

_UNLIMITED_REQUESTS = 1 << 30


class SchedulerDriver:
    """Passes events to the scheduler in batches and executes its actions. Owned by the core.

    If the scheduler raises, the exception is logged and the remaining actions of that batch are lost.

    Args:
        settings: the settings of the deployment.
        seed: the seed of the scheduler's random numbers.
        on_batch_due: called when a batch is due; it must call ``run_batch``.
        carry_out: executes one action; called with each action of the scheduler.
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
        self._batch_timer: asyncio.TimerHandle | None = None
        self._last_batch_at = -inf
        self._request_limit = RequestLimit(_UNLIMITED_REQUESTS)
        self._reported_limit = _UNLIMITED_REQUESTS  # the last limit that the scheduler was told

    def push(self, event: api.Event) -> None:
        """Add an event to the next batch; batches are at least a tick apart, so a burst costs one call."""
        self.pending_events.append(event)
        if self._batch_timer is None:
            when = max(self._last_batch_at + self._tick_s, self._loop.time())
            self._batch_timer = self._loop.call_at(when, self._on_batch_due)

    def push_later(self, delay_s: float, event: api.Event) -> None:
        """Add an event to the next batch once ``delay_s`` has passed."""
        self._loop.call_later(delay_s, self.push, event)

    def limit_open_requests(self, max_requests: int) -> None:
        """Limit the requests in flight to ``max_requests``, and to fewer while the event loop runs late."""
        self._request_limit.max_requests = self._reported_limit = max_requests
        self.push(api.OpenRequestLimit(max_requests))

    def run_batch(self) -> None:
        """Pass the events since the last batch to the scheduler and execute its actions."""
        now = self._loop.time()
        events = self._take_events(now)
        try:
            for action in self.scheduler.handle(now, events):
                self._carry_out(action)
        except Exception:
            # The affected requests fail at their deadlines; the broker continues to serve the others.
            log.exception("module.failed", events=len(events))

    def _take_events(self, now: float) -> list[api.Event]:
        limit = self._request_limit.update(now, now - self._batch_timer.when() if self._batch_timer else 0.0)
        self._batch_timer, self._last_batch_at = None, now
        events, self.pending_events = self.pending_events, []
        if limit != self._reported_limit:
            self._reported_limit = limit
            events.append(api.OpenRequestLimit(limit))
        return events
