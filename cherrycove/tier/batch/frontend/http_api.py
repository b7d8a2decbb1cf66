"""Serves batch jobs to clients over HTTP: submit a job, read results, read an item's body, end a job.

The status says how certain the outcome is: 503 if a job was certainly not accepted, 504 if that is unknown,
and 404 only if the primary of the store group found no such job while its lease was valid.
"""

from __future__ import annotations

from functools import partial

from aiohttp import web
from result import Err

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.frontend.result_page import render_page
from cherrycove.tier.batch.frontend.submission import parse_submission
from cherrycove.tier.configuration import Route
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.listener.client_server import reserve_for, reserve_within
from cherrycove.tier.listener.json_cost import decoded_cost_bytes
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.reply_memory import reserving_received_replies

JOBS_PREFIX = "/api/lots/"  # the job id follows
ITEMS_PREFIX = "/api/items/"  # the job id follows; the item id is a query parameter
JOB_ID_HEADER = "Request-Id"
WAIT_HEADER = "Wait-Ms"
DEADLINE_HEADER = "Deadline-Ms"
CURSOR_PARAMETER = "pageCursor"
ITEM_ID_PARAMETER = "instanceId"

MAX_BATCH_CALL_S = 3.0  # longest time for which a client's call is held open
SUBMIT_BUDGET_S = 2.0
READ_BUDGET_S = 1.0  # added to the time that the client asked to wait
END_BUDGET_S = 2.0
DEADLINE_FRACTION = 0.9  # fraction of the client's deadline that is used, so that the answer arrives in time
MAX_WAIT_MS = int((MAX_BATCH_CALL_S - READ_BUDGET_S) * 1000)
MAX_CURSOR = 2**32 - 1
MAX_MILLISECONDS = 2**31
JSON_TYPE = "application/json"


class BatchApi:
    """Answers requests on batch routes, and calls under ``JOBS_PREFIX`` and ``ITEMS_PREFIX``."""

    def __init__(self, client: BatchClient, cluster_view: ClusterView) -> None:
        self._client = client
        self._cluster_view = cluster_view

    async def handle(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.StreamResponse:
        """Answer one request with its full ``body``. ``route`` is the batch route that it matches, if any."""
        with reserving_received_replies(partial(reserve_for, request)):
            return await self._answer(request, body, route)

    async def _answer(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.Response:
        method, path = request.method, request.path
        if path.startswith(JOBS_PREFIX) and method == "GET":
            return await self._read(request, path.removeprefix(JOBS_PREFIX))
        if path.startswith(JOBS_PREFIX) and method == "DELETE":
            return await self._end(request, path.removeprefix(JOBS_PREFIX))
        if path.startswith(ITEMS_PREFIX) and method == "GET":
            return await self._body(request, path.removeprefix(ITEMS_PREFIX))
        if route is None:
            return _error_response(Failure(ErrorKind.NO_ROUTE, "no batch route matches"))
        if method != "POST":
            return _error_response(Failure(ErrorKind.INVALID, "batch jobs come by POST"))
        return await self._submit(request, body, route)

    async def _submit(self, request: web.BaseRequest, body: bytes, route: Route) -> web.Response:
        if not await reserve_within(request, decoded_cost_bytes(body), SUBMIT_BUDGET_S):
            return _error_response(Failure(ErrorKind.OVERLOADED, "no memory now"))
        parsed = parse_submission(request.headers.get(JOB_ID_HEADER, ""), route, body)
        if isinstance(parsed, Err):
            return _error_response(parsed.err_value)
        submission = parsed.ok_value
        configuration = self._cluster_view.configuration
        submission.configuration_version = configuration.version if configuration is not None else 0
        outcome = await self._client.submit(submission, _budget_s(request, SUBMIT_BUDGET_S))
        if isinstance(outcome, Err):
            return _error_response(_write_failure(outcome.err_value))
        return web.Response(status=202, text="{}", content_type=JSON_TYPE)

    async def _read(self, request: web.BaseRequest, job_id: str) -> web.Response:
        cursor = _parse_integer(request.query.get(CURSOR_PARAMETER, "0"), MAX_CURSOR)
        wait_ms = _parse_integer(request.headers.get(WAIT_HEADER, "0"), MAX_MILLISECONDS)
        if cursor is None or wait_ms is None or not job_id:
            reason = f"{CURSOR_PARAMETER} and {WAIT_HEADER} must be whole numbers"
            return _error_response(Failure(ErrorKind.INVALID, reason))
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        call = pb.ReadRequest(job_id=job_id, cursor=cursor, wait_ms=wait_ms)
        outcome = await self._client.read(call, wait_ms / 1000.0 + READ_BUDGET_S)
        if isinstance(outcome, Err):
            return _error_response(_read_failure(outcome.err_value))
        return web.Response(body=render_page(outcome.ok_value, cursor), content_type=JSON_TYPE)

    async def _body(self, request: web.BaseRequest, job_id: str) -> web.Response:
        call = pb.BodyRequest(job_id=job_id, item_id=request.query.get(ITEM_ID_PARAMETER, ""))
        outcome = await self._client.body(call, _budget_s(request, READ_BUDGET_S))
        if isinstance(outcome, Err):
            return _error_response(_read_failure(outcome.err_value))
        return web.Response(body=outcome.ok_value.body, content_type="application/octet-stream")

    async def _end(self, request: web.BaseRequest, job_id: str) -> web.Response:
        outcome = await self._client.end(pb.EndRequest(job_id=job_id), _budget_s(request, END_BUDGET_S))
        if isinstance(outcome, Err):
            return _error_response(_write_failure(outcome.err_value))
        return web.Response(text="{}", content_type=JSON_TYPE)


def _budget_s(request: web.BaseRequest, default_s: float) -> float:
    """Return the time budget of a call: ``default_s``, or less if the client sent a shorter deadline."""
    deadline_ms = _parse_integer(request.headers.get(DEADLINE_HEADER, ""), MAX_MILLISECONDS)
    if not deadline_ms:
        return default_s
    return min(default_s, deadline_ms * DEADLINE_FRACTION / 1000.0)


def _parse_integer(text: str, maximum: int) -> int | None:
    """Return the number in ``text``, capped at ``maximum``.

    None if ``text`` is empty, has characters other than digits, or has more digits than ``maximum``.
    """
    if not text.isascii() or not text.isdigit() or len(text) > len(str(maximum)):
        return None
    return min(int(text), maximum)


def _write_failure(failure: Failure) -> Failure:
    """Map an uncertain failure of a write to status 504, which leaves open whether the write took effect."""
    return failure if failure.had_no_effect else Failure(ErrorKind.DEADLINE, failure.detail)


def _read_failure(failure: Failure) -> Failure:
    """Map an uncertain failure of a read to status 503, because a read can always be retried."""
    return failure if failure.had_no_effect else Failure(ErrorKind.UNAVAILABLE, failure.detail)


def _error_response(failure: Failure) -> web.Response:
    answer = failure.response
    headers = {} if answer.retry_after_s is None else {"Retry-After": str(answer.retry_after_s)}
    return web.Response(status=answer.status, text=failure.detail, headers=headers)
