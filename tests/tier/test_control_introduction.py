"""Tests a primary's introductions to controllers that do not pull from it, and how these use them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest
from control_support import MemoryReplicas
from result import Err
from virtual_time import run

from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.controller_contacts import ControllerContacts
from cherrycove.tier.controlplane.leadership import HINT_MAX_AGE_S, Introduction, Leadership
from cherrycove.tier.controlplane.primary_introduction import (
    INTERVAL_S,
    MAX_BACKOFF_S,
    PrimaryIntroduction,
    introduction_in,
)
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, HandlerTable, OutgoingCall
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, PullRequest
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import Settings

SELF, OTHER, STANDBY = "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"
LENGTH_S = 30.0


def settings() -> Settings:
    return Settings(
        node_name="m1",
        machine_class="core",
        ip_address="10.0.0.1",
        zone="north",
        region="land",
        internal_port_range=[7000, 7010],
        seed_nodes=["10.0.0.2:8000"],
    )


class UnreachableCaller(Caller):
    """Records each call; every call fails as unreachable."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, str, PullRequest]] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Any:
        self.calls.append((asyncio.get_running_loop().time(), call.address, call.request))
        return Err(Failure(ErrorKind.UNREACHABLE, "no connection"))

    def addresses(self) -> set[str]:
        return {address for _, address, _ in self.calls}


class Contacts(ControllerContacts):
    """Knows two other controllers, and announces this controller as the primary."""

    def __init__(self) -> None:
        self.suggested: list[str] = []

    def announcement(self) -> Announcement:
        return announcement("10.0.0.1", 1)

    def known_controllers(self) -> Iterable[str]:
        return (SELF, OTHER, STANDBY)

    def suggest_primary(self, address: str) -> None:
        self.suggested.append(address)


def announcement(ip: str, epoch: int, *, leads: bool = True, program: str = "keeper") -> Announcement:
    return Announcement(
        node_name=f"m{ip[-1:]}",
        program=program,
        ip=ip,
        incarnation="a",
        group_primary=leads,
        group_epoch=epoch,
    )


class SingleController:
    """Runs a controller in a group of one, and records its calls."""

    def __init__(self) -> None:
        self.replicas = MemoryReplicas()
        state = ControlState()
        self.group = self.replicas.add(MemberIdentity("d1", "m1", SELF), state)
        self.caller, self.contacts, self.served = UnreachableCaller(), Contacts(), HandlerTable()
        self.controller = Controller(
            settings(), self.group, state, self.served, self.caller, contacts=self.contacts
        )
        self.introduction: PrimaryIntroduction = self.controller._coordinator.introduction

    async def pull(self, pulled: Announcement) -> Any:
        return await self.served.handler(PULL)(PullRequest(announcement=pulled))

    async def passes(self, seconds: float) -> None:
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            await self.introduction.step()


def test_controllers_that_do_not_pull_are_contacted_with_backoff_and_others_are_not() -> None:
    async def scenario() -> None:
        node = SingleController()
        node.replicas.lead(node.group)
        await node.pull(announcement("10.0.0.2", 0, leads=False))
        await node.passes(2.0)
        assert node.caller.addresses() == {STANDBY}
        await node.passes(LENGTH_S)
        times = [at for at, address, _ in node.caller.calls if address == STANDBY]
        pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        assert pauses[0] < 3 * INTERVAL_S and MAX_BACKOFF_S <= max(pauses) < MAX_BACKOFF_S + 2 * INTERVAL_S
        assert OTHER in node.caller.addresses()  # It has stopped pulling meanwhile.
        sent = node.caller.calls[0][2].announcement
        assert sent.group_primary and sent.incarnation == "a"

    run(scenario())


def test_a_controller_that_does_not_lead_sends_no_introduction() -> None:
    async def scenario() -> None:
        node = SingleController()
        await node.passes(2.0)
        node.replicas.lead(node.group, lease=False)
        await node.passes(2.0)
        assert not node.caller.calls

    run(scenario())


def test_a_rejected_pull_of_the_primary_provides_the_hint_for_others() -> None:
    async def scenario() -> None:
        node = SingleController()
        refused = await node.pull(announcement("10.0.0.2", 4))
        assert refused.err_value.kind is ErrorKind.NOT_PRIMARY
        assert node.contacts.suggested == [OTHER]
        assert (await node.pull(announcement("10.0.9.9", 0, program="proxy"))).err_value.primary == OTHER
        await asyncio.sleep(HINT_MAX_AGE_S)
        assert (await node.pull(announcement("10.0.9.9", 0, program="proxy"))).err_value.primary == ""

    run(scenario())


@pytest.mark.parametrize(
    "pulled",
    [
        announcement("10.0.0.2", 4, leads=False),
        announcement("10.0.0.2", 4, program="store"),
        announcement("nowhere", 4),
        announcement("", 4),
    ],
    ids=["does not lead", "store", "no address", "empty"],
)
def test_a_pull_that_is_no_introduction_is_ignored(pulled: Announcement) -> None:
    assert introduction_in(PullRequest(announcement=pulled), settings(), 1.0) is None


def test_an_introduction_is_superseded_by_newer_information() -> None:
    async def scenario() -> None:
        replicas = MemoryReplicas()
        group = replicas.add(MemberIdentity("d1", "m1", SELF), ControlState())
        other = replicas.add(MemberIdentity("d4", "m4", "10.0.0.4:7000"), ControlState())
        leadership = Leadership(group, ClusterView())
        now = asyncio.get_running_loop().time()
        replicas.epoch = 5
        leadership.record_introduction(Introduction(OTHER, 4, now))
        assert leadership.primary_address() == ""  # The introduction is of an earlier epoch.
        leadership.record_introduction(Introduction(STANDBY, 6, now))
        leadership.record_introduction(Introduction(OTHER, 5, now))
        assert leadership.primary_address() == STANDBY
        replicas.lead(other)
        assert leadership.primary_address() == "10.0.0.4:7000"  # known from the group's heartbeats
        leadership.record_introduction(Introduction(SELF, 99, now))
        replicas.lead(None)
        assert leadership.primary_address() == ""  # A controller never names its own address.
        await asyncio.sleep(HINT_MAX_AGE_S)
        leadership.record_introduction(Introduction(OTHER, 8, now + HINT_MAX_AGE_S))
        # The expired introduction of epoch 99 does not block a later one of an older epoch.
        assert leadership.primary_address() == OTHER

    run(scenario())
