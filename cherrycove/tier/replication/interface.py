"""Interfaces of a replicated group: for its users, and for the state machine that it replicates."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
from result import Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.storage.snapshot_state import SnapshotState


@attrs.frozen
class MemberIdentity:
    """Identifies one replica.

    ``member_id`` identifies the disk: a wiped disk gets a new id and counts as a new member. ``address`` is
    the host:port at which the replica serves internal calls. ``zone`` is its failure domain, "" if unknown.
    """

    member_id: str
    node_name: str
    address: str
    zone: str = ""


@attrs.frozen
class CommittedMembers:
    """Describes the committed membership in force, as the primary knows it under a valid lease.

    The membership is in force from log index ``index`` or earlier; a later membership never has a lower one.
    ``excluded`` holds the ids of disks that are never added again.
    """

    index: int
    members: tuple[MemberIdentity, ...]
    excluded: frozenset[str]


class StateMachine(Protocol):
    """Replicated state, a deterministic function of the commands applied so far.

    Its methods run in the event loop and must not block.
    """

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command; the primary returns the result from ``propose``."""

    def snapshot(self) -> bytes | SnapshotState:
        """Return the complete state; final blocks are the same objects as in the previous snapshot."""

    def restore(self, state: SnapshotState) -> None:
        """Replace the state with that of a snapshot."""


class Group(Protocol):
    """Interface of a replicated group for the component that uses it."""

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of this replica."""

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this replica."""

    @property
    def primary(self) -> MemberIdentity | None:
        """Return the replica believed to be the primary; None while unknown."""

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Return the members in force, as far as this replica knows."""

    def is_confirmed_primary(self) -> bool:
        """Return whether this replica leads under a valid lease and has applied all committed entries.

        While this is true, a read of the local state machine is linearizable.
        """

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it.

        Returns Ok with the result of ``apply`` once the command is synced on one disk more than the number
        that may be lost. After Err with NOT_PRIMARY or OVERLOADED the command is not applied; after UNCERTAIN
        it may or may not be.
        """

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Set the live replicas outside the group; the primary adds them if members are missing or lost."""

    def voting_member_ids(self) -> frozenset[str]:
        """Return the ids of all voting members; during a membership change, of both memberships."""

    def committed_members(self) -> CommittedMembers | None:
        """Return the members in force.

        Returns None while a membership change is uncommitted, or if this is not the confirmed primary.
        """

    def set_retiring(self, names: frozenset[str]) -> None:
        """Set the replicas that must leave the group, by node name or member id.

        The primary replaces them with standbys, or removes them from a group that exceeds its target size.
        Their ids are committed as excluded, so that they are never added again.
        """

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of role, epoch, primary or members."""


def not_primary_failure(group: Group, detail: str) -> Failure:
    """Return NOT_PRIMARY with the address of the replica believed to be the primary, if any."""
    primary = group.primary
    address = primary.address if primary is not None else ""
    return Failure(ErrorKind.NOT_PRIMARY, detail, address)
