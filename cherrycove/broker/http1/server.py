"""Clients over HTTP/1.1: their connections, and the one answer to each request.

It owns the bound on clients' connections and the words of an answer. It must never decide anything about a
request that is well formed, and never answer 200 with anything but a node's whole 200 body.
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

# The HTTP library's own log, of requests that it could not read.
clients_log = logging.getLogger("cherrycove.http1.clients")

IDLE_TIMEOUT_S = 2.4  # s that a connection may stay without a whole head, at its start or between requests
MIN_IDLE_S = 0.2  # s between requests after which a connection gives way where clients are many
LINGER_TIMEOUT_S = 3.0  # s that a client which still sends its body has to see its answer
TCP_USER_TIMEOUT_S = 10.0  # s after which a client that takes nothing of what it is sent is cut off
ACCEPT_TURNS = 3  # of the loop until what it has accepted is a connection of ours
LISTEN_BACKLOG = 1024  # connections to be accepted
MAX_ACCEPTED_PER_TURN = 4  # connections in one turn of the loop; some turns pass until they can be dropped
MEMORY_TIMEOUT_FRACTION = (
    0.45  # of what its client waits that a request waits for room at most, as half of that is priced
)
NEW_CONNECTION_WAIT_S = 0.1  # s within which a new connection brings its request, or the rest of its head
CLOSE_TIMEOUT_S = 1.0  # s that a client has to take its answer when the broker ends


def _own_fault(record: logging.LogRecord) -> bool:
    """Guard: the library writes a trace for each unreadable request; any client could make it busy so."""
    return not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


clients_log.addFilter(_own_fault)


def _id(request: web.BaseRequest) -> str:
    """What the client calls it, were it the right one or not."""
    return request.headers.get("X-Request-Id", "")[:128]


class ClientConnection(web.RequestHandler):
    """The library's connection to a client, which says when something has come over it."""

    _disconnect_watcher: DisconnectWatcher | None = None  # once it has been left unread

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
            # Guard: what has come and is not read yet may be a request, which a close would leave unanswered.
            self._next_keepalive_close_time = max(
                self._next_keepalive_close_time, self._loop.time() + POLL_INTERVAL_S
            )
        super()._process_keepalive()


