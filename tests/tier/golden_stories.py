"""Stories that the code plays with fixed clocks and chance, and the transcripts of what it sends in them.

Like ``golden_support`` this module uses the code under the names that it has now. The transcripts name
messages, fields and calls as the version did that wrote the files in ``tests/data/tier``.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
import golden_inputs as inputs
import golden_support as support
from google.protobuf.message import Message
from result import Err, Ok, Result

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.cli import status as status_command
from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_members import StoreMembersReader, StoreMembersService
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.errors import Failure
from cherrycove.tier.membership.effects import SendDatagram, StartExchange
from cherrycove.tier.membership.machine import SwimMachine
from cherrycove.tier.membership.members import Member
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.membership.service import MembershipService
from cherrycove.tier.programs.replica import replica_announcement
from cherrycove.tier.protocol import replication_pb2
from cherrycove.tier.protocol.calls import Caller, OutgoingCall, RpcMethod
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerList, MemberList, PullRequest
from cherrycove.tier.protocol.membership_pb2 import Datagram
from cherrycove.tier.protocol.replication_methods import replicate
from cherrycove.tier.replication.effects import WriteEntries, WriteHardState
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.replication.transport import Transport
from cherrycove.tier.settings import Settings
from cherrycove.tier.storage.replica_storage import ReplicaStorage

Transcript = list[dict[str, Any]]


def shown(message: Message) -> dict[str, Any]:
    """A message as a transcript has it."""
    return {
        "message": support.former_type(message.DESCRIPTOR.full_name),
        "fields": support.plain(message),
        "bytes": message.SerializeToString(deterministic=True).hex(),
    }


# Replicas


class Replica:
    """A replica whose writes go to a real disk at once."""

    def __init__(self, number: int, directory: Path) -> None:
        directory.mkdir()
        self.identity = MemberIdentity(*sorted(inputs.MEMBERS_OF["keeper"])[number])
        self.cut_off = False
        self.storage = ReplicaStorage(directory)
        recovered = self.storage.recover()
        chance = random.Random(number)
        self.machine = ReplicaMachine(
            self.identity, 1, recovered, self.storage, chance, 0.0, retained_entries=1, chunk_bytes=20
        )

    def write(self, write: Any) -> None:
        """Do one write of the machine."""
        if isinstance(write, WriteHardState):
            self.storage.write_hard_state(write.hard_state)
        elif isinstance(write, WriteEntries):
            self.storage.append(write.entries)
        else:
            self.storage.save_snapshot(write.snapshot, write.tail)


class Cluster:
    """Replicas of one group; messages arrive in the order in which they are sent."""

    def __init__(self, directory: Path) -> None:
        self.now = 0.0
        self.replicas = [Replica(number, directory / f"replica-{number}") for number in range(3)]
        self.transcript: Transcript = []
        self._queue: deque[tuple[Replica, Replica, replication_pb2.Message]] = deque()
        for one in self.replicas:
            one.machine.bootstrap([each.identity for each in self.replicas], self.now)

    def leading(self) -> Replica | None:
        """The replica that leads under a valid lease, if any."""
        return next((one for one in self.replicas if one.machine.is_confirmed_primary(self.now)), None)

    def run(self, seconds: float) -> None:
        """Let time pass in steps of 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for one in self.replicas:
                if not one.cut_off:
                    one.machine.tick(self.now)
                self.settle()

    def settle(self) -> None:
        """Do what came out of the machines until nothing is left."""
        while any([self._perform(one) for one in self.replicas]) or self._queue:
            if self._queue:
                self._deliver(*self._queue.popleft())

    def _perform(self, replica: Replica) -> bool:
        effects = replica.machine.take_effects()
        for outgoing in effects.messages:
            receiver = next(one for one in self.replicas if one.identity == outgoing.receiver)
            self._queue.append((replica, receiver, outgoing.message))
        for write in effects.writes:
            replica.write(write)
            replica.machine.complete_writes(write.ticket, self.now)
        return bool(effects.messages or effects.writes)

    def _deliver(self, sender: Replica, receiver: Replica, message: replication_pb2.Message) -> None:
        names = {"from": sender.identity.node_name, "to": receiver.identity.node_name}
        if not (sender.cut_off or receiver.cut_off):
            self.transcript.append({**names, **shown(message)})
            receiver.machine.receive(sender.identity, message, self.now)


def replicas(directory: Path) -> Transcript:
    """Replicas elect a primary, commit, send a snapshot to one that was away, and hand over."""
    cluster = Cluster(directory)
    cluster.run(0.6)
    primary = cluster.leading()
    assert primary is not None
    away = next(one for one in cluster.replicas if one is not primary)
    for number in range(8):
        away.cut_off = number > 1
        assert primary.machine.propose(f"command {number}".encode(), cluster.now) is not None
        cluster.settle()
    primary.machine.save_snapshot(b"state after eight commands", cluster.now)
    cluster.settle()
    away.cut_off = False
    cluster.run(0.3)
    assert away.machine.last_index == primary.machine.last_index
    assert primary.machine.transfer_leadership(cluster.now)
    cluster.run(0.2)
    assert cluster.leading() not in (None, primary)
    for one in cluster.replicas:
        one.storage.close()
    return cluster.transcript


