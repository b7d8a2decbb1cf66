"""A loopback server whose responses are written by the test, in the order that the test chooses."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen
class ReceivedRequest:
    """A request that was received completely."""

    connection_number: int  # number of the connection, from 1
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


@attrs.define(eq=False)
class ServerConnection:
    """The server side of one connection."""

    number: int  # number of the connection, from 1
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def respond(self, body: bytes = b"", status: str = "200 OK", **fields: str) -> None:
        """Write a complete response; names in ``fields`` have underscores in place of hyphens."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        await self.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def close(self) -> None:
        """Close the connection in an orderly way."""
        self.writer.close()
        await self.writer.wait_closed()

    def reset(self) -> None:
        """Reset the connection, regardless of unsent or unread data."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection after the data written so far, like a process that exits with unread data."""
    connection_socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


Script = Callable[[ServerConnection, ReceivedRequest], Awaitable[None]]


@attrs.define(eq=False)
class ScriptedServer:
    """Records all requests, and responds to each of them with ``script``."""

    script: Script
    requests: list[ReceivedRequest] = attrs.field(factory=list)
    connections: int = 0
    address: str = ""
    _request_received: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _server: asyncio.Server | None = None

    async def __aenter__(self) -> ScriptedServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._server is not None
        self._server.close()

    async def wait_for_requests(self, count: int) -> None:
        async with self._request_received:
            await self._request_received.wait_for(lambda: len(self.requests) >= count)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = ServerConnection(self.connections, reader, writer)
        try:
            while (request := await _read(connection)) is not None:
                self.requests.append(request)
                async with self._request_received:
                    self._request_received.notify_all()
                await self.script(connection, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def _read(connection: ServerConnection) -> ReceivedRequest | None:
    try:
        head = await connection.reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode().split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (each.partition(":") for each in lines)}
    body = await connection.reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(connection.number, method, target, headers, body)
