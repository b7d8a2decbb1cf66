"""Decides whether a pending live request can still be served in time or should be rejected now."""

from __future__ import annotations

import attrs

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest, Reject, RejectionReason

# docs/design/admission.md ("Rejections") gives the reasons for these values.
# Within this fraction of the target latency, a client's first request is rejected if the forecast exceeds the
# target.
DECISION_FRACTION = 0.22
# After this fraction of the target latency, a request is rejected if no broker is reachable.
NO_BROKER_FRACTION = 0.12
# After this fraction of the client's timeout, a request that was never sent to a broker is rejected.
MAX_WAIT_FRACTION = 0.45
# Fraction of the remaining time that is sent as Retry-After. Clients wait for at most a third of that time.
RETRY_AFTER_FRACTION = 0.3
MAX_NO_BROKER_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 0.3  # after attempts that came to nothing, or at the deadline
MIN_SLOT_HOLD_S = 0.001  # lower bound of the slot hold time by which the forecast divides


@attrs.frozen(kw_only=True)
class LatencyForecast:
    """Expected latency of a pending live request."""

    queue_wait_s: float  # time until its attempt starts
    first_event_s: float  # time from the start of the attempt to its first event
    is_reachable: bool  # whether any broker that could run the request is reachable
    is_retry: bool  # a guess from its timeout (``RouteState.is_retry``)


def forecast_latency(state: AdmissionState, request: AdmissionRequest, ahead: int) -> LatencyForecast:
    """Return the forecast for a live request with ``ahead`` others before it.

    It assumes that all slots of the reachable brokers are taken, and that this proxy gets an equal share of
    those that become free.
    """
    latency = state.latency(request.service)
    reachable = [
        broker for broker in state.capable_brokers(request) if not broker.health.consecutive_failures
    ]
    slots = sum(broker.load.slots for broker in reachable)
    freed_per_s = slots / max(latency.slot_hold_s, MIN_SLOT_HOLD_S) / state.proxies
    return LatencyForecast(
        queue_wait_s=(ahead + 1) / freed_per_s if freed_per_s else 0.0,
        first_event_s=latency.first_event_s,
        is_reachable=bool(reachable),
        is_retry=state.routes[request.route].is_retry(request),
    )


def rejection(request: AdmissionRequest, now: float, forecast: LatencyForecast) -> Reject | None:
    """Return a rejection if the request should be rejected now; None if it stays pending."""
    waited_s = now - request.arrived_at
    left_s = max(request.deadline - now, 0.0)
    retry_after_s = RETRY_AFTER_FRACTION * left_s
    is_last_chance = forecast.is_retry or bool(request.attempts)
    if not is_last_chance and waited_s >= MAX_WAIT_FRACTION * request.client_timeout_s:
        # A rejection now leaves the client time for one retry.
        return Reject(request, retry_after_s, RejectionReason.WAITED_TOO_LONG)
    if not forecast.is_reachable:
        if forecast.is_retry or waited_s < NO_BROKER_FRACTION * request.target_latency_s:
            return None
        bounded_s = min(MAX_NO_BROKER_RETRY_AFTER_S, retry_after_s)
        return Reject(request, bounded_s, RejectionReason.NO_BROKER)
    if _is_too_late(request, now, forecast, is_last_chance=is_last_chance):
        return Reject(request, retry_after_s, RejectionReason.FORECAST)
    return None


def advised_retry_after_s(request: AdmissionRequest, now: float) -> float:
    """Return the ``Retry-After`` for a request that was not executed and that no rejection has ended."""
    left_s = max(request.arrived_at + request.client_timeout_s - now, 0.0)
    return min(RETRY_AFTER_FRACTION * left_s, MAX_RETRY_AFTER_S)


def _is_too_late(
    request: AdmissionRequest, now: float, forecast: LatencyForecast, *, is_last_chance: bool
) -> bool:
    """Whether the forecast makes a rejection now preferable to further waiting."""
    needed_s = forecast.queue_wait_s + forecast.first_event_s
    if is_last_chance:
        return needed_s > max(request.deadline - now, 0.0)
    left_to_target_s = request.arrived_at + request.target_latency_s - now
    is_early = now - request.arrived_at <= DECISION_FRACTION * request.target_latency_s
    return is_early and needed_s > left_to_target_s
