"""Creates the exchange of each live request: chooses its service, and sets its deadline and prompt."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf

from aiohttp import web

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission import AdmissionRequest
from cherrycove.tier.dataplane.admission_controller import AdmissionController
from cherrycove.tier.dataplane.client_exchange import ClientExchange
from cherrycove.tier.dataplane.draining import DrainDeadline
from cherrycove.tier.dataplane.headers import DEADLINE_MS, REQUEST_ID, end_to_end_headers, parse_unsigned
from cherrycove.tier.dataplane.loss_cause import RequestTimeline
from cherrycove.tier.dataplane.loss_record import LossRecord
from cherrycove.tier.dataplane.prompt import parse_prompt
from cherrycove.tier.dataplane.upstream import UpstreamClient, UpstreamRequest

RESPONSE_MARGIN_S = 0.02  # before the client's deadline, for the transfer of the response
# A client gives a stream up after the longest of these silences (PROTOCOL, "Requests").
MIN_SILENCE_LIMIT_S = 2.0
SILENCE_TARGET_LATENCIES = 4.0
SILENCE_TARGET_PAUSES = 8.0


def response_deadline(request: web.BaseRequest, route: Route, arrived_at: float) -> float:
    """When a request is answered at the latest: the earlier of its client's and its route's timeout."""
    timeout_ms = min(_client_timeout_ms(request, route), route.timeout_ms)
    return arrived_at + timeout_ms / 1000 - RESPONSE_MARGIN_S


def silence_limit_s(route: Route) -> float:
    """How long a client waits for an event of a stream, its first one included; inf on other routes."""
    if route.route_kind != "streaming":
        return inf
    return max(
        MIN_SILENCE_LIMIT_S,
        SILENCE_TARGET_LATENCIES * route.target_latency_ms / 1000,
        SILENCE_TARGET_PAUSES * route.gap_aim_ms / 1000,
    )


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of the route's services at random, by their weights."""
    services = [split.service for split in route.splits]
    weights = [split.weight for split in route.splits]
    return rng.choices(services, weights)[0]


class RequestForwarder:
    """Runs a ``ClientExchange`` for each live request; owned by the ``DataPlane``."""

    def __init__(
        self,
        admission: AdmissionController,
        upstream: UpstreamClient,
        rng: random.Random,
        drain: DrainDeadline,
        losses: LossRecord,
    ) -> None:
        self._admission = admission
        self._upstream = upstream
        self._rng = rng
        self._drain = drain
        self._losses = losses

    async def forward(
        self,
        request: web.BaseRequest,
        body: bytes,
        route: Route,
        arrived_at: float,
        closes_connection: Callable[[], bool],
    ) -> web.StreamResponse:
        """Return the response to a request; ``closes_connection`` says whether it closes its connection."""
        timeline = RequestTimeline(
            due_at=arrived_at + route.target_latency_ms / 1000,
            pause_target_s=route.gap_aim_ms / 1000 if route.gap_aim_ms else inf,
        )
        exchange = ClientExchange(
            admission=self._admission,
            upstream=self._upstream,
            request=request,
            upstream_request=_upstream_request(request, body, route),
            route=route,
            admission_request=self._admission_request(request, route, arrived_at),
            timeline=timeline,
            closes_connection=closes_connection,
            drain=self._drain,
        )
        try:
            return await exchange.run()
        except asyncio.CancelledError:
            timeline.client_disconnected()
            raise
        finally:
            cause = timeline.loss(asyncio.get_running_loop().time(), is_complete=exchange.is_complete)
            if cause is not None:
                self._losses.count(route.name, cause)

    def _admission_request(
        self, request: web.BaseRequest, route: Route, arrived_at: float
    ) -> AdmissionRequest:
        return AdmissionRequest(
            route=route.name,
            service=choose_service(route, self._rng),
            arrived_at=arrived_at,
            target_latency_s=route.target_latency_ms / 1000,
            deadline=min(response_deadline(request, route, arrived_at), self._drain.at),
            silence_limit_s=silence_limit_s(route),
            prompt=parse_prompt(request.headers),
        )


def _upstream_request(request: web.BaseRequest, body: bytes, route: Route) -> UpstreamRequest:
    return UpstreamRequest(
        request_id=request.headers.get(REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        headers=end_to_end_headers(request.headers),
        body=body,
        is_idempotent=route.is_idempotent,
    )


def _client_timeout_ms(request: web.BaseRequest, route: Route) -> float:
    """How long the client waits: its ``Deadline-Ms``, or the route's timeout if it sent none."""
    client_timeout_ms = parse_unsigned(request.headers.get(DEADLINE_MS))
    return route.timeout_ms if client_timeout_ms is None else client_timeout_ms
