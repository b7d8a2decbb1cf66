"""Which change of members a primary wants next. Pure: a view of the group goes in, one step comes out."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.log import EXCLUDED_LIMIT


@attrs.frozen
class GroupView:
    """The group as its primary sees it."""

    primary: MemberIdentity
    members: tuple[MemberIdentity, ...]
    standbys: tuple[MemberIdentity, ...]  # alive outside the group
    unreachable: frozenset[str]  # member ids that have been silent for too long
    retiring: frozenset[str]  # node names or member ids
    target_size: int
    excluded: frozenset[str] = frozenset()  # member ids that must not be taken in
    unresponsive_standbys: frozenset[str] = frozenset()  # ids of standbys that did not answer: added last
    unresponsive: frozenset[str] = frozenset()  # member ids that did not answer just now


def is_retiring(member: MemberIdentity, retiring: frozenset[str]) -> bool:
    """Whether ``member`` is named to leave, by its node name or its member id."""
    return member.node_name in retiring or member.member_id in retiring


@attrs.frozen
class MembershipChange:
    """Take ``add`` in, drop ``remove``, or both in one step; never take the ids of ``exclude`` in again."""

    add: MemberIdentity | None = None
    remove: MemberIdentity | None = None
    exclude: tuple[str, ...] = ()

    def apply(self, members: Iterable[MemberIdentity]) -> tuple[MemberIdentity, ...]:
        removed = self.remove.member_id if self.remove is not None else ""
        kept = [member for member in members if member.member_id != removed]
        return (*kept, self.add) if self.add is not None else tuple(kept)


@attrs.frozen
class TransferLeadership:
    """The primary's own machine is to leave: another member must lead first."""


MembershipStep = MembershipChange | TransferLeadership


def _same_machine(one: MemberIdentity, other: MemberIdentity) -> bool:
    return one.address == other.address or (one.node_name != "" and one.node_name == other.node_name)


def _candidates(view: GroupView) -> list[MemberIdentity]:
    """Standbys that may be taken in; those that answer first, then those in zones without a member."""
    ids = {member.member_id for member in view.members}
    zones = {member.zone for member in view.members if member.member_id not in view.unreachable}
    usable = [
        standby
        for standby in view.standbys
        if standby.member_id not in ids
        and standby.member_id not in view.excluded
        and not is_retiring(standby, view.retiring)
    ]

    def rank(standby: MemberIdentity) -> tuple[bool, bool, str, str]:
        silent = standby.member_id in view.unresponsive_standbys
        return silent, standby.zone in zones, standby.node_name, standby.member_id

    return sorted(usable, key=rank)


def _replace(view: GroupView, member: MemberIdentity, standby: MemberIdentity | None) -> MembershipChange:
    """Have ``standby`` take the place of ``member``, which is excluded if it is to leave for good."""
    exclude = (member.member_id,) if is_retiring(member, view.retiring) else ()
    return MembershipChange(add=standby, remove=member, exclude=exclude)


def _emptied(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Give a machine its place back, unless this primary does not hear it: another standby may be heard."""
    for standby in standbys:
        if standby.member_id in view.unresponsive_standbys:
            continue
        for member in view.members:
            if member.member_id != view.primary.member_id and _same_machine(standby, member):
                return _replace(view, member, standby)
    return None


def _retiring(view: GroupView, standbys: list[MemberIdentity]) -> MembershipStep | None:
    """Let a member go that is to leave, while all that stay are heard.

    One that is lost needs the standby more: it may be its successor, and whoever leaves after its order is
    switched off and is no loss that the group may count."""
    leaving = [member for member in view.members if is_retiring(member, view.retiring)]
    staying = [member.member_id for member in view.members if member not in leaving]
    if not leaving or not view.unresponsive.isdisjoint(staying):
        return None
    if not standbys and len(view.members) <= view.target_size:
        return None
    others = [member for member in leaving if member.member_id != view.primary.member_id]
    if others:
        return _replace(view, others[0], standbys[0] if standbys else None)
    if len(view.members) > 1:
        return TransferLeadership()
    return MembershipChange(add=standbys[0]) if standbys else None


def _retiring_standbys(view: GroupView) -> MembershipChange | None:
    """Exclude standbys that are to leave, so that no later primary takes them in."""
    ids = {member.member_id for member in view.members}
    leaving = sorted(
        standby.member_id
        for standby in view.standbys
        if standby.member_id not in ids and is_retiring(standby, view.retiring)
    )
    fresh = [member_id for member_id in leaving[:EXCLUDED_LIMIT] if member_id not in view.excluded]
    return MembershipChange(exclude=tuple(fresh)) if fresh else None


def _unreachable(view: GroupView, standbys: list[MemberIdentity]) -> MembershipChange | None:
    """Replace a silent member, or go without it where more are left than the group needs."""
    gone = [member for member in view.members if member.member_id in view.unreachable]
    if not gone or not (standbys or len(view.members) > view.target_size):
        return None
    return _replace(view, gone[0], standbys[0] if standbys else None)


def next_step(view: GroupView) -> MembershipStep | None:
    """The most urgent change, or None while the group is as it should be."""
    standbys = _candidates(view)
    emptied = _emptied(view, standbys)
    if emptied is not None:
        return emptied
    unreachable = _unreachable(view, standbys)
    if unreachable is not None:
        return unreachable
    retiring = _retiring(view, standbys)
    if retiring is not None:
        return retiring
    excluding = _retiring_standbys(view)
    if excluding is not None:
        return excluding
    if len(view.members) < view.target_size and standbys:
        return MembershipChange(add=standbys[0])
    return None
