"""Clients over HTTP/1.1: their connections, and the one response to each request.

It owns the bound on clients' connections and the text of a response. It must never decide anything about a
request that is well formed, and never respond 200 with anything but a node's complete 200 body.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager, suppress
from functools import partial
from itertools import chain
from math import inf

import aiohttp
from aiohttp import web
from aiohttp.http import HttpProcessingError
from yarl import URL

from cherrycove.broker.core import Answer, Core, Ending, Reply, Request, Verdict
from cherrycove.broker.http1.body import (
    MEMORY_TIMEOUT_S,
    STREAM_MEMORY_BYTES,
    BodyMemory,
    StreamedBody,
    read_body,
    required_memory_bytes,
)
from cherrycove.broker.http1.parse import (
    BodyError,
    DeploymentNames,
    RequestError,
    RequestHead,
    parse_head,
    reject_repeated_headers,
    to_origin_form,
)
from cherrycove.broker.http1.upstream import (
    READ_CHUNK_BYTES,
    ConnectionPool,
    InvalidResponseError,
    ResponseStream,
    UpstreamRequest,
)
from cherrycove.broker.lifecycle.listening_socket import bind_listening_socket
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable
from cherrycove.broker.local_codes import BY_STATUS, Own
from cherrycove.broker.sockets import POLL_INTERVAL_S, DisconnectWatcher, has_unread_input

# aiohttp's own log, of requests that it could not parse.
clients_log = logging.getLogger("cherrycove.http1.clients")

IDLE_TIMEOUT_S = 2.4  # for a complete head, at a connection's start or between requests
MIN_IDLE_S = 0.2  # after which an idle connection may be closed for another client
LINGER_TIMEOUT_S = 3.0  # for a client that still sends its body to read its response
TCP_USER_TIMEOUT_S = 10.0  # after which a client that acknowledges no data is disconnected
ACCEPT_TURNS = 3  # of the loop between accepting a connection and its ``connection_made``
LISTEN_BACKLOG = 1024  # connections not yet accepted
MAX_ACCEPTED_PER_TURN = 4  # connections in one turn of the loop; it takes some turns to close others for them
MEMORY_TIMEOUT_FRACTION = 0.45  # of its deadline that a request waits for memory at most
NEW_CONNECTION_WAIT_S = 0.1  # in which a new connection sends its request, or the rest of its head
CLOSE_TIMEOUT_S = 1.0  # for clients to read their responses when the broker ends


def _own_fault(record: logging.LogRecord) -> bool:
    """Filter out the traces that aiohttp logs for each malformed request: any client could fill the log."""
    return not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


clients_log.addFilter(_own_fault)


def _id(request: web.BaseRequest) -> str:
    """The request's id as the client sent it, valid or not."""
    return request.headers.get("X-Request-Id", "")[:128]


class ClientConnection(web.RequestHandler):
    """aiohttp's connection to a client, which notifies its owner of received data."""

    _disconnect_watcher: DisconnectWatcher | None = None  # once reading has been paused

    def data_received(self, data: bytes) -> None:
        if isinstance(self._manager, ClientConnections):
            self._manager.spoke(self)
        super().data_received(data)

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self.transport is not None:
            self._disconnect_watcher = self._disconnect_watcher or DisconnectWatcher(
                self.transport, self.transport.abort
            )
            self._disconnect_watcher.on_reading_paused()

    def _process_keepalive(self) -> None:
        if isinstance(self._manager, ClientConnections) and self._manager.holds(self):
            self._next_keepalive_close_time = max(self._next_keepalive_close_time, self._manager.held_until)
        if self.transport is not None and has_unread_input(self.transport):
            # Unread input may be a request, which a close would leave unanswered.
            self._next_keepalive_close_time = max(
                self._next_keepalive_close_time, self._loop.time() + POLL_INTERVAL_S
            )
        super()._process_keepalive()


