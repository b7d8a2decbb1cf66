"""Kinds of live requests (one by route): credits, first-in queue, and what their clients are like. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.scheduling.interface import Effect, Plan, RequestClass
from cherrycove.scheduling.state import PERIOD, NodeQueue, Request, Volume
from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest

MIN_CREDITS = 1.0  # at a refill, so that a rare kind is let through
RETRY_PART = 0.95  # of the longest patience seen; a client that has less has tried before
RANK_PART = 0.5  # of the aim by which a request waits behind one of the next more urgent rank
LEAST_AIM_S = 0.001


@attrs.define(eq=False)
class RouteState:
    """Requests of one route."""

    route: Route
    request_class: RequestClass
    credit_account: Volume
    max_client_timeout_s: float = 0.0  # patience seen

    def credit_queue(self) -> deque[Request]:
        """Its first-in queue."""
        return self.credit_account.lanes.get(None) or deque()

    def refill(self, epoch: int) -> None:
        """Credits for the periods that have passed, up to one period's share of the rate."""
        volume = self.credit_account
        if volume.epoch != epoch:
            volume.credits = min(volume.credits + volume.full * (epoch - volume.epoch), volume.full)
            volume.epoch = epoch

    def set_arrival_rate(self, per_s: float) -> None:
        """The share of the kind's rate that is this proxy's."""
        self.credit_account.full = max(per_s * PERIOD, MIN_CREDITS)

    def enqueue(self, request: AdmissionRequest, number: int, lobby: NodeQueue) -> Request:
        """Make the record of a request, and let it wait in the first-in queue."""
        self.max_client_timeout_s = max(self.max_client_timeout_s, request.client_timeout_s)
        due = request.arrived_at + request.target_latency_s
        record = Request(
            number, self.request_class, self.credit_account, 1.0, 1.0, None, None, due, request.deadline
        )
        request.queue_entry, request.due_at = record, due
        request.queue_key = (
            due - self._tried_before(request) + self.route.priority * RANK_PART * request.target_latency_s
        )
        record.wait_for_credit(lobby)
        return record

    def is_retry(self, request: AdmissionRequest) -> bool:
        """Whether the client has tried before."""
        return request.client_timeout_s < RETRY_PART * self.max_client_timeout_s

    def _tried_before(self, request: AdmissionRequest) -> float:
        """How long ago the client's first try was."""
        return (
            max(self.max_client_timeout_s - request.client_timeout_s, 0.0) if self.is_retry(request) else 0.0
        )


def new_route_state(route: Route, now: float) -> RouteState:
    target_latency_s = max(route.target_latency_ms / 1000, LEAST_AIM_S)
    deadline_s = max(route.timeout_ms / 1000, LEAST_AIM_S)
    cls = RequestClass(route.name, target_latency_s, deadline_s, Effect.SAFE)
    return RouteState(route, cls, Volume(route.name, Plan(route.name, MIN_CREDITS), MIN_CREDITS, now))
