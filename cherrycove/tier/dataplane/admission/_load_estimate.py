"""Estimate of a broker's load, from its last report and this proxy's own attempts. Pure."""

from __future__ import annotations

from math import exp, inf

import attrs

from cherrycove.tier.dataplane.headers import InstanceLoad

REPORT_FRESH_S = 1.0  # age up to which a report counts in full
REPORT_FADE_S = 1.0  # in which an older one decays by a factor of e in favour of this proxy's own count
FULL_AFTER_REJECTION_S = 0.05


@attrs.define(kw_only=True)
class LoadEstimate:
    """Requests at one broker, of all proxies together; owned by its ``BrokerState``."""

    slots: int
    in_flight: int = 0  # attempts of this proxy
    reported: int | None = None  # running and waiting, as the broker last reported
    reported_at: float = -inf
    in_flight_at_report: int = 0
    full_until: float = -inf

    def record_report(self, now: float, load: InstanceLoad) -> None:
        """Take over what a response's ``Instance-Load`` says."""
        self.reported = load.running + load.waiting
        self.reported_at = now
        self.in_flight_at_report = self.in_flight
        self.slots = load.slots or self.slots

    def record_rejection(self, now: float) -> None:
        """Count the broker as full for a moment, so that simultaneous requests go elsewhere."""
        self.full_until = now + FULL_AFTER_REJECTION_S

    def is_fresh(self, now: float) -> bool:
        """Whether the last report is recent enough to decide by its free slots."""
        return now - self.reported_at <= REPORT_FRESH_S

    def total_requests(self, now: float, proxies: int) -> float:
        """Requests at the broker now; without a recent report all proxies are assumed to send as this one."""
        equal_share = float(self.in_flight * proxies)
        if self.reported is None:
            return equal_share
        weight = exp(min(self.reported_at + REPORT_FRESH_S - now, 0.0) / REPORT_FADE_S)
        since_report = max(self.reported + self.in_flight - self.in_flight_at_report, self.in_flight)
        return weight * since_report + (1 - weight) * max(equal_share, self.in_flight)

    def free_slots(self, now: float, proxies: int) -> float:
        """Slots that are not taken; none just after the broker rejected a request."""
        if now < self.full_until:
            return 0.0
        return max(self.slots - self.total_requests(now, proxies), 0.0)
