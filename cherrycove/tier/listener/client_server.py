"""Accepts clients on one address, within the limits on connections and on the memory of all clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from cherrycove.broker.sockets import has_unread_input
from cherrycove.http_listener.client_connection import DEFAULT_BODY_FACTOR, READ_BYTES, ClientConnection
from cherrycove.http_listener.client_memory import ClientMemory
from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.listener.server_log import server_logger
from cherrycove.tier.settings import ProcessLimits

LISTEN_BACKLOG = 1024  # connections that are not accepted yet
MAX_ACCEPTED_PER_TURN = 16  # connections per turn of the event loop; closing others for them takes some turns
MAX_PARSER_LINE_BYTES = 256 * 1024  # limit of aiohttp's parser; the connection's limit on heads is lower
MIN_FIELD_BYTES = len("n:\r\n")  # the shortest header field; aiohttp limits the number of fields, not bytes
MIN_MAX_FIELDS = 128  # lower bound of the number of header fields that aiohttp is set to allow
MIN_CONNECTIONS = 16
BYTES_PER_MB = 1_000_000

BodyFactor = Callable[[RawRequestMessage], int]


@attrs.frozen
class ListenerBudget:
    """What the clients of a process may take; its listeners share ``memory``."""

    memory: ClientMemory
    max_connections: int  # of each listener

    @classmethod
    def of(
        cls,
        limits: ProcessLimits,
        *,
        memory_fraction: float,
        reserved_descriptors: int,
        listeners: int,
    ) -> ListenerBudget:
        """Give clients a fraction of the memory, and the descriptors that the process has to spare."""
        free_descriptors = max(limits.file_descriptors - reserved_descriptors, 0)
        return cls(
            ClientMemory(int(limits.memory_mb * BYTES_PER_MB * memory_fraction)),
            max(free_descriptors // listeners, MIN_CONNECTIONS),
        )


def default_budget() -> ListenerBudget:
    """Return the budget of a process whose limits are not configured."""
    return ListenerBudget.of(ProcessLimits(), memory_fraction=0.4, reserved_descriptors=0, listeners=1)


class ClientServer(web.Server):
    """Creates a ``ClientConnection`` for each client, with the limits configured at that time.

    Owned by whoever starts it. ``handler`` is cancelled if its client disconnects. Above the limit on
    connections, one that waits for nothing gives way to a new one: an idle one, one with part of a head, one
    that is stalled; the one that was longest inactive first. If there is none, the new one is closed.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], ClientLimits],
        budget: ListenerBudget | None = None,
        *,
        body_factor: BodyFactor = lambda _: DEFAULT_BODY_FACTOR,
    ) -> None:
        """``body_factor`` tells how many bytes of memory a byte of a body that is not small takes."""
        super().__init__(handler, request_factory=self._make_request, handler_cancellation=True)
        budget = budget or default_budget()
        self._limits = limits
        self.memory = budget.memory
        self._body_factor = body_factor
        self.read_buffer = memoryview(bytearray(READ_BYTES))  # each read is copied out at once
        self._max_connections = budget.max_connections
        self._open: set[ClientConnection] = set()

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of a new connection; called by the event loop."""
        limits = self.limits()
        return ClientConnection(
            self, self, limits=limits, logger=server_logger(),
            loop=asyncio.get_running_loop(), access_log=None,
            keepalive_timeout=limits.idle_timeout_ms / 1000, auto_decompress=False,
            max_line_size=MAX_PARSER_LINE_BYTES, max_field_size=MAX_PARSER_LINE_BYTES,
            max_headers=max(limits.max_header_bytes // MIN_FIELD_BYTES, MIN_MAX_FIELDS),
            lingering_time=0.0, read_bufsize=READ_BYTES,
        )  # fmt: skip

    def limits(self) -> ClientLimits:
        """Return the limits in force."""
        return self._limits()

    def body_factor(self, message: RawRequestMessage) -> int:
        """Return how many bytes of memory a byte of a body that is not small takes."""
        return self._body_factor(message)

    async def listen(self, address: str, shutdown_timeout_s: float) -> web.ServerRunner:
        """Listen on ``address`` (host:port); return the runner, whose ``cleanup`` stops the server.

        Raises ``OSError`` if the address cannot be bound.
        """
        runner = web.ServerRunner(self, shutdown_timeout=shutdown_timeout_s)
        await runner.setup()
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)))
        await web.SockSite(runner, listener, backlog=MAX_ACCEPTED_PER_TURN).start()
        listener.listen(LISTEN_BACKLOG)
        return runner

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count a new connection; above the limit, another one or this one is closed."""
        self._open.add(connection)
        if len(self._open) > self._max_connections:
            self._make_room_for(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""
        self._open.discard(connection)

    def _make_room_for(self, newest: ClientConnection) -> None:
        now = asyncio.get_running_loop().time()
        ranked = [
            (rank, connection.last_active_at, id(connection), connection)
            for connection in self._open
            if connection is not newest and (rank := _rank(connection, now)) is not None
        ]
        for _, _, _, connection in sorted(ranked):
            transport = connection.transport
            if transport is None or (connection.is_idle and has_unread_input(transport)):
                continue
            self._open.discard(connection)
            connection.give_way()
            return
        if newest.transport is not None:
            newest.transport.abort()

    def _make_request(
        self, message: RawRequestMessage, payload: StreamReader, protocol: web.RequestHandler,
        writer: AbstractStreamWriter, task: asyncio.Task[None],
    ) -> web.BaseRequest:  # fmt: skip
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(),
            client_max_size=self.limits().max_body_bytes,
        )  # fmt: skip


def _rank(connection: ClientConnection, now: float) -> int | None:
    """Return in which order a connection gives way to a new one; None for one that does not."""
    if not connection.can_give_way():
        return None
    if connection.is_idle:
        return 0
    if not connection.has_request:
        return 1
    return 2 if connection.is_stalled(now) else None


async def reserve_for(request: Any, size: int) -> None:
    """Reserve ``size`` bytes for answering ``request``, as soon as they fit; released with the answer."""
    connection = connection_of(request)
    if connection is not None:
        await connection.reserve_response(size)


async def reserve_within(request: Any, size: int, timeout_s: float) -> bool:
    """Reserve ``size`` bytes for answering ``request``; False if they do not fit within ``timeout_s``."""
    connection = connection_of(request)
    if connection is None or connection.try_reserve_response(size):
        return True
    try:
        async with asyncio.timeout(timeout_s):
            await connection.reserve_response(size)
    except TimeoutError:
        return False
    return True


def connection_of(request: Any) -> ClientConnection | None:
    """Return the connection of a request; None if it was not received by a ``ClientServer``."""
    protocol = getattr(request, "protocol", None)
    return protocol if isinstance(protocol, ClientConnection) else None
