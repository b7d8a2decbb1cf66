"""What a connection of a client needs of its server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from aiohttp.http import RawRequestMessage

from cherrycove.http_listener.client_memory import ClientMemory

if TYPE_CHECKING:
    from cherrycove.http_listener.client_connection import ClientConnection


class ConnectionLimits(Protocol):
    """Limits of one connection."""

    @property
    def max_header_bytes(self) -> int:
        """Of method, target and fields of a head; of the trailers as well."""

    @property
    def max_body_bytes(self) -> int:
        """Of a body without its framing."""

    @property
    def header_timeout_ms(self) -> float:
        """From the first byte of a head to its end."""


class ConnectionOwner(Protocol):
    """The server of a connection, besides what aiohttp needs of it."""

    memory: ClientMemory
    read_buffer: memoryview  # of ``READ_BYTES``, for all connections: each read is copied out at once

    def limits(self) -> ConnectionLimits:
        """Return the limits in force."""

    def body_factor(self, message: RawRequestMessage) -> int:
        """Return how many bytes of memory a byte of a body that is not small takes."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Called when a client has connected."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Called when the connection is closed."""
