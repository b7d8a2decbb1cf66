"""The batch interface to clients: submit, read results, read a body, end.

Answers follow what is certain: 503 where a job was certainly not taken, 504 where that is unknown, 404 only
where the primary of the stores said so under a valid lease.
"""

from __future__ import annotations

import json

from aiohttp import web
from result import Err

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.frontend.submission import parse_submission
from cherrycove.tier.configuration import Route
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ANSWERS, ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb

LOTS_PREFIX = "/api/lots/"
ITEMS_PREFIX = "/api/items/"
MAX_BATCH_CALL_S = 3.0  # that a call of a client is kept open
SUBMIT_BUDGET_S = 2.0
READ_BUDGET_S = 1.0  # beyond the time that a read may be held
END_BUDGET_S = 2.0
DEADLINE_SHARE = 0.9  # of the client's deadline, so that the answer still reaches it
MAX_WAIT_MS = int((MAX_BATCH_CALL_S - READ_BUDGET_S) * 1000)
MAX_PAGE_BYTES = 1_000_000
PAGE_ENVELOPE_BYTES = 200
MAX_CURSOR = 2**32 - 1
JSON_TYPE = "application/json"


class BatchApi:
    """Handles requests on batch routes, and calls under ``/api/lots/`` and ``/api/items/``."""

    def __init__(self, client: BatchClient, views: ClusterView) -> None:
        self._client = client
        self._views = views

    async def handle(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.StreamResponse:
        """Answer one request whose body is read. ``route`` is the batch route that it matches, if any."""
        method, path = request.method, request.path
        if path.startswith(LOTS_PREFIX) and method == "GET":
            return await self._read(request, path.removeprefix(LOTS_PREFIX))
        if path.startswith(LOTS_PREFIX) and method == "DELETE":
            return await self._end(request, path.removeprefix(LOTS_PREFIX))
        if path.startswith(ITEMS_PREFIX) and method == "GET":
            return await self._body(request, path.removeprefix(ITEMS_PREFIX))
        if route is None:
            return _failure(Failure(ErrorKind.NO_ROUTE, "no batch route matches"))
        if method != "POST":
            return _failure(Failure(ErrorKind.INVALID, "batch jobs come by POST"))
        return await self._submit(request, body, route)

    async def _submit(self, request: web.BaseRequest, body: bytes, route: Route) -> web.Response:
        job_id = request.headers.get("Request-Id", "")
        parsed = parse_submission(job_id, route, body)
        if isinstance(parsed, Err):
            return _failure(parsed.err_value)
        configuration = self._views.configuration
        parsed.ok_value.configuration_version = configuration.version if configuration is not None else 0
        answer = await self._client.submit(parsed.ok_value, _budget(request, SUBMIT_BUDGET_S))
        if isinstance(answer, Err):
            return _failure(_of_unknown_outcome(answer.err_value))
        return web.Response(status=202, text="{}", content_type=JSON_TYPE)

    async def _read(self, request: web.BaseRequest, job_id: str) -> web.Response:
        cursor = _whole_number(request.query.get("pageCursor", "0"), MAX_CURSOR)
        wait_ms = _whole_number(request.headers.get("Wait-Ms", "0"), 2**31)
        if cursor is None or wait_ms is None or not job_id:
            return _failure(Failure(ErrorKind.INVALID, "pageCursor and Wait-Ms must be whole numbers"))
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        call = pb.ReadRequest(job_id=job_id, cursor=cursor, wait_ms=wait_ms)
        answer = await self._client.read(call, wait_ms / 1000.0 + READ_BUDGET_S)
        if isinstance(answer, Err):
            return _failure(_of_read(answer.err_value))
        return web.Response(body=render_page(answer.ok_value, cursor), content_type=JSON_TYPE)

    async def _body(self, request: web.BaseRequest, job_id: str) -> web.Response:
        call = pb.BodyRequest(job_id=job_id, item_id=request.query.get("instanceId", ""))
        answer = await self._client.body(call, _budget(request, READ_BUDGET_S))
        if isinstance(answer, Err):
            return _failure(_of_read(answer.err_value))
        return web.Response(body=answer.ok_value.body, content_type="application/octet-stream")

    async def _end(self, request: web.BaseRequest, job_id: str) -> web.Response:
        answer = await self._client.end(pb.EndRequest(job_id=job_id), _budget(request, END_BUDGET_S))
        if isinstance(answer, Err):
            return _failure(_of_unknown_outcome(answer.err_value))
        return web.Response(text="{}", content_type=JSON_TYPE)


def render_page(reply: pb.ReadReply, cursor: int) -> bytes:
    """The JSON of one page of results: as many as fit, and at least one if there is one."""
    entries: list[bytes] = []
    size = PAGE_ENVELOPE_BYTES
    for result in reply.results:
        entry = _render_result(result)
        size += len(entry) + 1
        if entries and size > MAX_PAGE_BYTES:
            break
        entries.append(entry)
    head = b'{"total":%d,"nextPageToken":%d,"results":[' % (reply.total, cursor + len(entries))
    return head + b",".join(entries) + b"]}"


def _render_result(result: pb.ResultEntry) -> bytes:
    entry = {
        "instanceId": result.item_id,
        "state": "completed" if result.completed else "dead_lettered",
        "message": result.text.decode("utf-8", "replace"),
    }
    return json.dumps(entry, ensure_ascii=False, separators=(",", ":")).encode()


def _budget(request: web.BaseRequest, budget_s: float) -> float:
    """Time for a call, within what the client waits."""
    deadline_ms = _whole_number(request.headers.get("Deadline-Ms", ""), 2**31)
    if not deadline_ms:
        return budget_s
    return min(budget_s, deadline_ms * DEADLINE_SHARE / 1000.0)


def _whole_number(text: str, highest: int) -> int | None:
    if not text.isascii() or not text.isdigit() or len(text) > len(str(highest)):
        return None
    return min(int(text), highest)


def _of_unknown_outcome(failure: Failure) -> Failure:
    """A change that may have been made gets no answer that promises otherwise."""
    return failure if failure.is_certain else Failure(ErrorKind.DEADLINE, failure.detail)


def _of_read(failure: Failure) -> Failure:
    """A read that failed may always be repeated."""
    return failure if failure.is_certain else Failure(ErrorKind.UNAVAILABLE, failure.detail)


def _failure(failure: Failure) -> web.Response:
    answer = ANSWERS[failure.kind]
    headers = {} if answer.retry_after_s is None else {"Retry-After": str(answer.retry_after_s)}
    return web.Response(status=answer.status, text=failure.detail, headers=headers)
