"""Disk nodes over HTTP/1.1: one exchange for each attempt, and how it ended.

It owns the connections to nodes, and maps each way in which an exchange ends to an ``Ending``. It must never
retry by itself, accept what is not the response to its own request, or reuse a connection on which a response
is still to come.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from dataclasses import replace
from functools import partial
from time import monotonic
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import _TransportPlaceholder
from aiohttp.http import RawResponseMessage
from yarl import URL

from cherrycove.broker.core import Attempt, Ending, Reply
from cherrycove.broker.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, StreamedBody
from cherrycove.broker.http1.parse import BodyError, parse_load, parse_other_hosts, parse_volume_load
from cherrycove.broker.sockets import has_unread_input

READ_CHUNK_BYTES = 32 * 1024  # of one read of a connection, and about as many in each of its buffers
MAX_HEADERS_BYTES = 32 * 1024  # of a response's head and all interim responses (RFC 9110, section 15.2)
FIRST_CHUNK_WAIT_S = 0.02  # in which a response of unknown length may end, before it is streamed
STALL_TIMEOUT_S = 10.0  # in which a node must accept or send some bytes of a streamed body
REUSE_DELAY_S = (
    0.006  # after a response, before its connection is reused: a stray second response is up to 4 ms late
)


class InvalidResponseError(aiohttp.ClientPayloadError):
    """What a node sent is not a valid response; the message says why."""


class NodeConnection(ResponseHandler):
    """aiohttp's connection to a node, restricted to one response for each request.

    The library puts whatever comes into one queue, so bytes behind an answer would be the next request's; it
    loses a whole answer if noise comes in the same read. This gives its parser an answer's own bytes alone.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._begin()

    def _begin(self) -> None:
        self._response_body: StreamReader | None = (
            None  # the body of the response whose head has been received
        )
        self._left: int | None = None  # bytes of that body still to come, if its length is known
        self._clean = True  # whether a chunked body may end with the bytes received so far
        self._seam, self._header_bytes = b"", 0  # the last bytes received, and the size of all heads

    def set_response_params(self, **params: Any) -> None:
        self._begin()
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Whether it can be reused: an end or a second response may have come unread while it was idle."""
        if self.transport is None or not super().is_connected():
            return False
        return (
            self._response_body is None
            or not self._response_body.is_eof()
            or not has_unread_input(self.transport)
        )

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Called by aiohttp's parser with a complete head and the body to come."""
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            return  # an interim response
        if self._response_body is not None:
            return self._drop()  # a second response, after a chunked body
        length = message.headers.get("Content-Length")
        self._response_body, self._left = body, int(length) if length is not None else None
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        whole = self._response_body is not None and self._response_body.is_eof()
        if not data:  # aiohttp resumes a parser that it had paused
            if not whole:
                super().data_received(data)
        elif self._parser is None or whole:
            return self._drop()  # no request is in flight, or its response is complete
        elif self._response_body is None:
            place = (self._seam + data).find(b"\r\n\r\n")
            size = place + 4 - len(self._seam) if place >= 0 else len(data)
            # The parser rejects a NUL in a load report; RFC 9110, section 5.5, lets a recipient read a space.
            head, rest = data[:size].replace(b"\0", b" "), data[size:]
            self._seam = (self._seam + head)[-3:] if place < 0 else b""
            self._header_bytes += len(head)
            if self._header_bytes > MAX_HEADERS_BYTES:
                return self._spoil()
            super().data_received(head)
            if rest and self.transport is not None and not self.transport.is_closing():
                return self.data_received(rest)
        elif self._left is not None:
            self._should_close |= (
                len(data) > self._left
            )  # set before the end of the body releases the connection
            own, self._left = data[: self._left], max(self._left - len(data), 0)
            super().data_received(own)
        else:
            end = (self._seam + data)[-4:]
            self._seam, self._clean = end[-3:], end == b"\r\n\r\n"
            super().data_received(data)
        if not self._clean and self._response_body is not None and self._response_body.is_eof():
            self._drop()
        if self.transport is None or self.transport.is_closing():
            self._spoil()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self._response_body is not None and not self._response_body.is_eof():
            # aiohttp would take a reset for the end of a response delimited by the connection's close.
            self._response_body.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
            self._parser = None
        super().connection_lost(exc)

    def close(self) -> None:
        """Abort: a graceful close would go on sending the rest of a cancelled request."""
        self.abort()

    def _drop(self) -> None:
        """Close after bytes beyond a response; the response itself stands."""
        self._should_close = True
        if self.transport is not None:
            self.transport.close()

    def _spoil(self) -> None:
        """Fail the response; aiohttp alone would leave the reader of its body waiting for ever."""
        self._drop()
        if self._response_body is None and self._exception is None:
            self.set_exception(InvalidResponseError("the answer's head is too long"))
        elif self._response_body is not None and not self._response_body.is_eof():
            self._response_body.set_exception(InvalidResponseError("the answer's body is spoilt"))


