"""Tracks which machines count as lost, and how many more may be lost.

This is the fault tolerance that operators are promised, measured by the time of the simulation. A machine is
lost while it is down, frozen, slowed or partitioned, and for the catch-up time after the fault ends, or
after its start if it is new. A removed machine stays lost until its successor has had the catch-up time. No
more machines may be lost at once than the group tolerates faults; the disk of a lost machine may come back
empty. A machine whose retire order was answered as completed is no loss.

More machines than that may have their processes killed or their links cut, as long as all disks are kept. No
machine can catch up until these machines are back, so the catch-up time then starts again for all.
"""

from __future__ import annotations

from collections.abc import Collection

NEVER = float("inf")  # end of the loss of a removed machine without a successor


class FaultBudget:
    """Tracks lost machines by name. Times are in seconds."""

    def __init__(self, faults: int, catch_up_s: float) -> None:
        """Allow ``faults`` machines to be lost at once; each needs ``catch_up_s`` seconds to catch up."""
        self._faults = faults
        self._catch_up_s = catch_up_s
        self._active_faults: dict[str, int] = {}  # by machine
        self._lost_until: dict[str, float] = {}

    def started(self, machine: str, now: float) -> None:
        """Record the start of a new machine."""
        self._lost_until[machine] = now + self._catch_up_s

    def fault_began(self, machine: str, now: float) -> None:
        """Record a fault of ``machine``; faults of one machine may overlap."""
        self._active_faults[machine] = self._active_faults.get(machine, 0) + 1
        self._restart_catch_up_if_exceeded(now)

    def _restart_catch_up_if_exceeded(self, now: float) -> None:
        """Restart the catch-up time of all machines if more are lost than the budget allows."""
        if len(self.lost(now)) > self._faults:
            for machine, until in self._lost_until.items():
                self._lost_until[machine] = max(until, now + self._catch_up_s)

    def fault_ended(self, machine: str, now: float) -> None:
        """Record the end of a fault of ``machine``; do nothing if the machine has been removed meanwhile."""
        if machine not in self._lost_until:
            return
        self._restart_catch_up_if_exceeded(now)
        self._active_faults[machine] = self._active_faults.get(machine, 1) - 1
        self._lost_until[machine] = max(self._lost_until[machine], now + self._catch_up_s)

    def removed(self, machine: str, now: float) -> None:
        """Record that ``machine`` was removed permanently without a retire order."""
        self._active_faults.pop(machine, None)
        self._lost_until[machine] = NEVER
        self._restart_catch_up_if_exceeded(now)

    def replaced(self, machine: str, successor: str, now: float) -> None:
        """Record the start of ``successor``, which now counts in place of the removed ``machine``."""
        self._lost_until.pop(machine, None)
        self.started(successor, now)

    def retired(self, machine: str) -> None:
        """Record that ``machine`` was switched off after its retire order completed, which is no loss.

        A machine that was still catching up counts as lost until the end of that time, as it may be the
        successor of another machine.
        """
        self._active_faults.pop(machine, None)

    def lost(self, now: float) -> set[str]:
        """Return the names of the machines that count as lost at ``now``."""
        return {
            machine
            for machine, until in self._lost_until.items()
            if until > now or self._active_faults.get(machine, 0) > 0
        }

    def allows(self, machines: Collection[str], now: float) -> bool:
        """Return whether ``machines`` may be lost now with their disks, in addition to those already lost."""
        return len(self.lost(now) | set(machines)) <= self._faults
