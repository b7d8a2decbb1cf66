"""Reads clients' bodies: short ones are buffered, long ones are streamed, within one limit on memory.

This module owns that limit and the time-outs for receiving a body. It must never hold more of a long body
than a chunk and its buffers, and never return a chunk twice.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from typing import NamedTuple

from aiohttp import web
from aiohttp.http import HttpProcessingError

from cherrycove.broker.http1.parse import BodyError, RequestError

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longer bodies are streamed
MAX_BODY_BYTES = 32 * 1024 * 1024  # of a request or a response
CHUNK_TIMEOUT_S = 2.0  # for each chunk of a body
MIN_BODY_BYTES_PER_S = 32 * 1024  # the whole body may take CHUNK_TIMEOUT_S plus its size at this rate
STREAM_MEMORY_BYTES = 160 * 1024  # the most that a streamed body or response holds in memory


class _Waiter(NamedTuple):
    """A reservation of ``size`` bytes that waits; ``reserved`` is resolved when they have been reserved."""

    size: int
    reserved: asyncio.Future[None]


class BodyMemory:
    """Limits the memory of all bodies and responses; reservations are granted in the order of arrival.

    The server owns it. ``reserved_bytes`` may exceed ``limit_bytes`` by a single body that is larger than the
    limit, or by ``reserve_unchecked``.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._waiting: deque[_Waiter] = deque()

    def reserve_unchecked(self, size: int) -> None:
        """Reserve ``size`` bytes whether or not the limit allows it."""
        self.reserved_bytes += size

    async def reserve(self, size: int, timeout_s: float) -> None:
        """Reserve ``size`` bytes, once the limit allows it or nothing else is reserved.

        Raises:
            TimeoutError: if that would take longer than ``timeout_s``; nothing is reserved then.
        """
        # Requests without a body need no memory and must not queue behind those that do.
        if not size or (not self._waiting and self._fits(size)):
            self.reserve_unchecked(size)
            return
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.reserved
        except BaseException:
            self._cancel(waiter)
            raise

    def _cancel(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.reserved.done() and not waiter.reserved.cancelled():
            self.release(waiter.size)  # it was reserved just as the waiter timed out or was cancelled
        self._grant_waiting()

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.reserved_bytes -= size
        self._grant_waiting()

    def resize(self, limit_bytes: int) -> None:
        """Change the limit; bytes that are already reserved stay reserved, even above a smaller limit."""
        self.limit_bytes = limit_bytes
        self._grant_waiting()

    def _fits(self, size: int) -> bool:
        return not self.reserved_bytes or self.reserved_bytes + size <= self.limit_bytes

    def _grant_waiting(self) -> None:
        while self._waiting and self._fits(self._waiting[0].size):
            waiter = self._waiting.popleft()
            if not waiter.reserved.done():
                self.reserve_unchecked(waiter.size)
                waiter.reserved.set_result(None)


class StreamedBody:
    """A client's long body, which can be read once; a chunk is read when the one before has been consumed.

    ``length`` is in bytes, None if it is not known; ``is_read`` is True as soon as reading has begun.
    """

    def __init__(self, request: web.BaseRequest, prefix: bytes) -> None:
        """Stream the body of ``request``, of which ``prefix`` has been read already."""
        self.length = None if request.headers.get("Transfer-Encoding") else request.content_length
        self.is_read = False
        self._request = request
        self._prefix = prefix

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the chunks up to the end of the body; BodyError if it is not received completely."""
        self.is_read = True
        if self._prefix:
            yield self._prefix
        async for chunk in _read_chunks(self._request, len(self._prefix)):
            yield chunk


def required_memory_bytes(request: web.BaseRequest) -> int:
    """Return how many bytes of memory the body of a request needs.

    Raises:
        RequestError: if the method allows no body, or its Transfer-Encoding is not supported.
        BodyError: if the announced length is over ``MAX_BODY_BYTES``.
    """
    if not request.body_exists:
        return 0
    if request.method == "GET":
        raise RequestError("a read has no body")
    coding = request.headers.get("Transfer-Encoding")
    if coding is not None and coding.strip().lower() != "chunked":
        raise RequestError("a Transfer-Encoding other than chunked")
    length = request.content_length or 0
    if length > MAX_BODY_BYTES:
        raise BodyError(413, f"more than {MAX_BODY_BYTES} bytes")
    return STREAM_MEMORY_BYTES if coding is not None or length > MAX_BUFFERED_BODY_BYTES else length


async def read_body(request: web.BaseRequest) -> bytes | StreamedBody:
    """Return the complete body, or a stream if it is too long to be buffered.

    Raises:
        BodyError: if it is not received in time, or not as its headers announce it.
    """
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await _send_continue(request)
    if (request.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
        return StreamedBody(request, b"")
    body = b""
    async for chunk in _read_chunks(request):
        body += chunk
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            return StreamedBody(request, body)
    return body


async def _send_continue(request: web.BaseRequest) -> None:
    """Send 100 Continue (RFC 9110, section 10.1.1), which aiohttp's low-level server leaves to its user."""
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # aiohttp assumes that the response has begun once anything was written; the final one is still to come.
    request.writer.output_size = 0


async def _read_chunks(request: web.BaseRequest, size: int = 0) -> AsyncIterator[bytes]:
    """Yield the further chunks of a body of which ``size`` bytes have been read.

    Raises ``BodyError`` when a slow client exceeds the time for its body, so that it cannot hold memory for
    ever. Time that the consumer of the chunks takes does not count.
    """
    loop = asyncio.get_running_loop()
    started_at, consumer_s = loop.time(), 0.0
    while True:
        body_timeout_at = started_at + consumer_s + CHUNK_TIMEOUT_S + size / MIN_BODY_BYTES_PER_S
        try:
            async with asyncio.timeout_at(min(loop.time() + CHUNK_TIMEOUT_S, body_timeout_at)):
                chunk = await request.content.readany()
        except TimeoutError as error:
            raise BodyError(408, "the rest of the request did not come") from error
        except (web.RequestPayloadError, HttpProcessingError) as error:
            raise BodyError(400, str(error)) from error
        if not chunk:
            return
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise BodyError(413, f"more than {MAX_BODY_BYTES} bytes")
        yielded_at = loop.time()
        yield chunk
        consumer_s += loop.time() - yielded_at
