"""L of each broker: the controller of ``cherrycove.scheduling``, stepped at the end of each window. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import PERIOD, Window
from cherrycove.tier.dataplane.admission._broker_state import START_L, BrokerState

SAMPLES = 4  # first events that a new L is worked out from; a window that has fewer goes on
MOST_WAITS = 256  # that a window keeps of one kind
LEAST_LATENCY_S = 0.0001  # a first event that came within one turn of the loop


def note_arrival(state: BrokerState, due: float, window_end: float) -> None:
    """A request has come to this broker's queue, or straight to the broker."""
    state.node.window.arrivals += 1
    state.node.window.new_due += due <= window_end


def note_wait(state: BrokerState, kind: str, wait_s: float) -> None:
    """A request of this kind was sent after it was held for ``wait_s``."""
    state.node.window.waits.setdefault(kind, deque(maxlen=MOST_WAITS)).append(wait_s)


def note_served(state: BrokerState, kind: str, latency_s: float) -> None:
    """The first event of a request came ``latency_s`` after its send."""
    state.node.window.served += 1
    state.node.window.latencies.setdefault(kind, []).append(max(latency_s, LEAST_LATENCY_S))


def close_window(state: BrokerState, classes: Sequence[RequestClass], now: float) -> None:
    """Set L from what the window showed. The ceiling is what the broker runs at once: a proxy may use all of
    it while the others are idle, and the broker's own reports bound what they do together."""
    node = state.node
    if sum(map(len, node.window.latencies.values())) < SAMPLES:
        _settle(state)
        return
    ceiling = float(max(state.load.slots, 1))
    running = node.out
    # A stream that flows has been served: to the controller only those without an event are outstanding.
    node.out = sum(not request.is_batch for request in state.awaiting_first_event)
    set_threshold(node, classes, now + PERIOD, ceiling / node.threshold)
    node.out = running
    node.threshold = min(max(node.threshold, min(START_L, ceiling)), ceiling)
    node.window = Window(most_out=running)


def _settle(state: BrokerState) -> None:
    """With hardly any requests there is no overload, though too few answers come to show that."""
    node = state.node
    if not node.waiting and not state.awaiting_first_event:
        node.overload = False