class Connector(aiohttp.TCPConnector):
    """aiohttp's connection pool with ``NodeConnection``, a delay before reuse and a bound on idle ones."""

    def __init__(self, rest: float, idle: float, **settings: Any) -> None:
        super().__init__(keepalive_timeout=idle, **settings)
        self._factory = partial(NodeConnection, loop=self._loop)  # type: ignore[assignment]
        self._rest, self._idle = rest, idle  # s

    async def _get(self, key: Any, traces: Any) -> Any:
        # A second response that arrives a little late would be taken for that to the next request on the
        # connection. During the delay it belongs to no request and closes the connection. Waiting for the
        # delay costs the node and the request less than another connection.
        while kept := self._conns.get(key):
            connection, since = kept[0]  # the first has been idle for the longest time
            rested = monotonic() - since
            if not connection.is_connected() or rested > self._idle:
                kept.popleft()[0].close()
            elif rested < self._rest:
                # A placeholder keeps the request's slot during the delay and passes it on if the request is
                # cancelled; otherwise the next waiter would not be woken.
                place: Any = _TransportPlaceholder(self._placeholder_future)
                self._acquired.add(place)
                try:
                    await self._wait_for_reuse(self._rest - rested)
                finally:
                    self._release_acquired(key, place)
            else:
                break
        return await super()._get(key, traces)

    async def _wait_for_reuse(self, time: float) -> None:
        await asyncio.sleep(time)

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        # aiohttp's limit counts connections in use; idle ones on top of them would take all descriptors.
        while sum(map(len, self._conns.values())) + len(self._acquired) > self._limit and self._conns:
            place = min(self._conns, key=lambda each: self._conns[each][0][1])
            protocol, _ = self._conns[place].popleft()
            if not self._conns[place]:
                del self._conns[place]
            protocol.close()
        return await super()._create_connection(*request)


