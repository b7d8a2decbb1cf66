"""The concurrency limit of each broker (L in the design), and the windows of statistics that set it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import REFILL_PERIOD_S, Window
from cherrycove.tier.dataplane.admission._broker_state import INITIAL_LIMIT, BrokerState

MIN_SAMPLES = 4  # first events needed to set a new limit; a window with fewer is extended
MAX_WAITS = 256  # waiting times kept per route and window; the oldest are dropped
MIN_LATENCY_S = 0.0001  # recorded for a first event within the same iteration of the event loop


def record_arrival(broker: BrokerState, due_at: float, window_end: float) -> None:
    """Count a request that entered this broker's queue or was sent directly to the broker."""
    broker.queue.window.arrivals += 1
    record_due_in_window(broker, due_at, window_end)


def record_due_in_window(broker: BrokerState, due_at: float, window_end: float) -> None:
    """Count an arrival as due in the window, if it is due before the window ends."""
    broker.queue.window.new_due += due_at <= window_end


def record_wait(broker: BrokerState, route: str, wait_s: float) -> None:
    """Record how long a request of this route was pending before its attempt."""
    broker.queue.window.waits.setdefault(route, deque(maxlen=MAX_WAITS)).append(wait_s)


def record_first_event(broker: BrokerState, route: str, latency_s: float) -> None:
    """Record the time from the start of an attempt to its first event."""
    broker.queue.window.served += 1
    broker.queue.window.latencies.setdefault(route, []).append(max(latency_s, MIN_LATENCY_S))


def close_window(broker: BrokerState, classes: Sequence[RequestClass], now: float) -> None:
    """Set the concurrency limit from the window's statistics and begin the next window.

    The limit's upper bound is the broker's slots: one proxy may use all of them while the others are idle,
    and the broker's load reports bound the proxies together. docs/design.md describes the controller.
    """
    queue = broker.queue
    if sum(map(len, queue.window.latencies.values())) < MIN_SAMPLES:
        _end_idle_overload(broker)
        return
    upper_bound = float(max(broker.load.slots, 1))
    in_flight = queue.in_flight
    # A response counts as served from its first event on: only attempts without one are outstanding here.
    queue.in_flight = sum(not request.is_batch for request in broker.awaiting_first_event)
    set_threshold(queue, classes, now + REFILL_PERIOD_S, upper_bound / queue.threshold)
    queue.in_flight = in_flight
    queue.threshold = min(max(queue.threshold, min(INITIAL_LIMIT, upper_bound)), upper_bound)
    queue.window = Window(max_in_flight=in_flight)


def _end_idle_overload(broker: BrokerState) -> None:
    """End the overload of an idle broker: no first event would follow that could show its end."""
    if not broker.queue.waiting and not broker.awaiting_first_event:
        broker.queue.overload = False
