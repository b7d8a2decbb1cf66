"""One live request, from its arrival to its one answer.

It owns how often a request is sent and which answer ends it. It must never send a request again that may
have run unless its route allows that, and never answer with a promise (429, 503) then.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs
from aiohttp import web

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission import AdmissionRequest, AttemptOutcome, Reject
from cherrycove.tier.dataplane.admission_controller import AdmissionController, Permit
from cherrycove.tier.dataplane.draining import DrainDeadline
from cherrycove.tier.dataplane.headers import (
    DEADLINE_MS,
    EVENT_STREAM,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    REQUEST_ID,
    end_to_end_headers,
    parse_unsigned,
)
from cherrycove.tier.dataplane.prompt import parse_prompt
from cherrycove.tier.dataplane.stream_relay import StreamRelay, buffered_response, proxy_response
from cherrycove.tier.dataplane.upstream import (
    IncompleteResponseError,
    NotExecuted,
    NotExecutedReason,
    PossiblyExecuted,
    UpstreamClient,
    UpstreamRequest,
    UpstreamResponse,
)

MARGIN_S = 0.02  # ahead of the client's deadline, for the answer's way
MOST_SENDS = 24  # of one request, also those that were refused
RETRY_AFTER_S = 0.3  # advised where nothing better is known
RESUME_PAUSE_S = 0.1  # before a stream that has begun asks again for a broker
SERVER_ERROR = 500

NOT_EXECUTED_OUTCOMES = {
    NotExecutedReason.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    NotExecutedReason.REJECTED: AttemptOutcome.REJECTED,
    NotExecutedReason.OTHER_INSTANCE: AttemptOutcome.MISDIRECTED,
}


def response_deadline(request: web.BaseRequest, route: Route, arrived: float) -> float:
    """When a request is answered at the latest: within its client's deadline and its route's timeout."""
    patience_ms = parse_unsigned(request.headers.get(DEADLINE_MS))
    held_ms = route.timeout_ms if patience_ms is None else min(patience_ms, route.timeout_ms)
    return arrived + held_ms / 1000 - MARGIN_S


class RequestForwarder:
    """Serves live requests through admission and the connections to brokers."""

    def __init__(
        self,
        admission: AdmissionController,
        upstream: UpstreamClient,
        rng: random.Random,
        drain: DrainDeadline,
    ) -> None:
        self._admission = admission
        self._upstream = upstream
        self._rng = rng
        self._drain = drain

    async def handle(
        self, request: web.BaseRequest, body: bytes, route: Route, arrived: float, closing: Callable[[], bool]
    ) -> web.StreamResponse:
        """The answer to ``request``; ``closing`` tells whether its connection should end with it."""
        upstream_request = UpstreamRequest(
            request.headers.get(REQUEST_ID, ""), request.method, request.raw_path,
            end_to_end_headers(request.headers), body, route.is_idempotent,
        )  # fmt: skip
        exchange = ClientExchange(
            admission=self._admission, upstream=self._upstream, request=request,
            upstream_request=upstream_request, route=route,
            admission_request=self._admission_request(request, route, arrived),
            closing=closing, drain=self._drain,
        )  # fmt: skip
        return await exchange.run()

    def _admission_request(self, request: web.BaseRequest, route: Route, arrived: float) -> AdmissionRequest:
        patience_ms = parse_unsigned(request.headers.get(DEADLINE_MS))
        return AdmissionRequest(
            route=route.name, service=self._service(route), arrived_at=arrived,
            target_latency_s=route.target_latency_ms / 1000,
            deadline=min(response_deadline(request, route, arrived), self._drain.at),
            client_timeout_s=(route.timeout_ms if patience_ms is None else patience_ms) / 1000,
            prompt=parse_prompt(request.headers),
        )  # fmt: skip

    def _service(self, route: Route) -> str:
        splits = route.splits
        return self._rng.choices([each.service for each in splits], [each.weight for each in splits])[0]


@attrs.define(eq=False, kw_only=True)
class ClientExchange:
    """The sends of one request and its answer."""

    admission: AdmissionController
    upstream: UpstreamClient
    request: web.BaseRequest
    upstream_request: UpstreamRequest
    route: Route
    admission_request: AdmissionRequest
    closing: Callable[[], bool]
    drain: DrainDeadline
    ran: int = 0  # brokers that may have run it
    in_flight: bool = False  # sent, and nothing is known yet
    relay: StreamRelay = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        own_last_id = parse_unsigned(self.upstream_request.headers.get(LAST_EVENT_ID))
        self.relay = StreamRelay(self.request, own_last_id, self.route.resumable, self.closing())

    async def run(self) -> web.StreamResponse:
        try:
            async with self.drain.limit(self.admission_request.deadline):
                return await self._serve()
        except TimeoutError:
            return self._failed(504)

    async def _serve(self) -> web.StreamResponse:
        while True:
            permit = await self.admission.acquire(self.admission_request)
            if isinstance(permit, Reject):
                if not self.relay.begun:
                    return self._failed(502, permit.retry_after_s)
                await asyncio.sleep(RESUME_PAUSE_S)  # its client has a part, and time is left for the others
                continue
            response = await self._attempt(permit)
            if response is not None:
                return response
            if not self._may_go_on():
                return self._failed(502)

    def _may_go_on(self) -> bool:
        if self.admission_request.attempts >= MOST_SENDS:
            return False
        return self.ran == 0 or (self.route.is_idempotent and self.ran < self.route.max_attempts)

    async def _attempt(self, permit: Permit) -> web.StreamResponse | None:
        """One send; None if it gave no answer for the client."""
        ending = AttemptOutcome.CANCELLED
        try:
            async with asyncio.timeout(None) as patience:
                if self.route.is_idempotent and self.ran + 1 < self.route.max_attempts:
                    permit.on_stalled = lambda: patience.reschedule(0.0)
                response, ending = await self._send(permit)
                return response
        except TimeoutError:
            ending = AttemptOutcome.STALLED
            self._count_run()
            return None
        except IncompleteResponseError:
            ending = AttemptOutcome.INCOMPLETE
            return None
        finally:
            permit.finish(ending)

    async def _send(self, permit: Permit) -> tuple[web.StreamResponse | None, AttemptOutcome]:
        remaining_s = self.admission_request.deadline - asyncio.get_running_loop().time()
        self.in_flight = True
        outcome = await self.upstream.send(permit.broker, self._resuming(), remaining_s)
        if isinstance(outcome, NotExecuted):
            self.in_flight = False
            return None, self._not_run(outcome.reason)
        self._count_run()
        if isinstance(outcome, PossiblyExecuted):
            return None, AttemptOutcome.INCOMPLETE
        try:
            return await self._pass_on(outcome.answer, permit), AttemptOutcome.SERVED
        finally:
            outcome.answer.close()

    def _not_run(self, reason: NotExecutedReason) -> AttemptOutcome:
        if reason is NotExecutedReason.OTHER_INSTANCE and EXPECT_VERSION in self.upstream_request.headers:
            return (
                AttemptOutcome.VERSION_MISMATCH
            )  # the same status says that the weights have another version
        return NOT_EXECUTED_OUTCOMES[reason]

    def _count_run(self) -> None:
        if self.in_flight:
            self.in_flight = False
            self.ran += 1

    def _resuming(self) -> UpstreamRequest:
        if not self.relay.begun or self.relay.last_id is None:
            return self.upstream_request
        headers = self.upstream_request.headers.copy()
        headers[LAST_EVENT_ID] = str(self.relay.last_id)
        return attrs.evolve(self.upstream_request, headers=headers)

    async def _pass_on(self, answer: UpstreamResponse, permit: Permit) -> web.StreamResponse | None:
        permit.response_started(answer.load)
        if answer.status // 100 == 2 and answer.media_type == EVENT_STREAM:
            return await self.relay.feed(answer, permit.body_received)
        body = await answer.read()
        permit.body_received()
        if self.relay.begun or (answer.status == SERVER_ERROR and self._may_go_on()):
            return None
        return buffered_response(answer, body, self.closing())

    def _failed(self, status: int, retry_after_s: float = RETRY_AFTER_S) -> web.StreamResponse:
        """The final answer where no broker gave one; a promise only if the request has not run."""
        if self.relay.begun:
            return self.relay.abort()
        identity = self.upstream_request.request_id
        if self.ran or self.in_flight:
            return proxy_response(status, "no whole answer came", identity, self.closing())
        return proxy_response(503, "no broker has room", identity, self.closing(), retry_after_s)
