"""Tests the completion of retire orders on the primary controller, and concurrent changes during it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from control_support import MemoryReplicas, replica, store
from result import Err, Ok, Result

from cherrycove.tier.controlplane.controller_group import ControllerGroupMembership
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_group_reconciler import StoreGroupReconciler
from cherrycove.tier.controlplane.store_inventory import StoreInventory
from cherrycove.tier.controlplane.store_members import StoreMembersReader, StoreMembersService
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, OutgoingCall
from cherrycove.tier.protocol.control_pb2 import Announcement, StoreGroup
from cherrycove.tier.protocol.keeper_pb2 import (
    Command,
    FormStoreGroup,
    RecordMachines,
    Retire,
    StoreMachine,
    StoreMembersReply,
    StoreMembersRequest,
)
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import FaultTolerance, Settings

SETTINGS = Settings(
    node_name="core-1",
    machine_class="core",
    ip_address="10.0.0.1",
    zone="north",
    region="land",
    internal_port_range=[7000, 7010],
    fault_tolerance=FaultTolerance(machine_failures=1),
)
UNREACHABLE = Failure(ErrorKind.UNREACHABLE, "no connection")

Answer = Callable[[], Result[Any, Failure]]


class ScriptedCaller(Caller):
    """Answers calls by address, and records the calls."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self.called: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Any:
        self.called.append(f"{call.address} {call.method.name}")
        return self.answers.get(call.address, lambda: Err(UNREACHABLE))()


class RetirementScenario:
    """Sets up a leading controller and stores s1 to s3; s3 is to be retired and replaced by s4."""

    def __init__(self, alive: Sequence[Announcement] = ()) -> None:
        self.replicas = MemoryReplicas()
        self.state = ControlState()
        self.group = self.replicas.add(MemberIdentity("keeper-1", "core-1", "10.0.0.1:7000"), self.state)
        for number in (2, 3):
            identity = MemberIdentity(f"keeper-{number}", f"core-{number}", f"10.0.0.{number}:7000")
            self.replicas.add(identity, ControlState())
        self.caller = ScriptedCaller()
        self.alive = [Registration(one, 0.0) for one in alive]
        self.period = LeadershipPeriod(self.group, lambda epoch: None, lambda: None)
        self.stores = StoreGroupReconciler(
            SETTINGS, self.group, self.state, self.period, self.caller, lambda: self.inventory()
        )
        self.reply = StoreMembersReply(
            members=[replica(name) for name in ("s1", "s2", "s4")], excluded=["disk-s3"], revision=99
        )
        self.caller.answers["127.0.0.1:7001"] = lambda: Ok(self.reply)
        self.replicas.lead(self.group)
        self.period.update()

    def inventory(self) -> StoreInventory:
        return StoreInventory(
            alive=self.alive,
            recently_seen=self.alive,
            initial=self.state.initial_stores,
            orders=self.state.retire_orders,
            machines=self.state.machines,
        )

    async def commit(self, **body: Any) -> None:
        await self.group.propose(Command(**body).SerializeToString(), 1.0)

    async def order(self) -> None:
        initial = [replica(name) for name in ("s1", "s2", "s3")]
        await self.commit(form_store_group=FormStoreGroup(initial=initial))
        await self.commit(retire=Retire(node_name="s3"))

    @property
    def completed(self) -> bool:
        return self.state.retire_orders["s3"].completed


def run(steps: Callable[[RetirementScenario], Any], *alive: Announcement) -> None:
    async def exchange() -> None:
        scenario = RetirementScenario(alive)
        await scenario.order()
        await steps(scenario)

    asyncio.run(exchange())


def test_a_primary_without_announcements_completes_orders_from_committed_members() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        await scenario.stores.reconcile()
        assert scenario.caller.called == ["127.0.0.1:7001 store-members"]
        assert scenario.completed

    run(steps)


def test_no_order_is_completed_without_a_reply_from_the_store_groups_primary() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        scenario.caller.answers.clear()
        await scenario.stores.reconcile()
        not_primary = Failure(ErrorKind.NOT_PRIMARY, "does not lead")
        scenario.caller.answers["127.0.0.1:7001"] = lambda: Err(not_primary)
        await scenario.stores.reconcile()
        assert not scenario.completed

    announced_primary = store("s1", group_primary=True, group_members=["disk-s1", "disk-s2", "disk-s4"])
    run(steps, announced_primary, store("s2"), store("s4"))


def test_a_pending_membership_change_of_the_controllers_blocks_completion() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        scenario.group.membership_change_pending = True
        await scenario.stores.reconcile()
        assert not scenario.completed
        scenario.group.membership_change_pending = False
        await scenario.stores.reconcile()
        assert scenario.completed

    run(steps)