class ConnectionPool:
    """Connections to disk nodes, and how each attempt over them ended.

    The broker owns it and closes it after the server. A node's failure ends the attempt alone.
    """

    def __init__(
        self,
        dial_timeout: float,
        conn_idle: float,
        max_connections: int,
        reuse_delay_s: float = REUSE_DELAY_S,
    ) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._headers_sent)
        trace.on_request_chunk_sent.append(self._chunk_sent)
        # A node closes connections idle for ``conn_idle`` (s); what is written to one at that moment is lost.
        self._connector = Connector(
            reuse_delay_s,
            min(conn_idle * 0.4, 15.0),
            limit=max_connections,
            happy_eyeballs_delay=None,
            use_dns_cache=False,
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=READ_CHUNK_BYTES // 2,
            timeout=aiohttp.ClientTimeout(total=None, connect=dial_timeout, sock_connect=dial_timeout),
        )
        # aiohttp retries a GET or PUT by itself if an idle connection turns out to be closed: a duplicate
        # that the scheduler did not decide. There is no public switch for it.
        self._session._retry_connection = False

    def resize(self, most: int) -> None:
        self._connector._limit = most

    async def close(self) -> None:
        await self._session.close()

    async def _headers_sent(self, session: Any, context: SimpleNamespace, params: Any) -> None:
        call: UpstreamRequest | None = context.trace_request_ctx
        if call is not None and call.bare:
            call.written()

    async def _chunk_sent(
        self, session: Any, context: SimpleNamespace, params: aiohttp.TraceRequestChunkSentParams
    ) -> None:
        call: UpstreamRequest | None = context.trace_request_ctx
        if call is not None:
            call.count(len(params.chunk))

    async def exchange(self, call: UpstreamRequest, address: str, headers: dict[str, str]) -> Reply:
        answer: aiohttp.ClientResponse | None = None
        try:
            answer = await self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                headers=headers,
                data=call.payload(headers),
                allow_redirects=False,
                trace_request_ctx=call,
            )
            reply = await _reply(answer, call.relay)
            if reply.relay is not None:
                answer = None  # the relay releases it
            return reply
        except aiohttp.ConnectionTimeoutError:
            return Reply(Ending.CONNECT_TIMEOUT)
        except aiohttp.ClientConnectorError:
            return Reply(Ending.CONNECT_REFUSED)
        except (InvalidResponseError, aiohttp.ClientResponseError):
            return Reply(Ending.SPOILT)
        except aiohttp.ClientPayloadError:
            return Reply(Ending.CUT_SHORT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if call.fault is not None:
                return Reply(Ending.CLIENT_BROKE)
            if isinstance(error, TimeoutError):
                raise
            return Reply(Ending.BROKEN if call.sent or call.begun else Ending.BROKEN_UNSENT)
        finally:
            if answer is not None:
                # Not reusable: the request was not sent completely, or the response not read to its end.
                if not call.sent or not answer.content.at_eof():
                    answer.close()
                answer.release()


class ResponseStream:
    """The rest of a long response; ``length`` is in bytes, None if it is not known."""

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        self._answer = answer
        self.length = None if answer.headers.get("Transfer-Encoding") else answer.content_length

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """The chunks up to its end; aiohttp.ClientError if it breaks off, stalls or is too long."""
        try:
            size = 0
            while True:
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    piece = await self._answer.content.readany()
                if not piece:
                    return
                size += len(piece)
                if size > MAX_BODY_BYTES:
                    raise InvalidResponseError("it is longer than an answer may be")
                yield piece
        except TimeoutError:
            raise aiohttp.ClientPayloadError("it stalled") from None
        finally:
            if not self._answer.content.at_eof():
                self._answer.close()
            self._answer.release()


async def _beginning(answer: aiohttp.ClientResponse) -> tuple[bytes, bool] | None:
    """The start of the body and whether it is complete; None if its end cannot be told, or it is too long."""
    coding, length = answer.headers.get("Transfer-Encoding"), answer.content_length
    if coding:
        framed = coding.strip().lower() == "chunked"
    else:
        # Without a length the connection must close (RFC 9112, section 6.3), or nothing would end the body.
        framed = length is not None or answer.headers.get("Connection", "").strip().lower() == "close"
    if not framed or (not coding and (length or 0) > MAX_BODY_BYTES):
        return None
    body = b""
    if not coding and (length or 0) > MAX_BUFFERED_BODY_BYTES:
        return body, False
    latest = asyncio.get_running_loop().time() + FIRST_CHUNK_WAIT_S if coding or length is None else None
    try:
        while len(body) <= MAX_BUFFERED_BODY_BYTES:
            async with asyncio.timeout_at(latest if body else None):
                piece = await answer.content.readany()
            if not piece:
                return body, True
            body += piece
    except TimeoutError:
        # The time to the first byte of a long response is measured, and only its end tells its length.
        # Buffered until 64 KiB had come it would be late and its node look slow; short ones end within 10 ms.
        pass
    return body, False


async def _reply(answer: aiohttp.ClientResponse, relay: RelayResponse) -> Reply:
    status, headers = answer.status, answer.headers
    begun = await _beginning(answer)
    body, whole = begun or (b"", True)
    if status == 200:
        ending = Ending.SERVED if begun is not None else Ending.SPOILT
    elif status in (503, 504) and headers.get("X-Not-Run") == "1":
        ending = Ending.TURNED_AWAY if status == 503 else Ending.NOT_ITS
    else:
        ending = Ending.NODE_ERROR
    reply = Reply(
        ending,
        body,
        headers.get("Content-Type", ""),
        parse_volume_load(headers.get("Volume-Load")),
        parse_other_hosts(headers.get("Other-Hosts")),
        parse_load(headers.get("X-Load")),
    )
    if whole or ending is not Ending.SERVED:
        return reply
    return replace(reply, relay=partial(relay, ResponseStream(answer), reply))


RelayResponse = Callable[[ResponseStream, Reply], Awaitable[Ending]]


class UpstreamRequest:
    """Sends one client's request to the node of each attempt; the core's ``Backend``.

    ``sent``: whether the last byte may have left in the current attempt; ``begun``: whether the first of a
    streamed body has; ``fault``: the client's failure to send such a body.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        method: str,
        target: str,
        request_id: str,
        body: bytes | StreamedBody,
        relay: RelayResponse,
        idempotency_key: str = "",
    ) -> None:
        self.method, self.target, self.relay = method, target, relay
        self.sent = self.begun = False  # the last byte; the first of a streamed body
        self.fault: BodyError | None = None  # of the client, in a streamed body
        self._pool, self._body = pool, body
        self._unchanged = {"X-Request-Id": request_id}
        if idempotency_key:
            self._unchanged["Idempotency-Key"] = idempotency_key
        self._left = 0
        self._current: Attempt | None = None

    @property
    def bare(self) -> bool:
        return not self._body

    def written(self) -> None:
        self.sent = True
        if self._current is not None:
            self._current.wrote()

    def count(self, size: int) -> None:
        if isinstance(self._body, bytes):
            self._left -= size
            if self._left <= 0:
                self.written()

    def payload(self, headers: dict[str, str]) -> bytes | AsyncIterator[bytes] | None:
        if isinstance(self._body, bytes):
            return self._body or None
        if self._body.length is not None:
            headers["Content-Length"] = str(self._body.length)
        return self._flow(self._body)

    async def _flow(self, upload: StreamedBody) -> AsyncIterator[bytes]:
        attempt, loop = self._current, asyncio.get_running_loop()
        assert attempt is not None and attempt.scope is not None
        size = 0
        try:
            async for piece in upload.pieces():
                attempt.begun = self.begun = True
                size += len(piece)
                if size == upload.length:
                    self.written()  # before the write: with this chunk the node has all of it
                else:
                    attempt.scope.reschedule(loop.time() + STALL_TIMEOUT_S)  # the node must accept the chunk
                yield piece
                if not self.sent:
                    attempt.scope.reschedule(None)  # the client's time is bounded by its body
            if not self.sent:
                self.written()
        except BodyError as error:
            self.fault = error
            raise

    async def attempt(self, attempt: Attempt) -> Reply:
        if isinstance(self._body, StreamedBody) and self._body.touched:
            return Reply(Ending.NOT_STARTED)  # its first chunks have been consumed
        self._current = attempt
        self.sent, self._left = False, len(self._body) if isinstance(self._body, bytes) else 0
        wait = max(int(attempt.wait * 1000), 1)
        return await self._pool.exchange(
            self, attempt.address, {**self._unchanged, "X-Deadline-Ms": str(wait)}
        )
