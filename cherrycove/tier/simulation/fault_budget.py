"""Which machines count as lost, and how many more may be: what operators are promised, by their own clock.

A machine is lost while it is down, frozen, slowed or cut off, and for the time to catch up after it is back,
or after its start if it is new. A machine that was removed stays lost until its successor has had that time.
At most as many machines may be lost at once as there are faults to be borne; the disk of a lost machine may
come back empty. One whose order to retire was answered as completed is no loss.

Processes of more machines may be killed, and links of more may be cut, with all disks kept; then nobody has
time to catch up before these are back, so that the time begins anew for all.
"""

from __future__ import annotations

from collections.abc import Collection

NEVER = float("inf")  # time at which a removed machine is back


class FaultBudget:
    """Counts the machines that are lost, by name. Times are in seconds."""

    def __init__(self, faults: int, catch_up_s: float) -> None:
        """At most ``faults`` machines may be lost at once; each needs ``catch_up_s`` to catch up."""
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
        """While more machines are lost than are borne, none can catch up."""
        if len(self.lost(now)) > self._faults:
            for machine, until in self._lost_until.items():
                self._lost_until[machine] = max(until, now + self._catch_up_s)

    def fault_ended(self, machine: str, now: float) -> None:
        """Record the end of a fault of ``machine``, which may have been removed meanwhile."""
        if machine not in self._lost_until:
            return
        self._restart_catch_up_if_exceeded(now)
        self._active_faults[machine] = self._active_faults.get(machine, 1) - 1
        self._lost_until[machine] = max(self._lost_until[machine], now + self._catch_up_s)

    def removed(self, machine: str, now: float) -> None:
        """Record that ``machine`` is gone for good, without an order."""
        self._active_faults.pop(machine, None)
        self._lost_until[machine] = NEVER
        self._restart_catch_up_if_exceeded(now)

    def replaced(self, machine: str, successor: str, now: float) -> None:
        """Record the start of ``successor``, which counts in place of the removed ``machine`` from now on."""
        self._lost_until.pop(machine, None)
        self.started(successor, now)

    def retired(self, machine: str) -> None:
        """Record that ``machine`` was switched off after its order to retire was completed: that is no loss.

        One that was still catching up counts on for that time: it may be the successor of another.
        """
        self._active_faults.pop(machine, None)

    def lost(self, now: float) -> set[str]:
        """Return the names of the machines that are lost at ``now``."""
        return {
            machine
            for machine, until in self._lost_until.items()
            if until > now or self._active_faults.get(machine, 0) > 0
        }

    def allows(self, machines: Collection[str], now: float) -> bool:
        """Whether ``machines`` may be lost now, with their disks, besides those that are lost."""
        return len(self.lost(now) | set(machines)) <= self._faults
