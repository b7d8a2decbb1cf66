"""What a replicated group offers to the plane that uses it, and what it asks of its state machine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
from result import Result

from cherrycove.tier.errors import Failure


@attrs.frozen
class MemberIdentity:
    """One replica. ``member_id`` names the disk: an emptied disk gets a new one, and so is a new member."""

    member_id: str
    node_name: str
    address: str  # host:port of its internal calls
    zone: str = ""


@attrs.frozen
class CommittedMembers:
    """A member list that is committed and in force, as its primary knows it under a valid lease."""

    index: int  # the list is in force from here on at the latest; a later list never has a lower one
    members: tuple[MemberIdentity, ...]
    excluded: frozenset[str]  # ids of disks that are never taken in again


class StateMachine(Protocol):
    """State that is a function of the commands applied so far. Runs in the event loop; must not block."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command; the return value is the outcome of its ``propose`` at the primary."""

    def snapshot(self) -> bytes:
        """The whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


class Group(Protocol):
    """A replicated group as its plane sees it."""

    @property
    def identity(self) -> MemberIdentity: ...

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

        While true, a read of the local state machine is linearizable."""

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it. Ok holds what ``apply`` returned, after the command was synced
        on as many disks as may be lost, plus one. NOT_PRIMARY: certainly not taken. UNCERTAIN: unknown."""

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Replicas alive outside the group; the primary takes them in where members are missing or gone."""

    def voting_member_ids(self) -> frozenset[str]:
        """Ids of all members whose votes count, also those of the former list while a change is open."""

    def committed_members(self) -> CommittedMembers | None:
        """The member list in force. None while a change of members is open, or this replica does not lead
        under a valid lease."""

    def retire(self, names: frozenset[str]) -> None:
        """Machines that must leave the group, by node name or member id; the primary moves their place to
        standbys, or shrinks. Their ids are excluded: committed as never to be taken in again."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of role, epoch, primary or members."""
