"""Membership policy: a pure function from a primary's view of the group to the next membership step."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import MAX_EXCLUDED


@attrs.frozen
class GroupView:
    """Describes the group as its primary sees it; sets of strings hold member ids unless stated otherwise."""

    primary: MemberIdentity
    members: tuple[MemberIdentity, ...]
    standbys: tuple[MemberIdentity, ...]
    """Live replicas, which may include members."""
    unreachable: frozenset[str]
    """Members that sent nothing for unreachable_timeout_s, so that they may be replaced."""
    retiring: frozenset[str]
    """Node names or member ids of replicas that must leave the group."""
    target_size: int
    excluded: frozenset[str] = frozenset()
    """Replicas that must never be added."""
    unresponsive_standbys: frozenset[str] = frozenset()
    """Standbys that did not answer as learners and are chosen after all others."""
    unresponsive: frozenset[str] = frozenset()
    """Members that have not answered recently, including the unreachable ones."""

    @property
    def member_ids(self) -> frozenset[str]:
        """Return the ids of the members."""
        return frozenset(member.member_id for member in self.members)


def is_retiring(member: MemberIdentity, retiring: frozenset[str]) -> bool:
    """Return whether ``retiring`` contains the node name or the member id of ``member``."""
    return member.node_name in retiring or member.member_id in retiring


@attrs.frozen
class MembershipChange:
    """Adds ``add``, removes ``remove``, or both in one step; the ids in ``exclude`` are never added again."""

    add: MemberIdentity | None = None
    remove: MemberIdentity | None = None
    exclude: tuple[str, ...] = ()

    def apply(self, members: Iterable[MemberIdentity]) -> tuple[MemberIdentity, ...]:
        """Return ``members`` after this change."""
        removed_id = self.remove.member_id if self.remove is not None else ""
        remaining = tuple(member for member in members if member.member_id != removed_id)
        return (*remaining, self.add) if self.add is not None else remaining


@attrs.frozen
class TransferLeadership:
    """Requests a transfer of leadership: a retiring primary can be removed only once another member leads."""


MembershipStep = MembershipChange | TransferLeadership


def next_step(view: GroupView) -> MembershipStep | None:
    """Return the most urgent step, or None if no step is needed or possible.

    Members whose host lost its disk come first, then unreachable members, then retiring ones: retirement is
    planned and must not consume the standby or the member that a loss needs.
    """
    standbys = _eligible_standbys(view)
    return (
        _replace_wiped_member(view, standbys)
        or _replace_unreachable_member(view, standbys)
        or _replace_retiring_member(view, standbys)
        or _exclude_retiring_standbys(view)
        or _grow_to_target_size(view, standbys)
    )


def _eligible_standbys(view: GroupView) -> list[MemberIdentity]:
    """Return the standbys that may be added, responsive ones first, then those in zones without a member."""
    member_ids = view.member_ids
    covered_zones = {member.zone for member in view.members if member.member_id not in view.unreachable}
    eligible = [
        standby
        for standby in view.standbys
        if standby.member_id not in member_ids
        and standby.member_id not in view.excluded
        and not is_retiring(standby, view.retiring)
    ]

    def rank(standby: MemberIdentity) -> tuple[bool, bool, str, str]:
        is_unresponsive = standby.member_id in view.unresponsive_standbys
        return is_unresponsive, standby.zone in covered_zones, standby.node_name, standby.member_id

    return sorted(eligible, key=rank)


def _is_same_host(one: MemberIdentity, other: MemberIdentity) -> bool:
    if one.address == other.address:
        return True
    return one.node_name != "" and one.node_name == other.node_name


def _replace(view: GroupView, member: MemberIdentity, standby: MemberIdentity | None) -> MembershipChange:
    """Return the replacement of ``member`` with ``standby``, or its removal if ``standby`` is None.

    A retiring member is also excluded.
    """
    exclude = (member.member_id,) if is_retiring(member, view.retiring) else ()
    return MembershipChange(add=standby, remove=member, exclude=exclude)


def _replace_wiped_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Replace a member with the new, empty disk on the same host unless that disk does not answer."""
    for standby in standbys:
        if standby.member_id in view.unresponsive_standbys:
            continue
        for member in view.members:
            if member.member_id != view.primary.member_id and _is_same_host(standby, member):
                return _replace(view, member, standby)
    return None


def _replace_unreachable_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Replace an unreachable member, or only remove it if the group exceeds its target size."""
    unreachable = [member for member in view.members if member.member_id in view.unreachable]
    if not unreachable:
        return None
    if not standbys and len(view.members) <= view.target_size:
        return None
    return _replace(view, unreachable[0], standbys[0] if standbys else None)


def _replace_retiring_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipStep | None:
    """Replace or remove a retiring member while all members that stay answer.

    A member that does not answer has priority: it may be lost, and then needs the standby as its replacement.
    A host that has left is switched off and does not count among the losses that the group tolerates.
    """
    retiring = [member for member in view.members if is_retiring(member, view.retiring)]
    staying_ids = [member.member_id for member in view.members if member not in retiring]
    if not retiring or not view.unresponsive.isdisjoint(staying_ids):
        return None
    if not standbys and len(view.members) <= view.target_size:
        return None
    others = [member for member in retiring if member.member_id != view.primary.member_id]
    if others:
        return _replace(view, others[0], standbys[0] if standbys else None)
    if len(view.members) > 1:
        return TransferLeadership()
    return MembershipChange(add=standbys[0]) if standbys else None


def _exclude_retiring_standbys(view: GroupView) -> MembershipChange | None:
    """Exclude retiring standbys, so that no later primary adds them."""
    member_ids = view.member_ids
    retiring_ids = sorted(
        standby.member_id
        for standby in view.standbys
        if standby.member_id not in member_ids and is_retiring(standby, view.retiring)
    )
    fresh = [member_id for member_id in retiring_ids[:MAX_EXCLUDED] if member_id not in view.excluded]
    return MembershipChange(exclude=tuple(fresh)) if fresh else None


def _grow_to_target_size(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Add a standby to a group that is below its target size."""
    if len(view.members) >= view.target_size or not standbys:
        return None
    return MembershipChange(add=standbys[0])
