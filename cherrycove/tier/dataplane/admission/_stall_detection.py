"""Detects brokers that have stopped sending while attempts are in flight there."""

from __future__ import annotations

from collections.abc import Iterator

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._latency_estimate import LatencyEstimate

MIN_STALL_TIMEOUT_S = 0.5
SLOW_FIRST_EVENT_FACTOR = 4.0  # stall timeout as a multiple of the 95th percentile of times to a first event
SINGLE_REQUEST_FACTOR = 2.0  # factor for a longer timeout if a single request is the only evidence


def restart_stall_timers(state: AdmissionState, now: float) -> None:
    """Measure silence of brokers from now on: this process did not run and could not receive anything."""
    for broker in state.brokers.values():
        broker.health.last_response_at = now


def eject_stalled(state: AdmissionState, now: float) -> Iterator[AdmissionRequest]:
    """Eject brokers that sent nothing within their stall timeout, and yield their requests in flight."""
    for broker in state.brokers.values():
        if not broker.in_flight:
            continue
        since = max(broker.health.last_response_at, min(broker.in_flight.values()))
        if now - since > _stall_timeout_s(broker, state.latency(broker.listing.service)):
            broker.health.attempt_failed(now)
            broker.health.last_response_at = now  # so the next failure is counted only after another timeout
            yield from broker.in_flight


def _stall_timeout_s(broker: BrokerState, latency: LatencyEstimate) -> float:
    timeout_s = max(MIN_STALL_TIMEOUT_S, SLOW_FIRST_EVENT_FACTOR * latency.slow_first_event_s())
    return timeout_s * SINGLE_REQUEST_FACTOR if len(broker.in_flight) == 1 else timeout_s
