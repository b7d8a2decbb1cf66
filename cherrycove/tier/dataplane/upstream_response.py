"""A broker's response whose headers were received, and the faults that make a response unusable."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum

import aiohttp
from multidict import CIMultiDictProxy

from cherrycove.tier.dataplane.errors import DataPlaneError
from cherrycove.tier.dataplane.headers import parse_instance_load

MAX_BUFFERED_BYTES = 32 * 1024 * 1024  # of a body that is not streamed
DISCARD_TIMEOUT_S = 0.05
MAX_DISCARDED_BYTES = 64 * 1024


ReserveMemory = Callable[[int], Awaitable[None]]


async def _reserve_nothing(size: int) -> None:  # noqa: ARG001 (a ``ReserveMemory``)
    """Account nothing: no client waits for the response."""


class ResponseFault(Enum):
    """What is wrong with a response, caused by the broker or its connection."""

    CLOSED = "closed"  # the connection was reset or closed before the end
    MALFORMED = "malformed"  # not a valid response to the request


class IncompleteResponseError(DataPlaneError):
    """A response was not received completely, because of the broker or its connection."""

    def __init__(self, fault: ResponseFault, detail: str = "") -> None:
        super().__init__(f"response {fault.value}: {detail}")
        self.fault = fault


class UpstreamResponse:
    """A response whose body is read once, by the attempt that owns it, which must always ``close`` it."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: CIMultiDictProxy[str] = response.headers
        self.load = parse_instance_load(response.headers)

    @property
    def is_framed(self) -> bool:
        """Whether the framing marks the end (RFC 9112, 6.3); if not, the connection's orderly close does."""
        coding = self.headers.get("Transfer-Encoding", "").lower()
        return "Content-Length" in self.headers or "chunked" in coding

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return self.status // 100 == 2

    @property
    def media_type(self) -> str:
        """The content type without parameters, in lower case."""
        return self.headers.get("Content-Type", "").partition(";")[0].strip().lower()

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty only at its end. Raises ``IncompleteResponseError``."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            # aiohttp raises RuntimeError if the connection was closed by this process.
            raise IncompleteResponseError(ResponseFault.CLOSED, str(error)) from error

    async def read(self, reserve: ReserveMemory = _reserve_nothing) -> bytes:
        """Return the complete body. Raises ``IncompleteResponseError``, also if the body is too long.

        ``reserve`` waits until the memory for so many further bytes is reserved.
        """
        reserved_bytes = min(self._response.content_length or 0, MAX_BUFFERED_BYTES)
        await reserve(reserved_bytes)
        body = bytearray()
        while chunk := await self.read_chunk():
            if len(body) + len(chunk) > reserved_bytes:
                step_bytes = max(len(chunk), len(body))
                await reserve(step_bytes)
                reserved_bytes += step_bytes
            body += chunk
            if len(body) > MAX_BUFFERED_BYTES:
                raise IncompleteResponseError(
                    ResponseFault.MALFORMED, f"body exceeds {MAX_BUFFERED_BYTES} bytes"
                )
        return bytes(body)

    async def discard(self) -> None:
        """Read the rest of a short response that is not forwarded, so that its connection can be reused."""
        with suppress(TimeoutError, aiohttp.ClientError, OSError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await self._response.content.read(MAX_DISCARDED_BYTES)
        self.close()

    def close(self) -> None:
        """Return the connection to the pool if the response was read to its end, else close it."""
        if not self._response.content.is_eof():
            self._response.close()
        self._response.release()
