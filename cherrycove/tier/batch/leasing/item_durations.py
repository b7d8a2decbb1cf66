"""How long an item usually takes from its lease to its result. Pure."""

from __future__ import annotations

import attrs

NEW_PART = 0.05  # weight of the newest duration in the mean


@attrs.define
class ItemDurations:
    """A moving mean of durations, in seconds; 0 until one is known."""

    mean_s: float = 0.0

    def add(self, duration_s: float) -> None:
        if self.mean_s == 0.0:
            self.mean_s = duration_s
        self.mean_s += NEW_PART * (duration_s - self.mean_s)
