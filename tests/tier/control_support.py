"""Provides controllers on loopback, an in-memory group and a fake platform to the control plane tests.

The controllers (programs ``keeper``) listen on 127.0.0.1, 127.0.0.2 and so on, all on the same ports, like
the machines of a deployment. Every wait ends with an event; the system chooses the ports.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import aiohttp
from aiohttp import web
from loopback_ports import free_ports
from result import Err, Ok, Result

from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.protocol.controller_methods import STORE_MEMBERS
from cherrycove.tier.protocol.keeper_pb2 import StoreMembersReply, StoreMembersRequest
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.settings import (
    Bounds,
    CloudApi,
    FaultTolerance,
    ListenAddresses,
    Settings,
)

STEP_TIMEOUT_S = 10.0  # time limit of a single wait in a test


def document(version: int, **changes: Any) -> bytes:
    """Return a small valid configuration."""
    route = {
        "name": "refunds",
        "hostname": "shop.example",
        "pathPrefix": "/refunds/",
        "routeKind": "idempotent",
        "timeoutMs": 3000,
        "service": "ledger",
    }
    body = {"version": version, "routes": [route], "services": [{"name": "ledger"}], **changes}
    return json.dumps(body).encode()


class MemoryGroup:
    """Implements one replica of an in-memory group."""

    def __init__(self, replicas: MemoryReplicas, identity: MemberIdentity, state: ControlState) -> None:
        self._replicas = replicas
        self.identity = identity
        self.state = state
        self.standbys: tuple[MemberIdentity, ...] = ()
        self.standbys_offered = asyncio.Event()
        self.retiring: frozenset[str] = frozenset()
        self.is_partitioned = False  # True if the replica cannot communicate with the others
        self.is_member = True
        self.membership_change_pending = False  # True while a membership change is not committed
        self.excluded: set[str] = set()
        self.callbacks: list[Callable[[], None]] = []

    @property
    def epoch(self) -> int:
        return self._replicas.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        leader = self._replicas.leader
        return None if leader is None or self.is_partitioned else leader.identity

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return tuple(group.identity for group in self._replicas.groups if group.is_member)

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset(member.member_id for member in self.members)

    def committed_members(self) -> CommittedMembers | None:
        if not self.is_confirmed_primary() or self.membership_change_pending:
            return None
        return CommittedMembers(1, self.members, frozenset(self.excluded))

    def is_confirmed_primary(self) -> bool:
        return self._replicas.leader is self and self._replicas.lease and not self.is_partitioned

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        return await self._replicas.propose(self, command)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        self.standbys = tuple(standbys)
        if standbys:
            self.standbys_offered.set()

    def set_retiring(self, names: frozenset[str]) -> None:
        self.retiring = names

    def on_change(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)


class MemoryReplicas:
    """Holds the replicas of a test's group; the test sets the primary and the outcomes of proposals."""

    def __init__(self) -> None:
        self.groups: list[MemoryGroup] = []
        self.leader: MemoryGroup | None = None
        self.lease = True
        self.epoch = 0
        self.committed = 0
        self.proposed = 0
        self.gate: asyncio.Event | None = None  # if set, proposals wait for this event
        self.waiting = asyncio.Event()  # set when a proposal waits for ``gate``
        # Outcomes of the next proposals: uncertain_committed, uncertain_lost or not_primary.
        self.next_outcomes: list[str] = []

    def add(self, identity: MemberIdentity, state: ControlState) -> MemoryGroup:
        group = MemoryGroup(self, identity, state)
        self.groups.append(group)
        return group

    def lead(self, leader: MemoryGroup | None, lease: bool = True) -> None:
        """Make ``leader`` the primary in a new epoch, with a valid lease if ``lease``."""
        self.leader = leader
        self.lease = lease
        self.epoch += 1
        for group in self.groups:
            for callback in group.callbacks:
                callback()

    async def propose(self, group: MemoryGroup, command: bytes) -> Result[object, Failure]:
        self.proposed += 1
        if self.gate is not None:
            self.waiting.set()
            await self.gate.wait()
        outcome = self.next_outcomes.pop(0) if self.next_outcomes else "committed"
        if outcome == "not_primary" or not group.is_confirmed_primary():
            return Err(Failure(ErrorKind.NOT_PRIMARY, "does not lead"))
        if outcome == "uncertain_lost":
            return Err(Failure(ErrorKind.UNCERTAIN, "no answer of the backups"))
        results = [replica.state.apply(self.committed, command) for replica in self.groups]
        self.committed += 1
        if outcome == "uncertain_committed":
            return Err(Failure(ErrorKind.UNCERTAIN, "no answer of the backups"))
        return Ok(results[self.groups.index(group)])


