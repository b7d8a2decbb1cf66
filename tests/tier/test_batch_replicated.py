"""Tests with real replication and real disks that acknowledged changes to batch jobs survive crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from batch_support import (
    ROUTE,
    STORE_HOSTS,
    TEST_TIMEOUT_S,
    ScriptedExecutor,
    configuration,
    job,
    settings,
)
from loopback_ports import free_port
from result import Ok

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.execution import ItemOutcome, ItemState
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
BUDGET_S = 10.0


class Node:
    """Runs one store on one disk."""

    def __init__(self, host: str, port: int, folder: Path) -> None:
        own = settings(port, host)
        self.host = host
        self.address = own.internal_address("store")
        self.identity = MemberIdentity(f"disk-{host}", own.node_name, self.address)
        self.server, self.client, self.state = RpcServer(), RpcClient(), JobsState()
        disk = folder / host
        disk.mkdir(exist_ok=True)
        options = GroupOptions(
            name="store",
            identity=self.identity,
            directory=disk,
            faults=1,
            state_machine=self.state,
            server=self.server,
            client=self.client,
        )
        self.group = create_group(options)
        self.store = BatchStoreService(own, self.group, self.state, self.server)

    async def start(self, members: list[MemberIdentity]) -> None:
        await self.client.start()
        await self.group.start(members)
        await self.store.start()
        await self.server.start(self.address)

    async def stop(self) -> None:
        await self.server.stop()
        await self.store.stop()
        await self.group.stop()
        await self.client.stop()

    async def crash(self) -> None:
        """Stop without notifying the other stores."""
        await self.server.stop()
        await self.client.stop()
        await self.store.stop()
        await self.group.stop()


class Stores:
    """Runs three stores, a batch client and one worker."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = free_port(STORE_HOSTS)
        self.nodes: list[Node] = []
        stores = tuple(Announcement(program="store", ip=host) for host in HOSTS)
        self.cluster_view = ClusterView(configuration=configuration(ROUTE), members=stores)
        self.rpc = RpcClient()
        self.settings = settings(self.port, HOSTS[0])
        self.client = BatchClient(self.rpc, self.cluster_view, self.settings)
        self.executor = ScriptedExecutor()
        self.worker = BatchWorker(
            self.settings, self.client, self.executor, self.cluster_view, "incarnation-1"
        )

    async def start(self, *, first: bool) -> None:
        self.nodes = [Node(host, self.port, self.folder) for host in HOSTS]
        members = [node.identity for node in self.nodes] if first else []
        await asyncio.gather(*(node.start(members) for node in self.nodes))

    async def crash_all(self) -> None:
        await asyncio.gather(*(node.crash() for node in self.nodes))
        self.nodes = []

    async def crash_primary(self) -> None:
        primary = next(node for node in self.nodes if node.group.is_confirmed_primary())
        self.nodes.remove(primary)
        await primary.crash()

    async def __aenter__(self) -> Stores:
        await self.rpc.start()
        await self.start(first=True)
        await self.worker.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.worker.stop()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.rpc.stop()

    async def submit(self, job_id: str, *item_ids: str) -> None:
        while True:
            answer = await self.client.submit(job(job_id, *item_ids), BUDGET_S)
            if isinstance(answer, Ok):
                return
            assert answer.err_value.kind in (ErrorKind.UNCERTAIN, ErrorKind.UNAVAILABLE)

    async def results(self, job_id: str, count: int) -> list[str]:
        """Return the texts of the first ``count`` results once there are that many."""
        while True:
            request = pb.ReadRequest(job_id=job_id, cursor=count - 1, wait_ms=1000)
            answer = await self.client.read(request, BUDGET_S)
            if isinstance(answer, Ok) and answer.ok_value.results:
                break
        reply = (await self.client.read(pb.ReadRequest(job_id=job_id), BUDGET_S)).unwrap()
        return [entry.text.decode() for entry in reply.results][:count]

    def finish(self, key: ItemKey, text: str) -> None:
        self.executor.finish(key, ItemOutcome(ItemState.COMPLETED, text.encode()))


def run_scenario(folder: Path, scenario: Callable[[Stores], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(3 * TEST_TIMEOUT_S), Stores(folder) as stores:
            await scenario(stores)

    asyncio.run(run())


def test_running_items_and_positions_survive_a_primary_crash(tmp_path: Path) -> None:
    async def scenario(stores: Stores) -> None:
        await stores.submit("j1", "a", "b", "c")
        keys = [await stores.executor.next_started() for _ in range(3)]
        stores.finish(keys[1], "first")
        assert await stores.results("j1", 1) == ["first"]
        await stores.crash_primary()
        stores.finish(keys[2], "second")
        assert await stores.results("j1", 2) == ["first", "second"]
        stores.finish(keys[0], "third")
        assert await stores.results("j1", 3) == ["first", "second", "third"]
        assert stores.executor.started.empty()  # no item was run twice

    run_scenario(tmp_path, scenario)


def test_jobs_results_and_ends_survive_a_crash_of_all_stores(tmp_path: Path) -> None:
    async def scenario(stores: Stores) -> None:
        await stores.submit("j1", "a", "b")
        await stores.submit("ended", "x")
        keys = {key.item_id: key for key in [await stores.executor.next_started() for _ in range(3)]}
        stores.finish(keys["b"], "first")
        assert await stores.results("j1", 1) == ["first"]
        assert isinstance(await stores.client.end(pb.EndRequest(job_id="ended"), BUDGET_S), Ok)
        await stores.crash_all()
        await stores.start(first=False)
        stores.finish(keys["a"], "second")
        assert await stores.results("j1", 2) == ["first", "second"]
        body = await stores.client.body(pb.BodyRequest(job_id="ended", item_id="x"), BUDGET_S)
        assert body.unwrap().body == b"prompt"
        unknown = await stores.client.read(pb.ReadRequest(job_id="unknown"), BUDGET_S)
        assert unknown.unwrap_err().kind is ErrorKind.NOT_FOUND
        assert all(
            node.state.jobs["ended"].ended for node in stores.nodes if node.group.is_confirmed_primary()
        )

    run_scenario(tmp_path, scenario)
