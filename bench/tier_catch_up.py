"""Measures the catch-up time of an empty member: ``python -m bench.tier_catch_up [--megabytes 1 10 50]``.

Three replicas in this process, with real calls on loopback and real files, hold a state of the given size in
a snapshot. One of them loses its disk and restarts empty, as a standby at the same address. The result is the
time from its start until it has applied the state, and until the primary's committed member list contains it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import attrs
from result import Ok

from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.storage.identity import first_member_id, open_identity
from cherrycove.tier.storage.snapshot_state import SnapshotState

MEGABYTE = 1024 * 1024
COMMAND_BYTES = MEGABYTE // 4
TOLERATED_FAULTS = 1
MEMBERS = 3
FIRST_PORT = 7900
POLL_S = 0.002
PROPOSE_TIMEOUT_S = 10.0
WAIT_TIMEOUT_S = 120.0


class ConcatenatingStateMachine:
    """A state machine whose state is the concatenation of all commands."""

    def __init__(self) -> None:
        self.content = bytearray()

    def apply(self, index: int, command: bytes) -> object:
        self.content += command
        return None

    def snapshot(self) -> bytes:
        return bytes(self.content)

    def restore(self, state: SnapshotState) -> None:
        self.content = bytearray(bytes(state))


@attrs.define(eq=False)
class Node:
    """A replica with its RPC server and client."""

    name: str
    address: str
    directory: Path
    state: ConcatenatingStateMachine = attrs.field(init=False)
    group: ReplicatedGroup = attrs.field(init=False)
    server: RpcServer = attrs.field(init=False)
    client: RpcClient = attrs.field(init=False)

    async def start(self, initial: list[MemberIdentity], first_start: bool) -> None:
        member_id = open_identity(self.directory, first_start=first_start, ip=self.name).member_id
        identity = MemberIdentity(member_id, self.name, self.address)
        self.state, self.server, self.client = ConcatenatingStateMachine(), RpcServer(), RpcClient()
        options = GroupOptions(
            name="bench",
            identity=identity,
            directory=self.directory,
            faults=TOLERATED_FAULTS,
            state_machine=self.state,
            server=self.server,
            client=self.client,
        )
        self.group = create_group(options)
        await self.client.start()
        await self.server.start(self.address)
        await self.group.start(initial)

    async def stop(self) -> None:
        await self.group.stop()
        await self.server.stop()
        await self.client.stop()


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def _primary(nodes: list[Node]) -> Node | None:
    return next((node for node in nodes if node.group.is_confirmed_primary()), None)


async def _propose_bytes(nodes: list[Node], size: int) -> None:
    """Propose random commands until ``size`` bytes in total are committed."""
    remaining = size
    while remaining > 0:
        await _wait_until(lambda: _primary(nodes) is not None)
        primary = _primary(nodes)
        if primary is not None:
            command = os.urandom(min(remaining, COMMAND_BYTES))
            outcome = await primary.group.propose(command, PROPOSE_TIMEOUT_S)
            remaining -= len(command) if isinstance(outcome, Ok) else 0


async def measure(directory: Path, size: int) -> tuple[float, float]:
    """Return the seconds from the start of an empty member until it has the state and is a member."""
    nodes = [
        Node(f"n{number}", f"127.0.0.1:{FIRST_PORT + number}", directory / f"n{number}")
        for number in range(MEMBERS)
    ]
    initial = [MemberIdentity(first_member_id(node.name), node.name, node.address) for node in nodes]
    await asyncio.gather(*(node.start(initial, True) for node in nodes))
    try:
        await _propose_bytes(nodes, size)
        return await _measure_replacement(nodes, size)
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))


async def _measure_replacement(nodes: list[Node], size: int) -> tuple[float, float]:
    await _wait_until(lambda: _primary(nodes) is not None)
    primary = _primary(nodes)
    lost = next(node for node in nodes if node is not primary)
    others = [node for node in nodes if node is not lost]
    await lost.stop()
    shutil.rmtree(lost.directory)
    started_at = time.monotonic()
    await lost.start([], False)
    for node in others:
        node.group.offer_standbys([lost.group.identity])
    await _wait_until(lambda: len(lost.state.content) >= size)
    caught_up = time.monotonic() - started_at
    await _wait_until(lambda: _is_member(others, lost))
    return caught_up, time.monotonic() - started_at


def _is_member(others: list[Node], node: Node) -> bool:
    primary = _primary(others)
    committed = primary.group.committed_members() if primary is not None else None
    members = committed.members if committed is not None else ()
    return any(member.member_id == node.group.identity.member_id for member in members)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.tier_catch_up", description=__doc__)
    parser.add_argument("--megabytes", type=int, nargs="+", default=[1, 10, 50])
    for megabytes in parser.parse_args().megabytes:
        with tempfile.TemporaryDirectory() as directory:
            caught_up, member = asyncio.run(measure(Path(directory), megabytes * MEGABYTE))
        print(
            f"{megabytes} MB: state applied after {caught_up:.2f} s, member after {member:.2f} s", flush=True
        )


if __name__ == "__main__":
    main()
