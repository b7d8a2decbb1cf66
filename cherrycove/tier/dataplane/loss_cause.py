"""Why a request was lost, that is, not answered in time: its timeline and its single cause.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from enum import Enum
from math import inf

import attrs

from cherrycove.tier.dataplane.admission import (
    AdmissionRequest,
    AttemptOutcome,
    PendingCause,
    RejectionReason,
)

PREFILL_FRACTION = 0.5  # of the time to the first event; from this share on, prefill is its cause


class LossCause(Enum):
    """The closed list of causes by which losses are counted.

    Waiting for a credit is not a cause: a request never waits for one while a broker has capacity.
    """

    WAITED_NO_BROKER = "waited_no_broker"
    WAITED_EJECTED = "waited_ejected"
    WAITED_CONNECTION = "waited_connection"
    WAITED_SLOT = "waited_slot"
    REJECTED_FORECAST = "rejected_forecast"
    REJECTED_NO_BROKER = "rejected_no_broker"
    REJECTED_NOT_CONFIGURED = "rejected_not_configured"
    BROKER_COLD_PREFIX = "broker_cold_prefix"  # prefill, most of it for shared segments that were not cached
    BROKER_PREFILL = "broker_prefill"
    BROKER_QUEUE = "broker_queue"  # a late first event that prefill does not explain
    BROKER_PAUSE = "broker_pause"  # a pause within a stream at a single broker
    ATTEMPT_REJECTED = "attempt_rejected"
    ATTEMPT_UNREACHABLE = "attempt_unreachable"
    ATTEMPT_MISDIRECTED = "attempt_misdirected"
    ATTEMPT_VERSION_MISMATCH = "attempt_version_mismatch"
    ATTEMPT_INCOMPLETE = "attempt_incomplete"
    ATTEMPT_STALLED = "attempt_stalled"
    CLIENT_LEFT = "client_left"
    BROKER_FAILURE = "broker_failure"  # the broker responded with an error
    DRAINING = "draining"  # rejected because this proxy is shutting down
    STORE_UNREACHABLE = "store_unreachable"  # a batch API call found no primary store
    LEASED_LATE = "leased_late"  # a batch item was leased with too little time left


_WAITED = {
    PendingCause.NO_BROKER: LossCause.WAITED_NO_BROKER,
    PendingCause.EJECTED: LossCause.WAITED_EJECTED,
    PendingCause.NO_CONNECTION: LossCause.WAITED_CONNECTION,
    PendingCause.NO_SLOT: LossCause.WAITED_SLOT,
}
_REJECTED = {
    RejectionReason.FORECAST: LossCause.REJECTED_FORECAST,
    RejectionReason.NO_BROKER: LossCause.REJECTED_NO_BROKER,
    RejectionReason.NOT_CONFIGURED: LossCause.REJECTED_NOT_CONFIGURED,
}
_FAILED = {
    AttemptOutcome.REJECTED: LossCause.ATTEMPT_REJECTED,
    AttemptOutcome.UNREACHABLE: LossCause.ATTEMPT_UNREACHABLE,
    AttemptOutcome.MISDIRECTED: LossCause.ATTEMPT_MISDIRECTED,
    AttemptOutcome.VERSION_MISMATCH: LossCause.ATTEMPT_VERSION_MISMATCH,
    AttemptOutcome.INCOMPLETE: LossCause.ATTEMPT_INCOMPLETE,
    AttemptOutcome.STALLED: LossCause.ATTEMPT_STALLED,
}


@attrs.define(eq=False, kw_only=True)
class RequestTimeline:
    """The waits, attempts and stream events of one request; owned by the task that serves it.

    Times are monotonic seconds.
    """

    due_at: float  # target for the first event, or for the last event of a batch item
    pause_target_s: float = inf  # target for the time between two events
    is_batch: bool = False
    _seconds_by_cause: dict[LossCause, float] = attrs.field(factory=dict, init=False)
    _pause_cause: LossCause | None = attrs.field(default=None, init=False)
    _terminal_cause: LossCause | None = attrs.field(default=None, init=False)  # what ended it unsuccessfully
    _waiting_since: float = attrs.field(default=inf, init=False)
    _attempt_started_at: float = attrs.field(default=inf, init=False)
    _attempt_cause: LossCause = attrs.field(default=LossCause.BROKER_QUEUE, init=False)
    _prefill_s: float = attrs.field(default=0.0, init=False)
    _first_event_at: float = attrs.field(default=inf, init=False)
    _last_event_at: float = attrs.field(default=inf, init=False)
    _last_failure: LossCause | None = attrs.field(default=None, init=False)

    def wait_started(self, now: float) -> None:
        """Record that the request began to wait for a permit."""
        self._waiting_since = now

    def wait_ended(self, now: float, cause: PendingCause | None) -> None:
        """Record the end of a wait, by a permit or a cancellation; ``cause`` is None if there was no wait."""
        if cause is not None:
            self._add_time(_WAITED[cause], now - self._waiting_since)

    def attempt_started(self, now: float, request: AdmissionRequest, prefill_s: float) -> None:
        """Record the permit; ``prefill_s`` is the expected prefill time of the prompt's uncached tokens."""
        self.wait_ended(now, request.pending_cause)
        self._attempt_started_at = now
        self._prefill_s = prefill_s
        is_cold = 2 * request.uncached_shared_tokens > request.uncached_tokens
        self._attempt_cause = LossCause.BROKER_COLD_PREFIX if is_cold else LossCause.BROKER_PREFILL

    def event_received(self, now: float) -> None:
        """Record that bytes of a response body were received."""
        if self._first_event_at == inf:
            self._first_event_at = now
            self._add_first_event_time(now - self._attempt_started_at)
        elif now - self._last_event_at > self.pause_target_s and self._pause_cause is None:
            self._pause_cause = self._last_failure or LossCause.BROKER_PAUSE
        self._last_event_at = now

    def attempt_ended(self, now: float, outcome: AttemptOutcome) -> None:
        """Record the end of the attempt."""
        cause = _FAILED.get(outcome)
        if cause is not None:
            self._last_failure = cause
            self._add_time(cause, now - self._attempt_started_at)
        elif outcome is AttemptOutcome.CANCELLED and self._first_event_at == inf:
            self._add_first_event_time(now - self._attempt_started_at)

    def client_disconnected(self) -> None:
        """Record that the client closed the connection."""
        self._terminal_cause = LossCause.CLIENT_LEFT

    def broker_failed(self) -> None:
        """Record that a broker responded with an error."""
        self._terminal_cause = LossCause.BROKER_FAILURE

    def rejected(self, reason: RejectionReason) -> None:
        """Record that admission rejected the request."""
        self._terminal_cause = _REJECTED[reason]

    def loss(self, now: float, *, is_complete: bool) -> LossCause | None:
        """The cause of the loss at the end of the request; None if no event was late."""
        answered_at = now if self.is_batch else self._first_event_at
        if is_complete and answered_at <= self.due_at:
            return self._pause_cause
        if not is_complete and (self._terminal_cause or self._last_failure) is not None:
            return self._terminal_cause or self._last_failure
        if self.is_batch and sum(self._seconds_by_cause.values()) < now - self.due_at:
            return LossCause.LEASED_LATE
        return max(
            self._seconds_by_cause,
            key=lambda cause: self._seconds_by_cause[cause],
            default=LossCause.BROKER_QUEUE,
        )

    def _add_first_event_time(self, first_event_s: float) -> None:
        prefill_s = min(self._prefill_s, first_event_s)
        is_prefill = prefill_s >= PREFILL_FRACTION * first_event_s
        self._add_time(self._attempt_cause if is_prefill else LossCause.BROKER_QUEUE, first_event_s)

    def _add_time(self, cause: LossCause, seconds: float) -> None:
        self._seconds_by_cause[cause] = self._seconds_by_cause.get(cause, 0.0) + seconds
