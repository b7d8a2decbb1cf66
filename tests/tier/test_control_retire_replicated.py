"""Keepers and stores on the same machines, with real replication and real disks over loopback: a machine that
is to be emptied leaves both groups for good before its order is completed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from control_support import STEP_TIMEOUT_S, document, free_ports

from cherrycove.tier.programs.keeper import KeeperProgram
from cherrycove.tier.programs.store import StoreProgram
from cherrycove.tier.settings import Bounds, CloudApi, FaultTolerance, ListenAddresses, ProcessLimits, Settings

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4")
LONG_TIMEOUT_S = 3 * STEP_TIMEOUT_S


class Site:
    """Four machines with a keeper and a store each."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.control, self.internal, self.platform = free_ports(3, HOSTS)
        self.keepers = {host: KeeperProgram(self.settings(host)) for host in HOSTS}
        self.stores = {host: StoreProgram(self.settings(host)) for host in HOSTS}
        self.changed = asyncio.Event()

    def settings(self, host: str) -> Settings:
        return Settings(
            node_name=f"storage-{host[-1]}",
            machine_class="storage",
            ip_address=host,
            zone="north",
            region="land",
            internal_port_range=[self.internal, self.internal + 9],
            seed_nodes=[f"{one}:{self.control}" for one in HOSTS[:3]],
            first_start=True,
            listen_addresses=ListenAddresses(control_plane=f"{host}:{self.control}"),
            fault_tolerance=FaultTolerance(machine_failures=1),
            limits=ProcessLimits(disk_mb=100.0),
            bounds=Bounds(),
            data_directory=str(self._folder / host),
            cloud_api=CloudApi(address=f"127.0.0.1:{self.platform}", rate_per_s=10.0),
        )

    async def __aenter__(self) -> Site:
        await asyncio.gather(*(one.start() for one in (*self.keepers.values(), *self.stores.values())))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(one.stop() for one in (*self.keepers.values(), *self.stores.values())))

    async def operator(self, method: str, path: str, body: bytes = b"", base: int = 0) -> bytes:
        """An order that goes from keeper to keeper until it is answered for good."""
        turn = 0
        async with asyncio.timeout(LONG_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                url = f"http://{HOSTS[turn % len(HOSTS)]}:{self.control}{path}"
                turn += 1
                headers = {"If-Match": str(base)}
                async with session.request(method, url, data=body or None, headers=headers) as response:
                    answer = await response.read()
                    if response.status < 500:
                        assert response.status == 200, answer
                        return answer

    async def until(self, step: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(LONG_TIMEOUT_S):
            while not await step():
                continue


def test_a_machine_leaves_both_groups_for_good(tmp_path: Path) -> None:
    async def exchange() -> None:
        async with Site(tmp_path) as site:
            await site.operator("PUT", "/api/configuration", document(3))
            leaving = "127.0.0.1"
            await site.operator("POST", "/api/retire/storage-1", b'{"durationS":10}')

            async def completed() -> bool:
                return b"completed" in await site.operator("GET", "/api/retire/storage-1")

            await site.until(completed)
            for programs in (site.keepers, site.stores):
                groups = [program._group for program in programs.values()]  # type: ignore[attr-defined]
                [committed] = [known for group in groups if (known := group.committed_members()) is not None]
                hosts = {member.address.rpartition(":")[0] for member in committed.members}
                assert hosts == set(HOSTS) - {leaving}
                assert committed.excluded == {f"first-{leaving}"}
            assert b"completed" in await site.operator("GET", "/api/retire/storage-1")
            await site.operator("POST", "/api/retire/storage-1", b'{"durationS":10}')
            assert await site.operator("GET", "/api/configuration") == document(3)

    asyncio.run(exchange())
