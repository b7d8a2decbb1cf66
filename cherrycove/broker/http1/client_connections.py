"""The connections of clients over HTTP/1.1: their states, and which are closed above the limit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import chain
from math import inf
from typing import Any

from aiohttp import web
from aiohttp.http import HttpProcessingError, RawRequestMessage

from cherrycove.broker.http1.body import MAX_BODY_BYTES
from cherrycove.broker.http1.node_connection import READ_CHUNK_BYTES
from cherrycove.broker.sockets import POLL_INTERVAL_S, DisconnectWatcher, has_unread_input
from cherrycove.http_listener import client_connection as http_listener
from cherrycove.http_listener.client_memory import ClientMemory

# Used by aiohttp, which logs requests that it could not parse.
clients_log = logging.getLogger("cherrycove.http1.clients")

MAX_HEAD_BYTES = 64 * 1024  # of a request; those of the platform have less than one
IDLE_TIMEOUT_S = 2.4  # until a complete head is received, on a new connection or after a response
MIN_IDLE_S = 0.2  # after which an idle connection may be closed in favour of another client
NEW_CONNECTION_WAIT_S = 0.1  # for a new connection to send its request, or the rest of its head


def _is_not_caused_by_client(record: logging.LogRecord) -> bool:
    """Filter out the traces that aiohttp logs for malformed requests: any client could fill the log."""
    return not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


clients_log.addFilter(_is_not_caused_by_client)


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits of a connection; bodies have limits of their own (``body``)."""

    max_header_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_ms: float = 1000 * (IDLE_TIMEOUT_S + MIN_IDLE_S)  # the idle timeout comes first


class ClientConnection(http_listener.ClientConnection):
    """A connection to a client, which notifies its owner of received data; it accounts heads, not bodies."""

    _disconnect_watcher: DisconnectWatcher | None = None  # created when reading is first paused

    def __init__(self, manager: ClientConnections, **settings: Any) -> None:
        """``settings`` are those of aiohttp's handler."""
        super().__init__(manager, manager, limits=HeadLimits(), **settings)

    def data_received(self, data: bytes) -> None:
        """Tell the owner, then parse; called by the event loop."""
        if isinstance(self._manager, ClientConnections):
            self._manager.input_received(self)
        super().data_received(data)

    def restart_idle_timeout(self) -> None:
        """Let a request that begins now take the whole idle timeout for its head.

        aiohttp counts from the last response, and would time out a head that begins late on an idle
        connection and is received slowly.
        """
        self._next_keepalive_close_time = self._loop.time() + IDLE_TIMEOUT_S

    def can_give_way(self) -> bool:
        """Whether no request of the client is in flight."""
        return not self.has_request and super().can_give_way()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self.transport is not None:
            self._disconnect_watcher = self._disconnect_watcher or DisconnectWatcher(
                self.transport, self.transport.abort
            )
            self._disconnect_watcher.on_reading_paused()

    def _process_keepalive(self) -> None:
        if isinstance(self._manager, ClientConnections) and self._manager.is_idle(self):
            self._next_keepalive_close_time = max(
                self._next_keepalive_close_time, self._manager.keep_idle_until
            )
        if self.transport is not None and has_unread_input(self.transport):
            # Unread input may be a request, which would get no response if the connection were closed.
            self._next_keepalive_close_time = max(
                self._next_keepalive_close_time, self._loop.time() + POLL_INTERVAL_S
            )
        super()._process_keepalive()


