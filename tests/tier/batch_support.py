"""Provides stores on loopback over a fake replication group, a scripted executor, and clients for both."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence

import aiohttp
import attrs
from aiohttp import web
from loopback_ports import free_port
from result import Err, Ok, Result

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.execution import ExecutorLoad, ItemOutcome, RecordFailures
from cherrycove.tier.batch.frontend.http_api import BatchApi
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.leasing.lease_types import LeaseTimes
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from cherrycove.tier.configuration import Configuration, Route, Service
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.settings import Bounds, ProcessLimits, Settings

HOST = "batch.example"
STORE_HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ROUTE = Route(
    name="r-batch",
    hostname=HOST,
    path_prefix="/jobs/",
    route_kind="batch",
    service="models",
    target_latency_ms=400,
    completion_target_ms=8000,
    retention_s=40,
    max_attempts=2,
)
SHORT_TIMES = LeaseTimes(lease_s=1.5, grace_s=0.3)
TEST_TIMEOUT_S = 20.0


def configuration(*routes: Route) -> Configuration:
    return Configuration(version=1, routes=list(routes), services=[Service(name="models")])


def item(item_id: str, body: bytes = b"prompt") -> pb.Item:
    return pb.Item(item_id=item_id, path=f"/jobs/{item_id}", headers={"Model": "m"}, body=body, tokens=10)


def job(job_id: str, *item_ids: str, route: Route = ROUTE) -> pb.SubmitRequest:
    return pb.SubmitRequest(
        job_id=job_id,
        route=route.name,
        host=route.hostname,
        completion_target_ms=int(route.completion_target_ms),
        retention_ms=int(route.retention_s * 1000),
        max_attempts=route.max_attempts,
        items=[item(item_id) for item_id in item_ids],
    )


class Clock:
    """Returns a time that only the test advances."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class FakeGroup:
    """Fakes one replica. While it is the primary, it commits to all replicas of its cluster in one step."""

    def __init__(self, cluster: Cluster, identity: MemberIdentity, state: JobsState) -> None:
        self.cluster = cluster
        self.identity = identity
        self.state = state
        self.believes_to_be_primary = False
        self.callbacks: list[Callable[[], None]] = []
        self.gate: asyncio.Event | None = None  # if set, proposals wait for this event
        self.lost_replies = 0  # number of next proposals that are committed but return an unknown outcome
        self.refusal: Failure | None = None
        self.proposals: list[bytes] = []
        self.arrived: asyncio.Queue[bytes] = asyncio.Queue()

    @property
    def epoch(self) -> int:
        return self.cluster.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        return self.cluster.primary

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return tuple(group.identity for group in self.cluster.groups)

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset(member.member_id for member in self.members)

    def committed_members(self) -> CommittedMembers | None:
        return CommittedMembers(1, self.members, frozenset()) if self.is_confirmed_primary() else None

    def is_confirmed_primary(self) -> bool:
        return self.cluster.primary is self.identity

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        self.proposals.append(command)
        self.arrived.put_nowait(command)
        if self.gate is not None:
            await self.gate.wait()
        if not self.is_confirmed_primary():
            return Err(Failure(ErrorKind.NOT_PRIMARY))
        if self.refusal is not None:
            return Err(self.refusal)
        outcome = self.cluster.commit(self, command)
        if self.lost_replies:
            self.lost_replies -= 1
            return Err(Failure(ErrorKind.UNCERTAIN, "committed, but the reply was lost"))
        return Ok(outcome)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        pass

    def set_retiring(self, node_names: frozenset[str]) -> None:
        pass

    def on_change(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)


class Cluster:
    """Holds all replicas of one fake group."""

    def __init__(self) -> None:
        self.groups: list[FakeGroup] = []
        self.epoch = 1
        self.primary: MemberIdentity | None = None
        self.index = 0

    def add(self, identity: MemberIdentity, state: JobsState) -> FakeGroup:
        group = FakeGroup(self, identity, state)
        self.groups.append(group)
        return group

    def commit(self, proposer: FakeGroup, command: bytes) -> object:
        self.index += 1
        outcomes = {id(group): group.state.apply(self.index, command) for group in self.groups}
        return outcomes[id(proposer)]

    def set_primary(self, identity: MemberIdentity | None) -> None:
        self.epoch += 1
        self.primary = identity
        for group in self.groups:
            for callback in group.callbacks:
                callback()


@attrs.define
class StoreNode:
    """Holds one store that serves on loopback."""

    ip: str
    group: FakeGroup
    state: JobsState
    store: BatchStoreService
    server: RpcServer


def settings(port: int, ip: str, memory_mb: float = 300.0) -> Settings:
    return Settings(
        node_name=f"node-{ip}",
        machine_class="storage",
        ip_address=ip,
        zone="a",
        region="r",
        internal_port_range=[port - 1, port + 10],
        limits=ProcessLimits(memory_mb=memory_mb),
        bounds=Bounds(grace_period_s=0.4),
    )


