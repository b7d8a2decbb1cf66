"""Credits per route, which decide what counts as demand when a broker's concurrency limit is set."""

from __future__ import annotations

from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, SlidingWindowSum
from cherrycove.tier.dataplane.admission import _concurrency_limit
from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest

CREDIT_WAIT_PLACE = "lane"  # value of ``Request.place`` while the entry waits for a credit
CREDIT_WAIT_LIMIT = 1.0  # concurrency limit of the queue that belongs to no broker; never read


class CreditPolicy:
    """Owns the periods in which credits are granted and after which concurrency limits are set.

    A pending live request first waits in the credit queue of its route. While the route has credits, the head
    of that queue moves to the deadline queue of a broker. Credits do not delay an attempt: ``LiveDispatcher``
    sends any pending request to a broker with capacity, so credits decide only which requests count as demand
    when concurrency limits are set.
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
        """Add a live request to the credit queue of its route, which must be known."""
        self._last_entry_number += 1
        self._state.routes[request.route].enqueue(request, self._last_entry_number, self._credit_wait)

    def spend_credit(self, request: AdmissionRequest, now: float) -> None:
        """Move the request to a broker's queue, if it heads its route's credit queue and a credit is left."""
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
        entry.wait_at(broker.queue, now)  # this also counts the arrival
        _concurrency_limit.record_due_in_window(broker, entry.due, self.window_end)

    def close_period(self, now: float) -> None:
        """At the end of a period, set the concurrency limits and spend the credits of the next period.

        A route is refilled when one of its requests next needs a credit, at the rate known at that time.
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

    def return_to_credit_queue(self, broker: BrokerState) -> None:
        """Move the requests queued for a broker that accepts no more back to the credit queues."""
        for entry in broker.queue.waiting_requests():
            entry.leave()
            entry.wait_for_credit(self._credit_wait)