def test_an_initial_controller_without_a_node_name_blocks_completion_by_its_address() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        last = scenario.replicas.groups[-1]
        last.identity = MemberIdentity("first-127.0.0.1", "", "127.0.0.1:7000")
        membership = ControllerGroupMembership(SETTINGS, scenario.group, scenario.state)
        membership.update_standbys([])
        assert scenario.group.retiring == {"s3", "first-127.0.0.1"}
        await scenario.stores.reconcile()
        assert not scenario.completed
        last.identity = MemberIdentity("keeper-9", "core-9", "10.0.0.9:7000")
        await scenario.stores.reconcile()
        assert scenario.completed

    run(steps)


def test_nothing_is_proposed_if_the_lease_ends_while_the_stores_are_asked() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        def answer() -> Result[Any, Failure]:
            scenario.replicas.lease = False
            return Ok(scenario.reply)

        scenario.caller.answers["127.0.0.1:7001"] = answer
        proposed = scenario.replicas.proposed
        await scenario.stores.reconcile()
        assert scenario.replicas.proposed == proposed

    run(steps)


def test_an_order_extended_while_the_stores_are_asked_is_not_completed() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        machine = StoreMachine(node_name="s3", ip="127.0.0.1", store_id="disk-new")
        record = Command(record_machines=RecordMachines(machines=[machine])).SerializeToString()

        def answer() -> Result[Any, Failure]:
            for group in scenario.replicas.groups:
                group.state.apply(0, record)
            return Ok(scenario.reply)

        scenario.caller.answers["127.0.0.1:7001"] = answer
        await scenario.stores.reconcile()
        assert not scenario.completed
        scenario.reply.excluded.append("disk-new")
        await scenario.stores.reconcile()
        assert scenario.completed

    run(steps)


def test_disks_of_retiring_machines_are_offered_so_that_they_are_excluded() -> None:
    async def steps(scenario: RetirementScenario) -> None:
        machine = StoreMachine(node_name="s3", ip="127.0.0.1", keeper_id="away")
        await scenario.commit(record_machines=RecordMachines(machines=[machine]))
        membership = ControllerGroupMembership(SETTINGS, scenario.group, scenario.state)
        present = Announcement(node_name="core-8", program="keeper", ip="10.0.0.8", member_id="keeper-8")
        member = Announcement(node_name="core-2", program="keeper", ip="10.0.0.2", member_id="keeper-2")
        membership.update_standbys([Registration(present, 0.0), Registration(member, 0.0)])
        assert [one.member_id for one in scenario.group.standbys] == ["keeper-8", "away"]
        assert scenario.group.retiring == {"s3", "away"}
        membership.withdraw_standbys()
        assert [one.member_id for one in scenario.group.standbys] == ["away"]

    run(steps)


def test_the_store_groups_primary_reports_its_members_only_while_confirmed() -> None:
    async def exchange() -> None:
        replicas = MemoryReplicas()
        group = replicas.add(MemberIdentity("a", "s1", "127.0.0.1:1", "z"), ControlState())
        other = replicas.add(MemberIdentity("b", "s2", "127.0.0.2:1"), ControlState())
        group.excluded = {"x"}
        service = StoreMembersService(group, ClusterView(store_group=StoreGroup(revision=8)))
        assert (await service.members(StoreMembersRequest())).unwrap_err().kind is ErrorKind.NOT_PRIMARY
        replicas.lead(other)
        assert (await service.members(StoreMembersRequest())).unwrap_err().primary == "127.0.0.2:1"
        replicas.lead(group, lease=False)
        assert (await service.members(StoreMembersRequest())).is_err()
        replicas.lease = True
        reply = (await service.members(StoreMembersRequest())).unwrap()
        assert [(one.member_id, one.node_name, one.address) for one in reply.members] == [
            ("a", "s1", "127.0.0.1:1"),
            ("b", "s2", "127.0.0.2:1"),
        ]
        assert (list(reply.excluded), reply.revision, reply.epoch, reply.index) == (["x"], 8, 2, 1)
        group.membership_change_pending = True
        assert (await service.members(StoreMembersRequest())).is_err()

    asyncio.run(exchange())


def test_stores_are_asked_in_turn_and_each_hint_is_followed_once() -> None:
    async def exchange() -> None:
        caller = ScriptedCaller()
        hint = Failure(ErrorKind.NOT_PRIMARY, "does not lead", "c:1")
        caller.answers["b:1"] = lambda: Err(hint)
        back = attrs.evolve(hint, primary="b:1")
        caller.answers["c:1"] = lambda: Err(back)
        caller.answers["d:1"] = lambda: Ok(StoreMembersReply(index=4))
        reader = StoreMembersReader(caller)
        assert (await reader.read(["a:1", "b:1", "a:1", "d:1"])).unwrap().index == 4
        assert [line.partition(" ")[0] for line in caller.called] == ["a:1", "b:1", "c:1", "d:1"]
        assert (await reader.read(["a:1"])).unwrap_err() == UNREACHABLE
        assert (await reader.read([])).is_err()

    asyncio.run(exchange())
