"""Checks whether a machine with a retire order may be decommissioned, without I/O or clock access.

The decision is based on the committed members of both groups alone, never on announcements, which can be
missing or outdated after a partition or a change of primary.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from cherrycove.tier.controlplane.storage_machines import is_on_machine
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StoreMembersReply
from cherrycove.tier.replication.interface import CommittedMembers


@attrs.frozen
class GroupMember:
    """Holds the attributes of a group member that identify its disk and its machine."""

    member_id: str
    node_name: str
    address: str


@attrs.frozen
class CommittedMembership:
    """Holds the committed members of a group, as reported by its primary under a valid lease."""

    members: tuple[GroupMember, ...]
    excluded: frozenset[str]  # disks that can never become members again
    # Newest revision of the retire orders known to the group's primary. It is None for the controllers'
    # group, whose primary knows all orders because they are part of its own state.
    revision: int | None = None

    @staticmethod
    def of_controllers(committed: CommittedMembers) -> CommittedMembership:
        """Create it for the controllers' group."""
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in committed.members)
        return CommittedMembership(tuple(members), committed.excluded)

    @staticmethod
    def of_stores(reply: StoreMembersReply) -> CommittedMembership:
        """Create it for the store group, from the reply of that group's primary."""
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in reply.members)
        return CommittedMembership(tuple(members), frozenset(reply.excluded), reply.revision)

    def members_on_machine(self, order: RetireOrder, disks: Iterable[str]) -> list[str]:
        """Return the ids of the members that run on the machine of ``order`` or on one of ``disks``."""
        known = frozenset(disks)
        return [
            member.member_id
            for member in self.members
            if member.member_id in known or is_on_machine(order, member.node_name, member.address)
        ]


def blocking_reason(
    order: RetireOrder, controllers: CommittedMembership, stores: CommittedMembership, group_size: int
) -> str | None:
    """Return what prevents the machine of ``order`` from being decommissioned; None if nothing does.

    ``group_size`` is the size at which a group tolerates the configured number of machine failures. The store
    group is checked for every order; the controllers' group must be complete only if a controller ran on the
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
    members = committed.members_on_machine(order, disks)
    if members:
        return f"the {group} group still has members on the machine: {', '.join(members)}"
    not_excluded = sorted(frozenset(disks) - committed.excluded)
    if not_excluded:
        return f"the {group} group has not excluded {', '.join(not_excluded)}"
    return None
