"""Carrying out retire orders at the primary keeper: what both groups tell, and what changes meanwhile."""

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
    """Answers calls by address, and notes whom was called."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self.called: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Any:
        self.called.append(f"{call.address} {call.method.name}")
        return self.answers.get(call.address, lambda: Err(UNREACHABLE))()


class Scene:
    """A keeper that leads, three stores s1 to s3 of which s3 is to be emptied, and s4 in its place."""

    def __init__(self, alive: Sequence[Announcement] = ()) -> None:
        self.replicas = MemoryReplicas()
        self.state = ControlState()
        self.group = self.replicas.add(MemberIdentity("keeper-1", "core-1", "10.0.0.1:7000"), self.state)
        for number in (2, 3):
            identity = MemberIdentity(f"keeper-{number}", f"core-{number}", f"10.0.0.{number}:7000")
            self.replicas.add(identity, ControlState())
        self.caller = ScriptedCaller()
        self.alive = [Registration(one, 0.0) for one in alive]
        self.term = LeadershipPeriod(self.group, lambda epoch: None, lambda: None)
        self.stores = StoreGroupReconciler(
            SETTINGS, self.group, self.state, self.term, self.caller, lambda: self.inventory()
        )
        self.reply = StoreMembersReply(
            members=[replica(name) for name in ("s1", "s2", "s4")], excluded=["disk-s3"], revision=99
        )
        self.caller.answers["127.0.0.1:7001"] = lambda: Ok(self.reply)
        self.replicas.lead(self.group)
        self.term.update()

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


def run(play: Callable[[Scene], Any], *alive: Announcement) -> None:
    async def exchange() -> None:
        scene = Scene(alive)
        await scene.order()
        await play(scene)

    asyncio.run(exchange())


def test_a_primary_that_heard_nobody_completes_by_committed_lists_alone() -> None:
    async def play(scene: Scene) -> None:
        await scene.stores.reconcile()
        assert scene.caller.called == ["127.0.0.1:7001 store-members"]
        assert scene.completed

    run(play)


def test_without_an_answer_of_the_store_groups_primary_nothing_is_completed() -> None:
    async def play(scene: Scene) -> None:
        scene.caller.answers.clear()
        await scene.stores.reconcile()
        not_primary = Failure(ErrorKind.NOT_PRIMARY, "does not lead")
        scene.caller.answers["127.0.0.1:7001"] = lambda: Err(not_primary)
        await scene.stores.reconcile()
        assert not scene.completed

    everything_looks_well = store("s1", group_primary=True, group_members=["disk-s1", "disk-s2", "disk-s4"])
    run(play, everything_looks_well, store("s2"), store("s4"))


def test_a_change_of_the_keepers_members_that_is_open_holds_the_machine_back() -> None:
    async def play(scene: Scene) -> None:
        scene.group.membership_change_pending = True
        await scene.stores.reconcile()
        assert not scene.completed
        scene.group.membership_change_pending = False
        await scene.stores.reconcile()
        assert scene.completed

    run(play)


def test_a_first_keeper_without_a_name_holds_its_machine_back_by_its_address() -> None:
    async def play(scene: Scene) -> None:
        last = scene.replicas.groups[-1]
        last.identity = MemberIdentity("first-127.0.0.1", "", "127.0.0.1:7000")
        membership = ControllerGroupMembership(SETTINGS, scene.group, scene.state)
        membership.update_standbys([])
        assert scene.group.retiring == {"s3", "first-127.0.0.1"}
        await scene.stores.reconcile()
        assert not scene.completed
        last.identity = MemberIdentity("keeper-9", "core-9", "10.0.0.9:7000")
        await scene.stores.reconcile()
        assert scene.completed

    run(play)


def test_a_lease_that_ended_while_the_stores_were_asked() -> None:
    async def play(scene: Scene) -> None:
        def answer() -> Result[Any, Failure]:
            scene.replicas.lease = False
            return Ok(scene.reply)

        scene.caller.answers["127.0.0.1:7001"] = answer
        proposed = scene.replicas.proposed
        await scene.stores.reconcile()
        assert scene.replicas.proposed == proposed

    run(play)


def test_an_order_that_learns_of_a_disk_while_the_stores_are_asked() -> None:
    async def play(scene: Scene) -> None:
        machine = StoreMachine(node_name="s3", ip="127.0.0.1", store_id="disk-new")
        record = Command(record_machines=RecordMachines(machines=[machine])).SerializeToString()

        def answer() -> Result[Any, Failure]:
            for group in scene.replicas.groups:
                group.state.apply(0, record)
            return Ok(scene.reply)

        scene.caller.answers["127.0.0.1:7001"] = answer
        await scene.stores.reconcile()
        assert not scene.completed
        scene.reply.excluded.append("disk-new")
        await scene.stores.reconcile()
        assert scene.completed

    run(play)


def test_disks_to_be_emptied_are_offered_so_that_they_are_excluded() -> None:
    async def play(scene: Scene) -> None:
        machine = StoreMachine(node_name="s3", ip="127.0.0.1", keeper_id="away")
        await scene.commit(record_machines=RecordMachines(machines=[machine]))
        membership = ControllerGroupMembership(SETTINGS, scene.group, scene.state)
        present = Announcement(node_name="core-8", program="keeper", ip="10.0.0.8", member_id="keeper-8")
        member = Announcement(node_name="core-2", program="keeper", ip="10.0.0.2", member_id="keeper-2")
        membership.update_standbys([Registration(present, 0.0), Registration(member, 0.0)])
        assert [one.member_id for one in scene.group.standbys] == ["keeper-8", "away"]
        assert scene.group.retiring == {"s3", "away"}
        membership.withdraw_standbys()
        assert [one.member_id for one in scene.group.standbys] == ["away"]

    run(play)


def test_the_store_groups_primary_tells_its_list_only_while_it_is_sure() -> None:
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


def test_stores_are_asked_in_turn_and_hints_followed_once() -> None:
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
