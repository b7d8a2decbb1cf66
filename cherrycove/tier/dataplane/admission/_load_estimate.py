"""How many requests a broker has, from what it last told and what this proxy did since. Pure."""

from __future__ import annotations

from math import exp, inf

import attrs

from cherrycove.tier.dataplane.headers import InstanceLoad

FRESH_S = 1.0  # age up to which a report is taken as it is
FADE_S = 1.0  # in which an older one loses most of its weight to this proxy's own count
FULL_S = 0.05  # after a rejection_retry_after_s for which a broker counts as full


@attrs.define(kw_only=True)
class LoadEstimate:
    """Requests at one broker, of all proxies together."""

    slots: int
    in_flight: int = 0  # sends of this proxy that have not ended
    reported: int | None = None  # running and waiting
    reported_at: float = -inf
    in_flight_at_report: int = 0
    full_until: float = -inf

    def record_report(self, now: float, load: InstanceLoad) -> None:
        self.reported, self.reported_at, self.in_flight_at_report = (
            load.running + load.waiting,
            now,
            self.in_flight,
        )
        self.slots = load.slots or self.slots

    def record_rejection(self, now: float) -> None:
        """The broker had no room."""
        self.full_until = now + FULL_S

    def is_fresh(self, now: float) -> bool:
        return now - self.reported_at <= FRESH_S

    def total_requests(self, now: float, proxies: int) -> float:
        """Requests there now; an old report gives way to the assumption that all proxies do as this one."""
        even = float(self.in_flight * proxies)
        if self.reported is None:
            return even
        weight = exp(min(self.reported_at + FRESH_S - now, 0.0) / FADE_S)
        seen = max(self.reported + self.in_flight - self.in_flight_at_report, self.in_flight)
        return weight * seen + (1 - weight) * max(even, self.in_flight)

    def free_slots(self, now: float, proxies: int) -> float:
        """Places not taken; none just after the broker refused."""
        if now < self.full_until:
            return 0.0
        return max(self.slots - self.total_requests(now, proxies), 0.0)