class PlatformList:
    """Implements a fake platform with pages of instances, injected failures and an event for each call."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._runner: web.AppRunner | None = None
        self.pages: list[list[dict[str, Any]]] = [[]]
        self.endless = False  # True if every page refers to another one
        self.failures: dict[int, int] = {}  # HTTP status of the next response, by page number
        self.down = False
        self.calls: list[str] = []  # requested page tokens
        self.called = asyncio.Event()

    async def start(self) -> None:
        application = web.Application()
        application.router.add_get("/instances", self._answer)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        token = request.query.get("pageToken", "")
        self.calls.append(token)
        self.called.set()
        self.called = asyncio.Event()
        number = int(token.removeprefix("page-") or 0)
        if self.down or number in self.failures:
            return web.Response(status=self.failures.pop(number, 503))
        following = f"page-{number + 1}" if number + 1 < len(self.pages) else None
        if self.endless:
            following = "page-0"
        return web.json_response({"instances": self.pages[number], "nextPageToken": following})


def instance(name: str, **changes: Any) -> dict[str, Any]:
    """Return one entry of the platform's list."""
    return {
        "service": "ledger",
        "address": "10.0.0.9:8080",
        "zone": "north",
        "version": "v1",
        "capacitySlots": 48,
        "state": "ready",
        "warmupRemainingMs": 0,
        "instanceId": name,
        "stage": "both",
        **changes,
    }


class World:
    """Provides the controllers, the fake platform and the clients of one test."""

    def __init__(self, controllers: int, machine_failures: int = 1) -> None:
        self.hosts = [f"127.0.0.{number + 1}" for number in range(controllers)]
        self.control_port, self.internal_port, platform_port = free_ports(3, self.hosts, following=1)
        self.replicas = MemoryReplicas()
        self.platform = PlatformList(f"127.0.0.1:{platform_port}")
        self.controllers = [
            ControllerNode(self, self.settings(host, machine_failures)) for host in self.hosts
        ]
        self.http: aiohttp.ClientSession | None = None
        self.transcript: list[str] = []
        self._closers: list[Callable[[], Awaitable[None]]] = []

    def settings(self, host: str, machine_failures: int = 1, node_name: str = "") -> Settings:
        return Settings(
            node_name=node_name or f"core-{host.rpartition('.')[2]}",
            machine_class="core",
            ip_address=host,
            zone="north",
            region="land",
            internal_port_range=[self.internal_port, self.internal_port + 9],
            seed_nodes=[f"{one}:{self.control_port}" for one in self.hosts],
            listen_addresses=ListenAddresses(control_plane=f"{host}:{self.control_port}"),
            fault_tolerance=FaultTolerance(machine_failures=machine_failures),
            bounds=Bounds(drain_ms=1500.0),
            cloud_api=CloudApi(address=self.platform._address, rate_per_s=100.0),
        )

    async def __aenter__(self) -> World:
        self.http = aiohttp.ClientSession()
        await self.platform.start()
        for controller in self.controllers:
            await controller.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for close in reversed(self._closers):
            await close()
        for controller in self.controllers:
            await controller.stop()
        await self.platform.stop()
        assert self.http is not None
        await self.http.close()

    def lead(self, number: int | None, lease: bool = True) -> None:
        self.replicas.lead(None if number is None else self.controllers[number].group, lease)

    async def client(self, announcement: Announcement) -> Client:
        """Start a process of the tier that pulls from the controllers."""
        client = Client(self.settings("127.0.0.1", node_name=announcement.node_name), announcement)
        self._closers.append(client.stop)
        await client.start()
        return client

    async def store_group(self, *names: str) -> StoreGroup:
        """Start a fake primary of the store group, at the address that all stores of a test share."""
        group = StoreGroup(self.settings("127.0.0.1").peer_address("127.0.0.1", "store"), *names)
        self._closers.append(group.stop)
        await group.start()
        return group

    async def operator(
        self, controller: int, method: str, path: str, body: bytes | None = None, if_match: str | None = None
    ) -> tuple[int, bytes]:
        """Send one operator request and add a line to the transcript."""
        assert self.http is not None
        headers = {} if if_match is None else {"If-Match": if_match}
        url = f"http://{self.hosts[controller]}:{self.control_port}{path}"
        call = self.http.request(method, url, data=body, headers=headers, allow_redirects=False)
        async with asyncio.timeout(STEP_TIMEOUT_S), call as response:
            answer = await response.read()
            self.transcript.append(self._line(controller, method, path, body, if_match, response))
            return response.status, answer

    def _line(
        self,
        controller: int,
        method: str,
        path: str,
        body: bytes | None,
        if_match: str | None,
        response: aiohttp.ClientResponse,
    ) -> str:
        arguments = "" if if_match is None else f" on {if_match}"
        if body is not None and method == "PUT":
            arguments = f" {_version(body)}{arguments}"
        location = response.headers.get("Location", "")
        for number, host in enumerate(self.hosts):
            location = location.replace(f"http://{host}:{self.control_port}", f"keeper {number}")
        return f"keeper {controller}: {method} {path}{arguments} -> {response.status} {location}".rstrip()


