"""Credits by route: they decide which pending requests count as demand for a broker's L. Pure."""

from __future__ import annotations

from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, SlidingWindowSum
from cherrycove.tier.dataplane.admission import _concurrency_limit
from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest

CREDIT_WAIT_PLACE = "lane"  # ``Request.place`` of an entry that waits for a credit
CREDIT_WAIT_LIMIT = 1.0  # L of the queue that stands for no broker; it is never read


class CreditPolicy:
    """Owns the periods by which credits are counted and windows of L close.

    A pending live request waits first in its route's queue. While its route has credits, its head is put into
    the deadline queue of a broker. Credits do not delay an attempt: a broker with capacity takes any pending
    request (``LiveDispatcher``), so they decide only which requests count as demand for the controller of L.
    """

    def __init__(self, state: AdmissionState, selector: BrokerSelector, now: float) -> None:
        self._state = state
        self._selector = selector
        self._credit_wait = NodeQueue(
            None, CREDIT_WAIT_LIMIT, SlidingWindowSum(REFILL_PERIOD_S), SlidingWindowSum(REFILL_PERIOD_S)
        )
        self._last_entry_number = 0
        self._period = 0
        self.window_end = now + REFILL_PERIOD_S

    def enqueue(self, request: AdmissionRequest) -> None:
        """Let a live request of a known route wait for a credit."""
        self._last_entry_number += 1
        self._state.routes[request.route].enqueue(request, self._last_entry_number, self._credit_wait)

    def spend_credit(self, request: AdmissionRequest, now: float) -> None:
        """Move the request to a broker's queue, if it is the first of its route and that has a credit."""
        entry, route = request.queue_entry, self._state.routes[request.route]
        assert entry is not None
        route.refill(self._period)
        if entry.place != CREDIT_WAIT_PLACE or route.credit_account.credits <= 0:
            return
        if route.credit_queue()[0] is not entry:
            return
        candidates = [broker for broker in self._state.brokers.values() if broker.accepts(request, now)]
        if not candidates:
            return
        route.credit_account.credits -= 1.0
        broker = self._selector.select(request, candidates, now)
        entry.leave()
        entry.wait_at(broker.queue, now)  # which counts the arrival
        _concurrency_limit.record_early_due(broker, entry.due, self.window_end)

    def close_period(self, now: float) -> None:
        """At the end of a period set each broker's L and spend the credits of the next one.

        A route is refilled when one of its requests next asks for a credit, at the rate known then.
        """
        if now < self.window_end:
            return
        elapsed_periods = int((now - self.window_end) // REFILL_PERIOD_S) + 1
        self._period += elapsed_periods
        self.window_end += elapsed_periods * REFILL_PERIOD_S
        classes = [route.request_class for route in self._state.routes.values()]
        for broker in self._state.brokers.values():
            _concurrency_limit.close_window(broker, classes, now)
        for request in self._state.pending.in_dispatch_order(now):
            self.spend_credit(request, now)

    def evacuate(self, broker: BrokerState) -> None:
        """Let what waits in the queue of a broker that accepts nothing any more wait for a credit again."""
        for entry in broker.queue.waiting_requests():
            entry.leave()
            entry.wait_for_credit(self._credit_wait)
