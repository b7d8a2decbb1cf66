"""Stand-ins for the parties round the brokers: disk nodes, discovery and clients, by the platform's protocol.

It owns their books, from which alone a run is judged. It must never take a broker's word for anything.
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
USUAL_UNITS = 2.06  # of a request, in the mean


async def head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """A message's first line and its headers; EOFError where the other side has ended."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}


@dataclass(slots=True)
class Sent:
    """One request as it reached a node."""

    at: float
    node: str
    life: int
    id: str
    key: str
    write: bool
    ran: bool


class DiskNode:
    """A node with so many cores, a queue and a cold start; every request that reaches it is in its book."""

    def __init__(
        self,
        name: str,
        shard: int,
        dice: random.Random,
        work: float,
        cores: int = 2,
        places: int = 64,
        cold: float = 0.2,
        warm_after: float = 8.0,
    ) -> None:
        self.name, self.shard, self.cores, self.places = name, shard, cores, places
        self.work, self.cold, self.warm_after = work, cold, warm_after
        self.life, self.started = 0, -inf  # of its last start, on the loop's clock
        self.slower = 1.0  # times, for a machine that is sick
        self.book: list[Sent] = []
        self.port = 0
        self._dice = dice
        self._busy = 0
        self._queue: deque[asyncio.Future[None]] = deque()
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> DiskNode:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """The process dies: connections break, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for waiter in self._queue:
            waiter.cancel()
        self._queue.clear()

    async def come_back(self) -> None:
        """It starts anew, cold."""
        self.life += 1
        self._busy = 0
        self.started = asyncio.get_running_loop().time()
        await self.start()

    def speed(self) -> float:
        age = asyncio.get_running_loop().time() - self.started
        return min(self.cold + (1 - self.cold) * age / self.warm_after, 1.0) / self.slower

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self._writers.add(writer)
        loop, life = asyncio.get_running_loop(), self.life
        try:
            while True:
                first, headers = await head(reader)
                await reader.readexactly(int(headers.get("content-length", 0)))
                id = headers.get("x-request-id", "")
                full = len(self._queue) >= self.places
                self.book.append(
                    Sent(
                        loop.time(),
                        self.name,
                        life,
                        id,
                        headers.get("idempotency-key", ""),
                        first.startswith("PUT"),
                        not full,
                    )
                )
                if full:
                    writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                asked = first.partition("?units=")[2].split(" ")[0]  # told in the target
                await self._run(life, float(asked or USUAL_UNITS) / USUAL_UNITS)
                data = f"data of {id}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, life: int, heavy: float) -> None:
        """Wait for a core, then use it. What runs as the node dies is over with it."""
        if self._busy >= self.cores:
            waiter = asyncio.get_running_loop().create_future()
            self._queue.append(waiter)
            await waiter  # the core is handed over
        else:
            self._busy += 1
        try:
            await asyncio.sleep(self._dice.uniform(0.5, 1.5) * self.work * heavy / self.speed())
        finally:
            if life == self.life:
                if self._queue:
                    self._queue.popleft().set_result(None)
                else:
                    self._busy -= 1


class Discovery:
    """Tells each broker the list with its own links' addresses; admits so many calls a second."""

    def __init__(self, calls_a_second: float = inf) -> None:
        self.most = calls_a_second
        self.silent = False
        self.slow = 0.0  # s that each answer takes
        self.calls: list[tuple[float, str, int]] = []  # time, broker, status
        self.answered: Counter[str] = Counter()  # answers written, by broker
        self.index = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._told: dict[str, int] = {}  # the version in which each entry last changed
        self._news = asyncio.Event()
        self._recent: deque[float] = deque()
        self.address: Callable[[str, str], str] = lambda broker, node: ""
        self._servers: list[asyncio.Server] = []

    def tell(self, name: str, shard: int, status: str, since_ms: float = 0.0) -> None:
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
        self._told[name] = self.index
        self._news.set()
        self._news = asyncio.Event()

    def list(self, broker: str, since: int = 0) -> dict[str, Any]:
        """What a broker is told that knows the list as it was at ``since``; 0: the whole of it."""
        entries = [
            entry | {"address": self.address(broker, name)}
            for name, entry in self._entries.items()
            if self._told[name] > since and (since or entry["status"] != "removed")
        ]
        return {"index": self.index, "snapshot": not since, "endpoints": entries}

    async def listen(self, broker: str) -> int:
        """An address for this broker alone; its port."""

        async def serve(reader: asyncio.StreamReader, writer: Writer) -> None:
            with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
                while True:
                    first, _ = await head(reader)
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
        status = 503 if len(self._recent) >= self.most else 200
        self.calls.append((loop.time(), broker, status))
        self._recent.append(loop.time())
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.slow)
        asked = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        since = int(asked.get("since") or 0)
        if status == 200 and since >= self.index:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(asked.get("timeout_ms") or 0) / 1000):
                    await self._news.wait()
        body = json.dumps(self.list(broker, since)).encode() if status == 200 else b""
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        await writer.drain()
        self.answered[broker] += 1

    def close(self) -> None:
        for server in self._servers:
            server.close()


@dataclass(frozen=True, slots=True)
class Volume:
    """Through which brokers it comes, the first of them most, and on which shards its data lies."""

    name: str
    plan: str
    brokers: tuple[int, ...]
    shards: tuple[int, ...]
    rate: float  # units a second


