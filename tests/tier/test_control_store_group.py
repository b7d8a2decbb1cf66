"""Forming the store group and emptying stores, with a clock of the test."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from control_support import replica, store

from cherrycove.tier.controlplane.register import Registration
from cherrycove.tier.controlplane.store_group import (
    GATHER_S,
    LAST_RESORT_S,
    SPARSE_GATHER_S,
    GroupForming,
    StoreFleet,
    order_updates,
)
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder
from cherrycove.tier.settings import FaultTolerance, Settings

GROUP_SIZE = 3


def forming(machine_failures: int = 1) -> GroupForming:
    settings = Settings(
        node_name="core-1",
        machine_class="core",
        ip_address="127.0.0.1",
        zone="north",
        region="land",
        internal_port_range=[7000, 7010],
        fault_tolerance=FaultTolerance(machine_failures=machine_failures),
    )
    return GroupForming(settings)


def heard(*announcements: Announcement, revision: int = 0, seeded: bool = False) -> list[Registration]:
    return [Registration(one, 0.0, revision, seeded) for one in announcements]


def chosen(group: GroupForming, stores: Iterable[Registration], now: float) -> list[str]:
    return [one.node_name for one in group.choose(list(stores), now)]


def test_all_stores_are_awaited_and_zones_taken_in_turn() -> None:
    group = forming()
    stores = heard(store("s1", zone="a"), store("s2", zone="a"), store("s3", zone="b"), store("s4", zone="c"))
    assert chosen(group, stores[:1], 0.0) == []
    assert chosen(group, stores, 0.3) == []
    assert chosen(group, stores, GATHER_S) == ["s1", "s3", "s4"]
    replicas = group.choose(stores, GATHER_S)
    assert replicas[0].address == "127.0.0.1:7001"
    assert replicas[0].member_id == "disk-s1"


def test_a_sparse_group_is_formed_later_and_only_above_the_losses_to_bear() -> None:
    group = forming()
    two = heard(store("s1"), store("s2"))
    assert chosen(group, two, 0.0) == []
    assert chosen(group, two, GATHER_S) == []
    assert chosen(group, two, SPARSE_GATHER_S) == ["s1", "s2"]
    alone = forming()
    assert chosen(alone, two[:1], 0.0) == []
    assert chosen(alone, two[:1], SPARSE_GATHER_S) == []
    assert chosen(alone, two[:1], LAST_RESORT_S) == ["s1"]


def test_a_store_that_just_came_puts_a_sparse_group_off() -> None:
    group = forming()
    assert chosen(group, heard(store("s1")), 0.0) == []
    late = SPARSE_GATHER_S - 0.1
    assert chosen(group, heard(store("s1"), store("s2")), late) == []
    assert chosen(group, heard(store("s1"), store("s2")), late + GATHER_S / 2) == []
    assert chosen(group, heard(store("s1"), store("s2")), late + GATHER_S) == ["s1", "s2"]


def test_without_first_starts_whatever_is_alive_is_taken_last() -> None:
    group = forming()
    stores = heard(store("s1", first_start=False), store("s2", first_start=False))
    assert chosen(group, stores, 0.0) == []
    assert chosen(group, stores, SPARSE_GATHER_S + GATHER_S) == []
    assert chosen(group, stores, LAST_RESORT_S) == ["s1", "s2"]


def test_stores_that_leave_or_were_only_told_of_are_not_taken() -> None:
    group = forming(machine_failures=0)
    stores = heard(store("s1", leaving=True), store("s2", member_id="")) + heard(store("s3"), seeded=True)
    assert chosen(group, stores, 0.0) == []
    assert chosen(group, stores, LAST_RESORT_S) == []
    assert chosen(group, stores + heard(store("s4")), LAST_RESORT_S) == []
    assert chosen(group, stores + heard(store("s4")), LAST_RESORT_S + GATHER_S) == ["s4"]


def leader(*members: str, epoch: int = 2, name: str = "s1") -> Announcement:
    disks = [f"disk-{member}" for member in members]
    return store(name, group_primary=True, group_epoch=epoch, group_members=disks)


def fleet(leaders: list[Registration], order: RetireOrder, others: Iterable[str] = ()) -> StoreFleet:
    alive = [*leaders, *heard(*(store(name) for name in others))]
    return StoreFleet(
        alive=alive,
        remembered=alive,
        initial=[replica("s1"), replica("s2"), replica("s3")],
        orders={order.node_name: order},
    )


def kinds(now: StoreFleet) -> list[str | None]:
    return [command.WhichOneof("body") for command in order_updates(now, GROUP_SIZE)]


def test_an_order_is_completed_when_a_primary_that_knows_it_has_a_whole_group_without_the_disk() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    others = ("s2", "s3", "s4")
    with_it = heard(leader("s1", "s2", "s3"), revision=5)
    without = heard(leader("s1", "s2", "s4"), revision=5)
    too_early = heard(leader("s1", "s2", "s4"), revision=4)
    shrunk = heard(leader("s1", "s2"), revision=5)
    assert kinds(fleet([], order, others)) == []
    assert kinds(fleet(with_it, order, others)) == []
    assert kinds(fleet(too_early, order, others)) == []
    assert kinds(fleet(shrunk, order, others)) == []
    assert kinds(fleet(without, order, others)) == ["retired"]
    told_of = [Registration(without[0].announcement, 0.0, 5, seeded=True)]
    assert kinds(fleet(told_of, order, others)) == []


def test_an_order_waits_while_the_keepers_count_on_the_disk_of_that_machine() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    free = fleet(heard(leader("s1", "s2", "s4"), revision=5), order, ("s2", "s3", "s4"))
    assert kinds(attrs.evolve(free, keeping=frozenset({"s3"}))) == []
    assert kinds(attrs.evolve(free, keeping=frozenset({"s1"}))) == ["retired"]


def test_the_primary_of_the_newest_epoch_counts() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    stale = heard(leader("s1", "s2", "s4", epoch=2), revision=5)
    newer = heard(leader("s1", "s2", "s3", epoch=3, name="s2"), revision=5)
    assert kinds(fleet(stale + newer, order, ("s3", "s4"))) == []


def test_an_order_for_a_machine_that_lost_its_disk_takes_on_the_new_one() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", revision=5)
    wiped = heard(store("s3", member_id="disk-new"))
    without = heard(leader("s1", "s2", "s4"), revision=5)
    assert kinds(fleet([*without, *wiped], order, ("s2", "s4"))) == ["retire"]


def test_an_order_without_a_disk_needs_a_group_of_known_stayers() -> None:
    order = RetireOrder(node_name="s9", member_id="", revision=5)
    known = heard(leader("s1", "s2", "s3"), revision=5)
    assert kinds(fleet(known, order, ("s2", "s3"))) == ["retired"]
    unknown = heard(leader("s1", "s2", "s7"), revision=5)
    assert kinds(fleet(unknown, order, ("s2", "s3"))) == []


def test_a_completed_order_is_forgotten_when_another_disk_has_the_name() -> None:
    order = RetireOrder(node_name="s3", member_id="disk-s3", completed=True, revision=5)
    assert kinds(fleet([], order, ("s3",))) == []
    assert kinds(fleet([], order, ())) == []
    newcomer = heard(store("s3", member_id="disk-new"))
    assert kinds(fleet(newcomer, order)) == ["forget_retired"]
