"""State of one route of live requests: its credits, its first-in queue, and its clients' timeouts. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.interface import Effect, Plan, RequestClass
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, Volume
from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest

MIN_CREDITS = 1.0  # at a refill, so that a rare route is admitted
RETRY_TIMEOUT_FRACTION = 0.95  # of the longest client timeout seen; a client with less has tried before
PRIORITY_DELAY_FRACTION = 0.5  # of the target latency by which each lower priority queues later
MIN_ROUTE_TIME_S = 0.001  # of the target latency and the timeout, which the controller of L divides by


@attrs.define(eq=False)
class RouteState:
    """One route, owned by ``AdmissionState`` and never removed: its requests may still be pending."""

    route: Route
    request_class: RequestClass
    credit_account: Volume
    max_client_timeout_s: float = 0.0  # seen so far

    def credit_queue(self) -> deque[Request]:
        """Entries that wait for a credit, first in first out."""
        return self.credit_account.lanes.get(None) or deque()

    def refill(self, period: int) -> None:
        """Add the credits of the periods since the last refill, up to those of one period."""
        account = self.credit_account
        if account.epoch != period:
            account.credits = min(
                account.credits + account.refill_units * (period - account.epoch), account.refill_units
            )
            account.epoch = period

    def set_arrival_rate(self, per_s: float) -> None:
        """Set the credits of a period to this proxy's share of the route's arrivals."""
        self.credit_account.refill_units = max(per_s * REFILL_PERIOD_S, MIN_CREDITS)

    def enqueue(self, request: AdmissionRequest, number: int, credit_wait: NodeQueue) -> None:
        """Set the request's due time and key, and let it wait for a credit as entry ``number``."""
        self.max_client_timeout_s = max(self.max_client_timeout_s, request.client_timeout_s)
        due_at = request.arrived_at + request.target_latency_s
        entry = Request(
            number, self.request_class, self.credit_account, 1.0, 1.0, None, None, due_at, request.deadline
        )
        request.queue_entry = entry
        request.due_at = due_at
        priority_delay_s = self.route.priority * PRIORITY_DELAY_FRACTION * request.target_latency_s
        request.queue_key = due_at - self._since_first_attempt_s(request) + priority_delay_s
        entry.wait_for_credit(credit_wait)

    def is_retry(self, request: AdmissionRequest) -> bool:
        """Whether the client has tried before: less is left of its timeout than others of the route have."""
        return request.client_timeout_s < RETRY_TIMEOUT_FRACTION * self.max_client_timeout_s

    def _since_first_attempt_s(self, request: AdmissionRequest) -> float:
        if not self.is_retry(request):
            return 0.0
        return max(self.max_client_timeout_s - request.client_timeout_s, 0.0)


def new_route_state(route: Route, now: float) -> RouteState:
    """State of a route that nothing is known of."""
    target_latency_s = max(route.target_latency_ms / 1000, MIN_ROUTE_TIME_S)
    timeout_s = max(route.timeout_ms / 1000, MIN_ROUTE_TIME_S)
    request_class = RequestClass(route.name, target_latency_s, timeout_s, Effect.SAFE)
    account = Volume(route.name, Plan(route.name, MIN_CREDITS), MIN_CREDITS, now)
    return RouteState(route, request_class, account)
