"""Operators who reach the keepers over links, and act as the page on the operator's API says."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

import attrs
from links import WAIT_S, Network

from examples.small_tier import TierError
from examples.tier_processes import Daemon

ATTEMPT_S = 2.0  # without an answer for so long, an operator turns to another keeper
PAUSE_S = 0.05  # between two tries
MOST_REDIRECTS = 2
NO_ANSWER = 0
MAY_COME_AGAIN = (NO_ANSWER, 307, 408, 409, 429)  # beside all from 500 on


@attrs.frozen
class Answer:
    """What came back of one call; status 0 if nothing did."""

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    @property
    def clear(self) -> bool:
        """Whether the operator may rely on it."""
        return self.status < 500 and self.status not in MAY_COME_AGAIN

    def json(self) -> Any:
        return json.loads(self.body)


@attrs.frozen
class Order:
    """One order, sent unchanged until there is a clear answer."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)


def change(document: bytes, base: int) -> Order:
    """Put ``document`` in force on top of version ``base``."""
    return Order("PUT", "/api/configuration", document, {"If-Match": str(base)})


READ = Order("GET", "/api/configuration")


def retire(machine: str) -> Order:
    return Order("POST", f"/api/retire/{machine}", b'{"durationS":10}')


def retirement(machine: str) -> Order:
    return Order("GET", f"/api/retire/{machine}")


@attrs.define(eq=False)
class Line:
    """A connection that has come up, for one call."""

    address: str
    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter

    def send(self, order: Order) -> asyncio.Task[Answer]:
        """The order is on its way; the task ends with its answer, or when the connection does."""
        self._writer.write(_encode(self.address, order))
        return asyncio.create_task(self.answer())

    async def answer(self) -> Answer:
        try:
            return await _read(self._reader)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(NO_ANSWER)
        finally:
            self._writer.transport.abort()


@attrs.define(eq=False)
class Operator:
    """One operator; ``name`` is its machine on the network."""

    name: str
    links: Network

    async def line(self, keeper: Daemon) -> Line:
        """A connection to ``keeper`` on which nothing was sent yet."""
        return await self._line(keeper.control_plane)

    async def _line(self, address: str) -> Line:
        return Line(address, *await self.links.connect(self.name, address))

    async def ask(self, keeper: Daemon, order: Order, attempt_s: float = ATTEMPT_S) -> Answer:
        """One try at one keeper; a redirect is returned as it is."""
        return await self._try(keeper.control_plane, order, attempt_s)

    async def follow(self, keeper: Daemon, order: Order) -> Answer:
        """One try at one keeper, and at those that it points to."""
        answer = await self.ask(keeper, order)
        for _ in range(MOST_REDIRECTS):
            if answer.status != 307:
                break
            answer = await self._try(urlsplit(answer.headers["location"]).netloc, order, ATTEMPT_S)
        return answer

    async def settle(
        self, keepers: Sequence[Daemon], order: Order, within_s: float | None = WAIT_S
    ) -> Answer:
        """The clear answer, asked of one keeper after the other."""
        seen: Counter[int] = Counter()
        try:
            async with asyncio.timeout(within_s):
                while True:
                    for keeper in keepers:
                        answer = await self.follow(keeper, order)
                        if answer.clear:
                            return answer
                        seen[answer.status] += 1
                        await asyncio.sleep(PAUSE_S)
        except TimeoutError:
            what = f"{self.name}: {order.method} {order.path}"
            raise TierError(f"{what} got no clear answer: {dict(seen)}") from None

    async def _try(self, address: str, order: Order, attempt_s: float) -> Answer:
        try:
            return await asyncio.wait_for(self._exchange(address, order), attempt_s)
        except TimeoutError:
            return Answer(NO_ANSWER)

    async def _exchange(self, address: str, order: Order) -> Answer:
        try:
            line = await self._line(address)
        except OSError:
            return Answer(NO_ANSWER)
        return await line.send(order)


def _encode(address: str, order: Order) -> bytes:
    headers = {"Host": address, "Content-Length": str(len(order.body)), **order.headers}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([f"{order.method} {order.path} HTTP/1.1", *lines, "", ""]).encode() + order.body


async def _read(reader: asyncio.StreamReader) -> Answer:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers["content-length"]))
    return Answer(int(first.split()[1]), headers, body)
