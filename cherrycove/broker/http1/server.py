"""Serves clients over HTTP/1.1: accepts their connections and sends one response to each request.

This module owns the text of responses. It must never decide anything about a well-formed request, and never
respond 200 with anything but a node's complete 200 body.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager, suppress
from functools import partial
from math import inf

import aiohttp
from aiohttp import web
from aiohttp.http import HttpProcessingError
from yarl import URL

from cherrycove.broker.core import Answer, Core, Ending, Reply, Request, Verdict, answer_margin_s
from cherrycove.broker.http1.body import (
    STREAM_MEMORY_BYTES,
    BodyMemory,
    StreamedBody,
    read_body,
    required_memory_bytes,
)
from cherrycove.broker.http1.client_connections import NEW_CONNECTION_WAIT_S, ClientConnections
from cherrycove.broker.http1.node_connection import InvalidResponseError
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
    ConnectionPool,
    ResponseStream,
    UpstreamRequest,
)
from cherrycove.broker.lifecycle.listening_socket import bind_listening_socket
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable
from cherrycove.broker.local_codes import BY_STATUS, LocalCode

LINGER_TIMEOUT_S = 3.0  # how long the input of a client that is still sending is read after its response
TCP_USER_TIMEOUT_S = 10.0  # after which a client that acknowledges no data is disconnected
ACCEPT_TURNS = 3  # turns of the loop between accepting a connection and its ``connection_made``
LISTEN_BACKLOG = 1024  # connections that are not accepted yet
MAX_ACCEPTED_PER_TURN = 4  # connections per turn of the loop; closing others for them takes some turns
HEAD_MEMORY_FRACTION = 0.25  # of the memory for bodies, in addition to it
OVERLOAD_RETRY_AFTER_S = 1.0  # when memory may have become free, or another process serve
CLOSE_TIMEOUT_S = 1.0  # for clients to read their responses when the broker shuts down


def _request_id(request: web.BaseRequest) -> str:
    """Return the request's id as the client sent it, valid or not, cut to 128 characters."""
    return request.headers.get("X-Request-Id", "")[:128]