class ClientConnections(web.Server):
    """aiohttp's server with a bound on connections: past it, one without a request is closed for a new one.

    Connections that have sent nothing or are idle are closed first, the oldest of them, then those that have
    sent a part of a head. One with a request in flight is never closed.
    """

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: int,
        soft_limit: int,
    ) -> None:
        # By default aiohttp waits an hour for a head, and reads on for ten seconds after an error.
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
        # The connections in each state, in the order of entering it, with that time.
        self._silent: dict[web.RequestHandler, float] = {}  # nothing received yet
        self._partial: dict[web.RequestHandler, float] = {}  # a part of a head
        self._idle: dict[web.RequestHandler, float] = {}  # between requests
        self._busy: dict[
            web.RequestHandler, float
        ] = {}  # a request is in flight, or its body is still being received
        self._groups = self._silent, self._partial, self._idle, self._busy
        self.held_until = 0.0  # until then idle connections stay open
        self.left = asyncio.Event()  # set when the last connection has closed
        self.moved = asyncio.Event()  # set when a connection has changed its state

    def __call__(self) -> web.RequestHandler:
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def _move(self, handler: web.RequestHandler, to: dict[web.RequestHandler, float]) -> None:
        for group in self._groups:
            group.pop(handler, None)
        to[handler] = self._loop.time()
        self.moved.set()

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(READ_CHUNK_BYTES)
        self._move(handler, self._silent)
        self.resize(self._max_connections)

    def resize(self, max_connections: int) -> None:
        self._max_connections = max_connections
        while sum(map(len, self._groups)) > max_connections:
            # Without free descriptors no client could be accepted.
            group = self._silent if len(self._silent) >= len(self._idle) else self._idle
            first = next(chain(group, self._partial), None)
            victim = next((each for each in chain(group, self._partial) if not self._asks(each)), first)
            if victim is None:
                return
            group.pop(victim, None)
            self._partial.pop(victim, None)
            self._connections[victim].abort()

    def _asks(self, handler: web.RequestHandler) -> bool:
        """Whether there may be a request that the loop has not read yet: it must get a response."""
        return handler in self._connections and has_unread_input(self._connections[handler])

    def holds(self, handler: web.RequestHandler) -> bool:
        return handler in self._idle

    def spoke(self, handler: web.RequestHandler) -> None:
        if handler not in self._busy and handler not in self._partial:
            self._move(handler, self._partial)
            # aiohttp counts from the last response, and would time out a slow head on an idle connection.
            handler._next_keepalive_close_time = self._loop.time() + IDLE_TIMEOUT_S

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        for group in self._groups:
            group.pop(handler, None)
        self.moved.set()
        if not self.connected:
            self.left.set()

    async def settled(self, until: float) -> None:
        """Wait until no request is in flight, unread or expected, or the loop's clock shows ``until``."""
        while (now := self._loop.time()) < until:
            self.moved.clear()
            young = (
                max((*self._silent.values(), *self._partial.values()), default=-inf) + NEW_CONNECTION_WAIT_S
            )
            if young <= now and not (self._busy or any(map(self._asks, self._idle))):
                return
            with suppress(TimeoutError):
                async with asyncio.timeout_at(min(max(young, now + POLL_INTERVAL_S), until)):
                    await self.moved.wait()

    @property
    def connected(self) -> bool:
        return any(self._groups)

    @property
    def exceeds_soft_limit(self) -> bool:
        """Whether clients hold so many descriptors (a third of all) that others may not be accepted."""
        return len(self._idle) + len(self._busy) > self._soft_limit

    def request_started(self, handler: web.RequestHandler) -> None:
        if handler.transport is None:
            return
        self._move(handler, self._busy)
        if self.exceeds_soft_limit and self._idle:
            # Idle clients would keep others from being accepted until they time out.
            longest, since = next(iter(self._idle.items()))
            if since < self._loop.time() - MIN_IDLE_S and not self._asks(longest):
                del self._idle[longest]
                self._connections[longest].close()

    def answered(self, handler: web.RequestHandler) -> None:
        """Its client has its response, but still sends."""
        if handler in self._busy:
            self._move(handler, self._partial)

    def request_finished(self, handler: web.RequestHandler) -> None:
        if handler in self._busy:
            self._move(handler, self._idle)


