"""What must hold after every step of a simulated world."""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.quorums import write_quorum
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.simulation.replica import Replica, State
from cherrycove.tier.storage.entries import Entry


class InvariantBrokenError(AssertionError):
    """The replicas contradict each other, or lost what was committed."""


class Invariants:
    """Remembers all that was committed and who led."""

    def __init__(self, faults: int) -> None:
        self._faults = faults
        self._committed: dict[int, Entry] = {}
        self._states: dict[int, State] = {0: State()}
        self._primaries: dict[int, str] = {}
        self.last_index = 0

    def require(self, condition: bool, detail: str) -> None:
        if not condition:
            raise InvariantBrokenError(detail)

    def committed(self, replica: Replica, entry: Entry, disks: Iterable[SimulatedDisk]) -> None:
        """``replica`` takes ``entry`` as committed; ``disks`` include those lost since."""
        known = self._committed.get(entry.index)
        if known is None:
            self._first_committed(replica, entry, disks)
        else:
            self.require(known == entry, f"{replica.address} committed another entry at {entry.index}")

    def _first_committed(self, replica: Replica, entry: Entry, disks: Iterable[SimulatedDisk]) -> None:
        machine = replica.machine
        if machine is None:
            return
        self.require(entry.index == self.last_index + 1, f"{entry.index} committed before its predecessor")
        self._committed[entry.index] = entry
        self._states[entry.index] = self._states[entry.index - 1].applied(entry)
        self.last_index = entry.index
        if machine.role is Role.PRIMARY:
            copies = sum(disk.holds(entry.index, entry.epoch) for disk in disks)
            wanted = write_quorum(len(machine.members), self._faults)
            self.require(copies >= wanted, f"{entry.index} committed with {copies} synced copies")

    def applied(self, replica: Replica) -> None:
        """The state of ``replica`` is that of all commands up to its index."""
        expected = self._states.get(replica.state.index)
        self.require(expected == replica.state, f"{replica.address} holds a wrong state")

    def stepped(self, replica: Replica, machine: ReplicaMachine, now: float) -> None:
        """``replica`` has handled an event."""
        if machine.role is not Role.PRIMARY:
            return
        member = replica.identity.member_id
        if machine.epoch not in self._primaries:
            self._primaries[machine.epoch] = member
            self._holds_committed(replica, machine)
        self.require(self._primaries[machine.epoch] == member, f"two primaries in epoch {machine.epoch}")
        if machine.confirmed(now):
            index = replica.state.index
            fresh = index >= self.last_index
            self.require(fresh, f"{replica.address} is confirmed at {index}, not {self.last_index}")

    def _holds_committed(self, replica: Replica, machine: ReplicaMachine) -> None:
        """A new primary holds all that was committed in epochs before its own.

        One that slept since it was elected may lack what was committed in a newer epoch meanwhile."""
        index = self.last_index
        while index > machine.base_index and self._committed[index].epoch >= machine.epoch:
            index -= 1
        if index > machine.base_index:
            held = machine.epoch_at(index) == self._committed[index].epoch
            self.require(held, f"{replica.address} leads epoch {machine.epoch} without entry {index}")
