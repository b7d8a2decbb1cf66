"""Decisions on the store group from what the stores announced: which begin it, what orders learn. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import attrs

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.controlplane.storage_machines import same_machine
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.protocol.keeper_pb2 import (
    Command,
    ForgetRetired,
    RecordMachines,
    Retire,
    RetireOrder,
    StoreMachine,
)
from cherrycove.tier.settings import Settings

GATHER_S = 1.0  # after the first store was seen, so that all are seen
SPARSE_GATHER_S = 3.0  # the same while fewer than the full group are seen
LAST_RESORT_S = 5.0  # after this the group is formed of whatever is alive


def full_size(settings: Settings) -> int:
    """Replicas that keep their majority when as many machines are lost as may be."""
    return 2 * settings.fault_tolerance.machine_failures + 1


class StoreGroupBootstrap:
    """Chooses the initial replicas of the store group. Times are monotonic seconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._first_seen: float | None = None
        self._seen: frozenset[str] = frozenset()
        self._seen_since = 0.0

    def choose(self, stores: Sequence[Registration], now: float) -> list[Replica]:
        """The initial replicas, or none while it is too early. ``stores`` are those alive."""
        present = [entry.announcement for entry in stores if _usable(entry)]
        if not present:
            return []
        if self._first_seen is None:
            self._first_seen = now
        self._note_set(frozenset(store.member_id for store in present), now)
        fresh = [store for store in present if store.first_start]
        waited = now - self._first_seen
        if waited >= LAST_RESORT_S:
            return self._pick(fresh if self._enough(fresh) else present)
        if waited >= GATHER_S and len(fresh) >= full_size(self._settings):
            return self._pick(fresh)
        stable = now - self._seen_since >= GATHER_S
        if waited >= SPARSE_GATHER_S and stable and self._enough(fresh):
            return self._pick(fresh)
        return []

    def _note_set(self, seen: frozenset[str], now: float) -> None:
        if seen != self._seen:
            self._seen = seen
            self._seen_since = now

    def _enough(self, stores: Sequence[Announcement]) -> bool:
        return len(stores) > self._settings.fault_tolerance.machine_failures

    def _pick(self, stores: Iterable[Announcement]) -> list[Replica]:
        spread = _over_zones(stores)[: full_size(self._settings)]
        return [
            Replica(
                member_id=store.member_id,
                node_name=store.node_name,
                address=self._settings.peer_address(store.ip, STORE_PROGRAM),
                zone=store.zone,
            )
            for store in spread
        ]


def _usable(entry: Registration) -> bool:
    announcement = entry.announcement
    return bool(announcement.member_id) and not announcement.leaving and not entry.inherited


def _over_zones(stores: Iterable[Announcement]) -> list[Announcement]:
    """By node name, one of each zone in turn."""
    zones: dict[str, list[Announcement]] = {}
    for store in sorted(stores, key=lambda one: one.node_name):
        zones.setdefault(store.zone, []).append(store)
    ordered: list[Announcement] = []
    while any(zones.values()):
        ordered.extend(queue.pop(0) for queue in zones.values() if queue)
    return ordered


@attrs.frozen
class StoreInventory:
    """The stores as the primary keeper sees them at one moment."""

    alive: Sequence[Registration]
    recently_seen: Sequence[Registration]  # also those lately gone
    initial: Sequence[Replica]
    orders: Mapping[str, RetireOrder]
    machines: Mapping[str, StoreMachine] = attrs.field(factory=dict)  # recorded in the replicated state
    # Disk (member id) of the newest controller on each machine.
    controller_disks: Mapping[str, str] = attrs.field(factory=dict)
    # Recorded machines that had too little time to announce themselves to this primary.
    possibly_alive: frozenset[str] = frozenset()

    def is_known(self, node_name: str) -> bool:
        known = {entry.announcement.node_name for entry in self.recently_seen}
        known.update(replica.node_name for replica in self.initial)
        return node_name in known or node_name in self.machines or node_name in self.orders

    def machine(self, node_name: str) -> StoreMachine:
        """What is known of a machine: what it announced lately, else what is recorded."""
        known = StoreMachine(node_name=node_name)
        known.MergeFrom(self.machines.get(node_name, known))
        for entry in (*self.recently_seen, *self.alive):
            if entry.announcement.node_name == node_name:
                known.MergeFrom(self._announced(entry))
        return known

    def _announced(self, entry: Registration) -> StoreMachine:
        announcement = entry.announcement
        return StoreMachine(
            node_name=announcement.node_name,
            ip=announcement.ip,
            store_id=announcement.member_id,
            keeper_id=self.controller_disks.get(announcement.node_name, ""),
        )

    def announced_machines(self) -> list[StoreMachine]:
        """Machines whose stores announced themselves to this primary and are alive."""
        heard = [entry for entry in self.alive if not entry.inherited and entry.announcement.member_id]
        return [self._announced(entry) for entry in heard]

    def count_remaining(self, node_name: str, entries: Sequence[Registration]) -> int:
        """Machines among ``entries`` that stay when ``node_name`` and all others to be emptied are gone."""
        names = {entry.announcement.node_name for entry in entries if not entry.announcement.leaving}
        return len(names - set(self.orders) - {node_name})

    def count_possibly_remaining(self, node_name: str) -> int:
        """The same, with machines that are away at the moment and may come back."""
        names = {entry.announcement.node_name for entry in self.recently_seen}
        return len((names | self.possibly_alive) - set(self.orders) - {node_name})


def record_updates(inventory: StoreInventory) -> list[Command]:
    """The command that records machines that are new, or have another address or disk; an open order learns
    from it as well.
    """
    changed = [
        machine
        for machine in inventory.announced_machines()
        if _adds(machine, inventory.machines.get(machine.node_name))
    ]
    return [Command(record_machines=RecordMachines(machines=changed))] if changed else []


def _adds(machine: StoreMachine, known: StoreMachine | None) -> bool:
    """Whether ``machine`` tells anything that is not ``known``."""
    if known is None:
        return True
    merged = StoreMachine()
    merged.CopyFrom(known)
    merged.MergeFrom(machine)
    return merged != known


def order_updates(inventory: StoreInventory) -> list[Command]:
    """Commands that bring the retire orders up to date with what the stores announced.

    - An open order without a disk, or whose machine lost its disk meanwhile, takes on the present disk.
    - A completed order is forgotten when a store of that name announces another disk from another address:
      that is a new machine. The emptied machine may lose its disk before it is removed; it is at its address
      then, and stays out of the groups.
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
    """The order to empty ``machine``, with what is known of it."""
    return Retire(
        node_name=machine.node_name,
        member_id=machine.store_id,
        ip=machine.ip,
        keeper_id=machine.keeper_id,
    )
