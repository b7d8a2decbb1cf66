"""Reads the body of a request as a whole, without keeping a second copy on the request."""

from __future__ import annotations

from typing import Protocol

from cherrycove.http_listener.errors import BodyTooLargeError


class BodyStream(Protocol):
    """The stream of a body; ``aiohttp.StreamReader`` is one."""

    async def readany(self) -> bytes:
        """Return the next bytes; empty at the end."""


class IncomingRequest(Protocol):
    """The part of ``aiohttp.web.BaseRequest`` that reading a body needs."""

    @property
    def content(self) -> BodyStream:
        """The stream of the body."""

    @property
    def content_length(self) -> int | None:
        """The length that the head announces."""


async def read_body(request: IncomingRequest, max_bytes: int) -> bytes:
    """Return the complete body.

    Raises ``BodyTooLargeError`` as soon as it is certain that the body is longer than ``max_bytes``, and what
    the connection sets for a body that it cannot receive (``errors``).
    """
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError(f"the body has more than {max_bytes} bytes")
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            if len(body) > max_bytes:
                raise BodyTooLargeError(f"the body has more than {max_bytes} bytes")
    except BaseException:
        # The exception of a stream refers to this frame, and the stream to the exception: until the garbage
        # collector finds that cycle, the frame lives.
        body.clear()
        raise
    return bytes(body)
