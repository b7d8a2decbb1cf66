"""Provides the processes known to the leading controller to its other parts."""

from __future__ import annotations

import asyncio

from cherrycove.tier.controlplane.process_registry import RETENTION_S, ProcessRegistry, Registration
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_inventory import StoreInventory
from cherrycove.tier.program_names import CONTROLLER_PROGRAM, STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, MemberList
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.settings import Settings


class ProcessDirectory:
    """Combines the announcements of this leadership period with the replicated state.

    Owned by the ``Controller``; only the ``LeaderCoordinator`` changes it. Its content does not survive a
    crash or another primary's epoch: a new primary learns the processes again from their announcements.
    """

    def __init__(self, settings: Settings, group: Group, state: ControlState) -> None:
        """Read from ``group``, the group of the controllers, and ``state``, its state machine."""
        self._settings = settings
        self._group = group
        self._state = state
        self.registry = ProcessRegistry()
        self.leading_since = 0.0  # monotonic time in s at which the newest leadership period began
        self._led_until = 0.0  # monotonic time in s at which this controller was last seen to lead

    def resume(self, now: float) -> None:
        """Continue leadership in the same epoch after a pause in which no process could announce itself."""
        self.registry.resume(now, paused_at=self._led_until)
        self.leading_since = self._led_until = now

    def reset(self, now: float) -> None:
        """Start leadership in a new epoch with an empty registry."""
        self.leading_since = self._led_until = now
        self.registry = ProcessRegistry()

    def update(self, now: float) -> None:
        """Note that this controller leads at ``now``, and remove the registrations that are too old."""
        self._led_until = now
        self.registry.remove_expired(now)

    def leading_for_s(self) -> float:
        """Return the seconds since the newest leadership period began."""
        return asyncio.get_running_loop().time() - self.leading_since

    def members(self, now: float) -> MemberList:
        """Return the alive processes, without stores whose current disk is not recorded yet.

        The store group takes its standbys from this list, and a retire order must cover every disk that could
        become a member.
        """
        announced = self.registry.members(now).members
        return MemberList(
            members=[
                member for member in announced if member.program != STORE_PROGRAM or self._is_recorded(member)
            ]
        )

    def controllers_alive(self, now: float) -> list[Registration]:
        """Return the controllers that are alive."""
        return self.registry.alive(now, CONTROLLER_PROGRAM)

    def store_inventory(self) -> StoreInventory:
        """Return a snapshot of what is known about the stores."""
        now = asyncio.get_running_loop().time()
        machines = self._state.machines
        return StoreInventory(
            alive=self.registry.alive(now, STORE_PROGRAM),
            recently_seen=self.registry.recently_seen(STORE_PROGRAM),
            initial=self._state.initial_stores,
            orders=self._state.retire_orders,
            machines=machines,
            controller_disks=self._controller_disks(),
            possibly_alive=frozenset(machines) if self.leading_for_s() < RETENTION_S else frozenset(),
        )

    def _controller_disks(self) -> dict[str, str]:
        """Return the disk (member id) of the newest controller on each machine."""
        controllers = (entry.announcement for entry in self.registry.recently_seen(CONTROLLER_PROGRAM))
        disks = {controller.node_name: controller.member_id for controller in controllers}
        return {**disks, self._settings.node_name: self._group.identity.member_id}

    def _is_recorded(self, store: Announcement) -> bool:
        machine = self._state.machines.get(store.node_name)
        return machine is not None and machine.store_id == store.member_id
