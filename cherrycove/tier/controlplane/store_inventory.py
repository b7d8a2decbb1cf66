"""Combines what the primary knows of the stores, and derives the updates to the replicated state from it.

It does no I/O and reads no clock.
"""

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
    """Holds an immutable snapshot of the announcements to this primary and of the replicated state.

    ``ProcessDirectory.store_inventory`` creates it.
    """

    alive: Sequence[Registration]
    recently_seen: Sequence[Registration]  # registered stores, including those that are no longer alive
    initial: Sequence[Replica]  # initial replicas of the store group
    orders: Mapping[str, RetireOrder]  # retire orders by node name
    # Machines recorded in the replicated state, by node name.
    machines: Mapping[str, StoreMachine] = attrs.field(factory=dict)
    # Disk (member id) of the newest controller on each machine, by node name.
    controller_disks: Mapping[str, str] = attrs.field(factory=dict)
    # Node names of recorded machines that had too little time to announce themselves to this primary.
    possibly_alive: frozenset[str] = frozenset()

    def is_known(self, node_name: str) -> bool:
        """Return whether there is, or was, a storage machine with that name."""
        known = {entry.announcement.node_name for entry in self.recently_seen}
        known.update(replica.node_name for replica in self.initial)
        return node_name in known or node_name in self.machines or node_name in self.orders

    def machine(self, node_name: str) -> StoreMachine:
        """Return the record of a machine, updated by its recent announcements."""
        known = StoreMachine(node_name=node_name)
        known.MergeFrom(self.machines.get(node_name, known))
        for entry in (*self.recently_seen, *self.alive):
            if entry.announcement.node_name == node_name:
                known.MergeFrom(self._announced(entry))
        return known

    def announced_machines(self) -> list[StoreMachine]:
        """Return the machines whose stores are alive and have announced themselves to this primary."""
        announced = [
            entry for entry in self.alive if not entry.is_unconfirmed and entry.announcement.member_id
        ]
        return [self._announced(entry) for entry in announced]

    def count_remaining(self, node_name: str, entries: Sequence[Registration]) -> int:
        """Return how many machines of ``entries`` remain without ``node_name`` and all retiring ones."""
        names = {entry.announcement.node_name for entry in entries if not entry.announcement.leaving}
        return len(names - set(self.orders) - {node_name})

    def count_possibly_remaining(self, node_name: str) -> int:
        """Return the same number, including machines that are offline and may come back."""
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
    """Return a command that records new machines and those with a changed address or disk, or no command.

    Applying it also extends the active retire orders of these machines.
    """
    changed = [
        machine
        for machine in inventory.announced_machines()
        if _has_new_fields(inventory.machines.get(machine.node_name), machine)
    ]
    return [Command(record_machines=RecordMachines(machines=changed))] if changed else []


def order_updates(inventory: StoreInventory) -> list[Command]:
    """Return the commands that update the retire orders according to the announcements.

    - An active order that has no disk, or whose machine has lost its disk since, is extended by the machine's
      current disk.
    - A completed order is removed when a store of that name announces another disk from another address,
      since that is a new machine. A retired machine that loses its disk before it is decommissioned still has
      its address, so its order remains and it stays out of the groups.
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
    """Return the command to retire ``machine``, with its known address and disks."""
    return Retire(
        node_name=machine.node_name,
        member_id=machine.store_id,
        ip=machine.ip,
        keeper_id=machine.keeper_id,
    )


def _has_new_fields(known: StoreMachine | None, machine: StoreMachine) -> bool:
    """Return whether ``machine`` has field values that are not in the record ``known``."""
    if known is None:
        return True
    merged = StoreMachine()
    merged.CopyFrom(known)
    merged.MergeFrom(machine)
    return merged != known
