"""Tests the retirement of a machine with real replication and disks over loopback.

The machine must be excluded from both groups before its order is completed, whether controllers (keepers)
share machines with stores or not.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path

import aiohttp
import pytest
from control_support import STEP_TIMEOUT_S, document
from loopback_ports import free_ports

from cherrycove.tier.programs.controller import ControllerProgram
from cherrycove.tier.programs.store import StoreProgram
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import CommittedMembers
from cherrycove.tier.settings import (
    Bounds,
    CloudApi,
    FaultTolerance,
    ListenAddresses,
    ProcessLimits,
    Settings,
)

STORAGE = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4")
CORE = ("127.0.0.5", "127.0.0.6", "127.0.0.7")
LONG_TIMEOUT_S = 3 * STEP_TIMEOUT_S


class Site:
    """Runs four stores on storage machines, and controllers there as well or on three core machines."""

    def __init__(self, folder: Path, controller_hosts: Sequence[str]) -> None:
        self._folder = folder
        self._hosts = controller_hosts
        self.control, self.internal, self.platform = free_ports(3, STORAGE + CORE, following=1)
        self.controllers = {host: ControllerProgram(self.settings(host)) for host in controller_hosts}
        self.stores = {host: StoreProgram(self.settings(host)) for host in STORAGE}

    def settings(self, host: str) -> Settings:
        machine_class = "storage" if host in STORAGE else "core"
        return Settings(
            node_name=f"{machine_class}-{host[-1]}",
            machine_class=machine_class,
            ip_address=host,
            zone="north",
            region="land",
            internal_port_range=[self.internal, self.internal + 9],
            seed_nodes=[f"{one}:{self.control}" for one in self._hosts[:3]],
            first_start=True,
            listen_addresses=ListenAddresses(control_plane=f"{host}:{self.control}"),
            fault_tolerance=FaultTolerance(machine_failures=1),
            limits=ProcessLimits(disk_mb=100.0),
            bounds=Bounds(),
            data_directory=str(self._folder / host),
            cloud_api=CloudApi(address=f"127.0.0.1:{self.platform}", rate_per_s=10.0),
        )

    async def __aenter__(self) -> Site:
        await asyncio.gather(*(one.start() for one in (*self.controllers.values(), *self.stores.values())))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(one.stop() for one in (*self.controllers.values(), *self.stores.values())))

    async def operator(self, method: str, path: str, body: bytes = b"", base: int = 0) -> bytes:
        """Send a request to the controllers in turn until one gives a final answer, which must be 200."""
        attempt = 0
        async with asyncio.timeout(LONG_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                url = f"http://{self._hosts[attempt % len(self._hosts)]}:{self.control}{path}"
                attempt += 1
                headers = {"If-Match": str(base)}
                async with session.request(method, url, data=body or None, headers=headers) as response:
                    answer = await response.read()
                    if response.status < 500:
                        assert response.status == 200, answer
                        return answer

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(LONG_TIMEOUT_S):
            while not await condition():
                continue


@pytest.mark.parametrize("controller_hosts", [STORAGE, CORE], ids=["shared", "core"])
def test_a_retired_machine_is_excluded_from_both_groups(
    tmp_path: Path, controller_hosts: Sequence[str]
) -> None:
    async def exchange() -> None:
        async with Site(tmp_path, controller_hosts) as site:
            await site.operator("PUT", "/api/configuration", document(3))
            leaving = "127.0.0.1"
            await site.operator("POST", "/api/retire/storage-1", b'{"durationS":10}')

            async def completed() -> bool:
                return b"completed" in await site.operator("GET", "/api/retire/storage-1")

            async def settled() -> bool:
                groups = (site.controllers.values(), site.stores.values())
                reported = [committed_members(program._group for program in programs) for programs in groups]
                return await completed() and all(len(lists) == 1 for lists in reported)

            await site.until(completed)
            await site.until(settled)
            [stores] = committed_members(program._group for program in site.stores.values())
            [controllers] = committed_members(program._group for program in site.controllers.values())
            assert hosts(stores) == set(STORAGE) - {leaving}
            assert stores.excluded == {f"first-{leaving}"}
            assert leaving not in hosts(controllers)
            assert len(controllers.members) == 3
            assert controllers.excluded == stores.excluded & {f"first-{host}" for host in controller_hosts}
            await site.operator("POST", "/api/retire/storage-1", b'{"durationS":10}')
            assert await completed()
            assert await site.operator("GET", "/api/configuration") == document(3)

    asyncio.run(exchange())


def committed_members(groups: Iterable[ReplicatedGroup]) -> list[CommittedMembers]:
    """Return the members reported by the group's primary; empty while a membership change is pending."""
    return [members for group in groups if (members := group.committed_members()) is not None]


def hosts(group: CommittedMembers) -> set[str]:
    return {member.address.rpartition(":")[0] for member in group.members}
