"""Passive health check of a broker: it is ejected after failed attempts, and later probed."""

from __future__ import annotations

from math import inf

import attrs

INITIAL_EJECTION_S = 0.2  # doubles with each consecutive failure until bytes of a response are received
MAX_EJECTION_S = 2.0
# For this long after an ejection ends, live requests probe the broker only if no other broker admits them.
LIVE_PROBE_DELAY_S = 1.0
INCOMPLETE_UNTIL_EJECTION = 3  # consecutive incomplete responses that count as a failure


@attrs.define
class BrokerHealth:
    """Health of one broker, derived from its attempts; owned by its ``BrokerState``.

    States: *healthy* while there are no consecutive failures; *ejected* after a failure, until
    ``ejected_until``; then *probing*, in which one request at a time is sent there. Any byte of a response
    makes it healthy again; a further failure ejects it for longer.
    """

    consecutive_failures: int = 0
    consecutive_incomplete: int = 0
    ejected_until: float = -inf
    probe_in_flight: bool = False
    last_response_at: float = -inf

    @property
    def is_healthy(self) -> bool:
        """Whether no failure has been counted since the last response."""
        return self.consecutive_failures == 0

    def is_usable(self, now: float) -> bool:
        """Whether at least one request may be sent there now: the broker is healthy or may be probed."""
        return self.consecutive_failures == 0 or (now >= self.ejected_until and not self.probe_in_flight)

    def admits_live(self, now: float) -> bool:
        """Whether live requests treat the broker as equal to healthy ones."""
        if self.consecutive_failures == 0:
            return True
        return now >= self.ejected_until + LIVE_PROBE_DELAY_S and not self.probe_in_flight

    def attempt_started(self) -> None:
        """Record that an attempt starts; at an unhealthy broker it is the probe."""
        self.probe_in_flight = self.consecutive_failures > 0

    def attempt_inconclusive(self) -> None:
        """Record that an attempt ended without evidence for or against the broker; it may be probed again."""
        self.probe_in_flight = False

    def response_received(self, now: float) -> None:
        """Record that bytes of a response were received, which makes the broker healthy."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.probe_in_flight = False

    def response_completed(self) -> None:
        """Record that a response was complete."""
        self.consecutive_incomplete = 0

    def response_incomplete(self, now: float) -> None:
        """Record that a response ended early; at a healthy broker only several in a row are a failure."""
        self.consecutive_incomplete += 1
        if self.consecutive_failures or self.consecutive_incomplete >= INCOMPLETE_UNTIL_EJECTION:
            self.attempt_failed(now)

    def attempt_failed(self, now: float) -> None:
        """Eject the broker: it was unreachable, stalled, or another broker listens at its address."""
        self.probe_in_flight = False
        if now < self.ejected_until:
            # The attempt started before the failure that caused the ejection, or after a response made the
            # broker healthy again before the ejection ended. In both cases this failure is not counted.
            return
        self.consecutive_failures += 1
        self.ejected_until = now + min(
            INITIAL_EJECTION_S * 2 ** (self.consecutive_failures - 1), MAX_EJECTION_S
        )
