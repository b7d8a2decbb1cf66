"""Clients over HTTP/1.1: their connections, the whole of each request, and where it goes.

It owns the bounds on what a client may send and the choice by host and path. It decides nothing about a
request that has a route.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any, Protocol

import aiohttp
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.streams import StreamReader

from cherrycove.tier.batch.frontend.http_api import MAX_BATCH_CALL_S
from cherrycove.tier.configuration import ClientLimits, Route
from cherrycove.tier.dataplane.arrival_rates import ArrivalRates
from cherrycove.tier.dataplane.batch_routing import (
    BATCH_KIND,
    BATCH_PATHS,
    find_batch_route,
    is_batch_api_request,
)
from cherrycove.tier.dataplane.draining import DrainDeadline, RecentMaxDuration
from cherrycove.tier.dataplane.headers import REQUEST_ID
from cherrycove.tier.dataplane.request_forwarder import RequestForwarder, response_deadline
from cherrycove.tier.dataplane.stream_relay import proxy_response
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.settings import Settings

BACKLOG = 1024  # connections to be accepted
PARSER_LINE_BYTES = 256 * 1024  # the configuration's own bound is below it
SHORTEST_FIELD_BYTES = len("n:\r\n")  # of a head; the library bounds the number of fields
LEAST_FIELDS = 128  # that it is set to allow
READ_BYTES = 32 * 1024
UNACKNOWLEDGED_MS = 20_000  # after which a client that takes nothing of what it is sent is cut off
UNCONFIGURED_RETRY_S = 0.5
LEAVING_RETRY_S = 0.05  # another proxy can take it at once
SHUTDOWN_TIMEOUT_S = 0.3


class BatchApi(Protocol):
    """Serves the calls for batch jobs."""

    async def handle(
        self, request: web.BaseRequest, body: bytes, route: Route | None
    ) -> web.StreamResponse: ...


_log = logging.getLogger(__name__)
_log.addFilter(lambda record: not _fault_of_client(record))


def _fault_of_client(record: logging.LogRecord) -> bool:
    """Whether the library tells of a request that it could not read; any client could fill the log so."""
    return bool(record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


class ClientConnection(web.RequestHandler):
    """The library's connection to a client, closed if the rest of a head does not come in time."""

    def __init__(self, manager: web.Server, *, head_timeout_s: float, **settings: Any) -> None:
        super().__init__(manager, **settings)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self.busy = False  # a request is open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        client = transport.get_extra_info("socket")
        if client is not None:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def data_received(self, data: bytes) -> None:
        if not self.busy and self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self.force_close)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.head_came()
        super().connection_lost(exc)

    def head_came(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class ClientServer(web.Server):
    """The library's server; each new connection gets the time-outs in force."""

    def __init__(self, ingress: Ingress) -> None:
        super().__init__(ingress.handle, request_factory=ingress.make_request, handler_cancellation=True)
        self._ingress = ingress

    def __call__(self) -> web.RequestHandler:
        limits = self._ingress.limits
        return ClientConnection(
            self, logger=_log, head_timeout_s=limits.header_timeout_ms / 1000,
            loop=asyncio.get_running_loop(), access_log=None,
            keepalive_timeout=limits.idle_timeout_ms / 1000, auto_decompress=False,
            max_line_size=PARSER_LINE_BYTES, max_field_size=PARSER_LINE_BYTES,
            max_headers=max(limits.max_header_bytes // SHORTEST_FIELD_BYTES, LEAST_FIELDS),
            lingering_time=0.0, read_bufsize=READ_BYTES,
        )  # fmt: skip


class Ingress:
    """Takes clients' requests on the frontend address."""

    def __init__(
        self, settings: Settings, views: ClusterView, dispatcher: RequestForwarder, drain: DrainDeadline
    ) -> None:
        self._settings = settings
        self._views = views
        self._dispatcher = dispatcher
        self._drain = drain
        self._durations = RecentMaxDuration()
        self.batch_api: BatchApi | None = None
        self.arrivals = ArrivalRates()
        self.open_requests = 0
        self.last_active = 0.0  # loop time at which a request last began or ended
        self._closing = False
        self._runner: web.ServerRunner | None = None

    @property
    def limits(self) -> ClientLimits:
        configuration = self._views.configuration
        return configuration.limits if configuration else ClientLimits()

    async def start(self) -> None:
        self._runner = web.ServerRunner(ClientServer(self), shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, _, port = self._settings.listen_addresses.frontend.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), backlog=BACKLOG).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def close_connections(self) -> None:
        """From now on each answer ends its connection."""
        self._closing = True

    def closing(self) -> bool:
        return self._closing

    def make_request(
        self, message: RawRequestMessage, payload: StreamReader, protocol: web.RequestHandler,
        writer: AbstractStreamWriter, task: asyncio.Task[None],
    ) -> web.BaseRequest:  # fmt: skip
        """A request whose body is read up to the bound in force."""
        if isinstance(protocol, ClientConnection):
            protocol.busy = True
            protocol.head_came()
        return web.BaseRequest(
            message, payload, protocol, writer, task, asyncio.get_running_loop(),
            client_max_size=self.limits.max_body_bytes,
        )  # fmt: skip

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        self.open_requests += 1
        self.last_active = arrived = loop.time()
        try:
            return await self._respond(request, arrived)
        finally:
            self.open_requests -= 1
            self.last_active = loop.time()
            if isinstance(request.protocol, ClientConnection):
                request.protocol.busy = False

    async def _respond(self, request: web.BaseRequest, arrived: float) -> web.StreamResponse:
        if _head_bytes(request) > self.limits.max_header_bytes:
            return self._own(request, 431, "the head is too long", whole=False)
        try:
            async with asyncio.timeout(self.limits.idle_timeout_ms / 1000):
                body = await _body(request)
        except web.HTTPRequestEntityTooLarge:
            return self._own(request, 413, "the body is too long", whole=False)
        except TimeoutError:
            return self._own(request, 408, "the body did not come in time", whole=False)
        except (web.RequestPayloadError, aiohttp.ClientPayloadError, ValueError):
            return self._own(request, 400, "the body cannot be read", whole=False)
        return await self._route(request, body, arrived)

    async def _route(self, request: web.BaseRequest, body: bytes, arrived: float) -> web.StreamResponse:
        configuration = self._views.configuration
        if configuration is None:
            return self._own(request, 503, "no configuration yet", retry_after_s=UNCONFIGURED_RETRY_S)
        path = request.raw_path.partition("?")[0]
        route = configuration.match(request.headers.get("Host", ""), path)
        of_batch = path.startswith(BATCH_PATHS)
        lots = find_batch_route(configuration, request.headers.get("Host", "")) if of_batch else None
        if self.batch_api is not None and is_batch_api_request(request.method, path, route, lots):
            return await self._batch(self.batch_api, request, body, lots if route is None else route)
        if route is None or route.route_kind == BATCH_KIND:
            return self._own(request, 404, "no route")
        return await self._live(request, body, route, arrived)

    async def _live(
        self, request: web.BaseRequest, body: bytes, route: Route, arrived: float
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        self.arrivals.add(route.name, arrived)
        usual_s = self._durations.longest_s(route.name, arrived)
        if not self._drain.accepts(loop.time(), response_deadline(request, route, arrived), usual_s):
            return self._leaving(request)
        try:
            return await self._dispatcher.handle(request, body, route, arrived, self.closing)
        finally:
            now = loop.time()
            self._durations.add(route.name, now - arrived, now)

    async def _batch(
        self, api: BatchApi, request: web.BaseRequest, body: bytes, route: Route | None
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        if not self._drain.accepts(now, now + MAX_BATCH_CALL_S, 0.0):
            return self._leaving(request)
        try:
            async with self._drain.limit():
                response = await api.handle(request, body, route)
        except TimeoutError:
            return self._own(request, 504, "this proxy is leaving")
        if self._closing:
            response.force_close()
        return response

    def _leaving(self, request: web.BaseRequest) -> web.Response:
        return self._own(request, 503, "this proxy is leaving", retry_after_s=LEAVING_RETRY_S)

    def _own(self, request: web.BaseRequest, status: int, text: str, whole: bool = True,
             retry_after_s: float | None = None) -> web.Response:  # fmt: skip
        identity = request.headers.get(REQUEST_ID, "")
        return proxy_response(status, text, identity, self._closing or not whole, retry_after_s)


def _head_bytes(request: web.BaseRequest) -> int:
    fields = sum(len(name) + len(value) + len(": \r\n") for name, value in request.raw_headers)
    return len(request.method) + len(request.raw_path) + fields


async def _body(request: web.BaseRequest) -> bytes:
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    return await request.read()
