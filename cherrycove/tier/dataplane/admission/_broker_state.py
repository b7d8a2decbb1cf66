"""State of one broker: queue, concurrency limit, load, health and prefix cache estimate."""

from __future__ import annotations

import attrs

from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, SlidingWindowSum
from cherrycove.tier.configuration import Service
from cherrycove.tier.dataplane.admission._broker_health import BrokerHealth
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._load_estimate import LoadEstimate
from cherrycove.tier.dataplane.admission._prefix_cache import PrefixCacheEstimate
from cherrycove.tier.distribution.cluster_view import Broker

INITIAL_LIMIT = 4.0  # concurrency limit of a newly listed broker
DEFAULT_CONNECTIONS = 64  # connections of this proxy if the configuration sets no limit
DEFAULT_SLOTS = 16  # slots if neither the broker list nor the configuration gives a number
BATCH_FRACTION = 0.85  # fraction of the slots open to batch items; the rest is reserved for live requests
URGENT_BATCH_FRACTION = 0.95  # the same fraction for urgent items
SLOW_START_PENALTY = 1.0  # extra time at the start of a broker's warm-up, as a multiple of the usual time


@attrs.define(eq=False, kw_only=True)
class BrokerState:
    """The known state of one broker.

    ``AdmissionState`` owns it from the broker's first listing until the broker is unlisted and idle.

    States: *listed* or not, and while listed *draining* or not; ``BrokerHealth`` has its own states. Nothing
    new is sent to a broker that is unlisted or draining; its attempts in flight are counted until they end.
    """

    listing: Broker  # entry of the last broker list that contained it
    service: Service | None  # None: not configured
    queue: NodeQueue  # requests by due time, with the concurrency limit and the window of statistics for it
    load: LoadEstimate
    prefix_cache: PrefixCacheEstimate
    warm_at: float
    health: BrokerHealth = attrs.field(factory=BrokerHealth)
    in_flight: dict[AdmissionRequest, float] = attrs.field(factory=dict)  # start time of each attempt
    awaiting_first_event: set[AdmissionRequest] = attrs.field(factory=set)  # attempts without a body byte yet
    reserved_tokens: int = 0  # KV cache of the attempts in flight; shared segments count for each attempt
    is_listed: bool = True

    @property
    def instance_id(self) -> str:
        """The id under which the platform lists the broker; it changes with each start of the broker."""
        return self.listing.instance_id

    @property
    def memory_tokens(self) -> int:
        """Size of the broker's KV cache in tokens; 0 if unknown."""
        return self.service.engine.kv_cache_tokens if self.service else 0

    def free_connections(self, proxies: int) -> int:
        """Return how many further connections this proxy may use.

        Its share is an equal part of the broker's connection limit, less one spare connection.
        """
        limit = self.service.connection_limit if self.service else 0
        share = max(limit // proxies - 1, 1) if limit else DEFAULT_CONNECTIONS
        return max(share - len(self.in_flight), 0)

    def can_serve(self, request: AdmissionRequest) -> bool:
        """Whether the broker could run the request, regardless of its present load and health."""
        return (
            self.is_listed
            and not self.listing.draining
            and self.listing.service == request.service
            and not 0 < self.memory_tokens < request.prompt.total_tokens
        )

    def accepts(self, request: AdmissionRequest, now: float) -> bool:
        """Whether the request may be sent to the broker as soon as a slot is free."""
        return (
            self.can_serve(request)
            and request.is_eligible_at(self.instance_id, now)
            and self.health.is_usable(now)
        )

    def has_live_capacity(self, now: float, proxies: int) -> bool:
        """Whether a live request may be sent there now.

        With a fresh load report the free slots decide, and in an overload also the concurrency limit.
        Without one the concurrency limit decides.
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
        """Whether a request past its target latency may be sent there, regardless of the concurrency limit.

        The slots still bound it: the broker would reject an attempt beyond them.
        """
        if not self.free_connections(proxies):
            return False
        if self.load.is_fresh(now):
            return self.load.free_slots(now, proxies) >= 1
        return now >= self.load.full_until and self.queue.in_flight < self.load.slots

    def batch_capacity(self, now: float, proxies: int, *, urgent: bool = False) -> float:
        """Return how many further batch items of all proxies together the broker could run."""
        is_blocked = self.queue.overload or now < self.load.full_until or not self.health.is_usable(now)
        if is_blocked or not self.free_connections(proxies):
            return 0.0
        usable_slots = self.load.slots * (URGENT_BATCH_FRACTION if urgent else BATCH_FRACTION)
        return max(usable_slots - self.load.total_requests(now, proxies), 0.0)

    def start_attempt(self, request: AdmissionRequest, now: float) -> None:
        """Record an attempt that starts now."""
        self.in_flight[request] = now
        self.awaiting_first_event.add(request)
        self.load.in_flight += 1
        self.reserved_tokens += request.prompt.total_tokens
        self.health.attempt_started()
        self._estimate_uncached_tokens(request)
        self.prefix_cache.add(request.prompt)
        if not request.is_batch:
            self.queue.count_sent(now, 1.0)

    def end_attempt(self, request: AdmissionRequest) -> float:
        """Release the resources of an attempt, and return its start time."""
        self.awaiting_first_event.discard(request)
        self.load.in_flight -= 1
        self.reserved_tokens -= request.prompt.total_tokens
        self.queue.in_flight -= not request.is_batch
        return self.in_flight.pop(request)

    def _estimate_uncached_tokens(self, request: AdmissionRequest) -> None:
        """Set the request's estimates of its prompt tokens that are not in the prefix cache."""
        prompt = request.prompt
        cached = self.prefix_cache.cached_tokens(prompt)
        shared = sum(segment.tokens for segment in prompt.shared_segments)
        request.uncached_tokens = max(prompt.input_tokens - cached, 0)
        request.uncached_shared_tokens = max(shared - cached, 0)

    def slow_start_factor(self, now: float) -> float:
        """Return the factor by which the broker is slower while it warms up; it falls linearly to 1."""
        warm_up_s = self.listing.warmup_remaining_ms / 1000
        if now >= self.warm_at or warm_up_s <= 0:
            return 1.0
        return 1.0 + SLOW_START_PENALTY * (self.warm_at - now) / warm_up_s


def new_broker_state(listing: Broker, service: Service | None, number: int, now: float) -> BrokerState:
    """Return the state of a newly listed broker; ``number`` identifies its queue."""
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
