"""Clients' bodies: buffered where they are short, streamed where they are long, within one bound on memory.

It owns that bound and how long a client may take to send its body. It must never hold more of a long body
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
CHUNK_TIMEOUT_S = 2.0  # for each chunk of a body; for all of it as much again, and
MIN_BODY_BYTES_PER_S = 32 * 1024  # the time that it takes at this rate
STREAM_MEMORY_BYTES = 160 * 1024  # that a streamed body or response holds, at the most
MEMORY_TIMEOUT_S = 1.0  # that a body waits for memory until its request is rejected


class _Waiter(NamedTuple):
    size: int
    reserved: asyncio.Future[None]


class BodyMemory:
    """The bound on the memory of all bodies and responses; waiters get theirs in the order of arrival.

    The server owns it. ``reserved_bytes`` may exceed ``limit_bytes`` by a single body that is larger than the
    limit, or by ``reserve_unchecked``.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Nothing is reserved; ``limit_bytes`` is the bound."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._waiting: deque[_Waiter] = deque()

    def reserve_unchecked(self, size: int) -> None:
        """Reserve ``size`` bytes whether or not the bound allows it."""
        self.reserved_bytes += size

    async def reserve(self, size: int, within: float = MEMORY_TIMEOUT_S) -> None:
        """Reserve ``size`` bytes once the bound allows it, or nothing else is reserved.

        Raises:
            TimeoutError: if that took longer than ``within`` seconds; nothing is reserved.
        """
        # Requests without a body need no memory and must not queue behind those that do.
        if not size or (not self._waiting and self._fits(size)):
            self.reserve_unchecked(size)
            return
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(within):
                await waiter.reserved
        except BaseException:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.reserved.done() and not waiter.reserved.cancelled():
            self.release(waiter.size)  # it was reserved in the moment in which the waiter gave up
        self._admit()

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.reserved_bytes -= size
        self._admit()

    def resize(self, limit_bytes: int) -> None:
        """Change the bound; what is reserved beyond a smaller one stays so."""
        self.limit_bytes = limit_bytes
        self._admit()

    def _fits(self, size: int) -> bool:
        return not self.reserved_bytes or self.reserved_bytes + size <= self.limit_bytes

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0].size):
            waiter = self._waiting.popleft()
            if not waiter.reserved.done():
                self.reserve_unchecked(waiter.size)
                waiter.reserved.set_result(None)


class StreamedBody:
    """A client's long body, each chunk read once the one before was consumed. It can be read once.

    ``length`` is in bytes, None if it is not known; ``touched`` says whether reading has begun.
    """

    def __init__(self, request: web.BaseRequest, start: bytes) -> None:
        """``start`` is what has been read of the body already."""
        self.length = None if request.headers.get("Transfer-Encoding") else request.content_length
        self.touched = False
        self._request = request
        self._start = start

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """The chunks up to the body's end; BodyError if it does not come completely."""
        self.touched = True
        if self._start:
            yield self._start
        async for chunk in _read_chunks(self._request, len(self._start)):
            yield chunk


def required_memory_bytes(request: web.BaseRequest) -> int:
    """What a request's body will hold in memory.

    Raises:
        RequestError: if the request may have no body, or none in that coding.
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
    """The complete body, or a stream if it is too long to be buffered.

    Raises:
        BodyError: if it does not come in time, or not as it was announced.
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
    """Ask for the body (RFC 9110, section 10.1.1): aiohttp's low-level server leaves that to its user."""
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    request.writer.output_size = 0  # aiohttp takes a written response for begun: the final one is to come


async def _read_chunks(request: web.BaseRequest, size: int = 0) -> AsyncIterator[bytes]:
    """The chunks of a body of which ``size`` bytes have been read.

    A client may be slow, but not hold its memory for ever: time that the consumer takes is not the client's.
    """
    loop = asyncio.get_running_loop()
    began_s, consumer_s = loop.time(), 0.0
    while True:
        latest_s = began_s + consumer_s + CHUNK_TIMEOUT_S + size / MIN_BODY_BYTES_PER_S
        try:
            async with asyncio.timeout_at(min(loop.time() + CHUNK_TIMEOUT_S, latest_s)):
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
        before_s = loop.time()
        yield chunk
        consumer_s += loop.time() - before_s
