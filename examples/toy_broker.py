"""A model broker on loopback, for examples and tests, that responds as the tier expects from a broker.

Each response is written directly to a socket, so that a test can truncate it, corrupt it or add to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


@attrs.define(kw_only=True)
class Received:
    """A request that the broker received."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


@attrs.define(eq=False)
class Wire:
    """The broker's side of one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    broker: ToyBroker

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    async def head(self, request: Received, status: str = "200 OK", **fields: str) -> None:
        """Send a response head; underscores in the names of ``fields`` become hyphens."""
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.headers.get('request-id', '')}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if self.broker.reports_load:
            lines.append(f"Instance-Load: {self.broker.running},0,{self.broker.slots}")
        await self.write("\r\n".join([*lines, "", ""]).encode())

    async def answer(self, request: Received, body: bytes, status: str = "200 OK", **fields: str) -> None:
        await self.head(
            request, status, Response_Signature=SIGNATURE, Content_Length=str(len(body)), **fields
        )
        await self.write(body)

    async def stream_head(self, request: Received, **fields: str) -> None:
        await self.head(
            request, Response_Signature=SIGNATURE, Content_Type="text/event-stream",
            Transfer_Encoding="chunked", **fields,
        )  # fmt: skip

    async def event(self, number: int, data: str) -> None:
        text = f"id: {number}\ndata: {data}\n\n".encode()
        await self.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def end_stream(self) -> None:
        await self.write(b"0\r\n\r\n")


Script = Callable[[Wire, Received], Awaitable[None]]


async def echo(wire: Wire, request: Received) -> None:
    """Respond with the body of the request."""
    await wire.answer(request, request.body)


def stream(events: int, breaks_after: int | None = None) -> Script:
    """Return a script that streams numbered events, starting after Last-Event-Id.

    It resets the connection after event ``breaks_after``, if given.
    """

    async def script(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, events + 1):
            await wire.event(number, f"word {number}")
            if number == breaks_after:
                return wire.reset()
        await wire.end_stream()

    return script


@attrs.define(eq=False)
class ToyBroker:
    """Serves on loopback; ``scripts`` handle the next requests in order, ``script`` all others.

    ``client_disconnected`` is set when a client closes the connection during a response.
    """

    instance_id: str = "i-1"
    slots: int = 8
    reports_load: bool = True
    script: Script = echo
    scripts: list[Script] = attrs.field(factory=list)
    received: list[Received] = attrs.field(factory=list)  # only executed requests
    rejected: int = 0
    connections: int = 0
    running: int = 0
    client_disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)
    address: str = ""
    _arrival: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def wait_received(self, count: int = 1) -> None:
        """Wait until ``count`` requests have been accepted for execution."""
        async with self._arrival:
            await self._arrival.wait_for(lambda: len(self.received) >= count)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        wire = Wire(reader, writer, self)
        try:
            while (request := await _read(reader)) is not None:
                await self._handle(wire, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.client_disconnected.set()
        finally:
            writer.close()

    async def _handle(self, wire: Wire, request: Received) -> None:
        expected = request.headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            self.rejected += 1
            return await wire.head(request, "421 Misdirected Request", Content_Length="0")
        if self.running >= self.slots:
            self.rejected += 1
            return await wire.head(request, "503 Service Unavailable", Content_Length="0", Not_Executed="1")
        self.received.append(request)
        async with self._arrival:
            self._arrival.notify_all()
        self.running += 1
        try:
            script = self.scripts.pop(0) if self.scripts else self.script
            await script(wire, request)
        finally:
            self.running -= 1


async def _read(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    request_line, *lines = head.decode().split("\r\n")[:-2]
    method, target, _ = request_line.split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method=method, target=target, headers=headers, body=body)
