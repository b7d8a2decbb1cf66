"""Connections of clients over HTTP/1.1, by aiohttp's server with the limits of the configuration."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.streams import StreamReader

from cherrycove.tier.configuration import ClientLimits

MAX_PARSER_LINE_BYTES = 256 * 1024  # of the library; the configuration's own bound is below it
MIN_FIELD_BYTES = len("n:\r\n")  # of a head; the library bounds the number of fields
MIN_MAX_FIELDS = 128  # fields that it is set to allow at least
READ_BUFFER_BYTES = 32 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # after which a client that takes nothing of what it is sent is cut off

_log = logging.getLogger(__name__)
_log.addFilter(lambda record: not _is_client_fault(record))


def _is_client_fault(record: logging.LogRecord) -> bool:
    """Whether the library logs a request that it could not read; any client could fill the log so."""
    return bool(record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


class ClientConnection(web.RequestHandler):
    """One client's connection; closed if a head does not come in time, or nothing sent is acknowledged.

    Owned by the ``ClientServer``. States: *idle*, *reading a head* (the timer runs), *busy* with a request.
    """

    def __init__(self, manager: web.Server, *, head_timeout_s: float, **settings: Any) -> None:
        super().__init__(manager, **settings)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The client connected; called by the event loop."""
        super().connection_made(transport)
        client = transport.get_extra_info("socket")
        if client is not None:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Bytes came; called by the event loop."""
        if not self._is_busy and self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self.force_close)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection is closed; called by the event loop."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def request_started(self) -> None:
        """A head was read."""
        self._is_busy = True
        self._cancel_head_timer()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write what is left of the response; called by the library, and the end of a request."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._is_busy = False

    def close(self) -> None:
        """Close once the request in progress is answered, or at once where there is none.

        The library leaves a connection open whose task has not begun to wait for a request, and drops what
        comes until its shutdown is over. The client would wait for an answer that never comes.
        """
        super().close()
        if not self._is_busy:
            self.force_close()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class ClientServer(web.Server):
    """The library's server: makes a ``ClientConnection`` for each client, with the limits then in force.

    Owned by the ``Ingress``. ``handler`` is cancelled if its client leaves.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], ClientLimits],
    ) -> None:
        super().__init__(handler, request_factory=self._make_request, handler_cancellation=True)
        self._limits = limits

    def __call__(self) -> web.RequestHandler:
        """The protocol of a new connection; called by the event loop."""
        limits = self._limits()
        return ClientConnection(
            self, logger=_log, head_timeout_s=limits.header_timeout_ms / 1000,
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
        """A request whose body is read up to the limit in force."""
        if isinstance(protocol, ClientConnection):
            protocol.request_started()
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(),
            client_max_size=self._limits().max_body_bytes,
        )  # fmt: skip
