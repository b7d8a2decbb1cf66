"""Tests when a retired machine may be decommissioned, based only on the committed members of both groups."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from cherrycove.tier.controlplane.retirement_check import CommittedMembership, GroupMember, blocking_reason
from cherrycove.tier.controlplane.storage_machines import is_on_machine
from cherrycove.tier.protocol.control_pb2 import Replica
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StoreMembersReply
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity

GROUP_SIZE = 3


def order(**changes: Any) -> RetireOrder:
    fields: dict[str, Any] = {
        "node_name": "m3",
        "member_id": "disk-3",
        "revision": 5,
        "ips": ["10.0.0.3"],
        "store_ids": ["disk-3"],
        "keeper_ids": ["first-10.0.0.3"],
        **changes,
    }
    return RetireOrder(**fields)


def member(number: int, name: str | None = None, disk: str = "") -> GroupMember:
    node_name = f"m{number}" if name is None else name
    return GroupMember(disk or f"disk-{number}", node_name, f"10.0.0.{number}:7000")


STORES = CommittedMembership((member(1), member(2), member(4)), frozenset({"disk-3"}), revision=5)
CONTROLLERS = CommittedMembership(
    (member(1, name=""), member(2, name=""), member(4)), frozenset({"first-10.0.0.3", "disk-9"})
)


def test_a_machine_excluded_by_both_groups_may_be_decommissioned() -> None:
    assert blocking_reason(order(), CONTROLLERS, STORES, GROUP_SIZE) is None


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        (
            {"members": (member(1), member(2), member(3))},
            "the store group still has members on the machine: disk-3",
        ),
        (
            {"members": (member(1), member(2), member(3, disk="new"))},
            "the store group still has members on the machine: new",
        ),
        ({"members": (member(1), member(2))}, "the store group has 2 members of 3"),
        ({"excluded": frozenset()}, "the store group has not excluded disk-3"),
        ({"revision": 4}, "the store group's primary does not know the order yet"),
    ],
)
def test_the_store_group_blocks_decommissioning(changes: dict[str, Any], reason: str) -> None:
    assert blocking_reason(order(), CONTROLLERS, attrs.evolve(STORES, **changes), GROUP_SIZE) == reason


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        (
            {"members": (member(1), member(2), member(3, name="", disk="first-10.0.0.3"))},
            "the controller group still has members on the machine: first-10.0.0.3",
        ),
        (
            {"members": (member(1), member(2), member(3, name="", disk="unheard"))},
            "the controller group still has members on the machine: unheard",
        ),
        (
            {"members": (member(1), member(2), member(8, name="m3", disk="moved"))},
            "the controller group still has members on the machine: moved",
        ),
        ({"members": (member(1), member(2))}, "the controller group has 2 members of 3"),
        ({"excluded": frozenset()}, "the controller group has not excluded first-10.0.0.3"),
    ],
)
def test_the_controller_group_blocks_decommissioning(changes: dict[str, Any], reason: str) -> None:
    assert blocking_reason(order(), attrs.evolve(CONTROLLERS, **changes), STORES, GROUP_SIZE) == reason


def test_an_unknown_address_or_disk_blocks_decommissioning() -> None:
    unknown = "the address or the disk of the machine is not known"
    assert blocking_reason(order(ips=[]), CONTROLLERS, STORES, GROUP_SIZE) == unknown
    assert blocking_reason(order(store_ids=[]), CONTROLLERS, STORES, GROUP_SIZE) == unknown


def test_every_disk_of_the_order_must_be_excluded() -> None:
    wiped = order(store_ids=["disk-3", "disk-new"])
    assert (
        blocking_reason(wiped, CONTROLLERS, STORES, GROUP_SIZE) == "the store group has not excluded disk-new"
    )
    both = attrs.evolve(STORES, excluded=frozenset({"disk-3", "disk-new"}))
    assert blocking_reason(wiped, CONTROLLERS, both, GROUP_SIZE) is None


def test_the_controller_group_may_be_incomplete_if_no_controller_ran_on_the_machine() -> None:
    core = CommittedMembership((member(11, name=""), member(12, name="")), frozenset())
    assert blocking_reason(order(keeper_ids=[]), core, STORES, GROUP_SIZE) is None


def test_a_reused_address_with_another_node_name_is_another_machine() -> None:
    assert is_on_machine(order(), "", "10.0.0.3:7000")
    assert is_on_machine(order(), "m3", "10.0.0.9:7000")
    assert not is_on_machine(order(), "m7", "10.0.0.3:7000")
    assert not is_on_machine(order(), "", "10.0.0.33:7000")


def test_committed_membership_is_created_for_both_groups() -> None:
    reply = StoreMembersReply(
        members=[Replica(member_id="a", node_name="m1", address="10.0.0.1:1")], excluded=["x"], revision=7
    )
    assert CommittedMembership.of_stores(reply) == CommittedMembership(
        (GroupMember("a", "m1", "10.0.0.1:1"),), frozenset({"x"}), 7
    )
    committed = CommittedMembers(4, (MemberIdentity("b", "", "10.0.0.2:1"),), frozenset({"y"}))
    assert CommittedMembership.of_controllers(committed) == CommittedMembership(
        (GroupMember("b", "", "10.0.0.2:1"),), frozenset({"y"})
    )
