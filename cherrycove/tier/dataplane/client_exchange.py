"""One client request and its response, across all attempts at brokers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from math import inf

import attrs
from aiohttp import web

from cherrycove.broker.timeouts import ArrivalTimeout
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
    SendProgress,
    UpstreamClient,
    UpstreamRequest,
)
from cherrycove.tier.dataplane.upstream_response import IncompleteResponseError, UpstreamResponse
from cherrycove.tier.listener.client_server import connection_of, reserve_for

_log = logging.getLogger(__name__)

MAX_ATTEMPTS_STARTED = 24  # per request, including attempts that brokers rejected
MIN_RETRY_AFTER_S = 0.01
RESPONSE_COPIES = 2  # in memory at a time, of a response that is not streamed


@attrs.frozen
class _AttemptResult:
    """The result of one attempt: the final response to the client, if any, and the outcome for admission."""

    response: web.StreamResponse | None
    outcome: AttemptOutcome


@attrs.define(eq=False, kw_only=True)
class ClientExchange:
    """The attempts of one request and its response; owned by the task that handles the request.

    A request that may have been executed is retried only if its route is idempotent, within the route's
    ``max_attempts`` (RFC 9110, 9.2.2); one that certainly was not executed is sent to further brokers. On
    failure the client gets 503 with ``Retry-After`` only if the request was not executed; otherwise it gets
    502 or 504, or its stream is aborted. At the deadline, or if the client disconnects, the task is
    cancelled: the attempt's permit is released and its connection closed.
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
    _executions: int = attrs.field(default=0, init=False)  # brokers that may have executed the request
    _progress: SendProgress | None = attrs.field(default=None, init=False)  # of an attempt not counted there
    is_complete: bool = attrs.field(default=False, init=False)  # a success response was forwarded in full
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
        """Return the response, at the deadline at the latest."""
        try:
            async with self.drain.limit(self.admission_request.deadline) as limit:
                return await self._attempt_until_final(limit)
        except TimeoutError:
            return self._failure_response(HTTPStatus.GATEWAY_TIMEOUT)
        except ConnectionError:
            raise  # the client's connection was lost
        except Exception:  # noqa: BLE001  # what is known of the request's attempts decides the response
            self._log_unforeseen_error()
            if self._progress is not None:
                self._count_execution()  # the error may have come before the progress was recorded
            return self._failure_response(HTTPStatus.BAD_GATEWAY)

    def _log_unforeseen_error(self) -> None:
        details = {
            "request_id": self.upstream_request.request_id,
            "route": self.route.name,
            "attempts": self.admission_request.attempts,
            "executions": self._executions + (self._progress is not None),
        }
        _log.exception("request_failed", extra=details)

    async def _attempt_until_final(self, limit: ArrivalTimeout) -> web.StreamResponse:
        while True:
            if self._relay.has_begun:  # its client, which has the first events, waits until the deadline
                self.admission_request.silence_limit_s = inf
            permit = await self._acquire(limit)
            if isinstance(permit, Reject):
                return self._failure_response(HTTPStatus.BAD_GATEWAY, permit.retry_after_s)
            response = await self._attempt(permit)
            if response is not None:
                return response
            if not self._may_retry():
                return self._failure_response(HTTPStatus.BAD_GATEWAY)

    async def _acquire(self, limit: ArrivalTimeout) -> Permit | Reject:
        """Wait for a broker; meanwhile the request may be refused in favour of clients that hold less."""
        connection = connection_of(self.request)
        if connection is not None and not self._executions and not self._relay.has_begun:
            connection.give_way_early = partial(_expire, limit)
        try:
            return await self.admission.acquire(self.admission_request, self.timeline)
        finally:
            if connection is not None:
                connection.give_way_early = None

    async def _reserve_response(self, size: int) -> None:
        """Reserve memory for a response, which the client may read slowly, before it is received."""
        await reserve_for(self.request, RESPONSE_COPIES * size)

    def _may_retry(self) -> bool:
        if self.admission_request.attempts >= MAX_ATTEMPTS_STARTED:
            return False
        if self._executions == 0:
            return True
        return self.route.is_idempotent and self._executions < self.route.max_attempts

    async def _attempt(self, permit: Permit) -> web.StreamResponse | None:
        """Run one attempt; None if it gave no response for the client."""
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
            if self._has_begun_sending():
                self._count_execution()
            return None
        except IncompleteResponseError:
            outcome = AttemptOutcome.INCOMPLETE
            return None
        finally:
            permit.release(outcome)

    async def _send(self, permit: Permit) -> _AttemptResult:
        remaining_s = self.admission_request.deadline - asyncio.get_running_loop().time()
        self._progress = SendProgress()
        result = await self.upstream.send(permit.broker, self._next_request(), remaining_s, self._progress)
        if isinstance(result, NotExecuted):
            self._progress = None
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
        """Count the current attempt, whose broker may have executed the request."""
        self._progress = None
        self._executions += 1

    def _has_begun_sending(self) -> bool:
        """Whether there is an attempt that is not counted yet and whose broker may have the request."""
        return self._progress is not None and self._progress.has_begun

    def _next_request(self) -> UpstreamRequest:
        """The request to send; for a stream that has begun, it resumes after the client's last event."""
        if not self._relay.has_begun or self._relay.last_id is None:
            return self.upstream_request
        headers = self.upstream_request.headers.copy()
        headers[LAST_EVENT_ID] = str(self._relay.last_id)
        return attrs.evolve(self.upstream_request, headers=headers)

    async def _forward(self, upstream: UpstreamResponse, permit: Permit) -> web.StreamResponse | None:
        """Forward a broker's response; None if the request may be retried instead."""
        permit.response_started(upstream.load)
        if upstream.is_success and upstream.media_type == EVENT_STREAM:
            response = await self._relay.forward(upstream, permit.body_received)
            self.is_complete = True
            return response
        body = await upstream.read(self._reserve_response)
        permit.body_received()
        if self._relay.has_begun or (
            upstream.status == HTTPStatus.INTERNAL_SERVER_ERROR and self._may_retry()
        ):
            return None
        self.is_complete = upstream.is_success
        if not self.is_complete:
            self.timeline.broker_failed()
        return buffered_response(upstream, body, close=self.closes_connection())

    def _failure_response(self, status: HTTPStatus, retry_after_s: float | None = None) -> web.StreamResponse:
        """The final response if no broker gave one: ``status`` if one may have run the request, else 503."""
        if self._relay.has_begun:
            return self._relay.abort()
        if retry_after_s is None:
            retry_after_s = self.admission.retry_after_s(self.admission_request)
        request_id = self.upstream_request.request_id
        close = self.closes_connection()
        if self._executions or self._has_begun_sending():
            return proxy_response(status, "no whole answer came", request_id, close=close)
        return proxy_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "no broker has room",
            request_id,
            close=close,
            retry_after_s=max(retry_after_s, MIN_RETRY_AFTER_S),
        )


def _expire(limit: ArrivalTimeout) -> None:
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time())