def volumes(settings: dict[str, Any], brokers: int, shards: int, dice: random.Random) -> list[Volume]:
    """Six for each shard: three in five on the first plan, most of the others on the second; a quarter of
    them ask for up to three times the rate that they are sized for."""
    plans, made = settings["policies"], []
    for number in range(6 * shards):
        plan = plans[dice.choices(range(len(plans)), [0.6, 0.28, 0.12][: len(plans)])[0]]
        greedy = dice.uniform(1.5, 3.0) if dice.random() < 0.25 else 1.0
        through = dice.sample(range(brokers), min(dice.randint(1, 3), brokers))
        at = dice.sample(range(shards), min(dice.randint(2, 6), shards))
        made.append(
            Volume(f"{number:016x}", plan["name"], tuple(through), tuple(at), plan["nominal"] * greedy)
        )
    return made


@dataclass(slots=True)
class Asked:
    """One client's request with all its tries, as the client saw it."""

    at: float
    cls: str
    broker: int
    shard: int
    volume: Volume
    units: int
    tries: int = 0
    status: int = 0  # of the last answer; 0: none
    took: float = inf


@dataclass(slots=True, eq=False)
class Clients:
    """Open-loop clients: requests come at their times, whatever the brokers do. Each broker has its own
    connections; a refused one comes again as ``retries`` and ``backoff`` say."""

    settings: dict[str, Any]
    ports: list[int]  # of the brokers, in order; a link's, where one stands between
    dice: random.Random
    volumes: list[Volume]
    load: float = 1.0  # of what the volumes ask for
    retries: int = 1
    backoff: float = 0.1
    book: list[Asked] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    wrong: int = 0  # answers 200 with another body than a node made for that request
    _idle: dict[int, list[tuple[asyncio.StreamReader, Writer]]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _serial: int = 0

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due, until = loop.time(), loop.time() + seconds
        rate = self.load * sum(each.rate for each in self.volumes) / USUAL_UNITS
        while due < until:
            due += self.dice.expovariate(rate)
            await asyncio.sleep(max(due - loop.time(), 0.0))
            self._ask()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=10.0)

    def _ask(self) -> None:
        cls = self.dice.choices(self.settings["classes"], [0.6, 0.3, 0.1][: len(self.settings["classes"])])[0]
        volume = self.dice.choices(self.volumes, [each.rate for each in self.volumes])[0]
        broker = volume.brokers[0] if self.dice.random() < 0.7 else self.dice.choice(volume.brokers)
        units = min(1 + int(self.dice.expovariate(1 / 1.3)), self.settings["familyInfo"]["maxUnits"])
        asked = Asked(
            asyncio.get_running_loop().time(),
            cls["name"],
            broker,
            self.dice.choice(volume.shards),
            volume,
            units,
        )
        self.book.append(asked)
        task = asyncio.create_task(self._see_through(asked, cls))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _see_through(self, asked: Asked, cls: dict[str, Any]) -> None:
        loop, deadline = asyncio.get_running_loop(), asked.at + cls["deadlineNs"] * 1e-9
        while asked.tries <= self.retries and loop.time() < deadline:
            asked.tries += 1
            after = await self._try(asked, cls, deadline)
            if asked.status == 200:
                asked.took = loop.time() - asked.at
                return
            safe = cls["idempotency"] == "pure"
            if asked.status not in (0, 429, 503) and not safe:
                return
            await asyncio.sleep(max(after, self.backoff))

    async def _try(self, asked: Asked, cls: dict[str, Any], deadline: float) -> float:
        """One try; what the broker advised (s), and ``status``: 0 where no answer came."""
        loop, asked.status = asyncio.get_running_loop(), 0
        self._serial += 1
        body = b"b" * 200 if cls["idempotency"] != "pure" else b""
        fields = {
            "Host": "service.internal",
            "X-Request-Id": f"{self._serial:016x}",
            "X-Class": cls["name"],
            "Tier": asked.volume.plan,
            "Cookie": f"object={self._serial % 997:016x}",
            "X-Deadline-Ms": str(max(int((deadline - loop.time()) * 1000), 1)),
            "IO-Info": f"volume={asked.volume.name},units={asked.units},shard={asked.shard},"
            f"hosts={len(asked.volume.brokers)}",
        }
        if cls["idempotency"] == "token":
            fields["Idempotency-Key"] = f"k{id(asked):x}"
        if body:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        target = f"{'PUT' if body else 'GET'} /{cls['name']}/x?units={asked.units}"
        text = f"{target} HTTP/1.1\r\n{lines}\r\n".encode() + body
        writer: Writer | None = None
        try:
            async with asyncio.timeout_at(deadline):
                idle = self._idle.setdefault(asked.broker, [])
                reader, writer = (
                    idle.pop()
                    if idle
                    else await asyncio.open_connection("127.0.0.1", self.ports[asked.broker])
                )
                writer.write(text)
                first, headers = await head(reader)
                data = await reader.readexactly(int(headers.get("content-length", 0)))
            asked.status = int(first.split(" ")[1])
            self.statuses[asked.status] += 1
            self.wrong += asked.status == 200 and data != f"data of {fields['X-Request-Id']}".encode()
            if headers.get("connection", "").lower() != "close":
                self._idle[asked.broker].append((reader, writer))
                writer = None
            return float(headers.get("retry-after", 0.0))
        except (OSError, EOFError, ValueError, TimeoutError):
            self.statuses[0] += 1
            return 0.0
        finally:
            if writer is not None:
                writer.close()

    def service(self, first: float, last: float) -> float:
        """Part of the requests that came within these times and were served within their aim."""
        aims = {cls["name"]: cls["aimNs"] * 1e-9 for cls in self.settings["classes"]}
        came = [asked for asked in self.book if first <= asked.at < last]
        return sum(asked.took <= aims[asked.cls] for asked in came) / len(came) if came else 0.0

    def refused(self, first: float, last: float) -> float:
        """Part of the requests that came within these times and were refused at their last try."""
        came = [asked for asked in self.book if first <= asked.at < last]
        return sum(asked.status in (429, 503) for asked in came) / len(came) if came else 0.0

    def close(self) -> None:
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()
