"""Updates the state of brokers from their attempts: first events, load reports, outcomes, stalls."""

from __future__ import annotations

from math import inf

from cherrycove.tier.dataplane.admission import _concurrency_limit
from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import (
    Action,
    AdmissionRequest,
    AttemptOutcome,
    CancelStalledAttempt,
)
from cherrycove.tier.dataplane.admission._stall_detection import eject_stalled, restart_stall_timers
from cherrycove.tier.dataplane.headers import InstanceLoad

# For this long after a stall of this process, failed connections and timeouts are not counted against a
# broker, since the stall may have caused them.
STALL_GRACE_S = 0.5
# For this long after an attempt with the given outcome, the request is not sent to the same broker again.
EXCLUSION_S = {
    AttemptOutcome.REJECTED: 0.1,
    AttemptOutcome.UNREACHABLE: 0.2,
    AttemptOutcome.MISDIRECTED: 1.0,
    AttemptOutcome.VERSION_MISMATCH: 1.0,
    AttemptOutcome.INCOMPLETE: 0.3,
    AttemptOutcome.STALLED: 1.0,
}


class AttemptFeedback:
    """Updates the health, load and latency estimates of brokers from the attempts in flight there."""

    def __init__(self, state: AdmissionState) -> None:
        self._state = state
        self._process_stalled_at = -inf

    def response_started(self, now: float, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        """Record that the head of a response was received, with the broker's load report if it had one."""
        broker = self._state.attempts.get(request)
        if broker is None:
            return
        broker.health.response_received(now)
        if load is not None:
            broker.load.record_report(now, load)

    def body_received(self, now: float, request: AdmissionRequest) -> None:
        """Record that bytes of a response body were received; the first ones count as the first event."""
        broker = self._state.attempts.get(request)
        if broker is None:
            return
        broker.health.response_received(now)
        if request in broker.awaiting_first_event:
            broker.awaiting_first_event.discard(request)
            self._record_first_event(broker, request, now - broker.in_flight[request])

    def attempt_ended(self, now: float, request: AdmissionRequest, outcome: AttemptOutcome) -> bool:
        """Record the end of an attempt; returns False if the attempt is not in flight."""
        broker = self._state.attempts.pop(request, None)
        if broker is None:
            return False
        started_at = broker.end_attempt(request)
        request.excluded_until[broker.instance_id] = now + EXCLUSION_S.get(outcome, 0.0)
        self._update_health(broker, outcome, now)
        if outcome is AttemptOutcome.SERVED:
            self._state.latency(request.service).record_slot_hold(now - started_at)
        return True

    def process_stalled(self, now: float) -> None:
        """Record a stall of this process: brokers that seemed silent or unreachable may not have been."""
        self._process_stalled_at = now
        restart_stall_timers(self._state, now)

    def cancel_stalled(self, now: float) -> list[Action]:
        """Eject stalled brokers, and return the actions that cancel their attempts."""
        return [CancelStalledAttempt(request) for request in eject_stalled(self._state, now)]

    def _record_first_event(self, broker: BrokerState, request: AdmissionRequest, latency_s: float) -> None:
        prompt = request.prompt
        shared_tokens = sum(segment.tokens for segment in prompt.shared_segments)
        latency = self._state.latency(request.service)
        latency.record_first_event(latency_s, prompt.input_tokens - shared_tokens)
        if not request.is_batch:
            _concurrency_limit.record_first_event(broker, request.route, latency_s)

    def _update_health(self, broker: BrokerState, outcome: AttemptOutcome, now: float) -> None:
        """Update the broker's health, and its load estimate after a rejection."""
        health = broker.health
        match outcome:
            case AttemptOutcome.SERVED:
                health.response_completed()
            case AttemptOutcome.REJECTED:
                health.response_received(now)
                broker.load.record_rejection(now)
            case AttemptOutcome.INCOMPLETE:
                health.response_incomplete(now)
            case AttemptOutcome.CANCELLED:
                health.attempt_inconclusive()
            case AttemptOutcome.VERSION_MISMATCH:
                health.response_received(now)
            case _ if now - self._process_stalled_at < STALL_GRACE_S:
                health.attempt_inconclusive()
            case _:
                health.attempt_failed(now)
