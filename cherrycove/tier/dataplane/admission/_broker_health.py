"""Health of a broker, judged by its attempts: ejected after failures, then probed. Pure."""

from __future__ import annotations

from math import inf

import attrs

INITIAL_EJECTION_S = 0.2  # after a failure; doubles with each further one until bytes of a response come
MAX_EJECTION_S = 2.0
LIVE_PROBE_DELAY_S = (
    1.0  # after an ejection, in which live requests probe it only if no other broker admits them
)
INCOMPLETE_UNTIL_EJECTION = 3  # incomplete responses in a row


@attrs.define
class BrokerHealth:
    """Passive health check of one broker; owned by its ``BrokerState``.

    States: *healthy* without consecutive failures; *ejected* until ``ejected_until`` after one; then
    *probing*: one request at a time is sent there. Any byte of a response makes it healthy again, a failure
    ejects it for longer.
    """

    consecutive_failures: int = 0
    consecutive_incomplete: int = 0
    ejected_until: float = -inf
    probe_in_flight: bool = False
    last_response_at: float = -inf

    @property
    def is_healthy(self) -> bool:
        """Whether no failure is known since its last response."""
        return self.consecutive_failures == 0

    def is_usable(self, now: float) -> bool:
        """Whether at least one request may be sent there: it is healthy, or may be probed."""
        return self.consecutive_failures == 0 or (now >= self.ejected_until and not self.probe_in_flight)

    def admits_live(self, now: float) -> bool:
        """Whether it is as good as the others for a live request."""
        if self.consecutive_failures == 0:
            return True
        return now >= self.ejected_until + LIVE_PROBE_DELAY_S and not self.probe_in_flight

    def attempt_started(self) -> None:
        """An attempt at an unhealthy broker is its probe."""
        self.probe_in_flight = self.consecutive_failures > 0

    def attempt_inconclusive(self) -> None:
        """An attempt ended without evidence for or against the broker; another one may probe it."""
        self.probe_in_flight = False

    def response_received(self, now: float) -> None:
        """Bytes of a response have come: it is healthy."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.probe_in_flight = False

    def response_completed(self) -> None:
        """A response ended as it should."""
        self.consecutive_incomplete = 0

    def response_incomplete(self, now: float) -> None:
        """A response broke off; alone that is no failure, several in a row are."""
        self.consecutive_incomplete += 1
        if self.consecutive_failures or self.consecutive_incomplete >= INCOMPLETE_UNTIL_EJECTION:
            self.attempt_failed(now)

    def attempt_failed(self, now: float) -> None:
        """It was unreachable, stalled, or not the broker that was meant: eject it."""
        self.probe_in_flight = False
        if now < self.ejected_until:
            # The attempt began before the failure that the broker is ejected for, or after a response made it
            # healthy again before the ejection was over: in both cases this failure is not counted.
            return
        self.consecutive_failures += 1
        self.ejected_until = now + min(
            INITIAL_EJECTION_S * 2 ** (self.consecutive_failures - 1), MAX_EJECTION_S
        )
