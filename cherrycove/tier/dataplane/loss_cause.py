"""Why a request was not answered in time: its timeline, and the one cause that it counts for. Pure."""

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

PREFILL_FRACTION = 0.5  # of the time to a first event, from which expected prefill counts as its cause


class LossCause(Enum):
    """The closed list of causes, by which losses are counted.

    A credit is none of them: a request never waits for one while a broker has capacity.
    """

    WAITED_NO_BROKER = "waited_no_broker"
    WAITED_EJECTED = "waited_ejected"
    WAITED_CONNECTION = "waited_connection"
    WAITED_SLOT = "waited_slot"
    REJECTED_FORECAST = "rejected_forecast"
    REJECTED_NO_BROKER = "rejected_no_broker"
    REJECTED_WAITED = "rejected_waited"
    REJECTED_NOT_CONFIGURED = "rejected_not_configured"
    BROKER_COLD_PREFIX = "broker_cold_prefix"  # prefill, most of it of shared segments
    BROKER_PREFILL = "broker_prefill"
    BROKER_QUEUE = "broker_queue"  # a late first event that prefill does not explain
    BROKER_PAUSE = "broker_pause"  # a pause within a stream that ran at one broker
    ATTEMPT_REJECTED = "attempt_rejected"
    ATTEMPT_UNREACHABLE = "attempt_unreachable"
    ATTEMPT_MISDIRECTED = "attempt_misdirected"
    ATTEMPT_VERSION_MISMATCH = "attempt_version_mismatch"
    ATTEMPT_INCOMPLETE = "attempt_incomplete"
    ATTEMPT_STALLED = "attempt_stalled"
    CLIENT_LEFT = "client_left"
    BROKER_FAILURE = "broker_failure"  # the broker's own answer was a failure
    DRAINING = "draining"  # this proxy is leaving
    STORE_UNREACHABLE = "store_unreachable"  # a call for a batch job found no primary store
    LEASED_LATE = "leased_late"  # a batch item came here with too little time left


_WAITED = {
    PendingCause.NO_BROKER: LossCause.WAITED_NO_BROKER,
    PendingCause.EJECTED: LossCause.WAITED_EJECTED,
    PendingCause.NO_CONNECTION: LossCause.WAITED_CONNECTION,
    PendingCause.NO_SLOT: LossCause.WAITED_SLOT,
}
_REJECTED = {
    RejectionReason.FORECAST: LossCause.REJECTED_FORECAST,
    RejectionReason.NO_BROKER: LossCause.REJECTED_NO_BROKER,
    RejectionReason.WAITED_TOO_LONG: LossCause.REJECTED_WAITED,
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
    """What happened to one request when; times are monotonic seconds. Owned by the task that serves it."""

    due_at: float  # of the first event, or of the last one of a batch item
    pause_target_s: float = inf  # between two events
    is_batch: bool = False
    _spent_s: dict[LossCause, float] = attrs.field(factory=dict, init=False)
    _pause_cause: LossCause | None = attrs.field(default=None, init=False)
    _final: LossCause | None = attrs.field(default=None, init=False)  # what ended it without an answer
    _waiting_since: float = attrs.field(default=inf, init=False)
    _attempt_started_at: float = attrs.field(default=inf, init=False)
    _attempt_cause: LossCause = attrs.field(default=LossCause.BROKER_QUEUE, init=False)
    _prefill_s: float = attrs.field(default=0.0, init=False)
    _first_event_at: float = attrs.field(default=inf, init=False)
    _last_event_at: float = attrs.field(default=inf, init=False)
    _last_failure: LossCause | None = attrs.field(default=None, init=False)

    def wait_started(self, now: float) -> None:
        """It waits for a permit."""
        self._waiting_since = now

    def wait_ended(self, now: float, cause: PendingCause | None) -> None:
        """It waits no more: it has a permit, or its task was cancelled; None: it did not have to wait."""
        if cause is not None:
            self._spend(_WAITED[cause], now - self._waiting_since)

    def attempt_started(self, now: float, request: AdmissionRequest, prefill_s: float) -> None:
        """It has a permit; ``prefill_s`` is the expected time for the prompt's uncached tokens."""
        self.wait_ended(now, request.pending_cause)
        self._attempt_started_at = now
        self._prefill_s = prefill_s
        is_cold = 2 * request.uncached_shared_tokens > request.uncached_tokens
        self._attempt_cause = LossCause.BROKER_COLD_PREFIX if is_cold else LossCause.BROKER_PREFILL

    def event_received(self, now: float) -> None:
        """Bytes of a body came."""
        if self._first_event_at == inf:
            self._first_event_at = now
            self._spend_first_event(now - self._attempt_started_at)
        elif now - self._last_event_at > self.pause_target_s and self._pause_cause is None:
            self._pause_cause = self._last_failure or LossCause.BROKER_PAUSE
        self._last_event_at = now

    def attempt_ended(self, now: float, outcome: AttemptOutcome) -> None:
        """The attempt is over."""
        cause = _FAILED.get(outcome)
        if cause is not None:
            self._last_failure = cause
            self._spend(cause, now - self._attempt_started_at)
        elif outcome is AttemptOutcome.CANCELLED and self._first_event_at == inf:
            self._spend_first_event(now - self._attempt_started_at)

    def client_left(self) -> None:
        """Its client closed the connection."""
        self._final = LossCause.CLIENT_LEFT

    def broker_failed(self) -> None:
        """A broker answered it with a failure of its own."""
        self._final = LossCause.BROKER_FAILURE

    def rejected(self, reason: RejectionReason) -> None:
        """It is not attempted any more."""
        self._final = _REJECTED[reason]

    def loss(self, now: float, *, is_complete: bool) -> LossCause | None:
        """The cause for which it counts, at its end; None if it was answered in time."""
        answered_at = now if self.is_batch else self._first_event_at
        if is_complete and answered_at <= self.due_at:
            return self._pause_cause
        if not is_complete and (self._final or self._last_failure) is not None:
            return self._final or self._last_failure
        if self.is_batch and sum(self._spent_s.values()) < now - self.due_at:
            return LossCause.LEASED_LATE
        return max(self._spent_s, key=lambda cause: self._spent_s[cause], default=LossCause.BROKER_QUEUE)

    def _spend_first_event(self, first_event_s: float) -> None:
        prefill_s = min(self._prefill_s, first_event_s)
        is_prefill = prefill_s >= PREFILL_FRACTION * first_event_s
        self._spend(self._attempt_cause if is_prefill else LossCause.BROKER_QUEUE, first_event_s)

    def _spend(self, cause: LossCause, seconds: float) -> None:
        self._spent_s[cause] = self._spent_s.get(cause, 0.0) + seconds
