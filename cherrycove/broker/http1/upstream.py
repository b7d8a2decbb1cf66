"""Sends requests to disk nodes over HTTP/1.1: one exchange for each attempt.

This module owns the connections to nodes, and maps each way in which an exchange ends to an ``Ending``. It
must never retry by itself, accept anything but the response to its own request, or reuse a connection on
which a response is still to come.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextvars import Context
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
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, StreamedBody
from cherrycove.broker.http1.guarded_connection import GuardedConnection
from cherrycove.broker.http1.parse import BodyError, parse_load, parse_other_hosts, parse_volume_load
from cherrycove.broker.sockets import has_unread_input

READ_CHUNK_BYTES = 32 * 1024  # read from a connection at once; each of its buffers holds about as much
MAX_HEADERS_BYTES = 32 * 1024  # of a response's head and all interim responses (RFC 9110, section 15.2)
FIRST_CHUNK_WAIT_S = 0.02  # how long a response of unknown length is buffered before it is streamed
STALL_TIMEOUT_S = 10.0  # within which a node must accept or send some bytes of a streamed body
REUSE_DELAY_S = 0.006  # between a response and the next request: duplicate responses are up to 4 ms late

log = Log("cherrycove.http1")


class InvalidResponseError(aiohttp.ClientPayloadError):
    """A node's response is not valid; the message says why."""


class NodeConnection(GuardedConnection):
    """aiohttp's connection to a node, restricted to one response for each request.

    aiohttp puts all received bytes into one queue, so bytes after a response would count towards the next
    request's; and it loses a complete response if garbage follows in the same read. This class passes only
    the bytes of the expected response to its parser.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._reset_response()

    def _reset_response(self) -> None:
        self._response_body: StreamReader | None = None  # once the head has been received
        self._remaining: int | None = None  # bytes of that body still to come, if its length is known
        self._may_end = True  # whether a chunked body may end with the bytes received so far
        # Up to 3 bytes, to find a delimiter that is split between two reads; the size of all heads so far.
        self._last_bytes, self._header_bytes = b"", 0

    def set_response_params(self, **params: Any) -> None:
        self._reset_response()
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Whether the connection can be reused.

        It cannot if unread input, an end or a second response, has arrived while it was idle.
        """
        if self.transport is None or not super().is_connected():
            return False
        return (
            self._response_body is None
            or not self._response_body.is_eof()
            or not has_unread_input(self.transport)
        )

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Handle a complete head and the body to come; called by aiohttp's parser."""
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            return  # an interim response
        if self._response_body is not None:
            return self._close_connection()  # a second response, after a chunked body
        length = message.headers.get("Content-Length")
        self._response_body, self._remaining = body, int(length) if length is not None else None
        super().feed_data(data, size)

    def _receive(self, data: bytes) -> None:
        is_complete = self._response_body is not None and self._response_body.is_eof()
        if not data:  # aiohttp resumes a parser that it had paused
            if not is_complete:
                super()._receive(data)
        elif self._parser is None or is_complete:
            return self._close_connection()  # no request is in flight, or its response is complete
        elif self._response_body is None:
            end_at = (self._last_bytes + data).find(b"\r\n\r\n")
            size = end_at + 4 - len(self._last_bytes) if end_at >= 0 else len(data)
            # The parser rejects a NUL, which a load report may contain; RFC 9110, section 5.5, lets a
            # recipient replace it by a space.
            head, rest = data[:size].replace(b"\0", b" "), data[size:]
            self._last_bytes = (self._last_bytes + head)[-3:] if end_at < 0 else b""
            self._header_bytes += len(head)
            if self._header_bytes > MAX_HEADERS_BYTES:
                return self._fail_response()
            super()._receive(head)
            if rest and self.transport is not None and not self.transport.is_closing():
                return self._receive(rest)
        elif self._remaining is not None:
            # Set before the end of the body releases the connection.
            self._should_close |= len(data) > self._remaining
            body_bytes, self._remaining = data[: self._remaining], max(self._remaining - len(data), 0)
            super()._receive(body_bytes)
        else:
            end = (self._last_bytes + data)[-4:]
            self._last_bytes, self._may_end = end[-3:], end == b"\r\n\r\n"
            super()._receive(data)
        if not self._may_end and self._response_body is not None and self._response_body.is_eof():
            self._close_connection()
        if self.transport is None or self.transport.is_closing():
            self._fail_response()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self._response_body is not None and not self._response_body.is_eof():
            # aiohttp would take a reset for the end of a response that ends with its connection.
            self._response_body.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
            self._parser = None
        super().connection_lost(exc)

    def _log_unforeseen_error(self, error: Exception) -> None:
        # In an empty context: callbacks run in that of the request that opened the connection.
        Context().run(self._write_log_line, error)

    def _write_log_line(self, error: Exception) -> None:
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        log.exception("upstream.receive_failed", node=peer, why=error)

    def close(self) -> None:
        """Abort the connection: a graceful close would go on sending the rest of a cancelled request."""
        self.abort()

    def _close_connection(self) -> None:
        """Close the connection without failing a response that is complete."""
        self._should_close = True
        if self.transport is not None:
            self.transport.close()

    def _fail_response(self) -> None:
        """Close and fail the response: aiohttp alone would leave the reader of its body waiting for ever."""
        self._close_connection()
        if self._response_body is None and self._exception is None:
            self.set_exception(InvalidResponseError("the response's head is invalid or too long"))
        elif self._response_body is not None and not self._response_body.is_eof():
            self._response_body.set_exception(InvalidResponseError("the response's body is malformed"))


