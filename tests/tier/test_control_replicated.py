"""Tests that a change survives the loss of the primary, with real replication and disks over loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
from control_support import STEP_TIMEOUT_S, document
from loopback_ports import free_ports

from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.settings import CloudApi, ListenAddresses, Settings

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


class Node:
    """Runs one controller on one disk."""

    def __init__(self, host: str, ports: list[int], folder: Path) -> None:
        control, internal, platform = ports
        settings = Settings(
            node_name=f"core-{host[-1]}",
            machine_class="core",
            ip_address=host,
            zone="north",
            region="land",
            internal_port_range=[internal, internal + 9],
            listen_addresses=ListenAddresses(control_plane=f"{host}:{control}"),
            cloud_api=CloudApi(address=f"127.0.0.1:{platform}"),
        )
        self.host = host
        self.address = settings.internal_address("keeper")
        self.identity = MemberIdentity(f"disk-{host}", settings.node_name, self.address)
        self.server = RpcServer()
        self.client = RpcClient()
        state = ControlState()
        disk = folder / host
        disk.mkdir(exist_ok=True)
        options = GroupOptions(
            name="keeper",
            identity=self.identity,
            directory=disk,
            faults=1,
            state_machine=state,
            server=self.server,
            client=self.client,
        )
        self.group = create_group(options)
        self.controller = Controller(settings, self.group, state, self.server, self.client)

    async def start(self, members: list[MemberIdentity]) -> None:
        await self.client.start()
        await self.group.start(members)
        await self.controller.start()
        await self.server.start(self.address)

    async def stop(self) -> None:
        await self.controller.stop()
        await self.server.stop()
        await self.group.stop()
        await self.client.stop()


async def call(nodes: list[Node], port: int, method: str, body: bytes = b"", base: int = 0) -> bytes:
    """Send an operator's request to the controllers in turn until one answers with status 200."""
    attempt = 0
    async with asyncio.timeout(STEP_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            url = f"http://{nodes[attempt % len(nodes)].host}:{port}/api/configuration"
            attempt += 1
            try:
                headers = {"If-Match": str(base)}
                async with session.request(method, url, data=body or None, headers=headers) as response:
                    answer = await response.read()
                    if response.status == 200:
                        return answer
                    assert response.status >= 500
            except aiohttp.ClientError:
                continue


def test_an_acknowledged_change_survives_the_primary_and_then_a_restart_of_all_processes(
    tmp_path: Path,
) -> None:
    async def exchange() -> None:
        ports = free_ports(3, HOSTS)
        nodes = [Node(host, ports, tmp_path) for host in HOSTS]
        members = [node.identity for node in nodes]
        await asyncio.gather(*(node.start(members) for node in nodes))
        await call(nodes, ports[0], "PUT", document(3), 0)
        first = next(node for node in nodes if node.group.is_confirmed_primary())
        await first.stop()
        remaining = [node for node in nodes if node is not first]
        assert await call(remaining, ports[0], "GET") == document(3)
        await call(remaining, ports[0], "PUT", document(3), 0)
        await call(remaining, ports[0], "PUT", document(7), 3)
        await asyncio.gather(*(node.stop() for node in remaining))
        restarted = [Node(host, ports, tmp_path) for host in HOSTS]
        await asyncio.gather(*(node.start([]) for node in restarted))
        assert await call(restarted, ports[0], "GET") == document(7)
        await asyncio.gather(*(node.stop() for node in restarted))

    asyncio.run(exchange())
