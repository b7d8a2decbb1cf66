"""The stores and storage machines as the primary knows them, and what it should record of them. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.controlplane.storage_machines import same_machine
from cherrycove.tier.protocol.control_pb2 import Replica
from cherrycove.tier.protocol.keeper_pb2 import (
    Command,
    ForgetRetired,
    RecordMachines,
    Retire,
    RetireOrder,
    StoreMachine,
)


@attrs.frozen
class StoreInventory:
    """A view of one moment: announcements to this primary, and the replicated state.

    Made by ``ProcessDirectory.store_inventory``, never changed.
    """

    alive: Sequence[Registration]
    recently_seen: Sequence[Registration]  # also those lately gone
    initial: Sequence[Replica]  # the replicas that began the store group
    orders: Mapping[str, RetireOrder]  # by node name
    machines: Mapping[str, StoreMachine] = attrs.field(factory=dict)  # recorded in the replicated state
    # Disk (member id) of the newest controller on each machine.
    controller_disks: Mapping[str, str] = attrs.field(factory=dict)
    # Recorded machines that had too little time to announce themselves to this primary.
    possibly_alive: frozenset[str] = frozenset()

    def is_known(self, node_name: str) -> bool:
        """Whether there is, or was, a storage machine of that name."""
        known = {entry.announcement.node_name for entry in self.recently_seen}
        known.update(replica.node_name for replica in self.initial)
        return node_name in known or node_name in self.machines or node_name in self.orders

    def machine(self, node_name: str) -> StoreMachine:
        """Return what is known of a machine: what it announced lately, else what is recorded."""
        known = StoreMachine(node_name=node_name)
        known.MergeFrom(self.machines.get(node_name, known))
        for entry in (*self.recently_seen, *self.alive):
            if entry.announcement.node_name == node_name:
                known.MergeFrom(self._announced(entry))
        return known

    def announced_machines(self) -> list[StoreMachine]:
        """Return the machines whose stores are alive and announced themselves to this primary."""
        announced = [
            entry for entry in self.alive if not entry.is_unconfirmed and entry.announcement.member_id
        ]
        return [self._announced(entry) for entry in announced]

    def count_remaining(self, node_name: str, entries: Sequence[Registration]) -> int:
        """Return how many machines of ``entries`` stay without ``node_name`` and all with a retire order."""
        names = {entry.announcement.node_name for entry in entries if not entry.announcement.leaving}
        return len(names - set(self.orders) - {node_name})

    def count_possibly_remaining(self, node_name: str) -> int:
        """Return the same, with machines that are away at the moment and may come back."""
        names = {entry.announcement.node_name for entry in self.recently_seen}
        return len((names | self.possibly_alive) - set(self.orders) - {node_name})

    def _announced(self, entry: Registration) -> StoreMachine:
        announcement = entry.announcement
        return StoreMachine(
            node_name=announcement.node_name,
            ip=announcement.ip,
            store_id=announcement.member_id,
            keeper_id=self.controller_disks.get(announcement.node_name, ""),
        )


def record_updates(inventory: StoreInventory) -> list[Command]:
    """Return the command that records machines which are new, or have another address or disk, if any.

    An active retire order is extended by it as well.
    """
    changed = [
        machine
        for machine in inventory.announced_machines()
        if _adds_to(inventory.machines.get(machine.node_name), machine)
    ]
    return [Command(record_machines=RecordMachines(machines=changed))] if changed else []


def order_updates(inventory: StoreInventory) -> list[Command]:
    """Return the commands that bring the retire orders up to date with the announcements.

    - An active order without a disk, or whose machine lost its disk meanwhile, is extended by the present
      disk.
    - A completed order is removed when a store of that name announces another disk from another address:
      that is a new machine. The retired machine may lose its disk before it is decommissioned; it is still at
      its address then, and stays out of the groups.
    """
    commands = []
    for machine in inventory.announced_machines():
        order = inventory.orders.get(machine.node_name)
        if order is None or machine.store_id == order.member_id:
            continue
        if not order.completed:
            commands.append(Command(retire=retire_command(machine)))
        elif order.member_id and not same_machine(order, machine):
            forget = ForgetRetired(node_name=order.node_name, member_id=order.member_id)
            commands.append(Command(forget_retired=forget))
    return commands


def retire_command(machine: StoreMachine) -> Retire:
    """Return the order to retire ``machine``, with what is known of it."""
    return Retire(
        node_name=machine.node_name,
        member_id=machine.store_id,
        ip=machine.ip,
        keeper_id=machine.keeper_id,
    )


def _adds_to(known: StoreMachine | None, machine: StoreMachine) -> bool:
    """Whether ``machine`` has anything that is not in the record ``known``."""
    if known is None:
        return True
    merged = StoreMachine()
    merged.CopyFrom(known)
    merged.MergeFrom(machine)
    return merged != known
