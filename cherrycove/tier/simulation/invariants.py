"""What must hold in a simulated world: after every step, and by the operators' terms.

Nothing here asks the replicas how many copies or votes they want: copies are counted on the disks and
compared with the number of faults to be borne, and the members are those of the last list that was committed.
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
LAG_S = 2.0  # a member without any trouble lacks nothing that was committed so long ago


class InvariantBrokenError(AssertionError):
    """The replicas contradict each other, or lost what was committed."""


class Invariants:
    """Remembers all that was committed and who led."""

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
        if not condition:
            raise InvariantBrokenError(detail)

    # Entries

    def committed(
        self, replica: Replica, entry: Entry, disks: Callable[[], Iterable[SimulatedDisk]], now: float
    ) -> None:
        """``replica`` takes ``entry`` as committed; ``disks`` gives those whose copies count now."""
        known = self._committed.get(entry.index)
        if known is None:
            self._first_committed(replica, entry, disks, now)
        else:
            self.require(known == entry, f"{replica.name} committed another entry at {entry.index}")

    def _first_committed(
        self, replica: Replica, entry: Entry, disks: Callable[[], Iterable[SimulatedDisk]], now: float
    ) -> None:
        self.require(entry.index == self.last_index + 1, f"{entry.index} committed before its predecessor")
        before = self._committed.get(self.last_index)
        grows = before is None or before.epoch <= entry.epoch
        self.require(grows, f"{entry.index} is of an older epoch than its predecessor")
        self._committed[entry.index] = entry
        self._committed_at.append(now)
        self._committed_in.append(replica.machine.epoch if replica.machine is not None else 0)
        self._states[entry.index] = self._states[entry.index - 1].applied(entry)
        self.last_index = entry.index
        if entry.kind is EntryKind.MEMBERS:
            self._members_committed(entry)
        if entry.epoch != INITIAL_EPOCH:
            machine = replica.machine
            leads = machine is not None and machine.role is Role.PRIMARY
            self.require(leads, f"{replica.name} committed {entry.index} first, and does not lead")
            copies = sum(disk.holds(entry.index, entry.epoch) for disk in disks())
            self.require(copies > self._faults, f"{entry.index} committed with {copies} synced copies")

    def _members_committed(self, entry: Entry) -> None:
        message = MemberList.FromString(entry.payload)
        self._members = frozenset(member.member_id for member in message.members)
        excluded = frozenset(message.excluded)
        self.require(self._excluded <= excluded, f"{entry.index} forgets excluded disks")
        self.require(not excluded & self._members, f"{entry.index} takes in an excluded disk")
        self._excluded = excluded

    def applied(self, replica: Replica) -> None:
        """The state of ``replica`` is that of all commands up to its index."""
        expected = self._states.get(replica.state.index)
        self.require(expected == replica.state, f"{replica.name} holds a wrong state")

    # Primaries

    def stepped_as_primary(self, replica: Replica, machine: ReplicaMachine, now: float) -> None:
        """``replica`` has handled an event, and leads."""
        member = replica.identity.member_id
        if machine.epoch not in self._primaries:
            self._holds_committed(replica, machine)
            self._primaries[machine.epoch] = member
        self.require(self._primaries[machine.epoch] == member, f"two primaries in epoch {machine.epoch}")
        if replica.state.index < self.last_index:
            self.require(
                not machine.is_confirmed_primary(now),
                f"{replica.name} is confirmed at {replica.state.index}, not {self.last_index}",
            )

    def _holds_committed(self, replica: Replica, machine: ReplicaMachine) -> None:
        """A new primary holds all that was committed in epochs before its own, and its snapshot is of that.

        That is all that was committed, unless a primary of a newer epoch has led already. Then the votes for
        this one were on their way for longer than the others' election took. No protocol without a common
        clock can rule that out; what the newer one commits is on disks whose promise outruns this one, so it
        is never confirmed and commits nothing, which is checked at each of its steps."""
        base = self._committed.get(machine.base_index)
        known = machine.base_index == 0 or base is not None
        self.require(known, f"{replica.name} has a snapshot at {machine.base_index} that nobody committed")
        outrun = max(self._primaries, default=0) > machine.epoch
        for index in range(machine.base_index + 1, self.last_index + 1):
            if outrun and self._committed_in[index] > machine.epoch:
                break
            held = machine.epoch_at(index) == self._committed[index].epoch
            self.require(held, f"{replica.name} leads epoch {machine.epoch} without entry {index}")

    # By the operators' terms

    def judge(self, replicas: Sequence[Replica], lost: set[str], now: float) -> None:
        """As many further machines as the terms allow may be lost now, with their disks."""
        further = self._faults - len(lost)
        if further < 0 or not self._members:
            return
        safe = [
            replica
            for replica in replicas
            if replica.name not in lost and replica.identity.member_id in self._members
        ]
        self._survives(safe, further)
        self._elects(safe, further)
        if not lost:
            self._caught_up(safe, now)

    def _held(self, replica: Replica, index: int) -> bool:
        return replica.disk.holds(index, self._committed[index].epoch)

    def _survives(self, safe: Sequence[Replica], further: int) -> None:
        copies = sum(self._held(replica, self.last_index) for replica in safe)
        self.require(
            copies > further, f"entry {self.last_index} has {copies} copies where {further} may be lost"
        )

    def _elects(self, safe: Sequence[Replica], further: int) -> None:
        """The members left can elect: a majority, and all but as many as may lack an entry."""
        size = len(self._members)
        wanted = max(size // 2 + 1, size - self._faults)
        self.require(
            len(safe) - further >= wanted,
            f"of {size} members {len(safe)} are there; {further} may be lost, and {wanted} must elect",
        )

    def _caught_up(self, safe: Sequence[Replica], now: float) -> None:
        index = self.last_index
        while index > 0 and self._committed_at[index] > now - LAG_S:
            index -= 1
        behind = [replica.name for replica in safe if index and not self._held(replica, index)]
        self.require(not behind, f"{behind} have not caught up with entry {index}")