class Server:
    """The HTTP server: accepts clients' connections and responds to each request.

    The broker owns it. Its stages: it listens; it may hand its listener over to another process; it drains
    (reports that it is not ready, and may close each connection after its next response); it gives up
    (responds to all requests in flight as refused or failed); it closes.
    """

    def __init__(
        self, core: Core, pool: ConnectionPool, max_connections: int, soft_limit: int, body_memory_bytes: int
    ) -> None:
        self._core, self._pool = core, pool
        self._names = DeploymentNames(core.settings)
        self._draining = self._closing_connections = False
        self._server: asyncio.Server | None = None
        self._further_servers: list[asyncio.Server] = []  # on sockets that another process passed on late
        self.listener: socket.socket
        self._web = ClientConnections(
            self._handle, max_connections, soft_limit, int(body_memory_bytes * HEAD_MEMORY_FRACTION)
        )
        self.body_memory = BodyMemory(body_memory_bytes)
        self._open_ids: set[str] = set()  # of requests in flight
        self.last_request = 0.0  # time of the latest request, on the loop's clock
        # From ``_give_up_at``, on the loop's clock, new requests are rejected at once.
        self._give_up_at, self._given_up = 0.0, False
        self._body_timeouts: set[asyncio.Timeout] = set()  # of requests that wait for memory or their body
        self._stream_timeouts: set[asyncio.Timeout] = set()  # of responses that are being streamed
        self._disconnect_at = inf  # on the loop's clock: all connections are closed by then

    async def listen(self, host: str, port: int) -> int:
        """Start to accept on a new socket; return the port, which the system chooses if ``port`` is 0."""
        # Without the time-out a client that never reads its response would keep its connection for ever.
        # Accepted connections inherit it.
        return await self.accept(
            bind_listening_socket(host, port, TCP_USER_TIMEOUT=int(TCP_USER_TIMEOUT_S * 1000))
        )

    async def accept(self, listener: socket.socket) -> int:
        """Start to accept from a listening socket; return its port.

        Another process may have opened the socket, and may accept from it too.
        """
        # asyncio accepts up to ``backlog`` connections in one turn, which could take all descriptors.
        self._server = await asyncio.get_running_loop().create_server(
            self._web, sock=listener, backlog=MAX_ACCEPTED_PER_TURN
        )
        listener.listen(LISTEN_BACKLOG)
        self.listener, self._draining, self._closing_connections = listener, False, False
        port: int = listener.getsockname()[1]
        return port

    async def accept_also(self, listener: socket.socket) -> None:
        """Accept from a further socket until this process hands over or closes."""
        self._further_servers.append(
            await asyncio.get_running_loop().create_server(
                self._web, sock=listener, backlog=MAX_ACCEPTED_PER_TURN
            )
        )
        listener.listen(LISTEN_BACKLOG)

    def hand_over(self) -> socket.socket:
        """Stop accepting in favour of another process; return a duplicate of the listening socket.

        With the duplicate this process can accept again.
        """
        duplicate = self.listener.dup()
        self._close_further_servers()
        if self._server is not None:
            self._server.close()
        self.drain()
        return duplicate

    def resize(self, max_connections: int, body_memory_bytes: int) -> None:
        self._web.resize(max_connections)
        self._web.memory.limit_bytes = int(body_memory_bytes * HEAD_MEMORY_FRACTION)
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
            web.keep_idle_until = began + times.stop  # may be the only way in which clients reach the tier
        loop.call_at(began + times.closes_connections_at(replaced=replaced), self.drain)
        self._give_up_at = began + times.give_up
        loop.call_at(self._give_up_at, self._give_up)
        loop.call_at(began + times.abort, self._expire_now, self._stream_timeouts)
        self._disconnect_at = began + times.disconnect
        while True:
            web.all_closed.clear()
            now = loop.time()
            until = times.accepts_until(
                now - began, now - self.last_request, replaced=replaced, connected=web.connected
            )
            if began + until <= now:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout_at(began + until):
                    await web.all_closed.wait()

    def _give_up(self) -> None:
        self._given_up = True
        self._core.expire_requests()
        self._expire_now(self._body_timeouts)

    @staticmethod
    def _expire_now(timeouts: set[asyncio.Timeout]) -> None:
        for timeout in timeouts:
            if not timeout.expired():
                timeout.reschedule(asyncio.get_running_loop().time())

    def _close_further_servers(self) -> None:
        for further in self._further_servers:
            further.close()
        self._further_servers.clear()

    async def close(self) -> None:
        """Stop accepting, respond to all requests in flight or unread, then close the connections."""
        loop = asyncio.get_running_loop()
        self._close_further_servers()
        if self._server is not None and self._server.is_serving():
            # Closing the last descriptor would reset connections that are not accepted yet.
            with self.listener.dup() as duplicate:
                self._server.close()
                await self._accept_queued(duplicate)
        # The core does not know requests yet that wait for memory, for their body or to be read.
        await self._web.wait_until_no_requests(max(self._give_up_at, loop.time() + NEW_CONNECTION_WAIT_S))
        await self._core.wait_idle()
        self._web.pre_shutdown()  # closes idle connections; the others close after their response
        # aiohttp waits for this time twice, and does not wait at all if it is 0.
        await self._web.shutdown(min(CLOSE_TIMEOUT_S, max((self._disconnect_at - loop.time()) / 2, 0.001)))

    async def _accept_queued(self, listener: socket.socket) -> None:
        """Accept the connections in the backlog, each of which may have sent a request.

        Closing the listener would reset them.
        """
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for _ in range(LISTEN_BACKLOG):
                connection, _ = listener.accept()
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
            self._core.record_rejection(None, local_code=LocalCode.NO_PATH, id=_request_id(request))
            return self._response(404, "no such path\n", is_read=not request.body_exists)
        try:
            if request.method not in ("GET", "PUT"):
                raise RequestError("the method is neither GET nor PUT")
            head = parse_head(target, reject_repeated_headers(request.headers), self._names)
            if URL(f"http://h{target}", encoded=True).raw_path_qs != target:
                raise RequestError("the path cannot be passed on unchanged")
            size, arrived_at = required_memory_bytes(request), asyncio.get_running_loop().time()
            budget_s = min(head.budget_s, self._core.settings.classes[cls].deadline)
            async with self._until_given_up(request):
                await self.body_memory.reserve(size, budget_s - answer_margin_s(budget_s))
            # The wait counts towards the deadline of a buffered request, since its client is waiting too.
            waited_s = asyncio.get_running_loop().time() - arrived_at
        except TimeoutError:
            return await self._refuse(request, cls)
        except (RequestError, ValueError) as error:
            return self._reject(
                request, cls, getattr(error, "status", 400), f"{error}\n", is_read=not request.body_exists
            )
        try:
            return await self._serve(request, cls, head, waited_s)
        finally:
            self.body_memory.release(size)

    @asynccontextmanager
    async def _until_given_up(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """Limit a wait to the time of giving up; TimeoutError if that comes before the wait has ended."""
        if not request.body_exists:
            yield  # there is no body to wait for
            return
        async with asyncio.timeout(0.0 if self._given_up else None) as timeout:
            self._body_timeouts.add(timeout)
            try:
                yield
            finally:
                self._body_timeouts.discard(timeout)

    async def _refuse(self, request: web.BaseRequest, cls: int) -> web.Response:
        """Refuse a request whose body has not been read; its client may retry it."""
        own, reason = LocalCode.NO_ROOM, "no room for its body now"
        if self._given_up:
            own, reason = LocalCode.ENDING, "this process ends"
        response = self._reject(
            request, cls, 503, f"refused: {reason}\n", is_read=False, verdict=Verdict.REFUSED, own=own
        )
        await self._respond_and_discard_input(request, response)
        return response

    async def _serve(
        self, request: web.BaseRequest, cls: int, head: RequestHead, waited_s: float
    ) -> web.StreamResponse:
        """Read the body, let the core serve the request, and return the response."""
        try:
            async with self._until_given_up(request):
                body = await read_body(request)
        except TimeoutError:
            return await self._refuse(request, cls)
        except (RequestError, ValueError, web.RequestPayloadError, HttpProcessingError) as error:
            status = error.status if isinstance(error, BodyError) else 400
            return self._reject(request, cls, status, f"{error}\n", is_read=not request.body_exists)
        if head.id in self._open_ids:
            # If it were forwarded, it would be a duplicate of a request in flight.
            return self._reject(
                request,
                cls,
                409,
                "a request with this X-Request-Id is open\n",
                is_read=isinstance(body, bytes),
            )
        self._open_ids.add(head.id)
        relayed: list[web.StreamResponse] = []
        upstream_request = UpstreamRequest(
            self._pool,
            request.method,
            to_origin_form(request.raw_path),
            head.id,
            body,
            partial(self._relay, request, relayed),
            head.idempotency_key,
        )
        is_streamed = isinstance(body, StreamedBody)  # then the deadline counts from the end of the body
        deadline = asyncio.get_running_loop().time() + head.budget_s - (0.0 if is_streamed else waited_s)
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
                    head.is_retry,
                    is_streamed,
                    head.id,
                ),
                upstream_request,
            )
        finally:
            self._open_ids.discard(head.id)
        if relayed:
            return relayed[0]
        if upstream_request.client_error is not None:
            return self._response(
                upstream_request.client_error.status, f"{upstream_request.client_error}\n", is_read=False
            )
        response = self._final_response(answer)
        if not request.content.is_eof():
            await self._respond_and_discard_input(request, response)
        return response

    async def _relay(
        self, request: web.BaseRequest, relayed: list[web.StreamResponse], rest: ResponseStream, reply: Reply
    ) -> Ending:
        """Stream a long response to the client.

        If the node's response breaks off, the client's connection is closed before the framed end.
        """
        response = web.StreamResponse(headers=self._headers(reply.media_type or "application/octet-stream"))
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
            async with asyncio.timeout(None) as timeout:
                self._stream_timeouts.add(timeout)
                return await self._copy_stream(request, response, rest, reply)
        except TimeoutError:  # the process is shutting down
            request.protocol.force_close()
            return Ending.CUT_SHORT
        finally:
            self._stream_timeouts.discard(timeout)
            self.body_memory.release(STREAM_MEMORY_BYTES)

    async def _copy_stream(
        self, request: web.BaseRequest, response: web.StreamResponse, rest: ResponseStream, reply: Reply
    ) -> Ending:
        async with aclosing(rest.chunks()) as chunks:
            await response.prepare(request)
            if reply.body:
                await response.write(reply.body)
            try:
                async for chunk in chunks:
                    await response.write(chunk)
            except InvalidResponseError:
                ending = Ending.SPOILT
            except aiohttp.ClientPayloadError:
                ending = Ending.CUT_SHORT
            else:
                await response.write_eof()
                return Ending.SERVED
        # Without this aiohttp would end the response as if it were complete.
        request.protocol.force_close()
        return ending

    async def _respond_and_discard_input(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Respond to a client that is still sending, and discard its input for ``LINGER_TIMEOUT_S``.

        Closing with unread input would reset the connection, and the response could be lost.
        """
        response.force_close()
        await response.prepare(request)
        await response.write_eof()
        self._web.response_sent(request.protocol)
        with suppress(TimeoutError, web.RequestPayloadError, HttpProcessingError):
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while await request.content.readany():
                    pass

    def _reject(
        self,
        request: web.BaseRequest,
        cls: int,
        status: int,
        reason: str,
        is_read: bool = True,
        verdict: Verdict = Verdict.FAILED,
        own: LocalCode | None = None,
    ) -> web.Response:
        self._core.record_rejection(
            cls, verdict, own or BY_STATUS.get(status, LocalCode.MALFORMED), _request_id(request)
        )
        response = self._response(status, reason, is_read=is_read)
        retry_after_s = min(OVERLOAD_RETRY_AFTER_S, self._core.settings.retry_advice)
        if verdict is Verdict.REFUSED and retry_after_s > 0:
            response.headers["Retry-After"] = f"{retry_after_s:.3f}"
        return response

    def _final_response(self, answer: Answer) -> web.StreamResponse:
        if answer.verdict is Verdict.SERVED and answer.reply is not None:
            return self._response(200, answer.reply.body, answer.reply.media_type)
        if answer.verdict is Verdict.REFUSED:
            response = self._response(503, "refused: a new try does no harm\n")
            if answer.retry_after > 0:
                response.headers["Retry-After"] = f"{answer.retry_after:.3f}"
            return response
        timed_out = answer.last_ending in (Ending.TIMED_OUT, Ending.CONNECT_TIMEOUT)
        return self._response(504 if timed_out else 500, "failed: it may have taken effect\n")

    @staticmethod
    def _headers(media_type: str) -> dict[str, str]:
        return {"Server": "cherrycove", "Content-Type": media_type}

    def _response(
        self, status: int, body: str | bytes, media_type: str = "", is_read: bool = True
    ) -> web.Response:
        """Build a response; ``is_read``: whether the request has been read to its end."""
        data = body.encode() if isinstance(body, str) else body
        response = web.Response(
            status=status,
            body=data,
            headers=self._headers(
                media_type or ("text/plain" if isinstance(body, str) else "application/octet-stream")
            ),
        )
        # Clients that send one request and stay connected would keep others out until they time out.
        if self._closing_connections or not is_read or self._web.exceeds_soft_limit:
            response.force_close()
        return response
