"""Whether a machine with a retire order may be decommissioned. Pure.

The decision is made from the committed members of both groups alone, never from announcements: after a
partition or a change of primary those can be missing or old.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from cherrycove.tier.controlplane.storage_machines import is_on_machine
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StoreMembersReply
from cherrycove.tier.replication.interface import CommittedMembers


@attrs.frozen
class GroupMember:
    """A member of a group, as far as its machine can be recognized by it."""

    member_id: str
    node_name: str
    address: str


@attrs.frozen
class CommittedMembership:
    """The members that a group has committed, from its primary under a valid lease."""

    members: tuple[GroupMember, ...]
    excluded: frozenset[str]  # disks that never become members again
    revision: int | None = None  # of the orders that its primary has seen; None: all, they are its own state

    @staticmethod
    def of_controllers(committed: CommittedMembers) -> CommittedMembership:
        """Return that of the controllers' group."""
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in committed.members)
        return CommittedMembership(tuple(members), committed.excluded)

    @staticmethod
    def of_stores(reply: StoreMembersReply) -> CommittedMembership:
        """Return that of the store group, from the answer of its primary."""
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in reply.members)
        return CommittedMembership(tuple(members), frozenset(reply.excluded), reply.revision)

    def on_machine(self, order: RetireOrder, disks: Iterable[str]) -> list[str]:
        """Return the ids of members on the machine of ``order``, or on one of its ``disks``."""
        known = frozenset(disks)
        return [
            one.member_id
            for one in self.members
            if one.member_id in known or is_on_machine(order, one.node_name, one.address)
        ]


def blocking_reason(
    order: RetireOrder, controllers: CommittedMembership, stores: CommittedMembership, group_size: int
) -> str | None:
    """Return what prevents the machine of ``order`` from being decommissioned; None if nothing does.

    ``group_size`` is the size at which a group tolerates as many losses as the settings name. The stores are
    checked for every order; the controllers' group has to be complete only where a controller ran on the
    machine.
    """
    if not order.ips or not order.store_ids:
        return "the address or the disk of the machine is not known"
    in_stores = _blocking_reason_in("store", stores, order, order.store_ids)
    if in_stores is not None:
        return in_stores
    if len(stores.members) < group_size:
        return f"the store group has {len(stores.members)} members of {group_size}"
    in_controllers = _blocking_reason_in("controller", controllers, order, order.keeper_ids)
    if in_controllers is not None:
        return in_controllers
    if order.keeper_ids and len(controllers.members) < group_size:
        return f"the controller group has {len(controllers.members)} members of {group_size}"
    return None


def _blocking_reason_in(
    group: str, committed: CommittedMembership, order: RetireOrder, disks: Collection[str]
) -> str | None:
    if committed.revision is not None and committed.revision < order.revision:
        return f"the {group} group's primary does not know the order yet"
    counting = committed.on_machine(order, disks)
    if counting:
        return f"the {group} group counts on {', '.join(counting)}"
    not_excluded = sorted(frozenset(disks) - committed.excluded)
    if not_excluded:
        return f"the {group} group has not excluded {', '.join(not_excluded)}"
    return None
