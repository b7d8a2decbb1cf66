"""What must hold in a simulated world: after every step, and of the losses that are borne.

No replica is asked how many replicas or votes it needs: synced entries are counted on the disks and compared
with the number of faults to be borne, and the members are those of the last committed change of members.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from cherrycove.tier.protocol.replication_pb2 import MemberList
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.simulation.replica import Replica, State
from cherrycove.tier.storage.entries import Entry, EntryKind

INITIAL_EPOCH = 0  # of the entry with the initial members, which each of them has from the start
MAX_LAG_S = 2.0  # a member without faults lacks nothing that was committed so long ago


class InvariantBrokenError(AssertionError):
    """The replicas contradict each other, or lost what was committed."""


class Invariants:
    """Records what was committed and who led, and compares each step with it."""

    def __init__(self, faults: int) -> None:
        self._faults = faults
        self._committed: dict[int, Entry] = {}
        self._committed_at: list[float] = [0.0]  # by index
        self._committed_in: list[int] = [0]  # epoch of the primary that committed it first, by index
        self._states: dict[int, State] = {0: State()}
        self._primaries: dict[int, str] = {}
        self._members: frozenset[str] = frozenset()
        self._excluded: frozenset[str] = frozenset()
        self.last_index = 0

    def require(self, condition: bool, detail: str) -> None:
        """Raise ``InvariantBrokenError`` with ``detail`` unless ``condition`` holds."""
        if not condition:
            raise InvariantBrokenError(detail)

    # Entries

    def check_committed(
        self, replica: Replica, entry: Entry, disks: Callable[[], Iterable[SimulatedDisk]], now: float
    ) -> None:
        """Check that ``replica`` takes ``entry`` as committed; ``disks`` returns those that count now."""
        known = self._committed.get(entry.index)
        if known is None:
            self._check_first_commit(replica, entry, disks, now)
        else:
            self.require(known == entry, f"{replica.name} committed another entry at {entry.index}")

    def _check_first_commit(
        self, replica: Replica, entry: Entry, disks: Callable[[], Iterable[SimulatedDisk]], now: float
    ) -> None:
        self.require(entry.index == self.last_index + 1, f"{entry.index} committed before its predecessor")
        before = self._committed.get(self.last_index)
        is_ordered = before is None or before.epoch <= entry.epoch
        self.require(is_ordered, f"{entry.index} is of an older epoch than its predecessor")
        self._committed[entry.index] = entry
        self._committed_at.append(now)
        self._committed_in.append(replica.machine.epoch if replica.machine is not None else 0)
        self._states[entry.index] = self._states[entry.index - 1].applied(entry)
        self.last_index = entry.index
        if entry.kind is EntryKind.MEMBERS:
            self._record_members(entry)
        if entry.epoch != INITIAL_EPOCH:
            machine = replica.machine
            leads = machine is not None and machine.role is Role.PRIMARY
            self.require(leads, f"{replica.name} committed {entry.index} first, and is not primary")
            holders = sum(disk.holds(entry.index, entry.epoch) for disk in disks())
            self.require(holders > self._faults, f"{entry.index} committed on {holders} disks")

    def _record_members(self, entry: Entry) -> None:
        message = MemberList.FromString(entry.payload)
        self._members = frozenset(member.member_id for member in message.members)
        excluded = frozenset(message.excluded)
        self.require(self._excluded <= excluded, f"{entry.index} forgets excluded disks")
        self.require(not excluded & self._members, f"{entry.index} adds an excluded disk")
        self._excluded = excluded

    def check_applied(self, replica: Replica) -> None:
        """Check that the state of ``replica`` is that of all commands up to its index."""
        expected = self._states.get(replica.state.index)
        self.require(expected == replica.state, f"{replica.name} holds a wrong state")

    # Primaries

    def check_primary(self, replica: Replica, machine: ReplicaMachine, now: float) -> None:
        """Check ``replica``, which has handled an event and leads, at ``now`` in seconds."""
        member = replica.identity.member_id
        if machine.epoch not in self._primaries:
            self._check_holds_committed(replica, machine)
            self._primaries[machine.epoch] = member
        self.require(self._primaries[machine.epoch] == member, f"two primaries in epoch {machine.epoch}")
        if replica.state.index < self.last_index:
            self.require(
                not machine.is_confirmed_primary(now),
                f"{replica.name} is confirmed at {replica.state.index}, not {self.last_index}",
            )

    def _check_holds_committed(self, replica: Replica, machine: ReplicaMachine) -> None:
        """A new primary holds all that was committed in epochs before its own, and its snapshot is of that.

        That is all that was committed, unless a primary of a newer epoch has led already. Then the votes for
        this one were on their way for longer than the other election took, which no protocol without a common
        clock can rule out. What the newer primary commits is on disks that have voted in its epoch, so this
        one is never confirmed and commits nothing, which is checked at each of its steps.
        """
        base = self._committed.get(machine.base_index)
        known = machine.base_index == 0 or base is not None
        self.require(known, f"{replica.name} has a snapshot at {machine.base_index} that nobody committed")
        is_superseded = max(self._primaries, default=0) > machine.epoch
        for index in range(machine.base_index + 1, self.last_index + 1):
            if is_superseded and self._committed_in[index] > machine.epoch:
                break
            has_entry = machine.epoch_at(index) == self._committed[index].epoch
            self.require(has_entry, f"{replica.name} leads epoch {machine.epoch} without entry {index}")

    # Losses that are borne

    def check_fault_tolerance(self, replicas: Sequence[Replica], lost: set[str], now: float) -> None:
        """As many further machines as the fault budget allows may be lost now, with their disks.

        ``lost`` are the names of the machines that are lost at ``now``, in seconds.
        """
        further = self._faults - len(lost)
        if further < 0 or not self._members:
            return
        safe = [
            replica
            for replica in replicas
            if replica.name not in lost and replica.identity.member_id in self._members
        ]
        self._check_survives_losses(safe, further)
        self._check_can_elect(safe, further)
        if not lost:
            self._check_caught_up(safe, now)

    def _has_synced(self, replica: Replica, index: int) -> bool:
        return replica.disk.holds(index, self._committed[index].epoch)

    def _check_survives_losses(self, safe: Sequence[Replica], further: int) -> None:
        holders = sum(self._has_synced(replica, self.last_index) for replica in safe)
        self.require(
            holders > further,
            f"entry {self.last_index} is on {holders} disks where {further} may be lost",
        )

    def _check_can_elect(self, safe: Sequence[Replica], further: int) -> None:
        """The remaining members can elect: a majority, and all but as many as may lack an entry."""
        size = len(self._members)
        required = max(size // 2 + 1, size - self._faults)
        self.require(
            len(safe) - further >= required,
            f"of {size} members {len(safe)} are there; {further} may be lost, and {required} must elect",
        )

    def _check_caught_up(self, safe: Sequence[Replica], now: float) -> None:
        index = self.last_index
        while index > 0 and self._committed_at[index] > now - MAX_LAG_S:
            index -= 1
        behind = [replica.name for replica in safe if index and not self._has_synced(replica, index)]
        self.require(not behind, f"{behind} have not caught up with entry {index}")