class Connector(aiohttp.TCPConnector):
    """aiohttp's connection pool, with ``NodeConnection``, a delay before reuse and a limit on idle ones."""

    def __init__(self, reuse_delay_s: float, idle_timeout_s: float, **settings: Any) -> None:
        super().__init__(keepalive_timeout=idle_timeout_s, **settings)
        self._factory = partial(NodeConnection, loop=self._loop)  # type: ignore[assignment]
        self._reuse_delay_s, self._idle_timeout_s = reuse_delay_s, idle_timeout_s

    async def _get(self, key: Any, traces: Any) -> Any:
        # A duplicate response that arrives a little late would be taken for that to the next request on the
        # connection. During the delay it belongs to no request and closes the connection. Waiting for the
        # delay costs the node and the request less than another connection.
        while pooled := self._conns.get(key):
            connection, idle_since = pooled[0]  # the first has been idle for the longest time
            idle_s = monotonic() - idle_since
            if not connection.is_connected() or idle_s > self._idle_timeout_s:
                pooled.popleft()[0].close()
            elif idle_s < self._reuse_delay_s:
                # A placeholder keeps the request's slot during the delay and passes it on if the request is
                # cancelled; otherwise the next waiter would not be woken.
                slot: Any = _TransportPlaceholder(self._placeholder_future)
                self._acquired.add(slot)
                try:
                    await self._wait_for_reuse(self._reuse_delay_s - idle_s)
                finally:
                    self._release_acquired(key, slot)
            else:
                break
        return await super()._get(key, traces)

    async def _wait_for_reuse(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        # aiohttp's limit counts only connections in use; idle ones beyond it would take all descriptors, so
        # the one that has been idle for the longest time is closed.
        while sum(map(len, self._conns.values())) + len(self._acquired) > self._limit and self._conns:
            key = min(self._conns, key=lambda each: self._conns[each][0][1])
            protocol, _ = self._conns[key].popleft()
            if not self._conns[key]:
                del self._conns[key]
            protocol.close()
        return await super()._create_connection(*request)


class ConnectionPool:
    """Performs exchanges with disk nodes over pooled connections, and maps how each ended to an ``Ending``.

    The broker owns it and closes it after the server. A node's failure affects only the attempt at hand.
    """

    def __init__(
        self,
        dial_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        reuse_delay_s: float = REUSE_DELAY_S,
    ) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._headers_sent)
        trace.on_request_chunk_sent.append(self._chunk_sent)
        # A node closes connections that are idle for ``idle_timeout_s``; a request that is written to one at
        # that moment is lost.
        self._connector = Connector(
            reuse_delay_s,
            min(idle_timeout_s * 0.4, 15.0),
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
            timeout=aiohttp.ClientTimeout(total=None, connect=dial_timeout_s, sock_connect=dial_timeout_s),
        )
        # aiohttp retries a GET or PUT by itself if an idle connection turns out to be closed: a duplicate
        # that the scheduler did not decide on. aiohttp has no public option to disable that.
        self._session._retry_connection = False

    def resize(self, max_connections: int) -> None:
        self._connector._limit = max_connections

    async def close(self) -> None:
        await self._session.close()

    async def _headers_sent(self, session: Any, context: SimpleNamespace, params: Any) -> None:
        request: UpstreamRequest | None = context.trace_request_ctx
        if request is not None and request.has_no_body:
            request.mark_sent()

    async def _chunk_sent(
        self, session: Any, context: SimpleNamespace, params: aiohttp.TraceRequestChunkSentParams
    ) -> None:
        request: UpstreamRequest | None = context.trace_request_ctx
        if request is not None:
            request.count_sent(len(params.chunk))

    async def exchange(self, request: UpstreamRequest, address: str, headers: dict[str, str]) -> Reply:
        response: aiohttp.ClientResponse | None = None
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{address}{request.target}", encoded=True),
                headers=headers,
                data=request.payload(headers),
                allow_redirects=False,
                trace_request_ctx=request,
            )
            reply = await _read_reply(response, request.relay)
            if reply.relay is not None:
                response = None  # the relay releases it
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
            if request.client_error is not None:
                return Reply(Ending.CLIENT_BROKE)
            if isinstance(error, TimeoutError):
                raise
            return Reply(Ending.BROKEN if request.sent or request.begun else Ending.BROKEN_UNSENT)
        finally:
            if response is not None:
                # Not reusable: the request was not sent completely, or the response not read to its end.
                if not request.sent or not response.content.at_eof():
                    response.close()
                response.release()


