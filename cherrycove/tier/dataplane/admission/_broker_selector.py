"""Which of several brokers a request goes to: work left to read, load, memory, and no herd. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._latency_estimate import LatencyEstimate
from cherrycove.tier.dataplane.admission._prefix_cache import affinity_segment, preferred_broker

HERD_S = 0.01  # difference of reading time below which load alone decides, between two at random
JITTER_S = 0.004  # at random on each cost, so that proxies that know the same do not do the same
CROWDED_S = 0.2  # cost of a place whose memory would be over-committed
QUEUE_S = 0.5  # cost of a broker's slots taken once over


class BrokerSelector:
    """Chooses brokers by the time until a first event, as expected."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: AdmissionRequest, among: Sequence[BrokerState], all_ids: Sequence[str],
        latency: LatencyEstimate, now: float, proxies: int,
    ) -> BrokerState:  # fmt: skip
        """One of ``among``, which is not empty; ``all_ids`` are the brokers that proxies agree by."""
        if len(among) == 1:
            return among[0]
        reading = self._reading(request, among, all_ids, latency)
        if max(reading) - min(reading) < HERD_S:
            pair = self._rng.sample(among, 2)
            return min(pair, key=lambda each: _load_cost(each, request, latency, now, proxies))
        costs = [
            seconds + _load_cost(each, request, latency, now, proxies) + self._rng.random() * JITTER_S
            for each, seconds in zip(among, reading, strict=True)
        ]
        return among[costs.index(min(costs))]

    def _reading(
        self,
        request: AdmissionRequest,
        among: Sequence[BrokerState],
        all_ids: Sequence[str],
        latency: LatencyEstimate,
    ) -> list[float]:
        """Seconds for which each broker would read the prompt. The one at which its largest shared part
        belongs counts as having its shared parts: another proxy may have sent them, or this one should."""
        prompt = request.prompt
        if not prompt.segments:
            return [0.0] * len(among)
        part = affinity_segment(prompt)
        home = preferred_broker(part, all_ids) if part is not None else None
        shared = sum(each.tokens for each in prompt.shared_segments)
        seconds = []
        for each in among:
            kept = max(each.prefix_cache.cached_tokens(prompt), shared if each.id == home else 0)
            seconds.append(latency.prefill_s(max(prompt.input_tokens - kept, 0)))
        return seconds


def _load_cost(
    each: BrokerState, request: AdmissionRequest, latency: LatencyEstimate, now: float, proxies: int
) -> float:
    """Seconds that a broker's other requests cost this one."""
    total = each.load.total_requests(now, proxies)
    slots = max(each.load.slots, 1)
    cost = total / slots * latency.first_event_s * each.slow_start_factor(now)
    cost += max(total + 1 - slots, 0.0) / slots * QUEUE_S
    others = max(total / each.load.in_flight, 1.0) if each.load.in_flight else 1.0
    if (
        each.memory_tokens
        and each.reserved_tokens * others + request.prompt.total_tokens > each.memory_tokens
    ):
        cost += CROWDED_S
    return cost + latency.first_event_s * (each.slow_start_factor(now) - 1.0)
