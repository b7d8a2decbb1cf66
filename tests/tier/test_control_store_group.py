"""Forming the store group, and what orders learn of announcements, with a clock of the test."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from control_support import replica, store

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.controlplane.store_group_bootstrap import (
    DISCOVERY_PERIOD_S,
    DISCOVERY_TIMEOUT_S,
    PARTIAL_DISCOVERY_PERIOD_S,
    StoreGroupBootstrap,
)
from cherrycove.tier.controlplane.store_inventory import StoreInventory, order_updates, record_updates
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder
from cherrycove.tier.settings import FaultTolerance, Settings


def forming(machine_failures: int = 1) -> StoreGroupBootstrap:
    settings = Settings(
        node_name="core-1",
        machine_class="core",
        ip_address="127.0.0.1",
        zone="north",
        region="land",
        internal_port_range=[7000, 7010],
        fault_tolerance=FaultTolerance(machine_failures=machine_failures),
    )
    return StoreGroupBootstrap(settings)


def heard(*announcements: Announcement, inherited: bool = False) -> list[Registration]:
    return [Registration(one, 0.0, inherited) for one in announcements]


def chosen(group: StoreGroupBootstrap, stores: Iterable[Registration], now: float) -> list[str]:
    return [one.node_name for one in group.choose(list(stores), now)]


def test_all_stores_are_awaited_and_zones_taken_in_turn() -> None:
    group = forming()
    stores = heard(store("s1", zone="a"), store("s2", zone="a"), store("s3", zone="b"), store("s4", zone="c"))
    assert chosen(group, stores[:1], 0.0) == []
    assert chosen(group, stores, 0.3) == []
    assert chosen(group, stores, DISCOVERY_PERIOD_S) == ["s1", "s3", "s4"]
    replicas = group.choose(stores, DISCOVERY_PERIOD_S)
    assert replicas[0].address == "127.0.0.1:7001"
    assert replicas[0].member_id == "disk-s1"


def test_a_sparse_group_is_formed_later_and_only_above_the_losses_to_bear() -> None:
    group = forming()
    two = heard(store("s1"), store("s2"))
    assert chosen(group, two, 0.0) == []
    assert chosen(group, two, DISCOVERY_PERIOD_S) == []
    assert chosen(group, two, PARTIAL_DISCOVERY_PERIOD_S) == ["s1", "s2"]
    alone = forming()
    assert chosen(alone, two[:1], 0.0) == []
    assert chosen(alone, two[:1], PARTIAL_DISCOVERY_PERIOD_S) == []
    assert chosen(alone, two[:1], DISCOVERY_TIMEOUT_S) == ["s1"]


def test_a_store_that_just_came_puts_a_sparse_group_off() -> None:
    group = forming()
    assert chosen(group, heard(store("s1")), 0.0) == []
    late = PARTIAL_DISCOVERY_PERIOD_S - 0.1
    assert chosen(group, heard(store("s1"), store("s2")), late) == []
    assert chosen(group, heard(store("s1"), store("s2")), late + DISCOVERY_PERIOD_S / 2) == []
    assert chosen(group, heard(store("s1"), store("s2")), late + DISCOVERY_PERIOD_S) == ["s1", "s2"]


def test_without_first_starts_whatever_is_alive_is_taken_last() -> None:
    group = forming()
    stores = heard(store("s1", first_start=False), store("s2", first_start=False))
    assert chosen(group, stores, 0.0) == []
    assert chosen(group, stores, PARTIAL_DISCOVERY_PERIOD_S + DISCOVERY_PERIOD_S) == []
    assert chosen(group, stores, DISCOVERY_TIMEOUT_S) == ["s1", "s2"]


def test_stores_that_leave_or_were_only_told_of_are_not_taken() -> None:
    group = forming(machine_failures=0)
    stores = heard(store("s1", leaving=True), store("s2", member_id="")) + heard(store("s3"), inherited=True)
    assert chosen(group, stores, 0.0) == []
    assert chosen(group, stores, DISCOVERY_TIMEOUT_S) == []
    assert chosen(group, stores + heard(store("s4")), DISCOVERY_TIMEOUT_S) == []
    assert chosen(group, stores + heard(store("s4")), DISCOVERY_TIMEOUT_S + DISCOVERY_PERIOD_S) == ["s4"]


def inventory(order: RetireOrder, *alive: Announcement, inherited: bool = False) -> StoreInventory:
    entries = heard(*alive, inherited=inherited)
    return StoreInventory(
        alive=entries,
        recently_seen=entries,
        initial=[replica("s1"), replica("s2"), replica("s3")],
        orders={order.node_name: order},
    )


def kinds(now: StoreInventory) -> list[str | None]:
    return [command.WhichOneof("body") for command in order_updates(now)]


def test_an_order_for_a_machine_that_lost_its_disk_takes_on_the_new_one() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    assert kinds(inventory(order, store("s2"), store("s3"))) == []
    wiped = store("s3", member_id="disk-new")
    assert kinds(inventory(order, store("s2"), wiped)) == ["retire"]
    assert kinds(inventory(order, wiped, inherited=True)) == []
    [command] = order_updates(inventory(order, wiped))
    assert (command.retire.member_id, command.retire.ip) == ("disk-new", "127.0.0.1")


def test_a_completed_order_is_forgotten_when_another_machine_has_the_name() -> None:
    order = RetireOrder(
        node_name="s3", member_id="disk-s3", completed=True, ips=["127.0.0.1"], store_ids=["disk-s3"]
    )
    assert kinds(inventory(order, store("s3"))) == []
    assert kinds(inventory(order)) == []
    emptied_again = store("s3", member_id="disk-new")
    assert kinds(inventory(order, emptied_again)) == []
    newcomer = store("s3", member_id="disk-new", ip="127.0.0.7")
    assert kinds(inventory(order, newcomer)) == ["forget_retired"]


def test_machines_are_recorded_with_address_and_disks() -> None:
    entries = heard(store("s1"), store("s2"))
    seen = StoreInventory(
        alive=entries, recently_seen=entries, initial=[], orders={}, controller_disks={"s1": "keeper-s1"}
    )
    [command] = record_updates(seen)
    machines = {machine.node_name: machine for machine in command.record_machines.machines}
    assert machines["s1"].keeper_id == "keeper-s1"
    assert (machines["s2"].ip, machines["s2"].store_id) == ("127.0.0.1", "disk-s2")
    known = attrs.evolve(seen, machines=machines, controller_disks={})
    assert record_updates(known) == []
    moved = heard(store("s1", ip="127.0.0.8"), store("s2"))
    [again] = record_updates(attrs.evolve(known, alive=moved))
    assert [machine.ip for machine in again.record_machines.machines] == ["127.0.0.8"]
    told_of = heard(store("s9"), inherited=True)
    assert record_updates(attrs.evolve(known, alive=told_of)) == []