class Tier:
    """Runs stores on loopback, with one RPC client, a cluster view and a batch client for them."""

    def __init__(self, stores: int = 1, *, memory_mb: float = 300.0, clock: Clock | None = None) -> None:
        self.port = free_port(STORE_HOSTS)
        self.cluster = Cluster()
        self.nodes: list[StoreNode] = []
        self.cluster_view = ClusterView(configuration=configuration(ROUTE))
        for number in range(stores):
            self._add_store(f"127.0.0.{number + 1}", memory_mb, clock)
        self.rpc = RpcClient()
        self.settings = settings(self.port, "127.0.0.1")
        self.client = BatchClient(self.rpc, self.cluster_view, self.settings)
        self.workers: list[BatchWorker] = []
        self.cluster.set_primary(self.nodes[0].group.identity)
        self.publish()

    def _add_store(self, ip: str, memory_mb: float, clock: Clock | None) -> None:
        own = settings(self.port, ip, memory_mb)
        state, server = JobsState(), RpcServer()
        identity = MemberIdentity(f"m-{ip}", own.node_name, own.internal_address("store"))
        group = self.cluster.add(identity, state)
        clocks = {"clock": clock, "wall_clock": clock} if clock is not None else {}
        store = BatchStoreService(
            own, group, state, server, times=SHORT_TIMES, cluster_view=self.cluster_view, **clocks
        )
        self.nodes.append(StoreNode(ip, group, state, store, server))

    def publish(self) -> None:
        """Announce the stores, with the actual primary."""
        self.cluster_view.members = tuple(
            Announcement(
                program="store",
                ip=node.ip,
                group_primary=node.group.is_confirmed_primary(),
                group_epoch=node.group.epoch,
            )
            for node in self.nodes
        )

    def set_primary(self, number: int, *, publish: bool = False) -> None:
        self.cluster.set_primary(self.nodes[number].group.identity)
        if publish:
            self.publish()

    def worker(
        self, executor: ScriptedExecutor, name: str = "proxy-1", clock: Clock | None = None
    ) -> BatchWorker:
        own = attrs.evolve(self.settings, node_name=name)
        clocks = {"clock": clock} if clock is not None else {}
        worker = BatchWorker(
            own, self.client, executor, self.cluster_view, f"incarnation of {name}", **clocks
        )
        self.workers.append(worker)
        return worker

    async def __aenter__(self) -> Tier:
        await self.rpc.start()
        for node in self.nodes:
            await node.server.start(f"{node.ip}:{self.port}")
        return self

    async def __aexit__(self, *exc: object) -> None:
        for worker in self.workers:
            await worker.stop()
        for node in self.nodes:
            await node.store.stop()
            await node.server.stop()
        await self.rpc.stop()


class ScriptedExecutor:
    """Runs no item: tests observe which items were started, and set their outcomes."""

    def __init__(self, slots: int = 8) -> None:
        self.slots = slots
        self.items: dict[ItemKey, asyncio.Future[ItemOutcome]] = {}
        self.leases: dict[ItemKey, pb.LeasedItem] = {}
        self.may_send: dict[ItemKey, Callable[[], bool]] = {}
        self.record_failures: dict[ItemKey, RecordFailures] = {}
        self.started: asyncio.Queue[ItemKey] = asyncio.Queue()
        self.cancelled: asyncio.Queue[ItemKey] = asyncio.Queue()

    def free_slots(self) -> int:
        return self.slots - len(self.items)

    def load(self) -> ExecutorLoad:
        return ExecutorLoad(broker_slots=0, live_requests=0)

    async def run_item(
        self, item: pb.LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        key = ItemKey(item.job_id, item.item.item_id)
        future: asyncio.Future[ItemOutcome] = asyncio.get_running_loop().create_future()
        self.items[key], self.leases[key], self.may_send[key] = future, item, may_send
        self.record_failures[key] = record_failures
        self.started.put_nowait(key)
        try:
            return await future
        except asyncio.CancelledError:
            self.cancelled.put_nowait(key)
            raise
        finally:
            del self.items[key]

    async def next_started(self) -> ItemKey:
        return await asyncio.wait_for(self.started.get(), TEST_TIMEOUT_S)

    async def next_cancelled(self) -> ItemKey:
        return await asyncio.wait_for(self.cancelled.get(), TEST_TIMEOUT_S)

    def finish(self, key: ItemKey, outcome: ItemOutcome) -> None:
        self.items[key].set_result(outcome)


class Frontend:
    """Serves the batch interface of one proxy over HTTP on loopback; ``exchange`` returns a transcript."""

    def __init__(self, tier: Tier) -> None:
        self.api = BatchApi(tier.client, tier.cluster_view)
        self.cluster_view = tier.cluster_view
        self.port = free_port(STORE_HOSTS)
        self.runner: web.ServerRunner | None = None
        self.session: aiohttp.ClientSession | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        assert self.cluster_view.configuration is not None
        route = self.cluster_view.configuration.match(request.headers["Host"], request.path)
        return await self.api.handle(request, body, route)

    async def __aenter__(self) -> Frontend:
        self.runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port).start()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self.session is not None and self.runner is not None
        await self.session.close()
        await self.runner.cleanup()

    async def call(
        self, method: str, path: str, body: object = None, **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        assert self.session is not None
        sent = {"Host": HOST} | {name.replace("_", "-"): value for name, value in headers.items()}
        data = body if isinstance(body, bytes) else (json.dumps(body).encode() if body is not None else None)
        async with self.session.request(
            method, f"http://127.0.0.1:{self.port}{path}", data=data, headers=sent
        ) as response:
            return response.status, await response.read(), dict(response.headers)

    async def exchange(self, method: str, path: str, body: object = None, **headers: str) -> str:
        """Return one line with the call, the status, Retry-After if present, and the body of a success."""
        status, answer, response_headers = await self.call(method, path, body, **headers)
        retry_after = (
            f" Retry-After {response_headers['Retry-After']}" if "Retry-After" in response_headers else ""
        )
        shown = f" {answer.decode()}" if status < 300 else ""
        return f"{method} {path} -> {status}{retry_after}{shown}"
