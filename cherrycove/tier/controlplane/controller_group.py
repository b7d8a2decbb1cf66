"""Determines which controllers may join the controllers' replicated group and which must leave it."""

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
    """Requests changes of the controllers' group; the group decides on them and commits them.

    Owned by the ``Controller`` and called by the ``LeaderCoordinator``. It is stateless: standbys are taken
    from the announcements. Members that must leave are taken from the replicated state alone, so that every
    controller determines the same ones.
    """

    def __init__(self, settings: Settings, group: Group, state: ControlState) -> None:
        self._settings = settings
        self._group = group
        self._state = state

    def update_standbys(self, controllers: Iterable[Registration]) -> None:
        """Offer those of the alive ``controllers`` that are not members, and update the members to retire."""
        self.update_retiring()
        announced = (entry.announcement for entry in controllers)
        usable = [
            self._standby(controller)
            for controller in announced
            if controller.member_id and not controller.leaving
        ]
        self._group.offer_standbys(self._outside_group([*usable, *self._retiring_disks()]))

    def withdraw_standbys(self) -> None:
        """Offer no alive controller, since the list will be outdated when this controller leads again."""
        self._group.offer_standbys(self._outside_group(self._retiring_disks()))

    def update_retiring(self) -> None:
        """Report the machines with a retire order to the group: node names and disks of their controllers.

        The group's first members have no node name, so members at an address of such a machine are reported
        by their member ids.
        """
        orders = self._state.retire_orders.values()
        names = {order.node_name for order in orders}
        disks = {disk for order in orders for disk in order.keeper_ids}
        present = {
            member.member_id
            for member in self._group.members
            if any(is_on_machine(order, member.node_name, member.address) for order in orders)
        }
        self._group.set_retiring(frozenset(names | disks | present))

    def _retiring_disks(self) -> list[MemberIdentity]:
        """Return the disks to exclude, including those of machines that are offline.

        The group does not add any of them as a member. They are offered so that the group commits their
        permanent exclusion.
        """
        return [
            MemberIdentity(disk, order.node_name, self._address(order.ips[-1]))
            for order in self._state.retire_orders.values()
            for disk in order.keeper_ids
            if order.ips
        ]

    def _standby(self, controller: Announcement) -> MemberIdentity:
        return MemberIdentity(
            member_id=controller.member_id,
            node_name=controller.node_name,
            address=self._address(controller.ip),
            zone=controller.zone,
        )

    def _address(self, ip: str) -> str:
        return self._settings.peer_address(ip, CONTROLLER_PROGRAM)

    def _outside_group(self, controllers: Iterable[MemberIdentity]) -> list[MemberIdentity]:
        members = {member.member_id for member in self._group.members}
        outside = {
            controller.member_id: controller
            for controller in controllers
            if controller.member_id not in members
        }
        return list(outside.values())