# Membership


def _member(number: int, program: str = "keeper") -> Member:
    return Member(
        node_name=f"core-{number}",
        program=program,
        ip=f"10.1.0.{number}",
        zone="north",
        region="land",
        process_id=f"process-{number}",
        incarnation=1_750_000_000_000 + number,
    )


def _address(member: Member) -> str:
    return f"{member.ip}:{7700 + ('keeper', 'store', 'proxy').index(member.program)}"


class Gossip:
    """Processes of which each knows the first one's address; ``silent`` ones neither send nor hear."""

    def __init__(self, members: Sequence[Member]) -> None:
        self.now = 0.0
        self.silent: set[str] = set()
        self.transcript: Transcript = []
        self._queue: deque[tuple[str, str, Datagram]] = deque()
        seeds = (_address(members[0]),)
        self.machines = {
            _address(one): SwimMachine(
                one, SwimParameters(period_s=1.0), seeds, _address, random.Random(one.node_name), 0.0
            )
            for one in members
        }

    def run(self, seconds: float) -> None:
        """Let time pass in steps of 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for address, machine in self.machines.items():
                if address not in self.silent and machine.next_wakeup() <= self.now:
                    self.perform(address, machine.tick(self.now))

    def perform(self, address: str, effects: Sequence[Any]) -> None:
        """Do what came out of the machine at ``address``, and all that follows from it."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._queue.append((address, effect.address, effect.datagram))
            elif isinstance(effect, StartExchange) and effect.address not in self.silent:
                self.exchange(address, effect.address)
        while self._queue:
            self._deliver(*self._queue.popleft())

    def _deliver(self, source: str, target: str, datagram: Datagram) -> None:
        if target not in self.silent:
            self._note("datagram", source, target, datagram)
            self.perform(target, self.machines[target].receive(self.now, source, datagram))

    def exchange(self, caller: str, callee: str) -> None:
        """Both calls of a full exchange."""
        ours, theirs = self.machines[caller], self.machines[callee]
        request = ours.anti_entropy.compare_request()
        self._note("membership.compare", caller, callee, request)
        reply = theirs.anti_entropy.handle_compare(request, self.now)
        self._note("reply", callee, caller, reply)
        merge = ours.anti_entropy.handle_compare_reply(reply, self.now)
        if merge is not None:
            self._note("membership.merge", caller, callee, merge)
            self._note("reply", callee, caller, theirs.anti_entropy.handle_merge(merge, self.now))
        self.perform(caller, ours.finish_exchange(self.now))
        self.perform(callee, theirs.finish_exchange(self.now))

    def _note(self, kind: str, source: str, target: str, message: Message) -> None:
        self.transcript.append({"kind": kind, "from": source, "to": target, **shown(message)})


def membership() -> Transcript:
    """Processes find one another; one falls silent, is suspected and given up; one leaves."""
    members = [_member(1), _member(2), _member(3, "store"), _member(4, "proxy")]
    gossip = Gossip(members)
    gossip.exchange(_address(members[1]), _address(members[0]))
    gossip.exchange(_address(members[1]), _address(members[2]))
    gossip.exchange(_address(members[0]), _address(members[2]))
    gossip.run(1.5)
    gossip.silent.add(_address(members[2]))
    gossip.run(2.5)
    gossip.perform(_address(members[3]), gossip.machines[_address(members[3])].leave(gossip.now))
    return gossip.transcript


# Calls


class OneReplica:
    """A group of which this replica alone is asked; what is proposed is committed at once."""

    def __init__(self, state: Any, *, leads: bool = True) -> None:
        self.identity = MemberIdentity("first-10.1.0.1", "core-1", "10.1.0.1:7700", "north")
        self.epoch = 5
        self.proposed: list[bytes] = []
        self.state = state
        self._leads = leads

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return tuple(MemberIdentity(*member) for member in inputs.MEMBERS_OF["keeper"])

    @property
    def primary(self) -> MemberIdentity | None:
        return self.identity if self._leads else self.members[0]

    def is_confirmed_primary(self) -> bool:
        return self._leads

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset(member.member_id for member in self.members)

    def committed_members(self) -> CommittedMembers | None:
        return CommittedMembers(12, self.members, frozenset(inputs.EXCLUDED)) if self._leads else None

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        self.proposed.append(command)
        return Ok(self.state.apply(len(self.proposed), command))

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Not part of the stories."""

    def set_retiring(self, names: frozenset[str]) -> None:
        """Not part of the stories."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Nothing changes."""


