"""One HTTP connection to a disk node or model broker: accepts only the response to the request in flight."""

from __future__ import annotations

import asyncio
from contextvars import Context
from typing import Any

import aiohttp
from aiohttp import StreamReader
from aiohttp.http import RawResponseMessage

from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.guarded_connection import GuardedConnection
from cherrycove.broker.sockets import has_unread_input

READ_CHUNK_BYTES = 32 * 1024  # read from a connection at once; each of its buffers holds about as much
MAX_HEADERS_BYTES = 32 * 1024  # of a response's head and all interim responses (RFC 9110, section 15.2)

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
        """Prepare for the response to the next request; called by aiohttp."""
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
            self._close_connection()  # a second response, after a chunked body
            return
        length = message.headers.get("Content-Length")
        self._response_body, self._remaining = body, int(length) if length is not None else None
        super().feed_data(data, size)

    def _receive(self, data: bytes) -> None:
        is_complete = self._response_body is not None and self._response_body.is_eof()
        if data and (self._parser is None or is_complete):
            self._close_connection()  # no request is in flight, or its response is complete
            return
        if not data:  # aiohttp resumes a parser that it had paused
            if not is_complete:
                super()._receive(data)
        elif self._response_body is None:
            rest = self._receive_head(data)
            if rest and self.transport is not None and not self.transport.is_closing():
                self._receive(rest)
                return
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

    def _receive_head(self, data: bytes) -> bytes:
        """Pass a head, or a part of one, to the parser; returns the bytes that follow it."""
        end_at = (self._last_bytes + data).find(b"\r\n\r\n")
        size = end_at + 4 - len(self._last_bytes) if end_at >= 0 else len(data)
        # The parser rejects a NUL, which a load report may contain; RFC 9110, section 5.5, lets a recipient
        # replace it by a space.
        head, rest = data[:size].replace(b"\0", b" "), data[size:]
        self._last_bytes = (self._last_bytes + head)[-3:] if end_at < 0 else b""
        self._header_bytes += len(head)
        if self._header_bytes > MAX_HEADERS_BYTES:
            self._fail_response()
            return b""
        super()._receive(head)
        return rest

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is read at once; called by the event loop."""
        super().connection_made(transport)
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that was not received completely; called by the event loop."""
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
