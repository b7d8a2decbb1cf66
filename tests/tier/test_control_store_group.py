"""Tests forming the store group, and updating retire orders and machine records from announcements."""

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


def new_bootstrap(machine_failures: int = 1) -> StoreGroupBootstrap:
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


def registered(*announcements: Announcement, inherited: bool = False) -> list[Registration]:
    return [Registration(one, 0.0, inherited) for one in announcements]


def chosen(bootstrap: StoreGroupBootstrap, stores: Iterable[Registration], now: float) -> list[str]:
    return [replica.node_name for replica in bootstrap.choose(list(stores), now)]


def test_the_group_waits_for_all_stores_and_alternates_between_zones() -> None:
    bootstrap = new_bootstrap()
    stores = registered(
        store("s1", zone="a"), store("s2", zone="a"), store("s3", zone="b"), store("s4", zone="c")
    )
    assert chosen(bootstrap, stores[:1], 0.0) == []
    assert chosen(bootstrap, stores, 0.3) == []
    assert chosen(bootstrap, stores, DISCOVERY_PERIOD_S) == ["s1", "s3", "s4"]
    replicas = bootstrap.choose(stores, DISCOVERY_PERIOD_S)
    assert replicas[0].address == "127.0.0.1:7001"
    assert replicas[0].member_id == "disk-s1"


def test_an_incomplete_group_is_formed_later_and_must_exceed_the_tolerated_failures() -> None:
    bootstrap = new_bootstrap()
    two = registered(store("s1"), store("s2"))
    assert chosen(bootstrap, two, 0.0) == []
    assert chosen(bootstrap, two, DISCOVERY_PERIOD_S) == []
    assert chosen(bootstrap, two, PARTIAL_DISCOVERY_PERIOD_S) == ["s1", "s2"]
    alone = new_bootstrap()
    assert chosen(alone, two[:1], 0.0) == []
    assert chosen(alone, two[:1], PARTIAL_DISCOVERY_PERIOD_S) == []
    assert chosen(alone, two[:1], DISCOVERY_TIMEOUT_S) == ["s1"]


def test_a_new_store_delays_the_formation_of_an_incomplete_group() -> None:
    bootstrap = new_bootstrap()
    assert chosen(bootstrap, registered(store("s1")), 0.0) == []
    late = PARTIAL_DISCOVERY_PERIOD_S - 0.1
    assert chosen(bootstrap, registered(store("s1"), store("s2")), late) == []
    assert chosen(bootstrap, registered(store("s1"), store("s2")), late + DISCOVERY_PERIOD_S / 2) == []
    assert chosen(bootstrap, registered(store("s1"), store("s2")), late + DISCOVERY_PERIOD_S) == ["s1", "s2"]


def test_without_first_starts_the_alive_stores_are_chosen_after_the_timeout() -> None:
    bootstrap = new_bootstrap()
    stores = registered(store("s1", first_start=False), store("s2", first_start=False))
    assert chosen(bootstrap, stores, 0.0) == []
    assert chosen(bootstrap, stores, PARTIAL_DISCOVERY_PERIOD_S + DISCOVERY_PERIOD_S) == []
    assert chosen(bootstrap, stores, DISCOVERY_TIMEOUT_S) == ["s1", "s2"]


def test_leaving_unidentified_and_unconfirmed_stores_are_not_chosen() -> None:
    bootstrap = new_bootstrap(machine_failures=0)
    stores = registered(store("s1", leaving=True), store("s2", member_id="")) + registered(
        store("s3"), inherited=True
    )
    assert chosen(bootstrap, stores, 0.0) == []
    assert chosen(bootstrap, stores, DISCOVERY_TIMEOUT_S) == []
    assert chosen(bootstrap, stores + registered(store("s4")), DISCOVERY_TIMEOUT_S) == []
    assert chosen(bootstrap, stores + registered(store("s4")), DISCOVERY_TIMEOUT_S + DISCOVERY_PERIOD_S) == [
        "s4"
    ]


def inventory(order: RetireOrder, *alive: Announcement, inherited: bool = False) -> StoreInventory:
    entries = registered(*alive, inherited=inherited)
    return StoreInventory(
        alive=entries,
        recently_seen=entries,
        initial=[replica("s1"), replica("s2"), replica("s3")],
        orders={order.node_name: order},
    )


def update_kinds(current: StoreInventory) -> list[str | None]:
    return [command.WhichOneof("body") for command in order_updates(current)]


def test_an_order_for_a_machine_that_lost_its_disk_is_extended_by_the_new_one() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    assert update_kinds(inventory(order, store("s2"), store("s3"))) == []
    wiped = store("s3", member_id="disk-new")
    assert update_kinds(inventory(order, store("s2"), wiped)) == ["retire"]
    assert update_kinds(inventory(order, wiped, inherited=True)) == []
    [command] = order_updates(inventory(order, wiped))
    assert (command.retire.member_id, command.retire.ip) == ("disk-new", "127.0.0.1")


def test_a_completed_order_is_removed_when_another_machine_uses_the_name() -> None:
    order = RetireOrder(
        node_name="s3", member_id="disk-s3", completed=True, ips=["127.0.0.1"], store_ids=["disk-s3"]
    )
    assert update_kinds(inventory(order, store("s3"))) == []
    assert update_kinds(inventory(order)) == []
    same_machine = store("s3", member_id="disk-new")
    assert update_kinds(inventory(order, same_machine)) == []
    new_machine = store("s3", member_id="disk-new", ip="127.0.0.7")
    assert update_kinds(inventory(order, new_machine)) == ["forget_retired"]


def test_machines_are_recorded_with_address_and_disks() -> None:
    entries = registered(store("s1"), store("s2"))
    observed = StoreInventory(
        alive=entries, recently_seen=entries, initial=[], orders={}, controller_disks={"s1": "keeper-s1"}
    )
    [command] = record_updates(observed)
    machines = {machine.node_name: machine for machine in command.record_machines.machines}
    assert machines["s1"].keeper_id == "keeper-s1"
    assert (machines["s2"].ip, machines["s2"].store_id) == ("127.0.0.1", "disk-s2")
    known = attrs.evolve(observed, machines=machines, controller_disks={})
    assert record_updates(known) == []
    moved = registered(store("s1", ip="127.0.0.8"), store("s2"))
    [again] = record_updates(attrs.evolve(known, alive=moved))
    assert [machine.ip for machine in again.record_machines.machines] == ["127.0.0.8"]
    unconfirmed = registered(store("s9"), inherited=True)
    assert record_updates(attrs.evolve(known, alive=unconfirmed)) == []
