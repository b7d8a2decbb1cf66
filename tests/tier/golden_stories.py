"""Scenarios with fixed clocks and random seeds, and the transcripts of the messages that the code sends.

Like ``golden_support``, this module uses the current names of the code. The transcripts name messages, fields
and calls as the version that wrote the files in ``tests/data/tier`` did.
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


def transcript_message(message: Message) -> dict[str, Any]:
    """Returns a message in the form in which transcripts contain it."""
    return {
        "message": support.former_type(message.DESCRIPTOR.full_name),
        "fields": support.plain(message),
        "bytes": message.SerializeToString(deterministic=True).hex(),
    }


# Replicas


class Replica:
    """A replica whose writes go to a real disk immediately."""

    def __init__(self, number: int, directory: Path) -> None:
        directory.mkdir()
        self.identity = MemberIdentity(*sorted(inputs.GROUP_MEMBERS["keeper"])[number])
        self.isolated = False
        self.storage = ReplicaStorage(directory)
        recovered = self.storage.recover()
        rng = random.Random(number)
        self.machine = ReplicaMachine(
            self.identity, 1, recovered, self.storage, rng, 0.0, retained_entries=1, chunk_bytes=20
        )

    def write(self, write: Any) -> None:
        """Performs one write that the replica's state machine requested."""
        if isinstance(write, WriteHardState):
            self.storage.write_hard_state(write.hard_state)
        elif isinstance(write, WriteEntries):
            self.storage.append(write.entries)
        else:
            self.storage.save_snapshot(write.snapshot, write.tail)


