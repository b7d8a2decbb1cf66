"""Which change of members a primary wants next. Pure: a view of the group goes in, one step comes out."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import MAX_EXCLUDED


@attrs.frozen
class GroupView:
    """The group as its primary sees it; replicas are named by member id."""

    primary: MemberIdentity
    members: tuple[MemberIdentity, ...]
    standbys: tuple[MemberIdentity, ...]
    """Replicas alive, members included."""
    unreachable: frozenset[str]
    """Members not heard from for unreachable_timeout_s: they may be replaced."""
    retiring: frozenset[str]
    """Node names or member ids of machines that must leave the group."""
    target_size: int
    excluded: frozenset[str] = frozenset()
    """Replicas that must never be added."""
    unresponsive_standbys: frozenset[str] = frozenset()
    """Standbys that did not answer as learners: chosen after all others."""
    unresponsive: frozenset[str] = frozenset()
    """Members that have not answered lately, among them the unreachable ones."""

    @property
    def member_ids(self) -> frozenset[str]:
        """Ids of the members."""
        return frozenset(member.member_id for member in self.members)


def is_retiring(member: MemberIdentity, retiring: frozenset[str]) -> bool:
    """Whether ``retiring`` names ``member``, by its node name or its member id."""
    return member.node_name in retiring or member.member_id in retiring


@attrs.frozen
class MembershipChange:
    """Add ``add``, remove ``remove``, or both in one step; never add the ids of ``exclude`` again."""

    add: MemberIdentity | None = None
    remove: MemberIdentity | None = None
    exclude: tuple[str, ...] = ()

    def apply(self, members: Iterable[MemberIdentity]) -> tuple[MemberIdentity, ...]:
        """Return ``members`` with this change made."""
        removed_id = self.remove.member_id if self.remove is not None else ""
        remaining = tuple(member for member in members if member.member_id != removed_id)
        return (*remaining, self.add) if self.add is not None else remaining


@attrs.frozen
class TransferLeadership:
    """The primary's own machine is retiring: another member must lead before it can be removed."""


MembershipStep = MembershipChange | TransferLeadership


def next_step(view: GroupView) -> MembershipStep | None:
    """Return the most urgent step, or None while the group is as it should be.

    A machine that lost its disk comes first, then lost members, then retiring ones: retiring is planned, and
    must not use up the standby or the member that a loss needs.
    """
    standbys = _eligible_standbys(view)
    return (
        _replace_wiped_member(view, standbys)
        or _replace_unreachable_member(view, standbys)
        or _replace_retiring_member(view, standbys)
        or _exclude_retiring_standbys(view)
        or _grow(view, standbys)
    )


def _eligible_standbys(view: GroupView) -> list[MemberIdentity]:
    """Return standbys that may be added; those that answer first, then those in zones without a member."""
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


def _is_same_machine(one: MemberIdentity, other: MemberIdentity) -> bool:
    if one.address == other.address:
        return True
    return one.node_name != "" and one.node_name == other.node_name


def _replace(view: GroupView, member: MemberIdentity, standby: MemberIdentity | None) -> MembershipChange:
    """Replace ``member`` by ``standby``, or only remove it; a retiring member is excluded as well."""
    exclude = (member.member_id,) if is_retiring(member, view.retiring) else ()
    return MembershipChange(add=standby, remove=member, exclude=exclude)


def _replace_wiped_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Replace a member by the new, empty disk of its machine, unless that does not answer this primary."""
    for standby in standbys:
        if standby.member_id in view.unresponsive_standbys:
            continue
        for member in view.members:
            if member.member_id != view.primary.member_id and _is_same_machine(standby, member):
                return _replace(view, member, standby)
    return None


def _replace_unreachable_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Replace an unreachable member, or only remove it where more are left than the group needs."""
    unreachable = [member for member in view.members if member.member_id in view.unreachable]
    if not unreachable:
        return None
    if not standbys and len(view.members) <= view.target_size:
        return None
    return _replace(view, unreachable[0], standbys[0] if standbys else None)


def _replace_retiring_member(view: GroupView, standbys: list[MemberIdentity]) -> MembershipStep | None:
    """Replace or remove a retiring member while all members that stay answer.

    A member that does not answer needs the standby more: it may be lost, and the standby its successor. A
    machine that has left is switched off and does not count as a loss that the group may have.
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
    """Exclude standbys that are retiring, so that no later primary adds them."""
    member_ids = view.member_ids
    retiring_ids = sorted(
        standby.member_id
        for standby in view.standbys
        if standby.member_id not in member_ids and is_retiring(standby, view.retiring)
    )
    fresh = [member_id for member_id in retiring_ids[:MAX_EXCLUDED] if member_id not in view.excluded]
    return MembershipChange(exclude=tuple(fresh)) if fresh else None


def _grow(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Add a standby to a group that has fewer members than it needs."""
    if len(view.members) >= view.target_size or not standbys:
        return None
    return MembershipChange(add=standbys[0])
