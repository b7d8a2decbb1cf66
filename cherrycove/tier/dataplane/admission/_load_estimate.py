"""Estimates a broker's load from its last load report and this proxy's own attempts."""

from __future__ import annotations

from math import exp, inf

import attrs

from cherrycove.tier.dataplane.headers import InstanceLoad

REPORT_FRESH_S = 1.0  # age up to which a load report has its full weight
# Time in which the weight of an older report decays by a factor of e, in favour of this proxy's own count.
REPORT_DECAY_S = 1.0
FULL_AFTER_REJECTION_S = 0.05  # time for which a broker counts as full after it rejected a request


@attrs.define(kw_only=True)
class LoadEstimate:
    """Estimates the requests of all proxies at one broker; owned by its ``BrokerState``."""

    slots: int
    in_flight: int = 0  # attempts of this proxy in flight
    reported: int | None = None  # running and waiting requests by the last load report; None: no report
    reported_at: float = -inf
    in_flight_at_report: int = 0  # this proxy's attempts in flight when the report was received
    full_until: float = -inf  # until then the broker counts as full, after a rejection

    def record_report(self, now: float, load: InstanceLoad) -> None:
        """Apply the load report in a response's ``Instance-Load`` header."""
        self.reported = load.running + load.waiting
        self.reported_at = now
        self.in_flight_at_report = self.in_flight
        self.slots = load.slots or self.slots

    def record_rejection(self, now: float) -> None:
        """Treat the broker as full for a short time, so that simultaneous requests go to other brokers."""
        self.full_until = now + FULL_AFTER_REJECTION_S

    def is_fresh(self, now: float) -> bool:
        """Whether the last load report is recent enough for its free slots to be relied on."""
        return now - self.reported_at <= REPORT_FRESH_S

    def total_requests(self, now: float, proxies: int) -> float:
        """Estimate the number of requests at the broker now.

        Without a recent load report, every proxy is assumed to have as many there as this one.
        """
        equal_share = float(self.in_flight * proxies)
        if self.reported is None:
            return equal_share
        weight = exp(min(self.reported_at + REPORT_FRESH_S - now, 0.0) / REPORT_DECAY_S)
        since_report = max(self.reported + self.in_flight - self.in_flight_at_report, self.in_flight)
        return weight * since_report + (1 - weight) * max(equal_share, self.in_flight)

    def free_slots(self, now: float, proxies: int) -> float:
        """Estimate the number of free slots; 0 just after the broker rejected a request."""
        if now < self.full_until:
            return 0.0
        return max(self.slots - self.total_requests(now, proxies), 0.0)