class ClientConnections(web.Server):
    """The library's server, bounded: past the bound, a connection without a request gives way to a new one.
    Those that say nothing give first, the longest so, then those that have sent a part of a head."""

    def __init__(
        self, handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], most: int, crowd: int
    ) -> None:
        # Guard: by itself the library waits an hour for a head, and reads on after an error for ten seconds.
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
        self._most, self._crowd = most, crowd
        # Each by their coming into it, with the time.
        self._silent: dict[web.RequestHandler, float] = {}  # nothing has come yet
        self._partly: dict[web.RequestHandler, float] = {}  # a part of a head
        self._idle: dict[web.RequestHandler, float] = {}  # between requests
        self._busy: dict[web.RequestHandler, float] = {}  # a request is open, or its body still comes
        self._groups = self._silent, self._partly, self._idle, self._busy
        self.held_until = 0.0  # until then no connection is closed for having no request
        self.left = asyncio.Event()  # set whenever the last connection has gone
        self.moved = asyncio.Event()  # set whenever a connection has

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
        self.resize(self._most)

    def resize(self, most: int) -> None:
        self._most = most
        while sum(map(len, self._groups)) > most:
            # Guard: descriptors used up stop the accepting of anybody; nothing taken is ever cut off.
            group = self._silent if len(self._silent) >= len(self._idle) else self._idle
            first = next(chain(group, self._partly), None)
            victim = next((each for each in chain(group, self._partly) if not self._asks(each)), first)
            if victim is None:
                return
            group.pop(victim, None)
            self._partly.pop(victim, None)
            self._connections[victim].abort()

    def _asks(self, handler: web.RequestHandler) -> bool:
        """Guard: a request may have come that the loop has not read yet; closed now, it has no answer."""
        return handler in self._connections and has_unread_input(self._connections[handler])

    def holds(self, handler: web.RequestHandler) -> bool:
        return handler in self._idle

    def spoke(self, handler: web.RequestHandler) -> None:
        if handler not in self._busy and handler not in self._partly:
            self._move(handler, self._partly)
            # Guard: the library counts from the last answer; a slow head on a kept connection was cut off.
            handler._next_keepalive_close_time = self._loop.time() + IDLE_TIMEOUT_S

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        for group in self._groups:
            group.pop(handler, None)
        self.moved.set()
        if not self.connected:
            self.left.set()

    async def settled(self, until: float) -> None:
        """Wait until no request is open, has come or is on its way; no longer than ``until``."""
        while (now := self._loop.time()) < until:
            self.moved.clear()
            young = (
                max((*self._silent.values(), *self._partly.values()), default=-inf) + NEW_CONNECTION_WAIT_S
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
    def crowded(self) -> bool:
        """Whether so many ask that others may find no place: clients hold a third of all descriptors."""
        return len(self._idle) + len(self._busy) > self._crowd

    def begin(self, handler: web.RequestHandler) -> None:
        if handler.transport is None:
            return
        self._move(handler, self._busy)
        if self.crowded and self._idle:
            # Guard: those who have asked and stay would keep others from asking until their time is up.
            longest, since = next(iter(self._idle.items()))
            if since < self._loop.time() - MIN_IDLE_S and not self._asks(longest):
                del self._idle[longest]
                self._connections[longest].close()

    def answered(self, handler: web.RequestHandler) -> None:
        """It still sends, but is owed nothing."""
        if handler in self._busy:
            self._move(handler, self._partly)

    def finish(self, handler: web.RequestHandler) -> None:
        if handler in self._busy:
            self._move(handler, self._idle)


class Server:
    """Clients' connections. Draining it is not ready; parting, it closes each behind its next answer."""

    def __init__(
        self, core: Core, pool: ConnectionPool, most_connections: int, crowd: int, most_bytes: int
    ) -> None:
        self._core, self._pool = core, pool
        self._names = DeploymentNames(core.settings)
        self._draining = self._parting = False
        self._server: asyncio.Server | None = None
        self.listener: socket.socket
        self._web = ClientConnections(self._handle, most_connections, crowd)
        self.room = BodyMemory(most_bytes)
        self._open: set[str] = set()  # the ids of open requests
        self.last_request = 0.0
        self._last_answer, self._given_up = 0.0, False  # from then on whatever comes is answered at once
        self._taking: set[asyncio.Timeout] = set()  # requests whose room or body is waited for
        self._flowing: set[asyncio.Timeout] = set()  # answers that are passed on as they come
        self._gone = inf  # by then the last connection is closed

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; the port, should the system have chosen it."""
        # Guard: a client that never reads its answer would keep its connection for good. Inherited on accept.
        return await self.accept(
            bind_listening_socket(host, port, TCP_USER_TIMEOUT=int(TCP_USER_TIMEOUT_S * 1000))
        )

    async def accept(self, given: socket.socket) -> int:
        """Start to accept from a socket that another process may have opened, and may accept from too."""
        # Guard: the loop accepts as many at a time as it queues; a crowd would take all descriptors.
        self._server = await asyncio.get_running_loop().create_server(
            self._web, sock=given, backlog=MAX_ACCEPTED_PER_TURN
        )
        given.listen(LISTEN_BACKLOG)
        self.listener, self._draining, self._parting = given, False, False
        bound: int = given.getsockname()[1]
        return bound

    def hand_over(self) -> socket.socket:
        """Another process accepts from now on; the socket, should it have to be taken back."""
        kept = self.listener.dup()
        if self._server is not None:
            self._server.close()
        self.drain()
        return kept

    def resize(self, most_connections: int, most_bytes: int) -> None:
        self._web.resize(most_connections)
        self.room.resize(most_bytes)

    def drain(self, parting: bool = True) -> None:
        self._draining, self._parting = True, self._parting or parting
        self.last_request = asyncio.get_running_loop().time()

    async def linger(self, times: ShutdownTimetable, began: float, replaced: bool) -> None:
        """Serve on until no more is taken, the signal having come when it ``began``; what is open then has
        until ``give_up``."""
        loop, web = asyncio.get_running_loop(), self._web
        if not replaced:
            web.held_until = began + times.stop  # Guard: for its client it may be the only way in
        loop.call_at(began + times.closes_connections_at(replaced=replaced), self.drain)
        self._last_answer = began + times.give_up
        loop.call_at(self._last_answer, self._give_up)
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
        self._end_at_once(self._taking)

    @staticmethod
    def _end_at_once(waits: set[asyncio.Timeout]) -> None:
        for waiting in waits:
            if not waiting.expired():
                waiting.reschedule(asyncio.get_running_loop().time())

    async def close(self) -> None:
        """Stop accepting, finish whatever is open or has come, then close the connections."""
        loop = asyncio.get_running_loop()
        if self._server is not None and self._server.is_serving():
            with self.listener.dup() as rest:  # what waits there would be reset with the last of its sockets
                self._server.close()
                await self._accept_rest(rest)
        # Guard: a request that waits for room or body is not the core's yet, and one may wait to be read.
        await self._web.settled(max(self._last_answer, loop.time() + NEW_CONNECTION_WAIT_S))
        await self._core.idle()
        self._web.pre_shutdown()  # those between requests; the others close behind their answer
        # Guard: the library waits so long twice, and not at all for no time.
        await self._web.shutdown(min(CLOSE_TIMEOUT_S, max((self._gone - loop.time()) / 2, 0.001)))

    async def _accept_rest(self, rest: socket.socket) -> None:
        """Guard: what waits to be accepted when a listener closes is reset, with the request it has sent."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for _ in range(LISTEN_BACKLOG):
                connection, _ = rest.accept()
                connection.setblocking(False)
                await loop.connect_accepted_socket(self._web, connection)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._web.begin(request.protocol)
        try:
            return await self._respond(request)
        finally:
            self._web.finish(request.protocol)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        target = to_origin_form(request.raw_path)
        path = target.partition("?")[0]
        if path == "/-/ready":
            ok = self._core.ready and not self._draining
            return self._response(200 if ok else 503, "ready\n" if ok else "not ready\n")
        self.last_request = asyncio.get_running_loop().time()
        cls = self._names.classes.get((path.split("/", 2) + [""])[1])
        if cls is None:
            self._core.turned_away(None, own=Own.NO_PATH, id=_id(request))
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
                await self.room.enter(size, min(MEMORY_TIMEOUT_S, MEMORY_TIMEOUT_FRACTION * budget))
            # Guard: its body may have come whole meanwhile; counted from now on, its time would end too late.
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
            self.room.leave(size)

    @asynccontextmanager
    async def _until_given_up(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """TimeoutError: the process answers what is open, and what this waits for has not come."""
        if not request.body_exists:
            yield  # nothing is waited for
            return
        async with asyncio.timeout(0.0 if self._given_up else None) as waiting:
            self._taking.add(waiting)
            try:
                yield
            finally:
                self._taking.discard(waiting)

    async def _refuse(self, request: web.BaseRequest, cls: int) -> web.Response:
        """Turn a request away whose body has not been taken in."""
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
            # Guard: sent on, it would be a second copy of a request that is still out.
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
        flows = isinstance(body, StreamedBody)  # its time has not begun
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
        """Pass on a long answer. Whatever breaks it closes the connection ahead of its framed end."""
        response = web.StreamResponse(headers=self._headers(reply.kind or "application/octet-stream"))
        relayed.append(response)
        if rest.length is not None:
            response.content_length = rest.length
        elif request.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        if self._parting or self._web.crowded or not request.content.is_eof():
            response.force_close()
        self.room.take(STREAM_MEMORY_BYTES)
        try:
            async with asyncio.timeout(None) as flowing:
                self._flowing.add(flowing)
                return await self._pump(request, response, rest, reply)
        except TimeoutError:  # the process ends
            request.protocol.force_close()
            return Ending.CUT_SHORT
        finally:
            self._flowing.discard(flowing)
            self.room.leave(STREAM_MEMORY_BYTES)

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
        # Guard: the library would end the answer as if it were whole.
        request.protocol.force_close()
        return ending

    async def _leave(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Answer a client that still sends. Guard: closed on what is unread, it would not see its answer."""
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
        self._core.turned_away(cls, verdict, own or BY_STATUS.get(status, Own.MALFORMED), _id(request))
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
        # Guard: clients that ask once and stay would leave the others no place until their time is up.
        if self._parting or not whole or self._web.crowded:
            response.force_close()
        return response
