"""Choice among several brokers by expected time to the first event: prefill, load, memory. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._prefix_cache import affinity_segment, preferred_broker

BROKER_QUEUE_PLACE = "queue"  # ``Request.place`` of an entry in the queue of a broker
PREFILL_TIE_S = 0.01  # difference of prefill times below which load alone decides between two random choices
JITTER_S = 0.004  # random part of each cost, so that proxies with the same knowledge do not herd
MEMORY_PRESSURE_COST_S = 0.2  # of a broker whose KV cache would be over-committed
QUEUEING_COST_S = 0.5  # of requests beyond its slots, for as many as it has slots


class BrokerSelector:
    """Selects brokers for the policies of one scheduler; ``rng`` is the only source of randomness."""

    def __init__(self, state: AdmissionState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def select(self, request: AdmissionRequest, candidates: Sequence[BrokerState], now: float) -> BrokerState:
        """One of ``candidates``, which is not empty: the one in whose queue it waits, else the fastest."""
        entry = request.queue_entry
        if entry is not None and entry.place == BROKER_QUEUE_PLACE:
            for broker in candidates:
                if broker.queue is entry.node:
                    return broker
        if len(candidates) == 1:
            return candidates[0]
        return self._fastest(request, candidates, now)

    def _fastest(
        self, request: AdmissionRequest, candidates: Sequence[BrokerState], now: float
    ) -> BrokerState:
        prefill_s = self._prefill_s(request, candidates)
        if max(prefill_s) - min(prefill_s) < PREFILL_TIE_S:
            pair = self._rng.sample(candidates, 2)
            return min(pair, key=lambda broker: self._load_cost_s(broker, request, now))
        costs_s = [
            seconds + self._load_cost_s(broker, request, now) + self._rng.random() * JITTER_S
            for broker, seconds in zip(candidates, prefill_s, strict=True)
        ]
        return candidates[costs_s.index(min(costs_s))]

    def _prefill_s(self, request: AdmissionRequest, candidates: Sequence[BrokerState]) -> list[float]:
        """Time for which each candidate would process the prompt.

        The broker preferred by its largest shared segment counts as having all shared ones: another proxy may
        have sent them there, or this request should.
        """
        prompt = request.prompt
        if not prompt.segments:
            return [0.0] * len(candidates)
        latency = self._state.latency(request.service)
        preferred_id = self._preferred_id(request)
        shared_tokens = sum(segment.tokens for segment in prompt.shared_segments)
        times_s = []
        for broker in candidates:
            expected = shared_tokens if broker.instance_id == preferred_id else 0
            cached = max(broker.prefix_cache.cached_tokens(prompt), expected)
            times_s.append(latency.prefill_s(max(prompt.input_tokens - cached, 0)))
        return times_s

    def _preferred_id(self, request: AdmissionRequest) -> str | None:
        """Over all brokers that could serve it, not the candidates: on these all proxies agree."""
        segment = affinity_segment(request.prompt)
        if segment is None:
            return None
        return preferred_broker(segment, [broker.instance_id for broker in self._state.serving(request)])

    def _load_cost_s(self, broker: BrokerState, request: AdmissionRequest, now: float) -> float:
        """Time that the broker's other requests and its slow start cost this one."""
        first_event_s = self._state.latency(request.service).first_event_s
        total = broker.load.total_requests(now, self._state.proxies)
        slots = max(broker.load.slots, 1)
        cost_s = total / slots * first_event_s * broker.slow_start_factor(now)
        cost_s += max(total + 1 - slots, 0.0) / slots * QUEUEING_COST_S
        if _is_memory_overcommitted(broker, request, total):
            cost_s += MEMORY_PRESSURE_COST_S
        return cost_s + first_event_s * (broker.slow_start_factor(now) - 1.0)


def _is_memory_overcommitted(broker: BrokerState, request: AdmissionRequest, total_requests: float) -> bool:
    """Whether the request would exceed the KV cache, if other proxies' requests are like this proxy's."""
    if not broker.memory_tokens:
        return False
    scale = max(total_requests / broker.load.in_flight, 1.0) if broker.load.in_flight else 1.0
    return broker.reserved_tokens * scale + request.prompt.total_tokens > broker.memory_tokens
