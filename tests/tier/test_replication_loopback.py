"""Three replicas of a group in one process, with real calls on loopback, real files and real clocks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import attrs
from loopback_ports import free_address
from result import Err, Ok

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.storage.identity import first_member_id, open_identity
from cherrycove.tier.storage.snapshot_state import SnapshotState

TIMEOUT_S = 10.0


class CommandRecorder:
    """State machine that records the applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, state: SnapshotState) -> None:
        self.commands = bytes(state).split(b"\n") if state else []


@attrs.define
class Node:
    """One replica with its RPC server and client."""

    name: str
    address: str
    directory: Path
    first_start: bool = True
    recorder: CommandRecorder = attrs.field(factory=CommandRecorder)
    group: ReplicatedGroup = attrs.field(init=False)
    server: RpcServer = attrs.field(init=False)
    client: RpcClient = attrs.field(init=False)
    changed: asyncio.Event = attrs.field(init=False)

    async def start(self, initial: list[MemberIdentity], snapshot_log_bytes: int = 1024 * 1024) -> None:
        member_id, _ = open_identity(self.directory, first_start=self.first_start, ip=self.name)
        self.recorder = CommandRecorder()
        self.server, self.client, self.changed = RpcServer(), RpcClient(), asyncio.Event()
        options = GroupOptions(
            name="test",
            identity=MemberIdentity(member_id, self.name, self.address),
            directory=self.directory,
            faults=1,
            state_machine=self.recorder,
            server=self.server,
            client=self.client,
            random=Random(self.name),
            snapshot_log_bytes=snapshot_log_bytes,
        )
        self.group = create_group(options)
        self.group.on_change(self.changed.set)
        await self.client.start()
        await self.server.start(self.address)
        await self.group.start(initial)

    async def stop(self) -> None:
        await self.group.stop()
        await self.server.stop()
        await self.client.stop()


def make_nodes(path: Path, count: int) -> list[Node]:
    return [Node(f"n{number}", free_address(), path / f"n{number}") for number in range(count)]


def initial_members(nodes: list[Node]) -> list[MemberIdentity]:
    return [MemberIdentity(first_member_id(node.name), node.name, node.address) for node in nodes]


async def primary_of(nodes: list[Node]) -> Node:
    """Wait until a node is primary under a valid lease and return it."""
    while True:
        for node in nodes:
            if node.group.is_confirmed_primary():
                return node
        await asyncio.wait(
            [asyncio.ensure_future(node.changed.wait()) for node in nodes],
            timeout=0.05,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for node in nodes:
            node.changed.clear()


async def propose(nodes: list[Node], command: bytes) -> object:
    while True:
        node = await primary_of(nodes)
        outcome = await node.group.propose(command, 2.0)
        if isinstance(outcome, Ok):
            return outcome.ok_value


async def wait_until_applied(node: Node, commands: list[bytes]) -> None:
    while node.recorder.commands != commands:
        await asyncio.sleep(0)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario(), TIMEOUT_S)

    asyncio.run(bounded())


def test_commits_survive_the_primary_and_a_restart_from_disk(tmp_path: Path) -> None:
    async def scenario() -> None:
        nodes = make_nodes(tmp_path, 3)
        initial = initial_members(nodes)
        await asyncio.gather(*(node.start(initial) for node in nodes))
        assert await propose(nodes, b"one") == 1
        first = await primary_of(nodes)
        backup = next(node for node in nodes if node is not first)
        rejected = await backup.group.propose(b"never", 1.0)
        assert isinstance(rejected, Err)
        assert rejected.err_value.kind is ErrorKind.NOT_PRIMARY
        assert rejected.err_value.primary == first.address
        await first.stop()
        rest = [node for node in nodes if node is not first]
        assert await propose(rest, b"two") == 2
        await asyncio.gather(*(node.stop() for node in rest))
        for node in nodes:
            node.first_start = False
        await asyncio.gather(*(node.start([]) for node in nodes))
        assert await propose(nodes, b"three") == 3
        for node in nodes:
            await wait_until_applied(node, [b"one", b"two", b"three"])
        await asyncio.gather(*(node.stop() for node in nodes))

    run(scenario)


def test_a_damaged_disk_gets_a_new_identity(tmp_path: Path) -> None:
    async def scenario() -> None:
        nodes = make_nodes(tmp_path, 3)
        await asyncio.gather(*(node.start(initial_members(nodes)) for node in nodes))
        for command in (b"one", b"two", b"three"):
            await propose(nodes, command)
        primary = await primary_of(nodes)
        damaged = next(node for node in nodes if node is not primary)
        await wait_until_applied(damaged, [b"one", b"two", b"three"])
        await damaged.stop()
        segment = next(damaged.directory.glob("*.log"))
        data = bytearray(segment.read_bytes())
        data[20] ^= 1
        segment.write_bytes(data)
        await damaged.start([])
        assert damaged.group.identity.member_id != first_member_id(damaged.name)
        assert damaged.recorder.commands == []
        for node in nodes:
            node.group.offer_standbys([damaged.group.identity])
        await wait_until_applied(damaged, [b"one", b"two", b"three"])
        await asyncio.gather(*(node.stop() for node in nodes))

    run(scenario)


def test_a_wiped_disk_is_a_standby_until_it_is_added(tmp_path: Path) -> None:
    async def scenario() -> None:
        nodes = make_nodes(tmp_path, 3)
        initial = initial_members(nodes)
        await asyncio.gather(*(node.start(initial, 2000) for node in nodes))
        commands = [b"%04d" % number * 20_000 for number in range(30)]  # a snapshot of several chunks
        for command in commands:
            await propose(nodes, command)
        primary = await primary_of(nodes)
        lost = next(node for node in nodes if node is not primary)
        await lost.stop()
        lost.directory = tmp_path / "wiped"
        lost.first_start = False
        await lost.start([], 2000)
        assert lost.group.identity.member_id != first_member_id(lost.name)
        assert lost.group.members == ()
        for node in nodes:
            node.group.offer_standbys([lost.group.identity])
        await wait_until_applied(lost, commands)
        while lost.group.identity not in lost.group.members:
            await asyncio.sleep(0)
        await propose(nodes, b"last")
        await wait_until_applied(lost, [*commands, b"last"])
        assert len(lost.group.members) == 3
        await asyncio.gather(*(node.stop() for node in nodes))

    run(scenario)
