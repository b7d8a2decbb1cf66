"""Detection of brokers that have stopped sending while attempts are in flight there. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest
from cherrycove.tier.dataplane.admission._latency_estimate import LatencyEstimate

MIN_STALL_TIMEOUT_S = 0.5
SLOW_FIRST_EVENT_FACTOR = 4.0
SINGLE_REQUEST_FACTOR = 2.0  # longer where one request alone is the evidence


def restart_stall_timers(state: AdmissionState, now: float) -> None:
    """Count silence from now on: this process itself did not run, so earlier silence proves nothing."""
    for broker in state.brokers.values():
        broker.health.last_response_at = now


def eject_stalled(state: AdmissionState, now: float) -> Iterator[AdmissionRequest]:
    """Eject brokers that sent nothing for longer than their stall timeout; yield what is in flight there."""
    for broker in state.brokers.values():
        if not broker.in_flight:
            continue
        since = max(broker.health.last_response_at, min(broker.in_flight.values()))
        if now - since > _stall_timeout_s(broker, state.latency(broker.listing.service)):
            broker.health.attempt_failed(now)
            broker.health.last_response_at = now  # the next failure only after a further timeout
            yield from broker.in_flight


def _stall_timeout_s(broker: BrokerState, latency: LatencyEstimate) -> float:
    timeout_s = max(MIN_STALL_TIMEOUT_S, SLOW_FIRST_EVENT_FACTOR * latency.slow_first_event_s())
    return timeout_s * SINGLE_REQUEST_FACTOR if len(broker.in_flight) == 1 else timeout_s