class Wire(Caller):
    """Takes handlers and passes calls on to them, as ``RpcServer`` and ``RpcClient`` do over a network."""

    def __init__(self) -> None:
        self.requests: dict[str, str] = {}  # type of the request by the name of the call
        self.transcript: Transcript = []
        self._answered = asyncio.Event()
        self._handlers: dict[str, Callable[[Any], Awaitable[Result[Any, Failure]]]] = {}

    def register(self, method: RpcMethod[Any, Any], handler: Any) -> None:
        """Serve the calls of ``method`` by ``handler``."""
        self.requests[method.name] = support.former_type(method.request_type.DESCRIPTOR.full_name)
        self._handlers[method.name] = handler

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        """Pass one call on and add it to the transcript."""
        assert support.former_type(call.request.DESCRIPTOR.full_name) == self.requests[call.method.name]
        line: dict[str, Any] = {
            "call": call.method.name,
            "to": call.address,
            "receiver": call.receiver,
            "request": shown(call.request),
        }
        outcome = await self._handlers[call.method.name](call.request)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            line["failure"] = {"kind": failure.kind.value, "primary": failure.primary}
        else:
            assert isinstance(outcome.ok_value, call.method.reply_type)
            line["reply"] = shown(outcome.ok_value)
        self.transcript.append(line)
        self._answered.set()
        await asyncio.sleep(0)
        return outcome

    async def answered(self, count: int) -> None:
        """Wait until so many calls are in the transcript."""
        while len(self.transcript) < count:
            self._answered.clear()
            await self._answered.wait()


class Leader:
    """Tells the publisher that this keeper leads, or that another one does."""

    def __init__(self, *, leads: bool) -> None:
        self.epoch = 5
        self._leads = leads

    def is_confirmed_primary(self) -> bool:
        return self._leads

    def primary_address(self) -> str:
        return "10.1.0.2:7700"


def settings(**changes: Any) -> Settings:
    """Those of the first core machine."""
    return Settings(
        **{
            "node_name": "core-1",
            "machine_class": "core",
            "ip_address": "10.1.0.1",
            "zone": "north",
            "region": "land",
            "internal_port_range": [7700, 7709],
            "seed_nodes": ["10.1.0.1:7600"],
            "first_start": True,
            **changes,
        }
    )


def announcement(program: str, number: int) -> Announcement:
    """How a replica on the first core machine announces itself."""
    group = OneReplica(None)
    return replica_announcement(
        program,
        settings(),
        group,  # type: ignore[arg-type]  # it has what is read of a ReplicatedGroup
        disk_was_empty=True,
        incarnation=f"process-{number}",
        leaving=False,
    )


def control_state() -> ControlState:
    """The state of the keepers after all commands."""
    state = support.state_after("keeper", support.payloads("keeper"))
    assert isinstance(state, ControlState)
    return state


def jobs_state() -> JobsState:
    """The state of the stores after all commands."""
    state = support.state_after("store", support.payloads("store"))
    assert isinstance(state, JobsState)
    return state


KEEPER = "10.1.0.1:7700"


async def pulls(view: ClusterView) -> Transcript:
    """A process pulls until it has all topics; then from a keeper that does not lead."""
    state, wire = control_state(), Wire()
    announced: list[PullRequest] = []
    publisher = Publisher(Leader(leads=True), announced.append)
    publisher.serve_on(wire)
    topics = ControlTopics(publisher, state)
    topics.begin_epoch(5)
    topics.publish_members(support.build_as(MemberList, inputs.MEMBER_LIST), 1.0)
    topics.publish_brokers(support.build_as(BrokerList, inputs.BROKER_LIST))
    puller = Puller(settings(), wire, view, lambda: announcement("store", 1))
    await puller.start()
    await wire.answered(1)
    topics.publish_members(support.build_as(MemberList, {}), 2.0)
    await wire.answered(2)
    Publisher(Leader(leads=False), announced.append).serve_on(wire)
    publisher.close()
    await wire.answered(3)
    await puller.stop()
    return wire.transcript[:3]


async def learned() -> Transcript:
    """What that process knows after each pull that brought something."""
    view, transcript = ClusterView(), []
    view.on_change(lambda: transcript.append(_known(view)))
    await pulls(view)
    return transcript


def _known(view: ClusterView) -> dict[str, Any]:
    return {
        "configuration": 0 if view.configuration is None else view.configuration.version,
        "document": view.document.decode(),
        "brokers": [list(attrs.astuple(broker)) for broker in view.brokers],
        "members": [support.plain(member) for member in view.members],
        "store_group": support.plain(view.store_group),
    }


