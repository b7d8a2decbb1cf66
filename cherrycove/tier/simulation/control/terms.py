"""What may be lost at once, by the operators' terms and by the world's clock alone.

A machine is lost while it is down, frozen, slowed or cut off and for ``catchUpS`` after it is back, or after
its start if it is new. Besides, all processes may be killed, or lose power, at any time: their disks stay.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.simulation.control.machines import CATCH_UP_S

ALWAYS = float("inf")


@attrs.define
class _Loss:
    troubles: int = 0  # in force at present
    until: float = 0.0
    disk: bool = False  # its disk is gone too


class Terms:
    """Losses by the name of a machine; a machine that replaces another takes over its name here."""

    def __init__(self, faults: int, clock: Callable[[], float]) -> None:
        self.faults = faults
        self._clock = clock
        self._losses: dict[str, _Loss] = {}
        self._troubles = 0
        self._quiet_since = 0.0

    # Troubles

    def begin(self, names: set[str], disk: bool = False) -> None:
        """A trouble strikes the machines ``names``; none for one that is not the loss of a machine."""
        self._troubles += 1
        for name in names:
            loss = self._losses.setdefault(name, _Loss())
            loss.troubles += 1
            loss.disk = loss.disk or disk

    def end(self, names: set[str]) -> None:
        self._troubles -= 1
        now = self._clock()
        self._quiet_since = now
        for name in names:
            loss = self._losses[name]
            loss.troubles -= 1
            loss.until = now + CATCH_UP_S

    # Questions

    def _lost(self, loss: _Loss) -> bool:
        return loss.troubles > 0 or loss.until > self._clock()

    def lost(self) -> set[str]:
        return {name for name, loss in self._losses.items() if self._lost(loss)}

    def lost_disks(self) -> int:
        """Machines that lost their disk and have not had the time to catch up."""
        return sum(loss.disk for loss in self._losses.values() if self._lost(loss))

    def settle(self) -> None:
        """Forget what is over."""
        self._losses = {name: loss for name, loss in self._losses.items() if self._lost(loss)}

    def may_lose(self, names: set[str]) -> bool:
        return len(self.lost() | names) <= self.faults

    def next_chance(self) -> float:
        """When the terms may next allow more; ALWAYS while that depends on troubles in force."""
        ends = [loss.until for loss in self._losses.values() if self._lost(loss) and not loss.troubles]
        return min(ends, default=ALWAYS)

    def calm_for(self) -> float:
        """Seconds without any trouble; 0 during one."""
        return 0.0 if self._troubles else self._clock() - self._quiet_since
