"""A data plane on loopback between raw TCP clients and toy brokers, for tests of complete exchanges."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Mapping
from types import TracebackType
from typing import Any

import attrs
from loopback_ports import free_address

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.dataplane import DataPlane
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView
from cherrycove.tier.settings import FaultTolerance, ListenAddresses, ProcessLimits, Settings
from examples.toy_broker import ToyBroker

HOST = "nony24.example"
TIMEOUT_S = 10.0  # for the waits of a test; reached only if the test fails


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name, "hostname": HOST, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 3000,
        "targetLatencyMs": 300, "maxAttempts": 2, "service": "lm", **fields,
    }  # fmt: skip


ROUTES = [
    route("once", "/once/", "non_idempotent"),
    route("again", "/again/", "idempotent"),
    route("stream", "/stream/", "streaming", resumable=False),
    route("resume", "/resume/", "streaming", resumable=True),
    route("lots", "/lots/", "batch", timeoutMs=60000, completionTargetMs=8000, retentionS=60),
]
SERVICES = [
    {"name": "lm", "healthCheckPath": "/health", "connectionLimit": 100,
     "engine": {"capacitySlots": 8, "kvCacheTokens": 100_000, "stride": 20}},
]  # fmt: skip
LIMITS = {"maxHeaderBytes": 4096, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def configuration_bytes(routes: list[dict[str, Any]] | None = None, version: int = 1, **limits: int) -> bytes:
    document = {
        "version": version, "routes": ROUTES if routes is None else routes, "services": SERVICES,
        "limits": LIMITS | limits,
    }  # fmt: skip
    return json.dumps(document).encode()


@attrs.define
class Reply:
    """A response as a client read it."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes
    complete: bool  # whether the end of its framing was received


class Client:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(
        self, target: str, body: bytes = b"", method: str = "POST", headers: Mapping[str, str] | None = None
    ) -> None:
        fields = {"Host": HOST, "Request-Id": "r1", "Deadline-Ms": "5000", "Content-Length": str(len(body))}
        fields |= headers or {}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await self.writer.drain()

    async def head(self) -> tuple[int, dict[str, str]]:
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = text.split("\r\n")[:-2]
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return int(first.split(" ")[1]), headers

    async def chunk(self) -> bytes:
        """Read one chunk of a body; empty at the end of the body."""
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:-2]

    async def reply(self) -> Reply:
        async with asyncio.timeout(TIMEOUT_S):
            status, headers = await self.head()
            if headers.get("transfer-encoding") != "chunked":
                body = await self.reader.readexactly(int(headers["content-length"]))
                return Reply(status, headers, body, True)
            parts: list[bytes] = []
            try:
                while part := await self.chunk():
                    parts.append(part)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Reply(status, headers, b"".join(parts), False)
            return Reply(status, headers, b"".join(parts), True)

    async def request(self, target: str, body: bytes = b"", **options: Any) -> Reply:
        await self.send(target, body, **options)
        return await self.reply()

    def close(self) -> None:
        self.writer.close()


@attrs.define(eq=False)
class DataPlaneHarness:
    """Starts the toy brokers, and a data plane with these brokers in its cluster view."""

    brokers: list[ToyBroker]
    document: bytes | None = attrs.field(factory=configuration_bytes)
    cluster_view: ClusterView = attrs.field(factory=ClusterView)
    settings: Settings = attrs.field(init=False)
    data_plane: DataPlane = attrs.field(init=False)
    _clients: list[Client] = attrs.field(factory=list)

    async def __aenter__(self) -> DataPlaneHarness:
        for broker in self.brokers:
            await broker.start()
        self.settings = Settings(
            node_name="f-1", machine_class="frontend", ip_address="127.0.0.1", zone="z", region="r",
            internal_port_range=[7000, 7010], fault_tolerance=FaultTolerance(),
            limits=ProcessLimits(file_descriptors=4096),
            listen_addresses=ListenAddresses(frontend=free_address(), readiness=free_address()),
        )  # fmt: skip
        self.data_plane = DataPlane(self.settings, self.cluster_view, random.Random(1))
        self.update_cluster_view()
        await self.data_plane.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for client in self._clients:
            client.close()
        await self.data_plane.stop()
        for broker in self.brokers:
            await broker.stop()

    def update_cluster_view(
        self, document: bytes | None = None, listed: list[ToyBroker] | None = None
    ) -> None:
        """Replace the configuration, if ``document`` is given, and the listed brokers, by default all."""
        self.document = document or self.document
        if self.document is not None:
            self.cluster_view.configuration = parse_configuration(self.document).unwrap()
            self.cluster_view.document = self.document
        self.cluster_view.brokers = tuple(
            listed_broker(each) for each in (self.brokers if listed is None else listed)
        )
        self.cluster_view.notify_listeners()

    async def client(self) -> Client:
        client = await Client.connect(self.settings.listen_addresses.frontend)
        self._clients.append(client)
        return client

    async def request(self, target: str, body: bytes = b"", **options: Any) -> Reply:
        """Send one request over a new connection and read the response."""
        return await (await self.client()).request(target, body, **options)

    async def readiness(self) -> int:
        return (await self._request_readiness_address("/api/readiness")).status

    async def losses(self) -> Any:
        """The document of losses that the proxy serves on its readiness address."""
        return json.loads((await self._request_readiness_address("/api/losses")).body)

    async def _request_readiness_address(self, target: str) -> Reply:
        client = await Client.connect(self.settings.listen_addresses.readiness)
        self._clients.append(client)
        return await client.request(target, method="GET")


def listed_broker(broker: ToyBroker, draining: bool = False) -> Broker:
    return Broker(
        instance_id=broker.instance_id, service="lm", address=broker.address, zone="z",
        capacity_slots=broker.slots, draining=draining,
    )  # fmt: skip
