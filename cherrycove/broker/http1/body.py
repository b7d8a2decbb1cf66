"""Clients' bodies: whole where they are short, in pieces where they are long, all within one bound on memory.

It owns that bound and how long a client may take over its body. It must never hold more of a long body than
a piece and its buffers, and never hand on a piece twice.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator

from aiohttp import web
from aiohttp.http import HttpProcessingError

from cherrycove.broker.http1.parse import BodyError, RequestError

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # what is longer flows in pieces
MAX_BODY_BYTES = 32 * 1024 * 1024  # bytes of a body or an answer at all
CHUNK_TIMEOUT_S = 2.0  # s for each piece of a body, and in all this and
MIN_BODY_BYTES_PER_S = 32 * 1024  # bytes of it a second
STREAM_MEMORY_BYTES = 160 * 1024  # bytes that a long body or answer holds on its way, at the most
MEMORY_TIMEOUT_S = 1.0  # s that a body waits for room in memory until it is refused


class BodyMemory:
    """The one bound on what bodies and answers hold in memory. What waits for room gets it in its order."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def take(self, size: int) -> None:
        """Whether there is room or not."""
        self.held += size

    async def enter(self, size: int, within: float = MEMORY_TIMEOUT_S) -> None:
        """Once there is room; something alone always has it. TimeoutError: there was none within that (s)."""
        if not size or (not self._waiting and (not self.held or self.held + size <= self.most)):
            return self.take(size)  # Guard: reads need none, and stood behind the bodies that waited for it
        place = size, asyncio.get_running_loop().create_future()
        self._waiting.append(place)
        try:
            async with asyncio.timeout(within):
                await place[1]
        except BaseException:
            if place in self._waiting:
                self._waiting.remove(place)
            elif place[1].done() and not place[1].cancelled():
                self.leave(size)  # given in the moment in which it was given up
            self._admit()
            raise

    def leave(self, size: int) -> None:
        self.held -= size
        self._admit()

    def resize(self, most: int) -> None:
        self.most = most
        self._admit()

    def _admit(self) -> None:
        while self._waiting and (not self.held or self.held + self._waiting[0][0] <= self.most):
            size, waiter = self._waiting.popleft()
            if not waiter.done():
                self.take(size)
                waiter.set_result(None)


class StreamedBody:
    """A client's body in pieces, each read when the one before has gone. It can be read once."""

    def __init__(self, request: web.BaseRequest, start: bytes) -> None:
        self.length = None if request.headers.get("Transfer-Encoding") else request.content_length
        self.touched = False
        self._request, self._start = request, start

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Until its end; a BodyError says that it did not come whole."""
        self.touched = True
        if self._start:
            yield self._start
        async for piece in _pieces(self._request, len(self._start)):
            yield piece


def required_memory_bytes(request: web.BaseRequest) -> int:
    """What a request's body will hold in memory; RequestError says why it is none."""
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
    """The body, or what of it is too long to be held."""
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        # Guard: the low-level server leaves this to us; a client that waits for it would lose its time.
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0  # what follows is the answer's head, not its middle
    if (request.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
        return StreamedBody(request, b"")
    body = b""
    async for piece in _pieces(request):
        body += piece
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            return StreamedBody(request, body)
    return body


async def _pieces(request: web.BaseRequest, size: int = 0) -> AsyncIterator[bytes]:
    """The body as it comes, or BodyError. Guard: a client may be slow, but not hold its place for ever."""
    loop = asyncio.get_running_loop()
    began, taken = loop.time(), 0.0  # when, and how long of that was not the client's time
    while True:
        latest = began + taken + CHUNK_TIMEOUT_S + size / MIN_BODY_BYTES_PER_S
        try:
            async with asyncio.timeout_at(min(loop.time() + CHUNK_TIMEOUT_S, latest)):
                piece = await request.content.readany()
        except TimeoutError:
            raise BodyError(408, "the rest of the request did not come") from None
        except (web.RequestPayloadError, HttpProcessingError) as error:
            raise BodyError(400, str(error)) from None
        if not piece:
            return
        size += len(piece)
        if size > MAX_BODY_BYTES:
            raise BodyError(413, f"more than {MAX_BODY_BYTES} bytes")
        before = loop.time()
        yield piece
        taken += loop.time() - before
