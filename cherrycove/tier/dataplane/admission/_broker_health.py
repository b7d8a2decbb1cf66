"""Whether a broker answers: rests after consecutive_failures, tried by one request at a time. Pure."""

from __future__ import annotations

from math import inf

import attrs

FIRST_REST_S = 0.2  # after a failure; doubles with each further one
LONGEST_REST_S = 2.0
BATCH_TRIAL_S = 1.0  # behind a rest in which only batch items try the broker, if others take live requests
BREAKS_UNTIL_REST = 3  # answers in a row that broke off
LEAST_SILENCE_S = 0.5  # before a broker can count as silent
SILENCE_FACTOR = 4.0  # times the usual time to a first event
LONE_FACTOR = 2.0  # more of it where only one request waits there


@attrs.define
class BrokerHealth:
    """What the sends to one broker showed of it."""

    consecutive_failures: int = 0  # in a row
    consecutive_incomplete: int = 0  # in a row
    ejected_until: float = -inf
    probe_in_flight: bool = False  # one request is out to see whether it answers again
    last_response_at: float = -inf

    def is_usable(self, now: float) -> bool:
        """Whether one request at least may be sent there."""
        return self.consecutive_failures == 0 or (now >= self.ejected_until and not self.probe_in_flight)

    def admits_live(self, now: float) -> bool:
        """Whether it is as good as the others for a live request."""
        return self.consecutive_failures == 0 or (
            now >= self.ejected_until + BATCH_TRIAL_S and not self.probe_in_flight
        )

    def attempt_started(self) -> None:
        self.probe_in_flight = self.consecutive_failures > 0

    def response_received(self, now: float) -> None:
        """Bytes of an answer have come."""
        self.last_response_at = now
        self.consecutive_failures, self.probe_in_flight = 0, False

    def response_completed(self) -> None:
        self.consecutive_incomplete = 0

    def response_incomplete(self, now: float) -> None:
        self.consecutive_incomplete += 1
        if self.consecutive_failures or self.consecutive_incomplete >= BREAKS_UNTIL_REST:
            self.attempt_failed(now)

    def attempt_failed(self, now: float) -> None:
        """It could not be reached, is silent, or is not the broker that was meant."""
        self.probe_in_flight = False
        if now < self.ejected_until:
            return  # sent before the failure that it rests from
        self.consecutive_failures += 1
        self.ejected_until = now + min(FIRST_REST_S * 2 ** (self.consecutive_failures - 1), LONGEST_REST_S)


def stall_timeout_s(usual_first_event_s: float, waiting: int) -> float:
    """How long a broker at which ``waiting`` requests are out may say nothing."""
    limit = max(LEAST_SILENCE_S, SILENCE_FACTOR * usual_first_event_s)
    return limit * LONE_FACTOR if waiting == 1 else limit
