"""The concurrency limit L of each broker: windows of statistics and the step that sets L from them. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import REFILL_PERIOD_S, Window
from cherrycove.tier.dataplane.admission._broker_state import INITIAL_LIMIT, BrokerState

MIN_SAMPLES = 4  # first events that a new L is worked out from; a window with fewer is extended
MAX_WAITS = 256  # kept for each route in a window
MIN_LATENCY_S = 0.0001  # of a first event that came within one iteration of the event loop


def record_arrival(broker: BrokerState, due_at: float, window_end: float) -> None:
    """Count a request that came to this broker's queue, or directly to the broker."""
    broker.queue.window.arrivals += 1
    record_early_due(broker, due_at, window_end)


def record_early_due(broker: BrokerState, due_at: float, window_end: float) -> None:
    """Count an arrival that is also due before the window ends."""
    broker.queue.window.new_due += due_at <= window_end


def record_wait(broker: BrokerState, route: str, wait_s: float) -> None:
    """Add the time for which a request of this route was pending before its attempt."""
    broker.queue.window.waits.setdefault(route, deque(maxlen=MAX_WAITS)).append(wait_s)


def record_first_event(broker: BrokerState, route: str, latency_s: float) -> None:
    """Add the time from an attempt's start to its first event."""
    broker.queue.window.served += 1
    broker.queue.window.latencies.setdefault(route, []).append(max(latency_s, MIN_LATENCY_S))


def close_window(broker: BrokerState, classes: Sequence[RequestClass], now: float) -> None:
    """Set L from the window's statistics and begin the next window.

    The upper bound is the broker's slots: one proxy may use all of them while the others are idle, and the
    broker's reports bound what they do together. docs/design.md describes the controller.
    """
    queue = broker.queue
    if sum(map(len, queue.window.latencies.values())) < MIN_SAMPLES:
        _end_idle_overload(broker)
        return
    upper_bound = float(max(broker.load.slots, 1))
    in_flight = queue.in_flight
    # A stream that flows has been served: to the controller only those without an event are outstanding.
    queue.in_flight = sum(not request.is_batch for request in broker.awaiting_first_event)
    set_threshold(queue, classes, now + REFILL_PERIOD_S, upper_bound / queue.threshold)
    queue.in_flight = in_flight
    queue.threshold = min(max(queue.threshold, min(INITIAL_LIMIT, upper_bound)), upper_bound)
    queue.window = Window(max_in_flight=in_flight)


def _end_idle_overload(broker: BrokerState) -> None:
    """End the overload of a broker with nothing queued: no further first event would come to show its end."""
    if not broker.queue.waiting and not broker.awaiting_first_event:
        broker.queue.overload = False
