"""Arrival rates by route, which a proxy announces to the controllers. Pure."""

from __future__ import annotations

from cherrycove.scheduling.state import SlidingWindowSum

WINDOW_S = 5.0  # over which a rate is taken
MIN_WINDOW_S = 1.0  # just after the first arrival


class ArrivalRates:
    """Counts arrivals by route name in a sliding window; time is monotonic seconds. Owned by the ingress."""

    def __init__(self) -> None:
        self._arrivals: dict[str, SlidingWindowSum] = {}
        self._first_arrival_at: float | None = None

    def add(self, route: str, now: float) -> None:
        """Count one arrival."""
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        self._arrivals.setdefault(route, SlidingWindowSum(WINDOW_S)).add(now)

    def per_second(self, now: float) -> dict[str, float]:
        """Arrivals a second by route, of routes with any in the window."""
        if self._first_arrival_at is None:
            return {}
        window_s = min(max(now - self._first_arrival_at, MIN_WINDOW_S), WINDOW_S)
        rates = {route: recent.total(now) / window_s for route, recent in self._arrivals.items()}
        active = {route: rate for route, rate in rates.items() if rate > 0}
        self._arrivals = {route: self._arrivals[route] for route in active}
        return active