class Server:
    """The connections of HTTP clients, and the response to each of their requests.

    The broker owns it: it listens, may hand its listener to another process, drains (not ready for new
    clients), parts (closes each connection after its next response), gives up (answers whatever is in flight)
    and closes.
    """

    def __init__(
        self, core: Core, pool: ConnectionPool, max_connections: int, soft_limit: int, body_memory_bytes: int
    ) -> None:
        self._core, self._pool = core, pool
        self._names = DeploymentNames(core.settings)
        self._draining = self._closing_connections = False
        self._server: asyncio.Server | None = None
        self._further_servers: list[asyncio.Server] = []  # on sockets of a process that answered late
        self.listener: socket.socket
        self._web = ClientConnections(self._handle, max_connections, soft_limit)
        self.body_memory = BodyMemory(body_memory_bytes)
        self._open: set[str] = set()  # the ids of requests in flight
        self.last_request = 0.0
        self._give_up_at, self._given_up = 0.0, False  # from then on new requests are rejected at once
        self._body_timeouts: set[asyncio.Timeout] = set()  # of requests that wait for memory or their body
        self._flowing: set[asyncio.Timeout] = set()  # of responses that are being streamed
        self._gone = inf  # the time by which all connections are closed

    async def listen(self, host: str, port: int) -> int:
        """Start to accept on a new socket; the port, which the system chooses if ``port`` is 0."""
        # A client that never reads its response would keep its connection for ever. Inherited on accept.
        return await self.accept(
            bind_listening_socket(host, port, TCP_USER_TIMEOUT=int(TCP_USER_TIMEOUT_S * 1000))
        )

    async def accept(self, given: socket.socket) -> int:
        """Start to accept from a socket that another process may have opened, and may accept from too."""
        # asyncio accepts up to ``backlog`` connections in one turn, which could take all descriptors.
        self._server = await asyncio.get_running_loop().create_server(
            self._web, sock=given, backlog=MAX_ACCEPTED_PER_TURN
        )
        given.listen(LISTEN_BACKLOG)
        self.listener, self._draining, self._closing_connections = given, False, False
        bound: int = given.getsockname()[1]
        return bound

    async def accept_also(self, given: socket.socket) -> None:
        """Accept from a further socket until this process hands over or closes."""
        self._further_servers.append(
            await asyncio.get_running_loop().create_server(
                self._web, sock=given, backlog=MAX_ACCEPTED_PER_TURN
            )
        )
        given.listen(LISTEN_BACKLOG)

    def hand_over(self) -> socket.socket:
        """Stop accepting in favour of another process; a duplicate of the socket, to accept from again."""
        kept = self.listener.dup()
        self._close_further_servers()
        if self._server is not None:
            self._server.close()
        self.drain()
        return kept

    def resize(self, max_connections: int, body_memory_bytes: int) -> None:
        self._web.resize(max_connections)
        self.body_memory.resize(body_memory_bytes)

    def drain(self, close_connections: bool = True) -> None:
        self._draining, self._closing_connections = True, self._closing_connections or close_connections
        self.last_request = asyncio.get_running_loop().time()

    async def serve_until_stop(self, times: ShutdownTimetable, began: float, replaced: bool) -> None:
        """Serve until no more requests are accepted; those in flight then have until ``times.give_up``.

        ``began`` is the time of the signal on the loop's clock; ``replaced``: whether another process serves.
        """
        loop, web = asyncio.get_running_loop(), self._web
        if not replaced:
            web.held_until = began + times.stop  # it may be its client's only way to the tier
        loop.call_at(began + times.closes_connections_at(replaced=replaced), self.drain)
        self._give_up_at = began + times.give_up
        loop.call_at(self._give_up_at, self._give_up)
        loop.call_at(began + times.abort, self._end_at_once, self._flowing)
        self._gone = began + times.disconnect
        while True:
            web.left.clear()
            now = loop.time()
            until = times.accepts_until(
                now - began, now - self.last_request, replaced=replaced, connected=web.connected
            )
            if began + until <= now:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout_at(began + until):
                    await web.left.wait()

    def _give_up(self) -> None:
        self._given_up = True
        self._core.give_up()
        self._end_at_once(self._body_timeouts)

    @staticmethod
    def _end_at_once(waits: set[asyncio.Timeout]) -> None:
        for waiting in waits:
            if not waiting.expired():
                waiting.reschedule(asyncio.get_running_loop().time())

    def _close_further_servers(self) -> None:
        for further in self._further_servers:
            further.close()
        self._further_servers.clear()

    async def close(self) -> None:
        """Stop accepting, answer all requests in flight or unread, then close the connections."""
        loop = asyncio.get_running_loop()
        self._close_further_servers()
        if self._server is not None and self._server.is_serving():
            with self.listener.dup() as rest:  # closing the last would reset connections not yet accepted
                self._server.close()
                await self._accept_rest(rest)
        # Requests that wait for memory, for their body or to be read are not known to the core yet.
        await self._web.settled(max(self._give_up_at, loop.time() + NEW_CONNECTION_WAIT_S))
        await self._core.idle()
        self._web.pre_shutdown()  # closes idle ones; the others close after their response
        # aiohttp waits twice for this time, and does not wait at all for 0.
        await self._web.shutdown(min(CLOSE_TIMEOUT_S, max((self._gone - loop.time()) / 2, 0.001)))

    async def _accept_rest(self, rest: socket.socket) -> None:
        """Accept what is queued: closing the listener would reset it, with the request it may have sent."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for _ in range(LISTEN_BACKLOG):
                connection, _ = rest.accept()
                connection.setblocking(False)
                await loop.connect_accepted_socket(self._web, connection)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._web.request_started(request.protocol)
        try:
            return await self._respond(request)
        finally:
            self._web.request_finished(request.protocol)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        target = to_origin_form(request.raw_path)
        path = target.partition("?")[0]
        if path == "/-/ready":
            ok = self._core.ready and not self._draining
            return self._response(200 if ok else 503, "ready\n" if ok else "not ready\n")
        self.last_request = asyncio.get_running_loop().time()
        cls = self._names.classes.get((path.split("/", 2) + [""])[1])
        if cls is None:
            self._core.record_rejection(None, own=Own.NO_PATH, id=_id(request))
            return self._response(404, "no such path\n", whole=not request.body_exists)
        try:
            if request.method not in ("GET", "PUT"):
                raise RequestError("the method is neither GET nor PUT")
            head = parse_head(target, reject_repeated_headers(request.headers), self._names)
            if URL(f"http://h{target}", encoded=True).raw_path_qs != target:
                raise RequestError("the path cannot be passed on unchanged")
            size, came = required_memory_bytes(request), asyncio.get_running_loop().time()
            budget = min(head.budget, self._core.settings.classes[cls].deadline)
            async with self._until_given_up(request):
                await self.body_memory.reserve(size, min(MEMORY_TIMEOUT_S, MEMORY_TIMEOUT_FRACTION * budget))
            # The client's time runs meanwhile if its body is complete: the wait counts towards the deadline.
            waited = asyncio.get_running_loop().time() - came
        except TimeoutError:
            return await self._refuse(request, cls)
        except (RequestError, ValueError) as error:
            return self._turn_away(
                request, cls, getattr(error, "status", 400), f"{error}\n", whole=not request.body_exists
            )
        try:
            return await self._take(request, cls, head, waited)
        finally:
            self.body_memory.release(size)

    @asynccontextmanager
    async def _until_given_up(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """Bound a wait by ``give_up``; TimeoutError if the process gives up before the wait has ended."""
        if not request.body_exists:
            yield  # there is no body to wait for
            return
        async with asyncio.timeout(0.0 if self._given_up else None) as waiting:
            self._body_timeouts.add(waiting)
            try:
                yield
            finally:
                self._body_timeouts.discard(waiting)

    async def _refuse(self, request: web.BaseRequest, cls: int) -> web.Response:
        """Reject a request whose body has not been read."""
        own, why = Own.NO_ROOM, "no room for its body now"
        if self._given_up:
            own, why = Own.ENDING, "this process ends"
        response = self._turn_away(
            request, cls, 503, f"refused: {why}\n", whole=False, verdict=Verdict.REFUSED, own=own
        )
        await self._leave(request, response)
        return response

    async def _take(
        self, request: web.BaseRequest, cls: int, head: RequestHead, waited: float
    ) -> web.StreamResponse:
        try:
            async with self._until_given_up(request):
                body = await read_body(request)
        except TimeoutError:
            return await self._refuse(request, cls)
        except (RequestError, ValueError, web.RequestPayloadError, HttpProcessingError) as error:
            status = error.status if isinstance(error, BodyError) else 400
            return self._turn_away(request, cls, status, f"{error}\n", whole=not request.body_exists)
        if head.id in self._open:
            # Forwarded, it would be a duplicate of a request in flight.
            return self._turn_away(
                request, cls, 409, "a request with this X-Request-Id is open\n", whole=isinstance(body, bytes)
            )
        self._open.add(head.id)
        relayed: list[web.StreamResponse] = []
        call = UpstreamRequest(
            self._pool,
            request.method,
            to_origin_form(request.raw_path),
            head.id,
            body,
            partial(self._relay, request, relayed),
            head.idempotency_key,
        )
        flows = isinstance(body, StreamedBody)  # the deadline counts from the end of its body
        deadline = asyncio.get_running_loop().time() + head.budget - (0.0 if flows else waited)
        try:
            answer = await self._core.serve(
                Request(
                    head.cls,
                    head.plan,
                    head.volume,
                    head.units,
                    head.shard,
                    head.hosts,
                    deadline,
                    head.key,
                    head.repeat,
                    flows,
                    head.id,
                ),
                call,
            )
        finally:
            self._open.discard(head.id)
        if relayed:
            return relayed[0]
        if call.fault is not None:
            return self._response(call.fault.status, f"{call.fault}\n", whole=False)
        response = self._answer(answer)
        if not request.content.is_eof():
            await self._leave(request, response)
        return response

    async def _relay(
        self, request: web.BaseRequest, relayed: list[web.StreamResponse], rest: ResponseStream, reply: Reply
    ) -> Ending:
        """Stream a long response. If it breaks off, the connection closes before the framed end."""
        response = web.StreamResponse(headers=self._headers(reply.kind or "application/octet-stream"))
        relayed.append(response)
        if rest.length is not None:
            response.content_length = rest.length
        elif request.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        if self._closing_connections or self._web.exceeds_soft_limit or not request.content.is_eof():
            response.force_close()
        self.body_memory.reserve_unchecked(STREAM_MEMORY_BYTES)
        try:
            async with asyncio.timeout(None) as flowing:
                self._flowing.add(flowing)
                return await self._pump(request, response, rest, reply)
        except TimeoutError:  # the process ends
            request.protocol.force_close()
            return Ending.CUT_SHORT
        finally:
            self._flowing.discard(flowing)
            self.body_memory.release(STREAM_MEMORY_BYTES)

    async def _pump(
        self, request: web.BaseRequest, response: web.StreamResponse, rest: ResponseStream, reply: Reply
    ) -> Ending:
        async with aclosing(rest.pieces()) as pieces:
            await response.prepare(request)
            if reply.body:
                await response.write(reply.body)
            try:
                async for piece in pieces:
                    await response.write(piece)
            except InvalidResponseError:
                ending = Ending.SPOILT
            except aiohttp.ClientPayloadError:
                ending = Ending.CUT_SHORT
            else:
                await response.write_eof()
                return Ending.SERVED
        # aiohttp would end the response as if it were complete.
        request.protocol.force_close()
        return ending

    async def _leave(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Respond to a client that still sends: closing with unread input would reset the response too."""
        response.force_close()
        await response.prepare(request)
        await response.write_eof()
        self._web.answered(request.protocol)
        with suppress(TimeoutError, web.RequestPayloadError, HttpProcessingError):
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while await request.content.readany():
                    pass

    def _turn_away(
        self,
        request: web.BaseRequest,
        cls: int,
        status: int,
        why: str,
        whole: bool = True,
        verdict: Verdict = Verdict.FAILED,
        own: Own | None = None,
    ) -> web.Response:
        self._core.record_rejection(cls, verdict, own or BY_STATUS.get(status, Own.MALFORMED), _id(request))
        response = self._response(status, why, whole=whole)
        advice = min(MEMORY_TIMEOUT_S, self._core.settings.retry_advice)
        if verdict is Verdict.REFUSED and advice > 0:
            response.headers["Retry-After"] = f"{advice:.3f}"
        return response

    def _answer(self, answer: Answer) -> web.StreamResponse:
        if answer.verdict is Verdict.SERVED and answer.reply is not None:
            return self._response(200, answer.reply.body, answer.reply.kind)
        if answer.verdict is Verdict.REFUSED:
            response = self._response(503, "refused: a new try does no harm\n")
            if answer.retry_after > 0:
                response.headers["Retry-After"] = f"{answer.retry_after:.3f}"
            return response
        late = answer.cause in (Ending.TIMED_OUT, Ending.CONNECT_TIMEOUT)
        return self._response(504 if late else 500, "failed: it may have taken effect\n")

    @staticmethod
    def _headers(kind: str) -> dict[str, str]:
        return {"Server": "cherrycove", "Content-Type": kind}

    def _response(self, status: int, body: str | bytes, kind: str = "", whole: bool = True) -> web.Response:
        data = body.encode() if isinstance(body, str) else body
        response = web.Response(
            status=status,
            body=data,
            headers=self._headers(
                kind or ("text/plain" if isinstance(body, str) else "application/octet-stream")
            ),
        )
        # Clients that send one request and stay would keep others out until they time out.
        if self._closing_connections or not whole or self._web.exceeds_soft_limit:
            response.force_close()
        return response