class ReplicaCluster:
    """The replicas of one group; messages arrive in the order in which they are sent."""

    def __init__(self, directory: Path) -> None:
        self.now = 0.0
        self.replicas = [Replica(number, directory / f"replica-{number}") for number in range(3)]
        self.transcript: Transcript = []
        self._queue: deque[tuple[Replica, Replica, replication_pb2.Message]] = deque()
        for one in self.replicas:
            one.machine.bootstrap([each.identity for each in self.replicas], self.now)

    def confirmed_primary(self) -> Replica | None:
        """Returns the primary that holds a valid lease, or None if there is none."""
        return next((one for one in self.replicas if one.machine.is_confirmed_primary(self.now)), None)

    def run(self, seconds: float) -> None:
        """Advances the clock by ``seconds`` in steps of 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for one in self.replicas:
                if not one.isolated:
                    one.machine.tick(self.now)
                self.process_pending()

    def process_pending(self) -> None:
        """Applies the effects of the machines until none are pending."""
        while any([self._apply_effects(one) for one in self.replicas]) or self._queue:
            if self._queue:
                self._deliver(*self._queue.popleft())

    def _apply_effects(self, replica: Replica) -> bool:
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
        if not (sender.isolated or receiver.isolated):
            self.transcript.append({**names, **transcript_message(message)})
            receiver.machine.receive(sender.identity, message, self.now)


def replicas(directory: Path) -> Transcript:
    """Plays an election, commits, a snapshot transfer to an isolated replica, and a leadership transfer."""
    cluster = ReplicaCluster(directory)
    cluster.run(0.6)
    primary = cluster.confirmed_primary()
    assert primary is not None
    lagging = next(one for one in cluster.replicas if one is not primary)
    for number in range(8):
        lagging.isolated = number > 1
        assert primary.machine.propose(f"command {number}".encode(), cluster.now) is not None
        cluster.process_pending()
    primary.machine.save_snapshot(b"state after eight commands", cluster.now)
    cluster.process_pending()
    lagging.isolated = False
    cluster.run(0.3)
    assert lagging.machine.last_index == primary.machine.last_index
    assert primary.machine.transfer_leadership(cluster.now)
    cluster.run(0.2)
    assert cluster.confirmed_primary() not in (None, primary)
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


class GossipSimulation:
    """Processes whose only seed is the first one; those in ``silent`` neither send nor receive."""

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
        """Advances the clock by ``seconds`` in steps of 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for address, machine in self.machines.items():
                if address not in self.silent and machine.next_wakeup() <= self.now:
                    self.apply_effects(address, machine.tick(self.now))

    def apply_effects(self, address: str, effects: Sequence[Any]) -> None:
        """Applies the effects of the machine at ``address`` and all effects that result from them."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._queue.append((address, effect.address, effect.datagram))
            elif isinstance(effect, StartExchange) and effect.address not in self.silent:
                self.exchange(address, effect.address)
        while self._queue:
            self._deliver(*self._queue.popleft())

    def _deliver(self, source: str, target: str, datagram: Datagram) -> None:
        if target not in self.silent:
            self._record("datagram", source, target, datagram)
            self.apply_effects(target, self.machines[target].receive(self.now, source, datagram))

    def exchange(self, caller: str, callee: str) -> None:
        """Performs both calls of a full anti-entropy exchange."""
        ours, theirs = self.machines[caller], self.machines[callee]
        request = ours.anti_entropy.compare_request()
        self._record("membership.compare", caller, callee, request)
        reply = theirs.anti_entropy.handle_compare(request, self.now)
        self._record("reply", callee, caller, reply)
        merge = ours.anti_entropy.handle_compare_reply(reply, self.now)
        if merge is not None:
            self._record("membership.merge", caller, callee, merge)
            self._record("reply", callee, caller, theirs.anti_entropy.handle_merge(merge, self.now))
        self.apply_effects(caller, ours.finish_exchange(self.now))
        self.apply_effects(callee, theirs.finish_exchange(self.now))

    def _record(self, kind: str, source: str, target: str, message: Message) -> None:
        self.transcript.append({"kind": kind, "from": source, "to": target, **transcript_message(message)})


def membership() -> Transcript:
    """Plays discovery, the suspicion and failure of a process that stops responding, and a graceful leave."""
    members = [_member(1), _member(2), _member(3, "store"), _member(4, "proxy")]
    gossip = GossipSimulation(members)
    gossip.exchange(_address(members[1]), _address(members[0]))
    gossip.exchange(_address(members[1]), _address(members[2]))
    gossip.exchange(_address(members[0]), _address(members[2]))
    gossip.run(1.5)
    gossip.silent.add(_address(members[2]))
    gossip.run(2.5)
    gossip.apply_effects(_address(members[3]), gossip.machines[_address(members[3])].leave(gossip.now))
    return gossip.transcript


# Calls


class SingleReplicaGroup:
    """A group of which only the local replica exists; proposed commands are committed immediately."""

    def __init__(self, state: Any, *, is_primary: bool = True) -> None:
        self.identity = MemberIdentity("first-10.1.0.1", "core-1", "10.1.0.1:7700", "north")
        self.epoch = 5
        self.proposed: list[bytes] = []
        self.state = state
        self._is_primary = is_primary

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return tuple(MemberIdentity(*member) for member in inputs.GROUP_MEMBERS["keeper"])

    @property
    def primary(self) -> MemberIdentity | None:
        return self.identity if self._is_primary else self.members[0]

    def is_confirmed_primary(self) -> bool:
        return self._is_primary

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset(member.member_id for member in self.members)

    def committed_members(self) -> CommittedMembers | None:
        return CommittedMembers(12, self.members, frozenset(inputs.EXCLUDED)) if self._is_primary else None

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        self.proposed.append(command)
        return Ok(self.state.apply(len(self.proposed), command))

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Does nothing; no scenario uses standbys."""

    def set_retiring(self, names: frozenset[str]) -> None:
        """Does nothing; no scenario retires members."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Does nothing, as the group does not change during a scenario."""


class InProcessCaller(Caller):
    """Passes calls to registered handlers in process, in place of ``RpcServer`` and ``RpcClient``."""

    def __init__(self) -> None:
        self.requests: dict[str, str] = {}  # request type by call name
        self.transcript: Transcript = []
        self._call_completed = asyncio.Event()
        self._handlers: dict[str, Callable[[Any], Awaitable[Result[Any, Failure]]]] = {}

    def register(self, method: RpcMethod[Any, Any], handler: Any) -> None:
        """Registers ``handler`` for the calls of ``method``."""
        self.requests[method.name] = support.former_type(method.request_type.DESCRIPTOR.full_name)
        self._handlers[method.name] = handler

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        """Passes one call to its handler and adds it to the transcript."""
        assert support.former_type(call.request.DESCRIPTOR.full_name) == self.requests[call.method.name]
        line: dict[str, Any] = {
            "call": call.method.name,
            "to": call.address,
            "receiver": call.receiver,
            "request": transcript_message(call.request),
        }
        result = await self._handlers[call.method.name](call.request)
        if isinstance(result, Err):
            failure = result.err_value
            line["failure"] = {"kind": failure.kind.value, "primary": failure.primary}
        else:
            assert isinstance(result.ok_value, call.method.reply_type)
            line["reply"] = transcript_message(result.ok_value)
        self.transcript.append(line)
        self._call_completed.set()
        await asyncio.sleep(0)
        return result

    async def wait_for_calls(self, count: int) -> None:
        """Waits until the transcript contains at least ``count`` calls."""
        while len(self.transcript) < count:
            self._call_completed.clear()
            await self._call_completed.wait()