class ClientConnections(web.Server):
    """aiohttp's server with a limit on connections: above it, one without a request is closed for a new one.

    Connections that have sent nothing or are idle are closed first, then those that have sent a part of a
    head; within each group the oldest goes first. One with a request in flight is never closed.
    """

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: int,
        soft_limit: int,
        head_memory_bytes: int,
    ) -> None:
        # By default aiohttp waits an hour for a head, and goes on reading for ten seconds after an error.
        super().__init__(
            handle,
            handler_cancellation=True,
            access_log=None,
            tcp_keepalive=False,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=0.0,
            logger=clients_log,
            read_bufsize=READ_CHUNK_BYTES // 2,
        )
        self._max_connections, self._soft_limit = max_connections, soft_limit
        self.memory = ClientMemory(head_memory_bytes)
        self.read_buffer = memoryview(bytearray(http_listener.READ_BYTES))
        # The connections in each state, in the order of entering it, with that time.
        self._new: dict[web.RequestHandler, float] = {}  # nothing received yet
        self._partial: dict[web.RequestHandler, float] = {}  # a part of a head, or input after a response
        self._idle: dict[web.RequestHandler, float] = {}  # between requests
        self._busy: dict[
            web.RequestHandler, float
        ] = {}  # a request is in flight, or its body is still being received
        self._states = self._new, self._partial, self._idle, self._busy
        self.keep_idle_until = 0.0  # on the loop's clock: until then idle connections stay open
        self.all_closed = asyncio.Event()  # set when the last connection has closed
        self.state_changed = asyncio.Event()  # set when a connection has changed its state

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection; called by the event loop."""
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def limits(self) -> HeadLimits:
        """Return the limits of connections."""
        return HeadLimits()

    def body_factor(self, _message: RawRequestMessage) -> int:
        """Return 0: the memory of bodies is accounted by ``BodyMemory``."""
        return 0

    def connection_opened(self, connection: http_listener.ClientConnection) -> None:
        """Do nothing: ``connection_made`` takes new connections."""

    def connection_closed(self, connection: http_listener.ClientConnection) -> None:
        """Do nothing: ``connection_lost`` forgets connections."""

    def _move(self, handler: web.RequestHandler, to: dict[web.RequestHandler, float]) -> None:
        for state in self._states:
            state.pop(handler, None)
        to[handler] = self._loop.time()
        self.state_changed.set()

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Take a new connection, and close another one above the limit; called by aiohttp."""
        super().connection_made(handler, transport)
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(READ_CHUNK_BYTES)
        self._move(handler, self._new)
        self.resize(self._max_connections)

    def resize(self, max_connections: int) -> None:
        """Set the limit on connections, and close those without a request that exceed it."""
        self._max_connections = max_connections
        while sum(map(len, self._states)) > max_connections:
            # Without free descriptors no client could be accepted.
            state = self._new if len(self._new) >= len(self._idle) else self._idle
            first = next(chain(state, self._partial), None)
            victim = next(
                (each for each in chain(state, self._partial) if not self._may_have_request(each)), first
            )
            if victim is None:
                return
            state.pop(victim, None)
            self._partial.pop(victim, None)
            self._connections[victim].abort()

    def _may_have_request(self, handler: web.RequestHandler) -> bool:
        """Whether there may be a request that the loop has not read yet and that must get a response."""
        return handler in self._connections and has_unread_input(self._connections[handler])

    def is_idle(self, handler: web.RequestHandler) -> bool:
        """Whether the connection is between two requests."""
        return handler in self._idle

    def input_received(self, handler: ClientConnection) -> None:
        """Note that bytes of a request were received."""
        if handler not in self._busy and handler not in self._partial:
            self._move(handler, self._partial)
            handler.restart_idle_timeout()

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        """Forget a closed connection; called by aiohttp."""
        super().connection_lost(handler, exc)
        for state in self._states:
            state.pop(handler, None)
        self.state_changed.set()
        if not self.connected:
            self.all_closed.set()

    async def wait_until_no_requests(self, until: float) -> None:
        """Wait until no request is in flight, unread or expected, or until ``until`` on the loop's clock."""
        while (now := self._loop.time()) < until:
            self.state_changed.clear()
            expected_until = (
                max((*self._new.values(), *self._partial.values()), default=-inf) + NEW_CONNECTION_WAIT_S
            )
            if expected_until <= now and not (self._busy or any(map(self._may_have_request, self._idle))):
                return
            with suppress(TimeoutError):
                async with asyncio.timeout_at(min(max(expected_until, now + POLL_INTERVAL_S), until)):
                    await self.state_changed.wait()

    @property
    def connected(self) -> bool:
        """Whether there is any connection."""
        return any(self._states)

    @property
    def exceeds_soft_limit(self) -> bool:
        """Whether clients hold so many descriptors that others might not be accepted."""
        return len(self._idle) + len(self._busy) > self._soft_limit

    def request_started(self, handler: web.RequestHandler) -> None:
        """Note that a request is in flight; closes the longest idle connection above the soft limit."""
        if handler.transport is None:
            return
        self._move(handler, self._busy)
        if self.exceeds_soft_limit and self._idle:
            # Idle clients would keep others from being accepted until they time out.
            longest_idle, idle_since = next(iter(self._idle.items()))
            if idle_since < self._loop.time() - MIN_IDLE_S and not self._may_have_request(longest_idle):
                del self._idle[longest_idle]
                self._connections[longest_idle].close()

    def response_sent(self, handler: web.RequestHandler) -> None:
        """Note that the client has its response, although it is still sending its request."""
        if handler in self._busy:
            self._move(handler, self._partial)

    def request_finished(self, handler: web.RequestHandler) -> None:
        """Note that the request has its response and was received completely."""
        if handler in self._busy:
            self._move(handler, self._idle)
