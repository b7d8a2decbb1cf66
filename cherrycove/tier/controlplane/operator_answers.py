"""Defines the results of the operator's HTTP interface and converts them to HTTP responses."""

from __future__ import annotations

import attrs
from aiohttp import web

from cherrycove.tier.controlplane.retirement import RetireState
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument

JSON_TYPE = "application/json"


@attrs.frozen
class Accepted:
    """Reports that the operator's request is committed."""


@attrs.frozen
class CurrentConfiguration:
    """Holds the newest configuration, as the operator sent it."""

    document: ConfigurationDocument


@attrs.frozen
class RetireStatus:
    """Holds the progress of a retire order."""

    state: RetireState


OperatorAnswer = Accepted | CurrentConfiguration | RetireStatus


def success_response(answer: OperatorAnswer) -> web.Response:
    """Return the response with status 200 for ``answer``."""
    if isinstance(answer, CurrentConfiguration):
        return web.Response(
            body=answer.document.document,
            content_type=JSON_TYPE,
            headers={"ETag": f'"{answer.document.version}"'},
        )
    if isinstance(answer, RetireStatus):
        return web.json_response({"state": answer.state.value})
    return web.json_response({})


def failure_response(failure: Failure, raw_path: str, port: int) -> web.Response:
    """Return the response for ``failure`` of a request for ``raw_path``.

    If another controller is known to be the primary, this is a 307 redirect to the same path on its host, at
    this interface's ``port``. Otherwise ``errors.py`` defines the status and Retry-After for the kind of
    failure.
    """
    body = {"error": failure.kind.value, "detail": failure.detail}
    if failure.kind is ErrorKind.NOT_PRIMARY and failure.primary:
        host = failure.primary.rpartition(":")[0]
        location = f"http://{host}:{port}{raw_path}"
        return web.json_response(body, status=307, headers={"Location": location})
    answer = failure.response
    headers = {} if answer.retry_after_s is None else {"Retry-After": f"{answer.retry_after_s:g}"}
    return web.json_response(body, status=answer.status, headers=headers)