class FakeLeadership:
    """Tells the publisher whether this keeper or another one is the primary."""

    def __init__(self, *, is_primary: bool) -> None:
        self.epoch = 5
        self._is_primary = is_primary

    def is_confirmed_primary(self) -> bool:
        return self._is_primary

    def primary_address(self) -> str:
        return "10.1.0.2:7700"


def settings(**changes: Any) -> Settings:
    """Returns the settings of the first core machine with these changes."""
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
    """Returns the announcement of a replica on the first core machine."""
    group = SingleReplicaGroup(None)
    return replica_announcement(
        program,
        settings(),
        group,  # type: ignore[arg-type]  # has the attributes of ReplicatedGroup that are read
        disk_was_empty=True,
        incarnation=f"process-{number}",
        leaving=False,
    )


def control_state() -> ControlState:
    """Returns the keepers' state after all commands."""
    state = support.state_after("keeper", support.payloads("keeper"))
    assert isinstance(state, ControlState)
    return state


def jobs_state() -> JobsState:
    """Returns the stores' state after all commands."""
    state = support.state_after("store", support.payloads("store"))
    assert isinstance(state, JobsState)
    return state


KEEPER = "10.1.0.1:7700"


async def pull_topics(view: ClusterView) -> Transcript:
    """Plays a process that pulls until it has all topics, then pulls from a keeper that is not primary."""
    state, rpc = control_state(), InProcessCaller()
    announced: list[PullRequest] = []
    publisher = Publisher(FakeLeadership(is_primary=True), announced.append)
    publisher.serve_on(rpc)
    topics = ControlTopics(publisher, state)
    topics.begin_epoch(5)
    topics.publish_members(support.build_as(MemberList, inputs.MEMBER_LIST), 1.0)
    topics.publish_brokers(support.build_as(BrokerList, inputs.BROKER_LIST))
    puller = Puller(settings(), rpc, view, lambda: announcement("store", 1))
    await puller.start()
    await rpc.wait_for_calls(1)
    topics.publish_members(support.build_as(MemberList, {}), 2.0)
    await rpc.wait_for_calls(2)
    Publisher(FakeLeadership(is_primary=False), announced.append).serve_on(rpc)
    publisher.close()
    await rpc.wait_for_calls(3)
    await puller.stop()
    return rpc.transcript[:3]


async def learned_states() -> Transcript:
    """Returns the process's cluster view after each pull of ``pull_topics`` that changed it."""
    view, transcript = ClusterView(), []
    view.on_change(lambda: transcript.append(_view_state(view)))
    await pull_topics(view)
    return transcript


def _view_state(view: ClusterView) -> dict[str, Any]:
    return {
        "configuration": 0 if view.configuration is None else view.configuration.version,
        "document": view.document.decode(),
        "brokers": [list(attrs.astuple(broker)) for broker in view.brokers],
        "members": [support.plain(member) for member in view.members],
        "store_group": support.plain(view.store_group),
    }


async def request_status() -> Transcript:
    """Plays the status request of the command line to the primary keeper."""
    state, rpc = control_state(), InProcessCaller()
    Controller(settings(), SingleReplicaGroup(state), state, rpc, rpc)
    announced = {"announcement": support.plain(announcement("store", 1))}
    await rpc.call(KEEPER, PULL, support.build_as(PullRequest, announced), 1.0)
    await status_command.request_status(rpc, KEEPER)
    return rpc.transcript[1:]


async def store_members() -> Transcript:
    """Plays the primary keeper's request to stores for the members of their group."""
    views = ClusterView(store_group=control_state().store_group())
    transcript: Transcript = []
    for is_primary in (True, False):
        rpc = InProcessCaller()
        StoreMembersService(SingleReplicaGroup(None, is_primary=is_primary), views).serve_on(rpc)
        await StoreMembersReader(rpc).read(["10.1.0.1:7701"])
        transcript += rpc.transcript
    return transcript


