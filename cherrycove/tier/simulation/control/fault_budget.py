"""Which machines count as lost, and how many more may be, by the time of the world alone.

A machine is lost while it is down, frozen, slowed or cut off and for ``catchUpS`` after it is back, or after
its start if it is new. Besides, all processes may be killed, or lose power, at any time: their disks stay.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.simulation.control.deployment import CATCH_UP_S

UNKNOWN = float("inf")  # time of a recovery that depends on a fault still in force


@attrs.define
class _Loss:
    active_faults: int = 0
    until: float = 0.0  # end of the time to catch up after the last fault
    disk: bool = False  # its disk was lost too


class FaultBudget:
    """Losses by the name of a machine; a machine that replaces another takes over its name here."""

    def __init__(self, faults: int, clock: Callable[[], float]) -> None:
        """At most ``faults`` machines may be lost at once; ``clock`` is in seconds."""
        self._faults = faults
        self._clock = clock
        self._losses: dict[str, _Loss] = {}
        self._active_faults = 0
        self._last_fault_ended_at = 0.0

    def fault_began(self, names: set[str], *, disk: bool = False) -> None:
        """Record a fault of the machines ``names``; none for a fault that loses no machine.

        ``disk``: they lose their disks as well.
        """
        self._active_faults += 1
        for name in names:
            loss = self._losses.setdefault(name, _Loss())
            loss.active_faults += 1
            loss.disk = loss.disk or disk

    def fault_ended(self, names: set[str]) -> None:
        """Record the end of a fault; its machines begin to catch up."""
        self._active_faults -= 1
        now = self._clock()
        self._last_fault_ended_at = now
        for name in names:
            loss = self._losses[name]
            loss.active_faults -= 1
            loss.until = now + CATCH_UP_S

    def forget_recovered(self) -> None:
        """Drop the losses that are over."""
        self._losses = {name: loss for name, loss in self._losses.items() if self._is_lost(loss)}

    def _is_lost(self, loss: _Loss) -> bool:
        return loss.active_faults > 0 or loss.until > self._clock()

    def lost(self) -> set[str]:
        """Return the names of the machines that are lost now."""
        return {name for name, loss in self._losses.items() if self._is_lost(loss)}

    def lost_disks(self) -> int:
        """Return how many machines lost their disk and have not had the time to catch up."""
        return sum(loss.disk for loss in self._losses.values() if self._is_lost(loss))

    def allows(self, names: set[str]) -> bool:
        """Whether the machines ``names`` may be lost now, besides those that are lost."""
        return len(self.lost() | names) <= self._faults

    def next_recovery(self) -> float:
        """Return the time when the next machine is lost no more; UNKNOWN if a fault in force decides it."""
        ends = [
            loss.until for loss in self._losses.values() if self._is_lost(loss) and not loss.active_faults
        ]
        return min(ends, default=UNKNOWN)

    def faultless_s(self) -> float:
        """Return the seconds since the last fault ended; 0 during a fault."""
        return 0.0 if self._active_faults else self._clock() - self._last_fault_ended_at
