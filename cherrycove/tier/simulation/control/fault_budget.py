"""Tracks which machines count as lost, and how many more may be lost, by virtual time alone.

A machine is lost while it is down, frozen, slowed or partitioned and for ``catchUpS`` after the fault ends,
or after its start if it is new. In addition all processes may be killed or lose power at any time, as their
disks are kept.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.simulation.control.deployment import CATCH_UP_S

UNKNOWN = float("inf")  # time of a recovery that depends on a fault that has not ended


@attrs.define
class _Loss:
    active_faults: int = 0
    until: float = 0.0  # end of the catch-up time after the last fault
    disk: bool = False  # whether the disk was lost too


class FaultBudget:
    """Tracks losses by machine name; a machine that replaces another has the same name."""

    def __init__(self, faults: int, clock: Callable[[], float]) -> None:
        """Allow ``faults`` machines to be lost at once; ``clock`` returns seconds."""
        self._faults = faults
        self._clock = clock
        self._losses: dict[str, _Loss] = {}
        self._active_faults = 0
        self._last_fault_ended_at = 0.0

    def fault_began(self, names: set[str], *, disk: bool = False) -> None:
        """Record a fault of the machines ``names``, which are empty for a fault that loses no machine.

        With ``disk`` the machines lose their disks as well.
        """
        self._active_faults += 1
        for name in names:
            loss = self._losses.setdefault(name, _Loss())
            loss.active_faults += 1
            loss.disk = loss.disk or disk

    def fault_ended(self, names: set[str]) -> None:
        """Record the end of a fault, after which its machines catch up."""
        self._active_faults -= 1
        now = self._clock()
        self._last_fault_ended_at = now
        for name in names:
            loss = self._losses[name]
            loss.active_faults -= 1
            loss.until = now + CATCH_UP_S

    def forget_recovered(self) -> None:
        """Drop the losses of machines that have caught up."""
        self._losses = {name: loss for name, loss in self._losses.items() if self._is_lost(loss)}

    def _is_lost(self, loss: _Loss) -> bool:
        return loss.active_faults > 0 or loss.until > self._clock()

    def lost(self) -> set[str]:
        """Return the names of the machines that count as lost now."""
        return {name for name, loss in self._losses.items() if self._is_lost(loss)}

    def lost_disks(self) -> int:
        """Return how many of the lost machines lost their disk."""
        return sum(loss.disk for loss in self._losses.values() if self._is_lost(loss))

    def allows(self, names: set[str]) -> bool:
        """Return whether the machines ``names`` may be lost now, in addition to those already lost."""
        return len(self.lost() | names) <= self._faults

    def next_recovery(self) -> float:
        """Return the time when the next machine has caught up.

        It is UNKNOWN if all lost machines have a fault that has not ended, or if there are none.
        """
        ends = [
            loss.until for loss in self._losses.values() if self._is_lost(loss) and not loss.active_faults
        ]
        return min(ends, default=UNKNOWN)

    def faultless_s(self) -> float:
        """Return the seconds since the last fault ended; 0.0 during a fault."""
        return 0.0 if self._active_faults else self._clock() - self._last_fault_ended_at
