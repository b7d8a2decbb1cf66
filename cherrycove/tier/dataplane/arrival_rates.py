"""Arrival rates by route, which a proxy reports to the controllers. Performs no I/O and reads no clock."""

from __future__ import annotations

from cherrycove.scheduling.state import SlidingWindowSum

WINDOW_S = 5.0  # length of the sliding window
MIN_WINDOW_S = 1.0  # lower bound while less than WINDOW_S has passed since the first arrival


class ArrivalRates:
    """Counts arrivals by route in a sliding window; times are monotonic seconds. Owned by the ``Ingress``."""

    def __init__(self) -> None:
        self._arrivals: dict[str, SlidingWindowSum] = {}
        self._first_arrival_at: float | None = None

    def add(self, route: str, now: float) -> None:
        """Count one arrival on ``route``."""
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        self._arrivals.setdefault(route, SlidingWindowSum(WINDOW_S)).add(now)

    def per_second(self, now: float) -> dict[str, float]:
        """Arrivals per second by route; routes without an arrival in the window are left out."""
        if self._first_arrival_at is None:
            return {}
        window_s = min(max(now - self._first_arrival_at, MIN_WINDOW_S), WINDOW_S)
        rates = {route: recent.total(now) / window_s for route, recent in self._arrivals.items()}
        active = {route: rate for route, rate in rates.items() if rate > 0}
        self._arrivals = {route: self._arrivals[route] for route in active}
        return active