def _version(body: bytes) -> str:
    try:
        return f"v{json.loads(body)['version']}"
    except (ValueError, KeyError, TypeError):
        return "unreadable"


class ControllerNode:
    """Runs one controller process, without its replication."""

    def __init__(self, world: World, settings: Settings) -> None:
        self.settings = settings
        self.state = ControlState()
        self.address = settings.internal_address("keeper")
        identity = MemberIdentity(
            f"disk-{settings.node_name}", settings.node_name, self.address, settings.zone
        )
        self.group = world.replicas.add(identity, self.state)
        self.cluster_view = ClusterView()
        self._server = RpcServer()
        self.client = RpcClient()
        self.controller = Controller(
            settings, self.group, self.state, self._server, self.client, self.cluster_view
        )
        self._puller = Puller(settings, self.client, self.cluster_view, self._announce)

    def _announce(self) -> Announcement:
        return Announcement(
            node_name=self.settings.node_name,
            program="keeper",
            ip=self.settings.ip_address,
            incarnation="1",
            member_id=self.group.identity.member_id,
            group_epoch=self.group.epoch,
        )

    async def isolate_from_seeds(self) -> None:
        """Stop the pulls of this process, and make what it learned from them outdated."""
        await self._puller.stop()
        self.cluster_view.last_contact = float("-inf")

    async def start(self) -> None:
        await self.client.start()
        await self.controller.start()
        await self._server.start(self.address)
        await self._puller.start()

    async def stop(self) -> None:
        await self._puller.stop()
        await self.controller.stop()
        await self._server.stop()
        await self.client.stop()


class StoreGroup:
    """Implements a fake primary of the store group, which reports the members to the controllers."""

    def __init__(self, address: str, *names: str) -> None:
        self._address = address
        self._server = RpcServer()
        self._server.register(STORE_MEMBERS, self._answer)
        self.members = [replica(name) for name in names]
        self.excluded: list[str] = []
        self.revision = 0
        self.leads = True
        self.answers = 0

    async def start(self) -> None:
        await self._server.start(self._address)

    async def stop(self) -> None:
        await self._server.stop()

    async def _answer(self, request: StoreMembersRequest) -> Result[StoreMembersReply, Failure]:
        self.answers += 1
        if not self.leads:
            return Err(Failure(ErrorKind.NOT_PRIMARY, "does not lead"))
        return Ok(
            StoreMembersReply(members=self.members, excluded=self.excluded, revision=self.revision, epoch=1)
        )


class Client:
    """Runs a process that pulls; the test may change ``announcement``."""

    def __init__(self, settings: Settings, announcement: Announcement) -> None:
        self.announcement = announcement
        self.cluster_view = ClusterView()
        self._rpc = RpcClient()
        self.puller = Puller(settings, self._rpc, self.cluster_view, lambda: self.announcement)
        self._changed = asyncio.Event()
        self.cluster_view.on_change(self._on_change)

    def _on_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        await self._rpc.start()
        await self.puller.start()

    async def stop(self) -> None:
        await self.puller.stop()
        await self._rpc.stop()

    async def until(self, condition: Callable[[ClusterView], bool]) -> None:
        """Wait for an update after which ``condition`` is true."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition(self.cluster_view):
                await self._changed.wait()


def store(name: str, **changes: Any) -> Announcement:
    """Return the announcement of a store at the first start of the deployment."""
    fields: dict[str, Any] = {
        "node_name": name,
        "program": "store",
        "ip": "127.0.0.1",
        "zone": f"zone-{name[-1]}",
        "incarnation": "1",
        "member_id": f"disk-{name}",
        "first_start": True,
        **changes,
    }
    return Announcement(**fields)


def replica(name: str) -> Replica:
    return Replica(member_id=f"disk-{name}", node_name=name, address="127.0.0.1:1", zone=f"zone-{name[-1]}")
