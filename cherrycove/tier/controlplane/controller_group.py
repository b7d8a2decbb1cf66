"""What the control plane asks of the keepers' own group: whom to take in, and whose place to move."""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.storage_machines import is_on_machine
from cherrycove.tier.program_names import CONTROLLER_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.replication.interface import Group, MemberIdentity
from cherrycove.tier.settings import Settings


class ControllerGroupMembership:
    """Standbys come from the announcements; who must leave comes from the replicated state alone."""

    def __init__(self, settings: Settings, group: Group, state: ControlState) -> None:
        self._settings = settings
        self._group = group
        self._state = state

    def update_standbys(self, keepers: Iterable[Registration]) -> None:
        """Offer the ``keepers`` alive that are not members, and name those to leave."""
        self.update_retiring()
        announced = (entry.announcement for entry in keepers)
        usable = [self._standby(one) for one in announced if one.member_id and not one.leaving]
        self._group.offer_standbys(self._outside([*usable, *self._retiring_disks()]))

    def withdraw_standbys(self) -> None:
        """Offer nobody: what is known of the keepers is too old by the time that this one leads again."""
        self._group.offer_standbys(self._outside(self._retiring_disks()))

    def update_retiring(self) -> None:
        """Machines to be emptied, by name and by the disks of their keepers; first members have no name."""
        orders = self._state.retire_orders.values()
        names = {order.node_name for order in orders}
        disks = {disk for order in orders for disk in order.keeper_ids}
        standing = {
            member.member_id
            for member in self._group.members
            if any(is_on_machine(order, member.node_name, member.address) for order in orders)
        }
        self._group.retire(frozenset(names | disks | standing))

    def _retiring_disks(self) -> list[MemberIdentity]:
        """Disks to be excluded, also of machines that are away; they are offered so that the group, which
        takes none of them in, commits that it never will.
        """
        return [
            MemberIdentity(
                disk, order.node_name, self._settings.peer_address(order.ips[-1], CONTROLLER_PROGRAM)
            )
            for order in self._state.retire_orders.values()
            for disk in order.keeper_ids
            if order.ips
        ]

    def _standby(self, keeper: Announcement) -> MemberIdentity:
        return MemberIdentity(
            member_id=keeper.member_id,
            node_name=keeper.node_name,
            address=self._settings.peer_address(keeper.ip, CONTROLLER_PROGRAM),
            zone=keeper.zone,
        )

    def _outside(self, keepers: Iterable[MemberIdentity]) -> list[MemberIdentity]:
        members = {member.member_id for member in self._group.members}
        known = {keeper.member_id: keeper for keeper in keepers if keeper.member_id not in members}
        return list(known.values())
