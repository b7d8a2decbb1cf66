"""Kinds of live requests (one by route): credits, first-in queue, and what their clients are like. Pure."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission.interface import Ticket
from finchrack.interface import Effect, Plan, RequestClass
from finchrack.state import PERIOD, NodeQueue, Request, Volume

LEAST_CREDITS = 1.0  # at a refill, so that a rare kind is let through
RETRY_PART = 0.95  # of the longest patience seen; a client that has less has tried before
RANK_PART = 0.5  # of the aim by which a request waits behind one of the next more urgent rank
LEAST_AIM_S = 0.001


@attrs.define(eq=False)
class Kind:
    """Requests of one route."""

    route: Route
    cls: RequestClass
    volume: Volume
    longest_s: float = 0.0  # patience seen

    def waiting(self) -> deque[Request]:
        """Its first-in queue."""
        return self.volume.lanes.get(None) or deque()

    def refill(self, epoch: int) -> None:
        """Credits for the periods that have passed, up to one period's share of the rate."""
        volume = self.volume
        if volume.epoch != epoch:
            volume.credits = min(volume.credits + volume.full * (epoch - volume.epoch), volume.full)
            volume.epoch = epoch

    def rate(self, per_s: float) -> None:
        """The share of the kind's rate that is this proxy's."""
        self.volume.full = max(per_s * PERIOD, LEAST_CREDITS)

    def enter(self, ticket: Ticket, number: int, lobby: NodeQueue) -> Request:
        """Make the record of a ticket, and let it wait in the first-in queue."""
        self.longest_s = max(self.longest_s, ticket.patience_s)
        due = ticket.arrived + ticket.aim_s
        record = Request(number, self.cls, self.volume, 1.0, 1.0, None, None, due, ticket.end)
        ticket.record, ticket.due = record, due
        ticket.order = due - self._tried_before(ticket) + self.route.priority * RANK_PART * ticket.aim_s
        record.wait_for_credit(lobby)
        return record

    def returned(self, ticket: Ticket) -> bool:
        """Whether the client has tried before."""
        return ticket.patience_s < RETRY_PART * self.longest_s

    def _tried_before(self, ticket: Ticket) -> float:
        """How long ago the client's first try was."""
        return max(self.longest_s - ticket.patience_s, 0.0) if self.returned(ticket) else 0.0


def new_kind(route: Route, now: float) -> Kind:
    aim_s = max(route.target_latency_ms / 1000, LEAST_AIM_S)
    deadline_s = max(route.timeout_ms / 1000, LEAST_AIM_S)
    cls = RequestClass(route.name, aim_s, deadline_s, Effect.SAFE)
    return Kind(route, cls, Volume(route.name, Plan(route.name, LEAST_CREDITS), LEAST_CREDITS, now))
