"""Fakes of the parties around the brokers: disk nodes, discovery and clients, with the platform's protocol.

A run is judged by what they record alone, never by what a broker reports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

Writer = asyncio.StreamWriter
Headers = dict[str, str]
USUAL_UNITS = 2.06  # mean units of a request


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return a message's first line and its headers; EOFError if the peer closes the connection first."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}


@dataclass(slots=True)
class NodeRequest:
    """Records one request as a node received it."""

    at: float
    node: str
    incarnation: int
    id: str
    key: str
    write: bool
    ran: bool


class DiskNode:
    """A node with ``cores`` cores, a bounded queue and a cold start; ``received`` lists its requests."""

    def __init__(
        self,
        name: str,
        shard: int,
        rng: random.Random,
        work: float,
        cores: int = 2,
        queue_limit: int = 64,
        cold: float = 0.2,
        warm_after: float = 8.0,
    ) -> None:
        self.name, self.shard, self.cores, self.queue_limit = name, shard, cores, queue_limit
        self.work, self.cold, self.warm_after = work, cold, warm_after
        self.incarnation, self.started = 0, -inf  # ``started``: time of the last restart, on the loop's clock
        self.slowdown = 1.0  # factor by which a degraded node is slower
        self.received: list[NodeRequest] = []
        self.port = 0
        self._rng = rng
        self._busy = 0
        self._queue: deque[asyncio.Future[None]] = deque()
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> DiskNode:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop the node: open connections are aborted and new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for waiter in self._queue:
            waiter.cancel()
        self._queue.clear()

    async def restart(self) -> None:
        """Start the node again, cold."""
        self.incarnation += 1
        self._busy = 0
        self.started = asyncio.get_running_loop().time()
        await self.start()

    def speed(self) -> float:
        age = asyncio.get_running_loop().time() - self.started
        return min(self.cold + (1 - self.cold) * age / self.warm_after, 1.0) / self.slowdown

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self._writers.add(writer)
        loop, incarnation = asyncio.get_running_loop(), self.incarnation
        try:
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", 0)))
                id = headers.get("x-request-id", "")
                full = len(self._queue) >= self.queue_limit
                self.received.append(
                    NodeRequest(
                        loop.time(),
                        self.name,
                        incarnation,
                        id,
                        headers.get("idempotency-key", ""),
                        first.startswith("PUT"),
                        not full,
                    )
                )
                if full:
                    writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                units = first.partition("?units=")[2].split(" ")[0]  # sent in the request target
                await self._run(incarnation, float(units or USUAL_UNITS) / USUAL_UNITS)
                data = f"data of {id}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, incarnation: int, relative_work: float) -> None:
        """Wait for a core, then use it. Work in progress does not outlive a stop of the node."""
        if self._busy >= self.cores:
            waiter = asyncio.get_running_loop().create_future()
            self._queue.append(waiter)
            await waiter  # the previous request passes its core on
        else:
            self._busy += 1
        try:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * self.work * relative_work / self.speed())
        finally:
            if incarnation == self.incarnation:
                if self._queue:
                    self._queue.popleft().set_result(None)
                else:
                    self._busy -= 1


class Discovery:
    """Serves each broker the node list with the addresses of its own links; limits the calls per second."""

    def __init__(self, max_calls_per_second: float = inf) -> None:
        self.max_calls_per_second = max_calls_per_second
        self.silent = False
        self.answer_delay = 0.0  # s by which each answer is delayed
        self.calls: list[tuple[float, str, int]] = []  # time, broker, status
        self.answers_sent: Counter[str] = Counter()  # answers sent, by broker
        self.index = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}  # the index at which each entry last changed
        self._list_changed = asyncio.Event()
        self._recent: deque[float] = deque()
        self.address: Callable[[str, str], str] = lambda broker, node: ""
        self._servers: list[asyncio.Server] = []

    def set_status(self, name: str, shard: int, status: str, since_ms: float = 0.0) -> None:
        self.index += 1
        self._entries[name] = {
            "name": name,
            "group": shard,
            "status": status,
            "zone": "a",
            "type": "m",
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self._changed_at[name] = self.index
        self._list_changed.set()
        self._list_changed = asyncio.Event()

    def list(self, broker: str, since: int = 0) -> dict[str, Any]:
        """Return the list for a broker: the changes after index ``since``, or a full snapshot if it is 0."""
        entries = [
            entry | {"address": self.address(broker, name)}
            for name, entry in self._entries.items()
            if self._changed_at[name] > since and (since or entry["status"] != "removed")
        ]
        return {"index": self.index, "snapshot": not since, "endpoints": entries}

    async def listen(self, broker: str) -> int:
        """Open a listener for this broker alone; return its port."""

        async def serve(reader: asyncio.StreamReader, writer: Writer) -> None:
            with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
                while True:
                    first, _ = await read_head(reader)
                    await self._answer(broker, first.split(" ")[1], writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _answer(self, broker: str, target: str, writer: Writer) -> None:
        loop = asyncio.get_running_loop()
        while self._recent and self._recent[0] < loop.time() - 1.0:
            self._recent.popleft()
        status = 503 if len(self._recent) >= self.max_calls_per_second else 200
        self.calls.append((loop.time(), broker, status))
        self._recent.append(loop.time())
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_delay)
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        since = int(query.get("since") or 0)
        if status == 200 and since >= self.index:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("timeout_ms") or 0) / 1000):
                    await self._list_changed.wait()
        body = json.dumps(self.list(broker, since)).encode() if status == 200 else b""
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        await writer.drain()
        self.answers_sent[broker] += 1

    def close(self) -> None:
        for server in self._servers:
            server.close()


@dataclass(frozen=True, slots=True)
class Volume:
    """Describes a volume: the brokers that its requests use, mostly the first, and the shards of its data."""

    name: str
    plan: str
    brokers: tuple[int, ...]
    shards: tuple[int, ...]
    rate: float  # units per second


def volumes(settings: dict[str, Any], brokers: int, shards: int, rng: random.Random) -> list[Volume]:
    """Return six random volumes per shard.

    60% are on the first plan and 28% on the second. A quarter of them request 1.5 to 3 times the rate that
    they are sized for.
    """
    plans, made = settings["policies"], []
    for number in range(6 * shards):
        plan = plans[rng.choices(range(len(plans)), [0.6, 0.28, 0.12][: len(plans)])[0]]
        greedy = rng.uniform(1.5, 3.0) if rng.random() < 0.25 else 1.0
        chosen_brokers = rng.sample(range(brokers), min(rng.randint(1, 3), brokers))
        at = rng.sample(range(shards), min(rng.randint(2, 6), shards))
        made.append(
            Volume(f"{number:016x}", plan["name"], tuple(chosen_brokers), tuple(at), plan["nominal"] * greedy)
        )
    return made


@dataclass(slots=True)
class ClientRequest:
    """Records one request with all its attempts, as the client saw it."""

    at: float
    cls: str
    broker: int
    shard: int
    volume: Volume
    units: int
    attempts: int = 0
    status: int = 0  # of the last answer; 0: no answer
    latency: float = inf


@dataclass(slots=True, eq=False)
class Clients:
    """Open-loop clients: requests start at their times, however fast the brokers answer.

    Connections are kept per broker. A refused request is retried up to ``retries`` times, after ``backoff``
    seconds at least.
    """

    settings: dict[str, Any]
    ports: list[int]  # of the brokers, in order, or of the links in front of them
    rng: random.Random
    volumes: list[Volume]
    load: float = 1.0  # multiple of the rates of the volumes
    retries: int = 1
    backoff: float = 0.1
    requests: list[ClientRequest] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    wrong_answers: int = 0  # answers 200 whose body is not the one that a node made for the request
    _idle: dict[int, list[tuple[asyncio.StreamReader, Writer]]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _serial: int = 0

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due, until = loop.time(), loop.time() + seconds
        rate = self.load * sum(each.rate for each in self.volumes) / USUAL_UNITS
        while due < until:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(due - loop.time(), 0.0))
            self._start_request()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=10.0)

    def _start_request(self) -> None:
        cls = self.rng.choices(self.settings["classes"], [0.6, 0.3, 0.1][: len(self.settings["classes"])])[0]
        volume = self.rng.choices(self.volumes, [each.rate for each in self.volumes])[0]
        broker = volume.brokers[0] if self.rng.random() < 0.7 else self.rng.choice(volume.brokers)
        units = min(1 + int(self.rng.expovariate(1 / 1.3)), self.settings["familyInfo"]["maxUnits"])
        request = ClientRequest(
            asyncio.get_running_loop().time(),
            cls["name"],
            broker,
            self.rng.choice(volume.shards),
            volume,
            units,
        )
        self.requests.append(request)
        task = asyncio.create_task(self._run_request(request, cls))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(self, request: ClientRequest, cls: dict[str, Any]) -> None:
        loop, deadline = asyncio.get_running_loop(), request.at + cls["deadlineNs"] * 1e-9
        while request.attempts <= self.retries and loop.time() < deadline:
            request.attempts += 1
            after = await self._attempt(request, cls, deadline)
            if request.status == 200:
                request.latency = loop.time() - request.at
                return
            safe = cls["idempotency"] == "pure"
            if request.status not in (0, 429, 503) and not safe:
                return
            await asyncio.sleep(max(after, self.backoff))

    async def _attempt(self, request: ClientRequest, cls: dict[str, Any], deadline: float) -> float:
        """Make one attempt; set ``status`` (0: no answer) and return Retry-After in seconds, or 0."""
        loop, request.status = asyncio.get_running_loop(), 0
        self._serial += 1
        body = b"b" * 200 if cls["idempotency"] != "pure" else b""
        fields = {
            "Host": "service.internal",
            "X-Request-Id": f"{self._serial:016x}",
            "X-Class": cls["name"],
            "Tier": request.volume.plan,
            "Cookie": f"object={self._serial % 997:016x}",
            "X-Deadline-Ms": str(max(int((deadline - loop.time()) * 1000), 1)),
            "IO-Info": f"volume={request.volume.name},units={request.units},shard={request.shard},"
            f"hosts={len(request.volume.brokers)}",
        }
        if cls["idempotency"] == "token":
            fields["Idempotency-Key"] = f"k{id(request):x}"
        if body:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        target = f"{'PUT' if body else 'GET'} /{cls['name']}/x?units={request.units}"
        text = f"{target} HTTP/1.1\r\n{lines}\r\n".encode() + body
        writer: Writer | None = None
        try:
            async with asyncio.timeout_at(deadline):
                idle = self._idle.setdefault(request.broker, [])
                reader, writer = (
                    idle.pop()
                    if idle
                    else await asyncio.open_connection("127.0.0.1", self.ports[request.broker])
                )
                writer.write(text)
                first, headers = await read_head(reader)
                data = await reader.readexactly(int(headers.get("content-length", 0)))
            request.status = int(first.split(" ")[1])
            self.statuses[request.status] += 1
            self.wrong_answers += (
                request.status == 200 and data != f"data of {fields['X-Request-Id']}".encode()
            )
            if headers.get("connection", "").lower() != "close":
                self._idle[request.broker].append((reader, writer))
                writer = None
            return float(headers.get("retry-after", 0.0))
        except (OSError, EOFError, ValueError, TimeoutError):
            self.statuses[0] += 1
            return 0.0
        finally:
            if writer is not None:
                writer.close()

    def served_fraction(self, first: float, last: float) -> float:
        """Return the fraction of the requests started in [first, last) that were served within their aim."""
        aims = {cls["name"]: cls["aimNs"] * 1e-9 for cls in self.settings["classes"]}
        started = [request for request in self.requests if first <= request.at < last]
        return (
            sum(request.latency <= aims[request.cls] for request in started) / len(started)
            if started
            else 0.0
        )

    def refused_fraction(self, first: float, last: float) -> float:
        """Return the fraction of the requests started in [first, last) whose last attempt was refused."""
        started = [request for request in self.requests if first <= request.at < last]
        return sum(request.status in (429, 503) for request in started) / len(started) if started else 0.0

    def close(self) -> None:
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()
