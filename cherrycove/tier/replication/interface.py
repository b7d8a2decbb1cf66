"""What a replicated group offers to the plane that uses it, and what it asks of its state machine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
from result import Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.storage.snapshot_state import SnapshotState


@attrs.frozen
class MemberIdentity:
    """One replica.

    ``member_id`` names the disk: a wiped disk gets a new one, and so is a new member. ``address`` is
    host:port of its internal calls. ``zone`` is its failure domain, "" where none is known.
    """

    member_id: str
    node_name: str
    address: str
    zone: str = ""


@attrs.frozen
class CommittedMembers:
    """The members in force, committed, as their primary knows them under a valid lease.

    ``index``: they are in force from this log index on at the latest; a later membership never has a lower
    one. ``excluded``: ids of disks that are never added again.
    """

    index: int
    members: tuple[MemberIdentity, ...]
    excluded: frozenset[str]


class StateMachine(Protocol):
    """State that is a function of the commands applied so far. Runs in the event loop; must not block."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command; what it returns is the outcome of its ``propose`` at the primary."""

    def snapshot(self) -> bytes | SnapshotState:
        """Return the complete state; final blocks are the same objects as in the snapshot before."""

    def restore(self, state: SnapshotState) -> None:
        """Replace the state by that of a snapshot."""


class Group(Protocol):
    """A replicated group as its plane sees it."""

    @property
    def identity(self) -> MemberIdentity:
        """Identity of this replica."""

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""

    @property
    def primary(self) -> MemberIdentity | None:
        """The replica believed to lead; None while unknown."""

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Members in force, as far as known here."""

    def is_confirmed_primary(self) -> bool:
        """Whether this replica leads under a valid lease and has applied all that is committed.

        While true, a read of the local state machine is linearizable.
        """

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it.

        Ok holds what ``apply`` returned, after the command was synced on as many disks as may be lost, plus
        one. Err: NOT_PRIMARY or OVERLOADED: certainly not applied. UNCERTAIN: unknown.
        """

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Name replicas alive outside the group; the primary adds them where members are missing or lost."""

    def voting_member_ids(self) -> frozenset[str]:
        """Return the ids of all members whose votes count, during a change also the previous ones."""

    def committed_members(self) -> CommittedMembers | None:
        """Return the members in force.

        None while a change of members is uncommitted, or if this replica is not the confirmed primary.
        """

    def set_retiring(self, names: frozenset[str]) -> None:
        """Name the machines that must leave the group, by node name or member id.

        The primary replaces them by standbys, or removes them from a group that is larger than it must be.
        Their ids are excluded: committed as never to be added again.
        """

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of role, epoch, primary or members."""


def not_primary_failure(group: Group, detail: str) -> Failure:
    """Return NOT_PRIMARY with the address of the replica believed to be the primary, if any."""
    primary = group.primary
    address = primary.address if primary is not None else ""
    return Failure(ErrorKind.NOT_PRIMARY, detail, address)
