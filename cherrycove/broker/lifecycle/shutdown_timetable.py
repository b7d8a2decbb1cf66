"""When a process that was told to end does what: a timetable against the moment at which it may be killed.

It owns the times and nothing else. It must never look at a clock, and never leave less than ``LAST`` between
the last answer and the kill: what is unanswered then is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_AFTER = 0.7  # s that the platform adds to the longest deadline before it kills
LONGEST = 3.0  # s as which it counts a longer one
LAST = 0.3  # s before the kill at which everything has its answer
CUT = 0.15  # s before the kill at which what still flows to a client is broken off
GONE = 0.05  # s before it at which no client is connected any more
COMING = 0.4  # s for which new connections may keep coming
DECIDED = 0.4  # s before that at which no more is taken: what was taken then may still be served
PARTING = 0.25  # s before that from which an answer closes its connection
QUIET = 0.8  # s without a request after which nobody comes any more


@dataclass(frozen=True, slots=True)
class ShutdownTimetable:
    """Seconds after the signal. Source: the platform's page on planned restarts."""

    part: float  # from then on each answer closes its connection
    stop: float  # from then on nothing is taken
    give_up: float  # what is still open is given up, as refused or failed
    kill: float  # no sooner than this

    @classmethod
    def of(cls, longest_deadline: float) -> ShutdownTimetable:
        """For a deployment whose classes wait for so long (s) at most."""
        kill = min(longest_deadline, LONGEST) + KILL_AFTER
        give_up = max(kill - LAST, 0.0)
        # Guard: where all classes are in a hurry that would be while new connections still come.
        stop = min(max(give_up - DECIDED, COMING), give_up)
        return cls(max(stop - PARTING, 0.0), stop, give_up, kill)

    @property
    def cut(self) -> float:
        """When what flows is broken off. Guard: an answer whose node stands still within it held the process
        until the kill, which leaves nobody an answer and the exit status an error."""
        return max(self.kill - CUT, self.give_up)

    @property
    def gone(self) -> float:
        """By when a client that does not take its answer is left."""
        return max(self.kill - GONE, self.cut)

    def parts_at(self, replaced: bool) -> float:
        """From when on answers close their connections. Guard: nobody serves at this address for seconds once
        the process has ended, and a client that was told to close finds no other way in. With a successor in
        place it does, and must come to it."""
        return 0.0 if replaced else self.part

    def takes_until(self, since: float, quiet: float, replaced: bool, connected: bool) -> float:
        """Until when requests are taken, none having come for ``quiet`` seconds. Guard: clients go on coming
        for a while after the signal, over what they have for as long as it stays open; where none has a
        connection any more, or a successor has its place, quiet means that nobody comes."""
        return self.stop if connected and not replaced else min(self.stop, since - quiet + QUIET)
