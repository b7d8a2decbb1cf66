"""Decides whether a pending live request can still be answered within its client's time."""

from __future__ import annotations

from bisect import bisect_left

import attrs

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest, Reject, RejectionReason

NO_BROKER_RETRY_AFTER_S = (
    0.5  # while no broker is listed that could run the request; when one will is unknown
)
MIN_SLOT_HOLD_S = 0.001  # lower bound of the slot hold time by which the forecast divides


@attrs.frozen(kw_only=True)
class LatencyForecast:
    """Expected latency of a pending live request."""

    queue_wait_s: float  # time until its attempt starts
    first_event_s: float  # time from the start of the attempt to its first event
    is_reachable: bool = True  # whether any broker that could run the request is reachable
    retry_after_s: float  # when a client that is rejected now should come back


@attrs.frozen(kw_only=True)
class _Capacity:
    """What the brokers that could run a request offer now."""

    is_any_listed: bool
    reachable_slots: int
    next_probe_s: float  # time until the first ejected broker may be probed; 0 if none is ejected
    is_any_reachable: bool


class LatencyForecaster:
    """Forecasts the latencies of pending live requests at one moment.

    What the brokers offer is worked out once for all requests that the same brokers could run: under an
    overload hundreds of requests are pending, and all of them are forecast at each wake.
    """

    def __init__(self, state: AdmissionState, now: float) -> None:
        self._state = state
        self._now = now
        self._memory_sizes = sorted({broker.memory_tokens for broker in state.brokers.values()})
        self._capacities: dict[tuple[str, int], _Capacity] = {}

    def forecast(self, request: AdmissionRequest, ahead: int) -> LatencyForecast:
        """Return the forecast for a live request with ``ahead`` others before it.

        It assumes that all slots of the reachable brokers are taken, and that this proxy gets an equal share
        of those that become free. Until a request has been served, how long one holds a slot is unknown and
        counts as no time.
        """
        latency = self._state.latency(request.service)
        capacity = self._capacity(request)
        if not capacity.is_any_reachable:
            retry_after_s = capacity.next_probe_s if capacity.is_any_listed else NO_BROKER_RETRY_AFTER_S
            return LatencyForecast(
                queue_wait_s=capacity.next_probe_s,
                first_event_s=latency.first_event_s,
                is_reachable=False,
                retry_after_s=retry_after_s,
            )
        slot_hold_s = max(latency.slot_hold_s, MIN_SLOT_HOLD_S)
        freed_per_s = capacity.reachable_slots / slot_hold_s / self._state.proxies
        wait_s = (ahead + 1) / freed_per_s if freed_per_s else 0.0
        return LatencyForecast(queue_wait_s=wait_s, first_event_s=latency.first_event_s, retry_after_s=wait_s)

    def _capacity(self, request: AdmissionRequest) -> _Capacity:
        """Return the capacity of the brokers that could run the request, by its service and its size."""
        smaller_memories = bisect_left(self._memory_sizes, request.prompt.total_tokens)
        key = request.service, smaller_memories
        if key not in self._capacities:
            self._capacities[key] = self._measure(request)
        return self._capacities[key]

    def _measure(self, request: AdmissionRequest) -> _Capacity:
        capable = self._state.capable_brokers(request)
        reachable = [broker for broker in capable if broker.health.is_healthy]
        probes_s = (max(broker.health.ejected_until - self._now, 0.0) for broker in capable)
        return _Capacity(
            is_any_listed=bool(capable),
            reachable_slots=sum(broker.load.slots for broker in reachable),
            next_probe_s=min(probes_s, default=0.0),
            is_any_reachable=bool(reachable),
        )


def rejection(request: AdmissionRequest, now: float, forecast: LatencyForecast) -> Reject | None:
    """Return a rejection if no answer can reach the client in time; None if the request stays pending."""
    needed_s = forecast.queue_wait_s + forecast.first_event_s
    if now + needed_s <= request.first_event_due_by:
        return None
    reason = RejectionReason.FORECAST if forecast.is_reachable else RejectionReason.NO_BROKER
    return Reject(request, forecast.retry_after_s, reason)