async def statuses() -> Transcript:
    """The command line asks the primary keeper for its status."""
    state, wire = control_state(), Wire()
    Controller(settings(), OneReplica(state), state, wire, wire)
    announced = {"announcement": support.plain(announcement("store", 1))}
    await wire.call(KEEPER, PULL, support.build_as(PullRequest, announced), 1.0)
    await status_command.request_status(wire, KEEPER)
    return wire.transcript[1:]


async def store_members() -> Transcript:
    """The primary keeper asks stores for the members of their group."""
    views = ClusterView(store_group=control_state().store_group())
    transcript: Transcript = []
    for leads in (True, False):
        wire = Wire()
        StoreMembersService(OneReplica(None, leads=leads), views).serve_on(wire)
        await StoreMembersReader(wire).read(["10.1.0.1:7701"])
        transcript += wire.transcript
    return transcript


async def batch_jobs() -> Transcript:
    """A proxy hands a job in, leases its items, reports on them, reads the results and ends the job."""
    state, wire = JobsState(), Wire()
    group = OneReplica(state)
    times: dict[str, Any] = {"clock": lambda: 1000.0, "wall_clock": lambda: 1_750_000_000.5}
    BatchStoreService(settings(), group, state, wire, **times)
    views = ClusterView(members=(announcement("store", 1),))
    client = BatchClient(wire, views, settings())
    for method, name, fields in inputs.BATCH_CALLS:
        request = support.build(f"cherrycove.batch.{name}", fields)
        await getattr(client, BATCH_METHODS[method])(request, 1.0)
    proposed = [{"proposed": "store", "bytes": command.hex()} for command in group.proposed]
    return [*wire.transcript, *proposed]


BATCH_METHODS = {name: name for name in ("submit", "read", "body", "end", "lease", "report")}


async def given_up() -> Transcript:
    """A store gives up items: some are past their retention, then the route of the others is removed."""
    state = jobs_state()
    group, times = OneReplica(state), [1000.0]
    views = ClusterView()
    clocks: dict[str, Any] = {"clock": lambda: times[0], "wall_clock": lambda: 1_750_000_001.456}
    store = BatchStoreService(settings(), group, state, Wire(), cluster_view=views, **clocks)
    await store.maintain_once()
    configured = inputs.COMPLETE_CONFIGURATION.encode()  # without the route of the jobs
    views.configuration = parse_configuration(configured).unwrap()
    times[0] += 10.0
    await store.maintain_once()
    late = OneReplica(jobs_state())
    times[0] = 1000.0
    store = BatchStoreService(settings(), late, late.state, Wire(), **clocks)
    await store.maintain_once()
    times[0] += 100.0
    await store.maintain_once()
    return [
        {"reason": reason, "bytes": command.hex()}
        for reason, one in (("route removed", group), ("past retention", late))
        for command in one.proposed
    ]


def group_options(program: str, identity: MemberIdentity, state: ControlState, wire: Wire) -> GroupOptions:
    return GroupOptions(
        name=program,
        identity=identity,
        directory=Path("unused"),
        faults=1,
        state_machine=state,
        server=wire,
        client=wire,
    )


async def replication(program: str) -> Transcript:
    """One message between replicas, whose receiver is another disk by now."""
    wire = Wire()
    identity = MemberIdentity("disk-a", "core-1", "10.1.0.1:7700", "north")
    create_group(group_options(program, identity, ControlState(), wire))
    peer = MemberIdentity("disk-b", "core-2", "10.1.0.2:7700", "south")
    transport = Transport(wire, replicate(program), lambda sender, batch: None)
    message = support.build_as(replication_pb2.Message, {"epoch": 5, "append": {"sent_us": 7}})
    transport.send(identity, peer, message)
    await transport.flush(1.0)
    return wire.transcript


def call_names() -> dict[str, str]:
    """Every call that a process of the tier serves, with the message that it takes."""

    async def register() -> dict[str, str]:
        wire, state = Wire(), control_state()
        group = OneReplica(state)
        Controller(settings(), group, state, wire, wire)
        StoreMembersService(group, ClusterView()).serve_on(wire)
        BatchStoreService(settings(), group, JobsState(), wire)
        MembershipService(settings(), "keeper", "process-1", wire, wire, random.Random(1))
        for program in support.STATES:
            create_group(group_options(program, group.identity, state, wire))
        return dict(sorted(wire.requests.items()))

    return asyncio.run(register())


def calls() -> dict[str, Transcript]:
    """What each pair of caller and callee says."""

    async def play() -> dict[str, Transcript]:
        return {
            "pull": await pulls(ClusterView()),
            "learned": await learned(),
            "status": await statuses(),
            "store-members": await store_members(),
            "batch": await batch_jobs(),
            "given-up": await given_up(),
            "replicate": [*await replication("keeper"), *await replication("store")],
        }

    return asyncio.run(play())
