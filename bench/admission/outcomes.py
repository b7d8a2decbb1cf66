"""Outcomes of the requests of a day, and the metrics computed from them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from bench.admission.site import RequestKind

WINDOW_S = 2.0
WORST_WINDOWS = 2
MIN_WINDOW_WORTH = 1.0
WEIGHTS = {"mean": 0.4, "kind": 0.3, "zone": 0.2, "window": 0.1}


@attrs.define(eq=False)
class Outcome:
    """The outcome of a live request or batch item, including client retries; times are seconds of the day."""

    kind: RequestKind
    zone: str
    sent_at: float
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    is_complete: bool = False
    rejections: int = 0
    loss: str = "unfinished"

    @property
    def latency_s(self) -> float | None:
        """Time to the first event, for a batch item to its end; None if it is not complete."""
        until = self.last_event_at if self.kind.is_batch else self.first_event_at
        return None if until is None or not self.is_complete else until - self.sent_at

    @property
    def is_in_time(self) -> bool:
        """Whether the target latency and the maximum pause between events were met."""
        if self.latency_s is None:
            return False
        has_no_long_pause = self.kind.is_batch or self.longest_pause_s <= self.kind.max_pause_s
        return self.latency_s <= self.kind.target_s and has_no_long_pause

    @property
    def earned(self) -> float:
        """The full worth if in time, the reduced worth if late, 0 if not complete."""
        if not self.is_complete:
            return 0.0
        return self.kind.worth if self.is_in_time else self.kind.late_worth


@attrs.frozen
class Figures:
    """The metrics of one day: earned worth as a share of the full worth of all requests, and latencies."""

    mean: float
    by_kind: dict[str, float]
    by_zone: dict[str, float]
    worst_window: float
    p50_ms: dict[str, float]
    p99_ms: dict[str, float]

    @property
    def score(self) -> float:
        """The weighted sum of the metrics in a site's objective, without its costs."""
        return (
            WEIGHTS["mean"] * self.mean
            + WEIGHTS["kind"] * min(self.by_kind.values(), default=0.0)
            + WEIGHTS["zone"] * min(self.by_zone.values(), default=0.0)
            + WEIGHTS["window"] * self.worst_window
        )


def figures(outcomes: list[Outcome]) -> Figures:
    """Compute the metrics of a day."""
    kinds = sorted({outcome.kind.name for outcome in outcomes})
    zones = sorted({outcome.zone for outcome in outcomes})
    windows: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        windows.setdefault(int(outcome.sent_at / WINDOW_S), []).append(outcome)
    worst = sorted(_share(each) for each in windows.values())[:WORST_WINDOWS]
    by_kind = {kind: [each for each in outcomes if each.kind.name == kind] for kind in kinds}
    return Figures(
        mean=_share(outcomes),
        by_kind={kind: _share(each) for kind, each in by_kind.items()},
        by_zone={zone: _share(each for each in outcomes if each.zone == zone) for zone in zones},
        worst_window=sum(worst) / len(worst) if worst else 0.0,
        p50_ms={kind: _quantile_ms(each, 0.5) for kind, each in by_kind.items()},
        p99_ms={kind: _quantile_ms(each, 0.99) for kind, each in by_kind.items()},
    )


def _share(outcomes: Iterable[Outcome]) -> float:
    possible = earned = 0.0
    for outcome in outcomes:
        possible += outcome.kind.worth
        earned += outcome.earned
    return earned / possible if possible >= MIN_WINDOW_WORTH else 1.0


def _quantile_ms(outcomes: list[Outcome], quantile: float) -> float:
    latencies = sorted(outcome.latency_s for outcome in outcomes if outcome.latency_s is not None)
    return latencies[int(quantile * (len(latencies) - 1))] * 1000 if latencies else float("nan")
