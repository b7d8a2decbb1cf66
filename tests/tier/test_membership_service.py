"""Tests MembershipService with real datagrams and calls on loopback."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

import attrs
from loopback_ports import free_port

from cherrycove.tier.membership.service import MembershipService
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.settings import ListenAddresses, Settings

PERIOD_MS = 60.0
WAIT_S = 15.0
SEED_IP = "127.0.0.1"


@attrs.define
class RunningService:
    service: MembershipService
    server: RpcServer
    client: RpcClient
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; it is checked after each change of members."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def wait_until_members(self, *processes: tuple[str, str]) -> None:
        """Wait until exactly these processes (name, process id) are members."""
        await self.wait_until(lambda: self.member_ids() == set(processes))

    def member_ids(self) -> set[tuple[str, str]]:
        return {(member.node_name, member.process_id) for member in self.service.members()}

    async def stop(self, leave: bool) -> None:
        await self.service.stop(leave=leave)
        await self.client.stop()
        await self.server.stop()


async def start_service(name: str, ip: str, port: int, process_id: str) -> RunningService:
    settings = Settings(
        node_name=name,
        machine_class="core",
        ip_address=ip,
        zone="z1",
        region="r1",
        internal_port_range=[port, port + 3],
        listen_addresses=ListenAddresses(),
        seed_nodes=[f"{SEED_IP}:1"],
        heartbeat_interval_ms=PERIOD_MS,
    )
    server, client = RpcServer(), RpcClient()
    service = MembershipService(settings, "keeper", process_id, server, client, random.Random(ip))
    running = RunningService(service, server, client)
    service.on_change(running.changed.set)
    await client.start()
    await server.start(settings.internal_address("keeper"))
    await service.start()
    return running


def test_processes_join_leave_die_and_rejoin() -> None:
    async def scenario() -> None:
        port = free_port(("0.0.0.0",))
        first = await start_service("a", SEED_IP, port, "a1")
        second = await start_service("b", "127.0.0.2", port, "b1")
        third = await start_service("c", "127.0.0.3", port, "c1")
        for process in (first, second, third):
            await process.wait_until_members(("a", "a1"), ("b", "b1"), ("c", "c1"))

        await third.stop(leave=True)
        await first.wait_until_members(("a", "a1"), ("b", "b1"))
        await second.wait_until_members(("a", "a1"), ("b", "b1"))
        states = {status.member.node_name: status.state.name for status in first.service.statuses()}
        assert states == {"a": "ALIVE", "b": "ALIVE", "c": "LEFT"}

        await second.stop(leave=False)
        await first.wait_until_members(("a", "a1"))

        restarted = await start_service("b", "127.0.0.2", port, "b2")
        await first.wait_until_members(("a", "a1"), ("b", "b2"))
        await restarted.wait_until_members(("a", "a1"), ("b", "b2"))
        await restarted.stop(leave=True)
        await first.stop(leave=True)

    asyncio.run(scenario())


def test_invalid_datagrams_are_ignored() -> None:
    async def scenario() -> None:
        port = free_port(("0.0.0.0",))
        first = await start_service("a", SEED_IP, port, "a1")
        with socket.socket(type=socket.SOCK_DGRAM) as client:
            for invalid in (b"", b"\xff" * 50, b"\x0a\x03abc", random.Random(1).randbytes(1100)):
                client.sendto(invalid, (SEED_IP, port))
        second = await start_service("b", "127.0.0.2", port, "b1")
        await first.wait_until_members(("a", "a1"), ("b", "b1"))
        await second.wait_until_members(("a", "a1"), ("b", "b1"))
        await second.stop(leave=False)
        await first.stop(leave=False)

    asyncio.run(scenario())
