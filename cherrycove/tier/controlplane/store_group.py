"""Decisions on the store group: which stores begin it, and when a store to be emptied is free to go. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import attrs

from cherrycove.tier.controlplane.register import Registration
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.protocol.keeper_pb2 import Command, ForgetRetired, Retire, Retired, RetireOrder
from cherrycove.tier.settings import Settings

GATHER_S = 1.0  # after the first store was seen, so that all are seen
SPARSE_GATHER_S = 3.0  # the same while fewer than the full group are seen
LAST_RESORT_S = 5.0  # after this the group is formed of whatever is alive


def full_size(settings: Settings) -> int:
    """Replicas that keep their majority when as many machines are lost as may be."""
    return 2 * settings.fault_tolerance.machine_failures + 1


class GroupForming:
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
                address=self._settings.peer_address(store.ip, "store"),
                zone=store.zone,
            )
            for store in spread
        ]


def _usable(entry: Registration) -> bool:
    announcement = entry.announcement
    return bool(announcement.member_id) and not announcement.leaving and not entry.seeded


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
class StoreFleet:
    """The stores as the primary keeper sees them at one moment."""

    alive: Sequence[Registration]
    remembered: Sequence[Registration]  # also those lately gone
    initial: Sequence[Replica]
    orders: Mapping[str, RetireOrder]
    keeping: frozenset[str] = frozenset()  # machines whose disk the keepers' own group still counts on

    def knows(self, node_name: str) -> bool:
        known = {entry.announcement.node_name for entry in self.remembered}
        known.update(replica.node_name for replica in self.initial)
        return node_name in known or node_name in self.orders

    def member_id(self, node_name: str) -> str:
        """The newest disk known of a machine; empty when none is."""
        for entry in (*self.alive, *self.remembered):
            if entry.announcement.node_name == node_name and entry.announcement.member_id:
                return entry.announcement.member_id
        return next((one.member_id for one in self.initial if one.node_name == node_name), "")

    def left_without(self, node_name: str, entries: Sequence[Registration]) -> int:
        """Machines among ``entries`` that stay when ``node_name`` and all others to be emptied are gone."""
        names = {entry.announcement.node_name for entry in entries if not entry.announcement.leaving}
        return len(names - set(self.orders) - {node_name})

    def primary(self) -> Registration | None:
        """The store that leads its group in the newest epoch."""
        leaders = [entry for entry in self.alive if entry.announcement.group_primary and not entry.seeded]
        return max(leaders, key=lambda entry: entry.announcement.group_epoch, default=None)


def order_updates(fleet: StoreFleet, group_size: int) -> list[Command]:
    """Commands that bring the retire orders up to date with what the stores announced.

    - An open order without a disk, or whose machine lost its disk meanwhile, takes on the present disk.
    - An open order is completed when the store group's primary, having seen the order, announced a group of
      ``group_size`` members, or of all that can be, without the disk of that machine; where a keeper runs
      there too, the keepers' group must have left that disk as well.
    - A completed order is forgotten when a store of that name announces another disk: that is a new machine.
      The emptied machine keeps its disk until it is removed, so it cannot be taken for a new one.
    """
    commands = []
    for order in fleet.orders.values():
        disk = _announced_disk(fleet, order.node_name)
        if order.completed:
            if disk and order.member_id and disk != order.member_id:
                forget = ForgetRetired(node_name=order.node_name, member_id=order.member_id)
                commands.append(Command(forget_retired=forget))
        elif disk and disk != order.member_id:
            commands.append(Command(retire=Retire(node_name=order.node_name, member_id=disk)))
        elif order.node_name not in fleet.keeping and _emptied(order, fleet, group_size):
            retired = Retired(node_name=order.node_name, member_id=order.member_id)
            commands.append(Command(retired=retired))
    return commands


def _announced_disk(fleet: StoreFleet, node_name: str) -> str:
    return next(
        (
            entry.announcement.member_id
            for entry in fleet.alive
            if entry.announcement.node_name == node_name and not entry.seeded
        ),
        "",
    )


def _emptied(order: RetireOrder, fleet: StoreFleet, group_size: int) -> bool:
    leader = fleet.primary()
    if leader is None or leader.store_group_revision < order.revision:
        return False
    members = set(leader.announcement.group_members)
    stayers = {
        entry.announcement.member_id
        for entry in fleet.alive
        if entry.announcement.node_name not in fleet.orders
    }
    if len(members) < min(group_size, max(len(stayers), 1)):
        return False
    if order.member_id:
        return order.member_id not in members
    return members <= stayers
