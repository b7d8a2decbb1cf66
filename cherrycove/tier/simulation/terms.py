"""What operators may expect to be borne, by their own clock and without asking the replicas.

A machine is lost while it is down, frozen, slowed or cut off, and for the time to catch up after it is back,
or after its start if it is new. A machine that was removed stays lost until its successor has had that time.
At most as many machines as there are faults to be borne may be lost at once; the disk of a lost machine may
come back empty. One whose order to retire was answered as completed is no loss.

Processes of more machines may be killed, and links of more may be cut, with all disks kept; then nobody has
time to catch up before these are back, so that the time begins anew for all.
"""

from __future__ import annotations

from collections.abc import Collection

FOREVER = float("inf")


class OperatorTerms:
    """Counts the machines that are lost, by name."""

    def __init__(self, faults: int, catch_up_s: float) -> None:
        self.faults = faults
        self.catch_up_s = catch_up_s
        self._troubles: dict[str, int] = {}  # that have not ended, of one machine
        self._lost_until: dict[str, float] = {}

    def started(self, machine: str, now: float) -> None:
        """A new machine has started."""
        self._lost_until[machine] = now + self.catch_up_s

    def begin(self, machine: str, now: float) -> None:
        """A trouble of ``machine`` begins; troubles may overlap."""
        self._troubles[machine] = self._troubles.get(machine, 0) + 1
        self._begin_anew_if_exceeded(now)

    def _begin_anew_if_exceeded(self, now: float) -> None:
        """More machines are lost than are to be borne: nobody need have caught up until that is over."""
        if len(self.lost(now)) > self.faults:
            for machine, until in self._lost_until.items():
                self._lost_until[machine] = max(until, now + self.catch_up_s)

    def end(self, machine: str, now: float) -> None:
        """A trouble of ``machine`` is over."""
        if machine not in self._lost_until:
            return  # it was removed meanwhile
        self._begin_anew_if_exceeded(now)
        self._troubles[machine] = self._troubles.get(machine, 1) - 1
        self._lost_until[machine] = max(self._lost_until[machine], now + self.catch_up_s)

    def removed(self, machine: str, now: float) -> None:
        """``machine`` is gone for good, without an order."""
        self._troubles.pop(machine, None)
        self._lost_until[machine] = FOREVER
        self._begin_anew_if_exceeded(now)

    def succeeded(self, machine: str, successor: str, now: float) -> None:
        """``successor`` has started, and counts in place of the removed ``machine`` from now on."""
        self._lost_until.pop(machine, None)
        self.started(successor, now)

    def retired(self, machine: str) -> None:
        """``machine`` was switched off after its order to retire was completed: that is no loss.

        One that was still catching up counts on for that time: it may be the successor of another."""
        self._troubles.pop(machine, None)

    def lost(self, now: float) -> set[str]:
        return {
            machine for machine, until in self._lost_until.items() if until > now or self._troubled(machine)
        }

    def _troubled(self, machine: str) -> bool:
        return self._troubles.get(machine, 0) > 0

    def allow(self, machines: Collection[str], now: float) -> bool:
        """Whether ``machines`` may be lost now, with their disks."""
        return len(self.lost(now) | set(machines)) <= self.faults
