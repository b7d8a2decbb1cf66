"""Finding brokers that have gone silent while requests are out there. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_health import stall_timeout_s
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


def discount_process_stall(roster: AdmissionState, now: float) -> None:
    """This process itself did nothing for a while: silence until now proves nothing."""
    for state in roster.brokers.values():
        state.health.last_response_at = now


def detect_stalls(roster: AdmissionState, now: float) -> Iterator[AdmissionRequest]:
    """Tickets at brokers that say nothing for longer than usual; those brokers rest from now on."""
    for state in roster.brokers.values():
        if not state.in_flight:
            continue
        since = max(state.health.last_response_at, min(state.in_flight.values()))
        limit = stall_timeout_s(
            roster.latency(state.broker.service).slow_first_event_s(), len(state.in_flight)
        )
        if now - since > limit:
            state.health.attempt_failed(now)
            state.health.last_response_at = now  # so long again until the next failure
            yield from state.in_flight
