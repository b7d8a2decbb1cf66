"""One client's request and its one response, over all attempts at brokers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import web

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission import AdmissionRequest, AttemptOutcome, Reject
from cherrycove.tier.dataplane.admission_controller import AdmissionController, Permit
from cherrycove.tier.dataplane.attempt_outcomes import not_executed_outcome
from cherrycove.tier.dataplane.draining import DrainDeadline
from cherrycove.tier.dataplane.headers import EVENT_STREAM, EXPECT_VERSION, LAST_EVENT_ID, parse_unsigned
from cherrycove.tier.dataplane.loss_cause import RequestTimeline
from cherrycove.tier.dataplane.responses import buffered_response, proxy_response
from cherrycove.tier.dataplane.stream_relay import StreamRelay
from cherrycove.tier.dataplane.upstream import (
    NotExecuted,
    PossiblyExecuted,
    UpstreamClient,
    UpstreamRequest,
)
from cherrycove.tier.dataplane.upstream_response import IncompleteResponseError, UpstreamResponse

MAX_ATTEMPTS_STARTED = 24  # of one request, also those that brokers rejected
DEFAULT_RETRY_AFTER_S = 0.3
RESUME_BACKOFF_S = 0.1  # before a stream that has begun asks for a broker again


@attrs.frozen
class _AttemptResult:
    """What one attempt brought: the client's response, if it is final, and what admission learns."""

    response: web.StreamResponse | None
    outcome: AttemptOutcome


@attrs.define(eq=False, kw_only=True)
class ClientExchange:
    """The attempts of one request and its response; owned by the task that handles the request.

    A request that may have run is retried only if its route is idempotent, within the route's
    ``max_attempts`` (RFC 9110, 9.2.2); one that certainly has not run is sent to further brokers. Its
    response says 503 with ``Retry-After`` only if it has not run; otherwise 502 or 504, or the stream is
    broken off. At the deadline, or if the client leaves, the task is cancelled: the attempt's permit is
    released and its connection closed.
    """

    admission: AdmissionController
    upstream: UpstreamClient
    request: web.BaseRequest
    upstream_request: UpstreamRequest
    route: Route
    admission_request: AdmissionRequest
    timeline: RequestTimeline
    closes_connection: Callable[[], bool]
    drain: DrainDeadline
    _executions: int = attrs.field(default=0, init=False)  # brokers that may have run the request
    _is_undecided: bool = attrs.field(default=False, init=False)  # sent, and not known whether it runs
    is_complete: bool = attrs.field(default=False, init=False)  # the client has a broker's whole response
    _relay: StreamRelay = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        client_last_id = parse_unsigned(self.upstream_request.headers.get(LAST_EVENT_ID))
        self._relay = StreamRelay(
            self.request,
            client_last_id,
            is_resumable=self.route.resumable,
            closes_connection=self.closes_connection(),
        )

    async def run(self) -> web.StreamResponse:
        """The response, at the deadline at the latest."""
        try:
            async with self.drain.limit(self.admission_request.deadline):
                return await self._attempt_until_final()
        except TimeoutError:
            return self._failure_response(HTTPStatus.GATEWAY_TIMEOUT)

    async def _attempt_until_final(self) -> web.StreamResponse:
        while True:
            permit = await self.admission.acquire(self.admission_request, self.timeline)
            if isinstance(permit, Reject):
                if not self._relay.has_begun:
                    return self._failure_response(HTTPStatus.BAD_GATEWAY, permit.retry_after_s)
                await asyncio.sleep(RESUME_BACKOFF_S)  # its client has a part, and time is left for the rest
                continue
            response = await self._attempt(permit)
            if response is not None:
                return response
            if not self._may_retry():
                return self._failure_response(HTTPStatus.BAD_GATEWAY)

    def _may_retry(self) -> bool:
        if self.admission_request.attempts >= MAX_ATTEMPTS_STARTED:
            return False
        if self._executions == 0:
            return True
        return self.route.is_idempotent and self._executions < self.route.max_attempts

    async def _attempt(self, permit: Permit) -> web.StreamResponse | None:
        """One attempt; None if it brought no response for the client."""
        outcome = AttemptOutcome.CANCELLED
        try:
            async with asyncio.timeout(None) as stall_timeout:
                if self.route.is_idempotent and self._executions + 1 < self.route.max_attempts:
                    permit.on_stalled = lambda: stall_timeout.reschedule(0.0)
                result = await self._send(permit)
                outcome = result.outcome
                return result.response
        except TimeoutError:
            outcome = AttemptOutcome.STALLED
            self._count_execution()
            return None
        except IncompleteResponseError:
            outcome = AttemptOutcome.INCOMPLETE
            return None
        finally:
            permit.release(outcome)

    async def _send(self, permit: Permit) -> _AttemptResult:
        remaining_s = self.admission_request.deadline - asyncio.get_running_loop().time()
        self._is_undecided = True
        result = await self.upstream.send(permit.broker, self._next_request(), remaining_s)
        if isinstance(result, NotExecuted):
            self._is_undecided = False
            expects_version = EXPECT_VERSION in self.upstream_request.headers
            return _AttemptResult(None, not_executed_outcome(result.reason, expects_version=expects_version))
        self._count_execution()
        if isinstance(result, PossiblyExecuted):
            return _AttemptResult(None, AttemptOutcome.INCOMPLETE)
        try:
            return _AttemptResult(await self._forward(result.response, permit), AttemptOutcome.SERVED)
        finally:
            result.response.close()

    def _count_execution(self) -> None:
        if self._is_undecided:
            self._is_undecided = False
            self._executions += 1

    def _next_request(self) -> UpstreamRequest:
        """The request; where a stream has begun it asks for what follows the client's last event."""
        if not self._relay.has_begun or self._relay.last_id is None:
            return self.upstream_request
        headers = self.upstream_request.headers.copy()
        headers[LAST_EVENT_ID] = str(self._relay.last_id)
        return attrs.evolve(self.upstream_request, headers=headers)

    async def _forward(self, upstream: UpstreamResponse, permit: Permit) -> web.StreamResponse | None:
        """Forward a broker's response; None if the request may be retried instead."""
        permit.response_started(upstream.load)
        if upstream.is_success and upstream.media_type == EVENT_STREAM:
            response = await self._relay.feed(upstream, permit.body_received)
            self.is_complete = True
            return response
        body = await upstream.read()
        permit.body_received()
        if self._relay.has_begun or (
            upstream.status == HTTPStatus.INTERNAL_SERVER_ERROR and self._may_retry()
        ):
            return None
        self.is_complete = upstream.is_success
        if not self.is_complete:
            self.timeline.broker_failed()
        return buffered_response(upstream, body, close=self.closes_connection())

    def _failure_response(
        self, status: HTTPStatus, retry_after_s: float = DEFAULT_RETRY_AFTER_S
    ) -> web.StreamResponse:
        """The final response where no broker gave one: ``status`` if the request may have run, else 503."""
        if self._relay.has_begun:
            return self._relay.abort()
        request_id = self.upstream_request.request_id
        close = self.closes_connection()
        if self._executions or self._is_undecided:
            return proxy_response(status, "no whole answer came", request_id, close=close)
        return proxy_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no broker has room",
            request_id,
            close=close,
            retry_after_s=retry_after_s,
        )
