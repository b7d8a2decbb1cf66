"""When a store that has no room for a job will have it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 120.0


@attrs.frozen(order=True)
class Release:
    """Room that is given back: ``size_bytes`` in ``in_s`` seconds."""

    in_s: float
    size_bytes: float


def seconds_until_room(needed_bytes: float, releases: Iterable[Release]) -> float:
    """In how many seconds ``needed_bytes`` will be given back, within the bounds of what is advised."""
    for release in sorted(releases):
        needed_bytes -= release.size_bytes
        if needed_bytes <= 0:
            return min(max(release.in_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return MAX_RETRY_AFTER_S
