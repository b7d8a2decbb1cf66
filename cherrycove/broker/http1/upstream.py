"""Sends requests to disk nodes over HTTP/1.1: one exchange for each attempt.

This module owns the connections to nodes, and maps each way in which an exchange ends to an ``Ending``. It
must never retry by itself, accept anything but the response to its own request, or reuse a connection on
which a response is still to come.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any

import aiohttp
from yarl import URL

from cherrycove.broker.core import Attempt, Ending, Reply
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, StreamedBody
from cherrycove.broker.http1.connector import Connector
from cherrycove.broker.http1.node_connection import READ_CHUNK_BYTES, InvalidResponseError
from cherrycove.broker.http1.parse import BodyError, parse_load, parse_other_hosts, parse_volume_load

FIRST_CHUNK_WAIT_S = 0.02  # how long a response of unknown length is buffered before it is streamed
STALL_TIMEOUT_S = 10.0  # within which a node must accept or send some bytes of a streamed body
REUSE_DELAY_S = 0.006  # between a response and the next request: duplicate responses are up to 4 ms late

log = Log("cherrycove.http1")


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
