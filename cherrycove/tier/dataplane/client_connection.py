"""HTTP/1.1 client connections: aiohttp's server with the limits of the configuration."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.protocol.server_log import server_logger

MAX_PARSER_LINE_BYTES = 256 * 1024  # limit of aiohttp's parser; the configured limit is lower
MIN_FIELD_BYTES = len("n:\r\n")  # the shortest header field; aiohttp limits the number of fields, not bytes
MIN_MAX_FIELDS = 128  # lower bound of the number of header fields that aiohttp is set to allow
READ_BUFFER_BYTES = 32 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # TCP_USER_TIMEOUT: closes connections whose client acknowledges no data


class ClientConnection(web.RequestHandler):
    """One client's connection; closed if request headers or TCP acknowledgements do not arrive in time.

    Owned by the ``ClientServer``. States: *idle*, *reading headers* (the timer runs), *busy* with a request.
    """

    def __init__(self, manager: web.Server, *, header_timeout_s: float, **settings: Any) -> None:
        super().__init__(manager, **settings)
        self._header_timeout_s = header_timeout_s
        self._header_timer: asyncio.TimerHandle | None = None
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the TCP timeout of a new connection; called by the event loop."""
        super().connection_made(transport)
        client = transport.get_extra_info("socket")
        if client is not None:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Start the header timer at the first bytes of a request; called by the event loop."""
        if not self._is_busy and self._header_timer is None:
            self._header_timer = self._loop.call_later(self._header_timeout_s, self.force_close)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timer of a closed connection; called by the event loop."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def request_started(self) -> None:
        """Mark the connection busy: the headers of a request were read completely."""
        self._is_busy = True
        self._cancel_header_timer()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of the response, and mark the connection idle; called by aiohttp."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._is_busy = False

    def close(self) -> None:
        """Close once the request in progress is answered, or at once if there is none.

        If the connection's task has not yet begun to wait for a request, aiohttp leaves the connection open
        and discards what it receives until the shutdown ends. Its client would wait for a response in vain.
        """
        super().close()
        if not self._is_busy:
            self.force_close()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class ClientServer(web.Server):
    """Creates a ``ClientConnection`` for each client, with the limits configured at that time.

    Owned by the ``Ingress``. ``handler`` is cancelled if its client disconnects.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], ClientLimits],
    ) -> None:
        super().__init__(handler, request_factory=self._make_request, handler_cancellation=True)
        self._limits = limits

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of a new connection; called by the event loop."""
        limits = self._limits()
        return ClientConnection(
            self, logger=server_logger(), header_timeout_s=limits.header_timeout_ms / 1000,
            loop=asyncio.get_running_loop(), access_log=None,
            keepalive_timeout=limits.idle_timeout_ms / 1000, auto_decompress=False,
            max_line_size=MAX_PARSER_LINE_BYTES, max_field_size=MAX_PARSER_LINE_BYTES,
            max_headers=max(limits.max_header_bytes // MIN_FIELD_BYTES, MIN_MAX_FIELDS),
            lingering_time=0.0, read_bufsize=READ_BUFFER_BYTES,
        )  # fmt: skip

    def _make_request(
        self, message: RawRequestMessage, payload: StreamReader, protocol: web.RequestHandler,
        writer: AbstractStreamWriter, task: asyncio.Task[None],
    ) -> web.BaseRequest:  # fmt: skip
        """Create a request whose body size is limited by the current ``max_body_bytes``."""
        if isinstance(protocol, ClientConnection):
            protocol.request_started()
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(),
            client_max_size=self._limits().max_body_bytes,
        )  # fmt: skip