class ResponseStream:
    """The rest of a long response; ``length`` is that of the whole body in bytes, None if it is not known."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.length = None if response.headers.get("Transfer-Encoding") else response.content_length

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the chunks up to its end; aiohttp.ClientError if it breaks off, stalls or is too long."""
        try:
            size = 0
            while True:
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    chunk = await self._response.content.readany()
                if not chunk:
                    return
                size += len(chunk)
                if size > MAX_BODY_BYTES:
                    raise InvalidResponseError(f"the response is longer than {MAX_BODY_BYTES} bytes")
                yield chunk
        except TimeoutError:
            raise aiohttp.ClientPayloadError(f"no data of the response within {STALL_TIMEOUT_S} s") from None
        finally:
            if not self._response.content.at_eof():
                self._response.close()
            self._response.release()


async def _read_start(response: aiohttp.ClientResponse) -> tuple[bytes, bool] | None:
    """Read the start of the body; return it and whether it is complete.

    Returns None if the body is too long, or if its end cannot be determined.
    """
    coding, length = response.headers.get("Transfer-Encoding"), response.content_length
    if coding:
        is_framed = coding.strip().lower() == "chunked"
    else:
        # Without a length the connection must close (RFC 9112, section 6.3), or nothing would end the body.
        is_framed = length is not None or response.headers.get("Connection", "").strip().lower() == "close"
    if not is_framed or (not coding and (length or 0) > MAX_BODY_BYTES):
        return None
    body = b""
    if not coding and (length or 0) > MAX_BUFFERED_BODY_BYTES:
        return body, False
    stream_at = asyncio.get_running_loop().time() + FIRST_CHUNK_WAIT_S if coding or length is None else None
    try:
        while len(body) <= MAX_BUFFERED_BODY_BYTES:
            async with asyncio.timeout_at(stream_at if body else None):
                chunk = await response.content.readany()
            if not chunk:
                return body, True
            body += chunk
    except TimeoutError:
        # The time to the first byte of a long response is measured, but its length is known only at its end.
        # If up to 64 KiB were buffered first, it would be late and its node would look slow; short responses
        # end within 10 ms.
        pass
    return body, False


async def _read_reply(response: aiohttp.ClientResponse, relay: RelayResponse) -> Reply:
    status, headers = response.status, response.headers
    start = await _read_start(response)
    body, is_complete = start or (b"", True)
    if status == 200:
        ending = Ending.SERVED if start is not None else Ending.SPOILT
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
    if is_complete or ending is not Ending.SERVED:
        return reply
    return replace(reply, relay=partial(relay, ResponseStream(response), reply))


RelayResponse = Callable[[ResponseStream, Reply], Awaitable[Ending]]


class UpstreamRequest:
    """Sends one client's request to the node of each attempt; implements the core's ``Backend``.

    ``sent``: whether the last byte may have been sent in the current attempt. ``begun``: whether the first
    byte of a streamed body may have been sent. ``client_error``: how the client failed to send such a body.
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
        self.sent = self.begun = False
        self.client_error: BodyError | None = None
        self._pool, self._body = pool, body
        self._constant_headers = {"X-Request-Id": request_id}
        if idempotency_key:
            self._constant_headers["Idempotency-Key"] = idempotency_key
        self._unsent_bytes = 0
        self._current: Attempt | None = None

    @property
    def has_no_body(self) -> bool:
        return not self._body

    def mark_sent(self) -> None:
        self.sent = True
        if self._current is not None:
            self._current.mark_written()

    def count_sent(self, size: int) -> None:
        if isinstance(self._body, bytes):
            self._unsent_bytes -= size
            if self._unsent_bytes <= 0:
                self.mark_sent()

    def payload(self, headers: dict[str, str]) -> bytes | AsyncIterator[bytes] | None:
        if isinstance(self._body, bytes):
            return self._body or None
        if self._body.length is not None:
            headers["Content-Length"] = str(self._body.length)
        return self._stream(self._body)

    async def _stream(self, body: StreamedBody) -> AsyncIterator[bytes]:
        attempt, loop = self._current, asyncio.get_running_loop()
        assert attempt is not None and attempt.timeout is not None
        size = 0
        try:
            async for chunk in body.chunks():
                attempt.body_started = self.begun = True
                size += len(chunk)
                if size == body.length:
                    self.mark_sent()  # before the write, since this chunk completes the node's request
                else:
                    # The node must accept the chunk within this time.
                    attempt.timeout.reschedule(loop.time() + STALL_TIMEOUT_S)
                yield chunk
                if not self.sent:
                    attempt.timeout.reschedule(None)  # StreamedBody limits the time that the client may take
            if not self.sent:
                self.mark_sent()
        except BodyError as error:
            self.client_error = error
            raise

    async def attempt(self, attempt: Attempt) -> Reply:
        if isinstance(self._body, StreamedBody) and self._body.is_read:
            return Reply(Ending.NOT_STARTED)  # its first chunks have been consumed
        self._current = attempt
        self.sent, self._unsent_bytes = False, len(self._body) if isinstance(self._body, bytes) else 0
        wait_ms = max(int(attempt.response_timeout_s * 1000), 1)
        return await self._pool.exchange(
            self, attempt.address, {**self._constant_headers, "X-Deadline-Ms": str(wait_ms)}
        )