async def batch_jobs() -> Transcript:
    """Plays a proxy that submits a job, leases its items, reports on them, reads the results and ends it."""
    state, rpc = JobsState(), InProcessCaller()
    group = SingleReplicaGroup(state)
    clocks: dict[str, Any] = {"clock": lambda: 1000.0, "wall_clock": lambda: 1_750_000_000.5}
    BatchStoreService(settings(), group, state, rpc, **clocks)
    views = ClusterView(members=(announcement("store", 1),))
    client = BatchClient(rpc, views, settings())
    for method, name, fields in inputs.BATCH_CALLS:
        request = support.build(f"cherrycove.batch.{name}", fields)
        await getattr(client, BATCH_METHODS[method])(request, 1.0)
    proposed = [{"proposed": "store", "bytes": command.hex()} for command in group.proposed]
    return [*rpc.transcript, *proposed]


BATCH_METHODS = {name: name for name in ("submit", "read", "body", "end", "lease", "report")}


async def discard_items() -> Transcript:
    """Returns a store's commands that give up items: of a removed route, or past their retention."""
    state = jobs_state()
    group, now = SingleReplicaGroup(state), [1000.0]
    views = ClusterView()
    clocks: dict[str, Any] = {"clock": lambda: now[0], "wall_clock": lambda: 1_750_000_001.456}
    store = BatchStoreService(settings(), group, state, InProcessCaller(), cluster_view=views, **clocks)
    await store.maintain_once()
    configured = inputs.COMPLETE_CONFIGURATION.encode()  # does not contain the route of the jobs
    views.configuration = parse_configuration(configured).unwrap()
    now[0] += 10.0
    await store.maintain_once()
    expired = SingleReplicaGroup(jobs_state())
    now[0] = 1000.0
    store = BatchStoreService(settings(), expired, expired.state, InProcessCaller(), **clocks)
    await store.maintain_once()
    now[0] += 100.0
    await store.maintain_once()
    return [
        {"reason": reason, "bytes": command.hex()}
        for reason, one in (("route removed", group), ("past retention", expired))
        for command in one.proposed
    ]


def group_options(
    program: str, identity: MemberIdentity, state: ControlState, rpc: InProcessCaller
) -> GroupOptions:
    return GroupOptions(
        name=program,
        identity=identity,
        directory=Path("unused"),
        faults=1,
        state_machine=state,
        server=rpc,
        client=rpc,
    )


async def replication(program: str) -> Transcript:
    """Plays one message between replicas whose intended receiver has been replaced by another disk."""
    rpc = InProcessCaller()
    identity = MemberIdentity("disk-a", "core-1", "10.1.0.1:7700", "north")
    create_group(group_options(program, identity, ControlState(), rpc))
    peer = MemberIdentity("disk-b", "core-2", "10.1.0.2:7700", "south")
    transport = Transport(rpc, replicate(program), lambda sender, batch: None)
    message = support.build_as(replication_pb2.Message, {"epoch": 5, "append": {"sent_us": 7}})
    transport.send(identity, peer, message)
    await transport.flush(1.0)
    return rpc.transcript


def call_names() -> dict[str, str]:
    """Returns the request message of every call that the processes of the tier serve, by call name."""

    async def register() -> dict[str, str]:
        rpc, state = InProcessCaller(), control_state()
        group = SingleReplicaGroup(state)
        Controller(settings(), group, state, rpc, rpc)
        StoreMembersService(group, ClusterView()).serve_on(rpc)
        BatchStoreService(settings(), group, JobsState(), rpc)
        MembershipService(settings(), "keeper", "process-1", rpc, rpc, random.Random(1))
        for program in support.STATES:
            create_group(group_options(program, group.identity, state, rpc))
        return dict(sorted(rpc.requests.items()))

    return asyncio.run(register())


def calls() -> dict[str, Transcript]:
    """Returns the transcripts of the calls between processes, by scenario."""

    async def run_all() -> dict[str, Transcript]:
        return {
            "pull": await pull_topics(ClusterView()),
            "learned": await learned_states(),
            "status": await request_status(),
            "store-members": await store_members(),
            "batch": await batch_jobs(),
            "given-up": await discard_items(),
            "replicate": [*await replication("keeper"), *await replication("store")],
        }

    return asyncio.run(run_all())
