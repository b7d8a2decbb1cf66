"""State of one route of live requests: its credits and its credit queue."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.interface import Effect, Plan, RequestClass
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, Volume
from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest

MIN_CREDITS = 1.0  # minimum of a refill, so that a route with few requests gets credits
# Lower bound of the target latency and timeout passed to the concurrency limit's controller, which divides
# by them.
MIN_ROUTE_TIME_S = 0.001


@attrs.define(eq=False)
class RouteState:
    """The known state of one route, owned by ``AdmissionState``.

    It is never removed, since requests of a route that is no longer configured may still be pending.
    """

    route: Route
    request_class: RequestClass
    credit_account: Volume

    def credit_queue(self) -> deque[Request]:
        """Return the entries that wait for a credit, first in, first out."""
        return self.credit_account.lanes.get(None) or deque()

    def refill(self, period: int) -> None:
        """Add the credits of all periods since the last refill, up to the credits of one period."""
        account = self.credit_account
        if account.epoch != period:
            account.credits = min(
                account.credits + account.refill_units * (period - account.epoch), account.refill_units
            )
            account.epoch = period

    def set_arrival_rate(self, per_s: float) -> None:
        """Set the credits per period from this proxy's share of the route's arrivals per second."""
        self.credit_account.refill_units = max(per_s * REFILL_PERIOD_S, MIN_CREDITS)

    def enqueue(self, request: AdmissionRequest, number: int, credit_wait: NodeQueue) -> None:
        """Set the request's due time and queue key, and add it to the credit queue as entry ``number``."""
        due_at = request.arrived_at + request.target_latency_s
        entry = Request(
            number,
            self.request_class,
            self.credit_account,
            units=1.0,
            relative_size=1.0,
            shard=None,
            key=None,
            arrived=request.arrived_at,
            due=due_at,
            deadline=request.deadline,
        )
        request.queue_entry = entry
        request.due_at = due_at
        request.queue_key = (self.route.priority, due_at)
        entry.wait_for_credit(credit_wait)


def new_route_state(route: Route, now: float) -> RouteState:
    """Return the initial state of a route."""
    target_latency_s = max(route.target_latency_ms / 1000, MIN_ROUTE_TIME_S)
    timeout_s = max(route.timeout_ms / 1000, MIN_ROUTE_TIME_S)
    request_class = RequestClass(route.name, target_latency_s, timeout_s, Effect.SAFE)
    account = Volume(route.name, Plan(route.name, MIN_CREDITS), MIN_CREDITS, now)
    return RouteState(route, request_class, account)
