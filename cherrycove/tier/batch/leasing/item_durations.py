"""Estimates how long an item takes from its lease to its result."""

from __future__ import annotations

import attrs

NEWEST_WEIGHT = 0.05  # weight of the newest duration in the mean


@attrs.define
class ItemDurations:
    """Maintains an exponentially weighted mean of durations, in seconds; 0 until one was added."""

    mean_s: float = 0.0

    def add(self, duration_s: float) -> None:
        """Include the duration of one more item."""
        if self.mean_s == 0.0:
            self.mean_s = duration_s
        self.mean_s += NEWEST_WEIGHT * (duration_s - self.mean_s)
