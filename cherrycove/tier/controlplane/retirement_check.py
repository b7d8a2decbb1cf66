"""Whether a machine that is to be emptied can be taken away. Pure.

The decision is made from the committed member lists of both groups alone. What processes announced, and what
a keeper remembers of them, has no part in it: after a cut or a change of primary that can be empty or old.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from cherrycove.tier.controlplane.storage_machines import is_on_machine
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StoreMembersReply
from cherrycove.tier.replication.interface import CommittedMembers


@attrs.frozen
class GroupMember:
    """What tells on which machine a member of a group stands."""

    member_id: str
    node_name: str
    address: str


@attrs.frozen
class CommittedMembership:
    """A member list that its group has committed, from the primary under a valid lease."""

    members: tuple[GroupMember, ...]
    excluded: frozenset[str]  # disks that are never taken in again
    revision: int | None = None  # of the orders that its primary knows; None: all, the orders are its state

    @staticmethod
    def of_controllers(committed: CommittedMembers) -> CommittedMembership:
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in committed.members)
        return CommittedMembership(tuple(members), committed.excluded)

    @staticmethod
    def of_stores(reply: StoreMembersReply) -> CommittedMembership:
        members = (GroupMember(one.member_id, one.node_name, one.address) for one in reply.members)
        return CommittedMembership(tuple(members), frozenset(reply.excluded), reply.revision)

    def on_machine(self, order: RetireOrder, disks: Iterable[str]) -> list[str]:
        """Ids of members that stand on the machine of ``order``, or on one of its ``disks``."""
        known = frozenset(disks)
        return [
            one.member_id
            for one in self.members
            if one.member_id in known or is_on_machine(order, one.node_name, one.address)
        ]


def blocking_reason(
    order: RetireOrder, keepers: CommittedMembership, stores: CommittedMembership, group_size: int
) -> str | None:
    """What keeps the machine of ``order`` from being taken away; None if nothing does.

    ``group_size`` is the size at which a group bears all losses that may come.
    """
    if not order.ips or not order.store_ids:
        return "the address or the disk of the machine is not known"
    in_stores = _blocking_reason_in("store", stores, order, order.store_ids)
    if in_stores is not None:
        return in_stores
    if len(stores.members) < group_size:
        return f"the store group has {len(stores.members)} members of {group_size}"
    in_keepers = _blocking_reason_in("keeper", keepers, order, order.keeper_ids)
    if in_keepers is not None:
        return in_keepers
    if order.keeper_ids and len(keepers.members) < group_size:
        return f"the keeper group has {len(keepers.members)} members of {group_size}"
    return None


def _blocking_reason_in(
    group: str, committed: CommittedMembership, order: RetireOrder, disks: Collection[str]
) -> str | None:
    if committed.revision is not None and committed.revision < order.revision:
        return f"the {group} group's primary does not know the order yet"
    counting = committed.on_machine(order, disks)
    if counting:
        return f"the {group} group counts on {', '.join(counting)}"
    open_to_return = sorted(frozenset(disks) - committed.excluded)
    if open_to_return:
        return f"the {group} group has not excluded {', '.join(open_to_return)}"
    return None
