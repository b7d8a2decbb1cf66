"""How many requests may be open: fewer while this process runs late.

It owns that figure. It must never do I/O or read a clock.

A client's connection is held by its open request, and before that while it waits to be accepted, read and
handled: three turns of the loop. A loop that is late by 30 ms at 400 requests a second has 36 of them on the
way, more than the quarter that clients have beyond the usual bound; and it is late when another process, such
as a successor that has just been started, takes the core.
"""

from __future__ import annotations

FREE = 0.005  # s of lateness that cost nothing
FULL = 0.020  # s of lateness at which
LEAST = 0.5  # this part of the places is left
FADE = 0.3  # s after which a lateness counts half
STEPS = 16  # in which the figure changes, so that it is not told with every turn


class RequestLimit:
    """``most`` where the process is in time."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._late, self._at = 0.0, 0.0

    def now(self, now: float, lateness: float) -> int:
        """How many may be open, the loop having done what was due ``lateness`` seconds late."""
        faded = self._late * 0.5 ** (max(now - self._at, 0.0) / FADE)
        self._late, self._at = max(faded, lateness), now
        over = min(max((self._late - FREE) / (FULL - FREE), 0.0), 1.0)
        return self.most - int(self.most * (1.0 - LEAST) * int(over * STEPS) / STEPS)
