"""Whether a broker answers: rests after failures, tried by one request at a time. Pure."""

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
class Health:
    """What the sends to one broker showed of it."""

    failures: int = 0  # in a row
    breaks: int = 0  # in a row
    rest_until: float = -inf
    trial: bool = False  # one request is out to see whether it answers again
    heard_at: float = -inf

    def usable(self, now: float) -> bool:
        """Whether one request at least may be sent there."""
        return self.failures == 0 or (now >= self.rest_until and not self.trial)

    def trusted(self, now: float) -> bool:
        """Whether it is as good as the others for a live request."""
        return self.failures == 0 or (now >= self.rest_until + BATCH_TRIAL_S and not self.trial)

    def sent(self) -> None:
        self.trial = self.failures > 0

    def heard(self, now: float) -> None:
        """Bytes of an answer have come."""
        self.heard_at = now
        self.failures, self.trial = 0, False

    def served(self) -> None:
        self.breaks = 0

    def broke(self, now: float) -> None:
        self.breaks += 1
        if self.failures or self.breaks >= BREAKS_UNTIL_REST:
            self.failed(now)

    def failed(self, now: float) -> None:
        """It could not be reached, is silent, or is not the broker that was meant."""
        self.trial = False
        if now < self.rest_until:
            return  # sent before the failure that it rests from
        self.failures += 1
        self.rest_until = now + min(FIRST_REST_S * 2 ** (self.failures - 1), LONGEST_REST_S)


def silence_limit(usual_s: float, waiting: int) -> float:
    """How long a broker at which ``waiting`` requests are out may say nothing."""
    limit = max(LEAST_SILENCE_S, SILENCE_FACTOR * usual_s)
    return limit * LONE_FACTOR if waiting == 1 else limit
