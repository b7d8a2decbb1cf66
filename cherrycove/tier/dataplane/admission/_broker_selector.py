"""Selects among brokers by the expected time to the first event, from prefill, load and memory use."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._prefix_cache import affinity_segment, preferred_broker

BROKER_QUEUE_PLACE = "queue"  # value of ``Request.place`` while the entry is in a broker's queue
# If the prefill times of all candidates differ by less than this, the less loaded of two random candidates is
# selected.
PREFILL_TIE_S = 0.01
# Upper bound of the random part of each cost, which keeps proxies with the same information from all
# selecting the same broker.
JITTER_S = 0.004
MEMORY_PRESSURE_COST_S = 0.2  # cost of a broker whose KV cache the request would over-commit
QUEUEING_COST_S = 0.5  # cost of a queue at the broker that is as long as its number of slots


class BrokerSelector:
    """Selects brokers for the policies of one scheduler; ``rng`` is its only source of randomness."""

    def __init__(self, state: AdmissionState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def select(self, request: AdmissionRequest, candidates: Sequence[BrokerState], now: float) -> BrokerState:
        """Return one of ``candidates``, which must not be empty.

        This is the broker in whose queue the request waits, if it is a candidate, otherwise the fastest one.
        """
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
        """Estimate the time in seconds that each candidate would take to process the prompt.

        The broker that the prompt's largest shared segment prefers is assumed to have cached all shared
        segments: another proxy may have sent them there, and if not, this request should.
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
        """Return the instance id of the preferred broker; None if the prompt has no shared segment.

        It is chosen from all capable brokers rather than the candidates, so that all proxies agree on it.
        """
        segment = affinity_segment(request.prompt)
        if segment is None:
            return None
        return preferred_broker(
            segment, [broker.instance_id for broker in self._state.capable_brokers(request)]
        )

    def _load_cost_s(self, broker: BrokerState, request: AdmissionRequest, now: float) -> float:
        """Estimate the delay of this request by the broker's other requests, memory use and slow start."""
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
