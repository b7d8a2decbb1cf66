"""Invariants of a simulated world: consistency after every step, and tolerance of the losses in the budget.

The checks don't rely on the quorum sizes that replicas compute: synced entries are counted on the disks and
compared with the number of faults to tolerate, and the members are those of the last committed membership
change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from cherrycove.tier.protocol.replication_pb2 import MemberList
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.simulation.replica import Replica, State
from cherrycove.tier.storage.entries import Entry, EntryKind

INITIAL_EPOCH = 0  # of the entry with the initial members, which each initial member has from the start
MAX_LAG_S = 2.0  # a member without faults has all entries that were committed earlier than this


class InvariantBrokenError(AssertionError):
    """Raised when an invariant is violated: replicas disagree, or something committed was lost."""


class Invariants:
    """Records the committed entries and the primary of each epoch, and checks each step against them."""

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
        """Check that ``replica`` may treat ``entry`` as committed.

        ``disks`` returns the disks whose copies count; ``now`` is in seconds.
        """
        known = self._committed.get(entry.index)
        if known is None:
            self._check_first_commit(replica, entry, disks, now)
        else:
            self.require(known == entry, f"{replica.name} committed a different entry at index {entry.index}")

    def _check_first_commit(
        self, replica: Replica, entry: Entry, disks: Callable[[], Iterable[SimulatedDisk]], now: float
    ) -> None:
        self.require(
            entry.index == self.last_index + 1, f"entry {entry.index} was committed before its predecessor"
        )
        before = self._committed.get(self.last_index)
        is_ordered = before is None or before.epoch <= entry.epoch
        self.require(is_ordered, f"entry {entry.index} has an older epoch than its predecessor")
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
            self.require(
                leads, f"{replica.name} was the first to commit entry {entry.index}, but is not primary"
            )
            holders = sum(disk.holds(entry.index, entry.epoch) for disk in disks())
            self.require(
                holders > self._faults,
                f"entry {entry.index} was committed while synced on {holders} disks only",
            )

    def _record_members(self, entry: Entry) -> None:
        message = MemberList.FromString(entry.payload)
        self._members = frozenset(member.member_id for member in message.members)
        excluded = frozenset(message.excluded)
        self.require(
            self._excluded <= excluded, f"entry {entry.index} drops excluded disks from the member list"
        )
        self.require(not excluded & self._members, f"entry {entry.index} makes an excluded disk a member")
        self._excluded = excluded

    def check_applied(self, replica: Replica) -> None:
        """Check that the state of ``replica`` is the result of all commands up to its index."""
        expected = self._states.get(replica.state.index)
        self.require(
            expected == replica.state, f"{replica.name} has a wrong state at index {replica.state.index}"
        )

    # Primaries

    def check_primary(self, replica: Replica, machine: ReplicaMachine, now: float) -> None:
        """Check ``replica``, which is primary and has just handled an event; ``now`` is in seconds."""
        member = replica.identity.member_id
        if machine.epoch not in self._primaries:
            self._check_holds_committed(replica, machine)
            self._primaries[machine.epoch] = member
        self.require(self._primaries[machine.epoch] == member, f"two primaries in epoch {machine.epoch}")
        if replica.state.index < self.last_index:
            self.require(
                not machine.is_confirmed_primary(now),
                f"{replica.name} is confirmed as primary at {replica.state.index}, below {self.last_index}",
            )

    def _check_holds_committed(self, replica: Replica, machine: ReplicaMachine) -> None:
        """Check that a new primary has all entries committed in epochs before its own.

        Its snapshot must consist of committed entries too. It may lack only entries committed by a primary of
        a newer epoch that has led already. In that case the votes for this one were in transit for longer
        than the other election took, which no protocol without a common clock can rule out. What the newer
        primary commits is on disks that have voted in its epoch, so this one is never confirmed and commits
        nothing, which is checked at each of its steps.
        """
        base = self._committed.get(machine.base_index)
        known = machine.base_index == 0 or base is not None
        self.require(
            known, f"{replica.name} has a snapshot at {machine.base_index}, which was never committed"
        )
        is_superseded = max(self._primaries, default=0) > machine.epoch
        for index in range(machine.base_index + 1, self.last_index + 1):
            if is_superseded and self._committed_in[index] > machine.epoch:
                break
            has_entry = machine.epoch_at(index) == self._committed[index].epoch
            self.require(
                has_entry,
                f"{replica.name} is primary of epoch {machine.epoch} without committed entry {index}",
            )

    # Tolerance of losses

    def check_fault_tolerance(self, replicas: Sequence[Replica], lost: set[str], now: float) -> None:
        """Check that the group survives the loss of as many further machines as the fault budget allows.

        They may be lost with their disks. ``lost`` are the names of the machines that count as lost at
        ``now``, which is in seconds.
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
            f"entry {self.last_index} is synced on {holders} disks, of which {further} may be lost",
        )

    def _check_can_elect(self, safe: Sequence[Replica], further: int) -> None:
        """Check that the remaining members can elect a primary.

        That takes a majority, and all members but as many as may lack an entry.
        """
        size = len(self._members)
        required = max(size // 2 + 1, size - self._faults)
        self.require(
            len(safe) - further >= required,
            f"{len(safe)} of {size} members remain, {further} more may be lost, an election needs {required}",
        )

    def _check_caught_up(self, safe: Sequence[Replica], now: float) -> None:
        index = self.last_index
        while index > 0 and self._committed_at[index] > now - MAX_LAG_S:
            index -= 1
        behind = [replica.name for replica in safe if index and not self._has_synced(replica, index)]
        self.require(not behind, f"{behind} lack entry {index}, committed more than {MAX_LAG_S} s ago")
