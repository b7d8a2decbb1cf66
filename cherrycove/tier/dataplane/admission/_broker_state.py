"""One broker as admission sees it: its deadline queue and L, its load, its health, what it keeps. Pure."""

from __future__ import annotations

from math import inf

import attrs

from cherrycove.scheduling.state import PERIOD, NodeQueue, Recent
from cherrycove.tier.configuration import Service
from cherrycove.tier.dataplane.admission._broker_health import BrokerHealth
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._load_estimate import LoadEstimate
from cherrycove.tier.dataplane.admission._prefix_cache import PrefixCacheEstimate
from cherrycove.tier.distribution.cluster_view import Broker

START_L = 4.0  # of a broker that nothing is known of
UNKNOWN_CONNECTIONS = 64  # where the configuration tells no limit
UNKNOWN_SLOTS = 16  # where neither the list nor the configuration tells
BATCH_PART = 0.85  # of the slots up to which batch items that are not urgent are sent
URGENT_PART = 0.95  # and those that are
WARMING_SLOWER = 1.0  # more time that a broker takes at the start of its warm-up


@attrs.define(eq=False, kw_only=True)
class BrokerState:
    broker: Broker
    service: Service | None
    node: NodeQueue
    load: LoadEstimate
    prefix_cache: PrefixCacheEstimate
    warm_at: float
    health: BrokerHealth = attrs.field(factory=BrokerHealth)
    in_flight: dict[AdmissionRequest, float] = attrs.field(
        factory=dict
    )  # sends that have not ended, by their time
    awaiting_first_event: set[AdmissionRequest] = attrs.field(
        factory=set
    )  # of them, those that have brought nothing
    reserved_tokens: int = 0  # memory that the sends take, shared parts counted for each
    is_listed: bool = True

    @property
    def id(self) -> str:
        return self.broker.instance_id

    @property
    def memory_tokens(self) -> int:
        return self.service.engine.kv_cache_tokens if self.service else 0

    def free_connections(self, proxies: int) -> int:
        """Left of this proxy's part of the connections that the broker accepts, less a spare one."""
        limit = self.service.connection_limit if self.service else 0
        part = max(limit // proxies - 1, 1) if limit else UNKNOWN_CONNECTIONS
        return max(part - len(self.in_flight), 0)

    def can_serve(self, request: AdmissionRequest) -> bool:
        """Whether the request could run there, sooner or later."""
        return (
            self.is_listed
            and not self.broker.draining
            and self.broker.service == request.service
            and not 0 < self.memory_tokens < request.prompt.total_tokens
        )

    def accepts(self, request: AdmissionRequest, now: float) -> bool:
        """Whether the request may go there, now or once there is room."""
        return self.can_serve(request) and request.is_eligible_at(self.id, now) and self.health.is_usable(now)

    def has_live_capacity(self, now: float, proxies: int) -> bool:
        """Whether a live request may be sent there now: under L, or at a place known to be free."""
        if not self.free_connections(proxies):
            return False
        free = self.load.free_slots(now, proxies)
        if self.load.is_fresh(now):
            return free >= 1 and (not self.node.overload or self.node.out < self.node.threshold)
        return now >= self.load.full_until and self.node.out < min(self.node.threshold, self.load.slots)

    def has_overdue_capacity(self, now: float, proxies: int) -> bool:
        """Whether a request that is past its aim may be sent there regardless of L."""
        if not self.free_connections(proxies):
            return False
        if self.load.is_fresh(now):
            return self.load.free_slots(now, proxies) >= 1
        return now >= self.load.full_until and self.node.out < self.load.slots

    def batch_capacity(self, now: float, proxies: int, urgent: bool = False) -> float:
        """How many batch items more it could take, of all proxies together."""
        blocked = self.node.overload or now < self.load.full_until or not self.health.is_usable(now)
        if blocked or not self.free_connections(proxies):
            return 0.0
        bound = self.load.slots * (URGENT_PART if urgent else BATCH_PART)
        return max(bound - self.load.total_requests(now, proxies), 0.0)

    def start_attempt(self, request: AdmissionRequest, now: float) -> None:
        self.in_flight[request] = now
        self.awaiting_first_event.add(request)
        self.load.in_flight += 1
        self.reserved_tokens += request.prompt.total_tokens
        self.health.attempt_started()
        self.prefix_cache.add(request.prompt)
        if not request.is_batch:
            self.node.count_sent(now, 1.0)

    def end_attempt(self, request: AdmissionRequest) -> float:
        """The send is over; when it began."""
        self.awaiting_first_event.discard(request)
        self.load.in_flight -= 1
        self.reserved_tokens -= request.prompt.total_tokens
        self.node.out -= not request.is_batch
        return self.in_flight.pop(request)

    def oldest_silent(self) -> float:
        """When the oldest send went out that has brought nothing; inf if all have."""
        return min((self.in_flight[request] for request in self.awaiting_first_event), default=inf)

    def slow_start_factor(self, now: float) -> float:
        """How many times its usual time it takes while it warms up."""
        warm_up_s = self.broker.warmup_remaining_ms / 1000
        if now >= self.warm_at or warm_up_s <= 0:
            return 1.0
        return 1.0 + WARMING_SLOWER * (self.warm_at - now) / warm_up_s


def new_broker_state(broker: Broker, service: Service | None, number: int, now: float) -> BrokerState:
    """A broker that has just been listed; ``number`` tells it apart in its queue."""
    engine_slots = service.engine.capacity_slots if service else 0
    slots = broker.capacity_slots or engine_slots or UNKNOWN_SLOTS
    queue = NodeQueue(number, min(START_L, float(slots)), Recent(PERIOD), Recent(PERIOD), broker.instance_id)
    return BrokerState(
        broker=broker,
        service=service,
        node=queue,
        load=LoadEstimate(slots=slots),
        prefix_cache=PrefixCacheEstimate(service.engine.kv_cache_tokens if service else 0),
        warm_at=now + broker.warmup_remaining_ms / 1000,
    )
