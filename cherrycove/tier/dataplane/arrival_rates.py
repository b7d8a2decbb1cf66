"""How many requests of each route come, for this proxy's description of itself."""

from __future__ import annotations

from cherrycove.scheduling.state import Recent

SPAN_S = 5.0  # over which a rate is taken


class ArrivalRates:
    """Counts arrivals by route name; time is monotonic seconds."""

    def __init__(self) -> None:
        self._recent: dict[str, Recent] = {}
        self._began: float | None = None

    def add(self, route: str, now: float) -> None:
        if self._began is None:
            self._began = now
        self._recent.setdefault(route, Recent(SPAN_S)).add(now)

    def per_second(self, now: float) -> dict[str, float]:
        """Requests a second by route, of routes that had any lately."""
        if self._began is None:
            return {}
        span = min(max(now - self._began, 1.0), SPAN_S)
        rates = {route: recent.total(now) / span for route, recent in self._recent.items()}
        self._recent = {route: self._recent[route] for route, rate in rates.items() if rate > 0}
        return {route: rate for route, rate in rates.items() if rate > 0}
