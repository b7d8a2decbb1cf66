"""State of one broker as admission sees it: queue, concurrency limit, load, health, prefix cache. Pure."""

from __future__ import annotations

import attrs

from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, SlidingWindowSum
from cherrycove.tier.configuration import Service
from cherrycove.tier.dataplane.admission._broker_health import BrokerHealth
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._load_estimate import LoadEstimate
from cherrycove.tier.dataplane.admission._prefix_cache import PrefixCacheEstimate
from cherrycove.tier.distribution.cluster_view import Broker

INITIAL_LIMIT = 4.0  # L of a broker that nothing is known of
DEFAULT_CONNECTIONS = 64  # where the configuration names no limit
DEFAULT_SLOTS = 16  # where neither the broker list nor the configuration says
BATCH_FRACTION = 0.85  # of the slots up to which batch items are sent; the rest is kept for live requests
URGENT_BATCH_FRACTION = 0.95  # the same for items that are nearly due
SLOW_START_PENALTY = 1.0  # extra time, in multiples of the usual, at the start of a broker's warm-up


@attrs.define(eq=False, kw_only=True)
class BrokerState:
    """One broker, owned by ``AdmissionState`` from its first listing until it is unlisted and idle.

    States: *listed* or not, and as listed *draining* or not; its health has states of its own. Nothing new is
    sent to one that is unlisted or draining; attempts in flight there are counted until they end.
    """

    listing: Broker  # as the platform last listed it
    service: Service | None
    queue: NodeQueue  # earliest deadline first, with the concurrency limit L (``threshold``) and its window
    load: LoadEstimate
    prefix_cache: PrefixCacheEstimate
    warm_at: float
    health: BrokerHealth = attrs.field(factory=BrokerHealth)
    in_flight: dict[AdmissionRequest, float] = attrs.field(factory=dict)  # attempts, by when they started
    awaiting_first_event: set[AdmissionRequest] = attrs.field(factory=set)  # those without a byte of body
    reserved_tokens: int = 0  # KV cache of the attempts in flight, shared segments counted for each
    is_listed: bool = True

    @property
    def instance_id(self) -> str:
        """The id under which the platform lists it; another start of the broker has another."""
        return self.listing.instance_id

    @property
    def memory_tokens(self) -> int:
        """Its KV cache in tokens; 0: unknown."""
        return self.service.engine.kv_cache_tokens if self.service else 0

    def free_connections(self, proxies: int) -> int:
        """What is left of this proxy's share of the connections that the broker accepts, less a spare one."""
        limit = self.service.connection_limit if self.service else 0
        share = max(limit // proxies - 1, 1) if limit else DEFAULT_CONNECTIONS
        return max(share - len(self.in_flight), 0)

    def can_serve(self, request: AdmissionRequest) -> bool:
        """Whether the request could run there, sooner or later."""
        return (
            self.is_listed
            and not self.listing.draining
            and self.listing.service == request.service
            and not 0 < self.memory_tokens < request.prompt.total_tokens
        )

    def accepts(self, request: AdmissionRequest, now: float) -> bool:
        """Whether the request may go there, now or once a slot is free."""
        return (
            self.can_serve(request)
            and request.is_eligible_at(self.instance_id, now)
            and self.health.is_usable(now)
        )

    def has_live_capacity(self, now: float, proxies: int) -> bool:
        """Whether a live request may be sent there now.

        A fresh report decides by its free slots, and L only in an overload; without one L decides.
        """
        if not self.free_connections(proxies):
            return False
        free_slots = self.load.free_slots(now, proxies)
        if self.load.is_fresh(now):
            return free_slots >= 1 and (
                not self.queue.overload or self.queue.in_flight < self.queue.threshold
            )
        return now >= self.load.full_until and self.queue.in_flight < min(
            self.queue.threshold, self.load.slots
        )

    def has_overdue_capacity(self, now: float, proxies: int) -> bool:
        """Whether a request that is past its target may be sent there regardless of L.

        Bounded by the slots: an attempt beyond them would be rejected by the broker.
        """
        if not self.free_connections(proxies):
            return False
        if self.load.is_fresh(now):
            return self.load.free_slots(now, proxies) >= 1
        return now >= self.load.full_until and self.queue.in_flight < self.load.slots

    def batch_capacity(self, now: float, proxies: int, *, urgent: bool = False) -> float:
        """How many batch items more it could run, of all proxies together."""
        is_blocked = self.queue.overload or now < self.load.full_until or not self.health.is_usable(now)
        if is_blocked or not self.free_connections(proxies):
            return 0.0
        usable_slots = self.load.slots * (URGENT_BATCH_FRACTION if urgent else BATCH_FRACTION)
        return max(usable_slots - self.load.total_requests(now, proxies), 0.0)

    def start_attempt(self, request: AdmissionRequest, now: float) -> None:
        """Account for an attempt that starts now."""
        self.in_flight[request] = now
        self.awaiting_first_event.add(request)
        self.load.in_flight += 1
        self.reserved_tokens += request.prompt.total_tokens
        self.health.attempt_started()
        self._estimate_uncached(request)
        self.prefix_cache.add(request.prompt)
        if not request.is_batch:
            self.queue.count_sent(now, 1.0)

    def end_attempt(self, request: AdmissionRequest) -> float:
        """Give back what the attempt held, and return when it started."""
        self.awaiting_first_event.discard(request)
        self.load.in_flight -= 1
        self.reserved_tokens -= request.prompt.total_tokens
        self.queue.in_flight -= not request.is_batch
        return self.in_flight.pop(request)

    def _estimate_uncached(self, request: AdmissionRequest) -> None:
        """Note how much of the prompt is probably not in the prefix cache."""
        prompt = request.prompt
        cached = self.prefix_cache.cached_tokens(prompt)
        shared = sum(segment.tokens for segment in prompt.shared_segments)
        request.uncached_tokens = max(prompt.input_tokens - cached, 0)
        request.uncached_shared_tokens = max(shared - cached, 0)

    def slow_start_factor(self, now: float) -> float:
        """How many times its usual time it takes while it warms up; falls to 1 linearly."""
        warm_up_s = self.listing.warmup_remaining_ms / 1000
        if now >= self.warm_at or warm_up_s <= 0:
            return 1.0
        return 1.0 + SLOW_START_PENALTY * (self.warm_at - now) / warm_up_s


def new_broker_state(listing: Broker, service: Service | None, number: int, now: float) -> BrokerState:
    """State of a broker that was just listed; ``number`` identifies its queue."""
    engine_slots = service.engine.capacity_slots if service else 0
    slots = listing.capacity_slots or engine_slots or DEFAULT_SLOTS
    limit = min(INITIAL_LIMIT, float(slots))
    return BrokerState(
        listing=listing,
        service=service,
        queue=NodeQueue(
            number,
            limit,
            SlidingWindowSum(REFILL_PERIOD_S),
            SlidingWindowSum(REFILL_PERIOD_S),
            listing.instance_id,
        ),
        load=LoadEstimate(slots=slots),
        prefix_cache=PrefixCacheEstimate(service.engine.kv_cache_tokens if service else 0),
        warm_at=now + listing.warmup_remaining_ms / 1000,
    )
