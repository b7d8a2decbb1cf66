"""The frontend of a proxy: reads client requests, matches their routes, and forwards them."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import Protocol

from aiohttp import web
from aiohttp.http import HttpProcessingError, RawRequestMessage

from cherrycove.http_listener.client_connection import DEFAULT_BODY_FACTOR
from cherrycove.tier.batch.frontend.http_api import MAX_BATCH_CALL_S
from cherrycove.tier.configuration import ClientLimits, Route
from cherrycove.tier.dataplane.arrival_rates import ArrivalRates
from cherrycove.tier.dataplane.batch_routing import (
    BATCH_PATHS,
    find_batch_route,
    is_batch_api_request,
)
from cherrycove.tier.dataplane.client_request import ClientRequestError, read_request_body
from cherrycove.tier.dataplane.draining import DrainDeadline
from cherrycove.tier.dataplane.headers import REQUEST_ID
from cherrycove.tier.dataplane.loss_cause import LossCause
from cherrycove.tier.dataplane.loss_record import LossRecord
from cherrycove.tier.dataplane.request_durations import RecentMaxDuration
from cherrycove.tier.dataplane.request_forwarder import RequestForwarder, response_deadline
from cherrycove.tier.dataplane.responses import proxy_response
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.listener.client_server import ClientServer, ListenerBudget
from cherrycove.tier.settings import Settings

BATCH_BODY_FACTOR = 6  # the body, its text, the parsed job, the message to a store, and its copy
UNCONFIGURED_RETRY_AFTER_S = 0.5
DRAINING_RETRY_AFTER_S = 0.05  # another proxy can serve it at once
SHUTDOWN_TIMEOUT_S = 0.3

_log = logging.getLogger(__name__)


class BatchApi(Protocol):
    """Handles calls of the batch API."""

    async def handle(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.StreamResponse:
        """Return the response to a call; ``route`` is the batch route that it concerns, if any."""


class Ingress:
    """Serves the frontend address; owned by the ``DataPlane``.

    States: *serving*; *draining* from ``close_connections``, when each response closes its connection and
    only requests that the ``DrainDeadline`` accepts are served; *stopped*. The ingress itself rejects a
    request only for an error of the client (4xx), or with 503 before the first configuration and during a
    drain, when another proxy can serve it.
    """

    def __init__(
        self,
        settings: Settings,
        cluster_view: ClusterView,
        forwarder: RequestForwarder,
        drain: DrainDeadline,
        losses: LossRecord,
        budget: ListenerBudget | None = None,
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._cluster_view = cluster_view
        self._forwarder = forwarder
        self._drain = drain
        self._losses = losses
        self._durations = RecentMaxDuration()
        self.batch_api: BatchApi | None = None
        self.arrivals = ArrivalRates()
        self.open_requests = 0
        self.last_active_at = 0.0  # event loop time at which a request last began or ended
        self._closes_connections = False
        self._runner: web.ServerRunner | None = None

    @property
    def limits(self) -> ClientLimits:
        """The limits of the current configuration, or the defaults before the first configuration."""
        configuration = self._cluster_view.configuration
        return configuration.limits if configuration else ClientLimits()

    async def start(self) -> None:
        """Listen on the frontend address. Raises ``OSError`` if it is in use."""
        server = ClientServer(self.handle, lambda: self.limits, self._budget, body_factor=self._body_factor)
        self._runner = await server.listen(self._settings.listen_addresses.frontend, SHUTDOWN_TIMEOUT_S)

    def _body_factor(self, message: RawRequestMessage) -> int:
        """Bytes of memory that a byte of the body takes until its request is answered."""
        configuration = self._cluster_view.configuration
        if configuration is None:
            return DEFAULT_BODY_FACTOR
        route = configuration.match(message.headers.get("Host", ""), message.path.partition("?")[0])
        return BATCH_BODY_FACTOR if route is not None and route.is_batch else DEFAULT_BODY_FACTOR

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def close_connections(self) -> None:
        """Make each response from now on close its connection."""
        self._closes_connections = True

    def closes_connections(self) -> bool:
        """Whether responses close their connections."""
        return self._closes_connections

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request; called by the server, cancelled if the client disconnects."""
        loop = asyncio.get_running_loop()
        self.open_requests += 1
        self.last_active_at = arrived_at = loop.time()
        try:
            return await self._read_and_route(request, arrived_at)
        except (ConnectionError, HttpProcessingError):
            raise  # caused by the client, which gets no response
        except Exception:  # noqa: BLE001  # top level of the handler
            _log.exception("request_failed", extra={"request_id": request.headers.get(REQUEST_ID, "")})
            return self._proxy_response(
                request, HTTPStatus.INTERNAL_SERVER_ERROR, "internal error", is_request_read=False
            )
        finally:
            self.open_requests -= 1
            self.last_active_at = loop.time()

    async def _read_and_route(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        try:
            body = await read_request_body(request, self.limits)
        except ClientRequestError as error:
            return self._proxy_response(
                request, error.status, error.reason, is_request_read=False, retry_after_s=error.retry_after_s
            )
        return await self._route(request, body, arrived_at)

    async def _route(self, request: web.BaseRequest, body: bytes, arrived_at: float) -> web.StreamResponse:
        configuration = self._cluster_view.configuration
        if configuration is None:
            return self._proxy_response(
                request,
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no configuration yet",
                retry_after_s=UNCONFIGURED_RETRY_AFTER_S,
            )
        path = request.raw_path.partition("?")[0]
        host = request.headers.get("Host", "")
        route = configuration.match(host, path)
        batch_route = find_batch_route(configuration, host) if path.startswith(BATCH_PATHS) else None
        if self.batch_api is not None and is_batch_api_request(request.method, path, route, batch_route):
            return await self._serve_batch(
                self.batch_api, request, body, batch_route if route is None else route
            )
        if route is None or route.is_batch:
            return self._proxy_response(request, HTTPStatus.NOT_FOUND, "no route")
        return await self._serve_live(request, body, route, arrived_at)

    async def _serve_live(
        self, request: web.BaseRequest, body: bytes, route: Route, arrived_at: float
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        self.arrivals.add(route.name, arrived_at)
        recent_max_s = self._durations.longest_s(route.name, arrived_at)
        if not self._drain.accepts(loop.time(), response_deadline(request, route, arrived_at), recent_max_s):
            self._losses.count(route.name, LossCause.DRAINING)
            return self._draining_response(request)
        try:
            return await self._forwarder.forward(request, body, route, arrived_at, self.closes_connections)
        finally:
            now = loop.time()
            self._durations.add(route.name, now - arrived_at, now)

    async def _serve_batch(
        self, api: BatchApi, request: web.BaseRequest, body: bytes, route: Route | None
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        if not self._drain.accepts(now, now + MAX_BATCH_CALL_S, 0.0):
            return self._draining_response(request)
        try:
            async with self._drain.limit():
                response = await api.handle(request, body, route)
        except TimeoutError:
            return self._proxy_response(request, HTTPStatus.GATEWAY_TIMEOUT, "this proxy is leaving")
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and route is not None:
            self._losses.count(route.name, LossCause.STORE_UNREACHABLE)
        if self._closes_connections:
            response.force_close()
        return response

    def _draining_response(self, request: web.BaseRequest) -> web.Response:
        return self._proxy_response(
            request,
            HTTPStatus.SERVICE_UNAVAILABLE,
            "this proxy is leaving",
            retry_after_s=DRAINING_RETRY_AFTER_S,
        )

    def _proxy_response(
        self,
        request: web.BaseRequest,
        status: HTTPStatus,
        text: str,
        *,
        is_request_read: bool = True,
        retry_after_s: float | None = None,
    ) -> web.Response:
        """A response of the proxy itself; closes the connection if the request was not read completely."""
        return proxy_response(
            status,
            text,
            request.headers.get(REQUEST_ID, ""),
            close=self._closes_connections or not is_request_read,
            retry_after_s=retry_after_s,
        )
