"""Predicts when a store without capacity for a job will have enough."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 120.0


@attrs.frozen(order=True)
class CapacityRelease:
    """Describes that ``size_bytes`` of capacity become free in ``in_s`` seconds."""

    in_s: float
    size_bytes: float


def seconds_until_capacity(needed_bytes: float, releases: Iterable[CapacityRelease]) -> float:
    """Return after how many seconds ``needed_bytes`` will be free, clamped to the range of Retry-After."""
    for release in sorted(releases):
        needed_bytes -= release.size_bytes
        if needed_bytes <= 0:
            return min(max(release.in_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return MAX_RETRY_AFTER_S
