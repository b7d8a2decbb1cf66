"""How an internal call is written in HTTP: header fields, paths and failures.

A call is ``POST /rpc/NAME``. A 200 carries the serialized reply; any other status carries a failure: its kind
in ``X-Error-Kind``, a sentence as body and, for NOT_PRIMARY, the address of the primary in ``X-Primary``.
"""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp import web

from cherrycove.tier.errors import ErrorKind, Failure

PATH_PREFIX = "/rpc/"
KIND_HEADER = "X-Error-Kind"
PRIMARY_HEADER = "X-Primary"
CALL_HEADER = "X-Call"  # incarnation of the caller, and number of the call in it
RECEIVER_HEADER = "X-Receiver"  # member id that the call is meant for
IDENTITY_HEADERS = (CALL_HEADER, RECEIVER_HEADER)  # of a call, repeated by its reply


def failure_response(failure: Failure) -> web.Response:
    """The response that carries ``failure``."""
    headers = {KIND_HEADER: failure.kind.value}
    if failure.primary:
        headers[PRIMARY_HEADER] = failure.primary
    return web.Response(status=failure.answer.status, text=failure.detail, headers=headers)


def parse_failure(headers: Mapping[str, str], body: bytes) -> Failure:
    """The failure that a response carries; UNCERTAIN where it names no known kind."""
    try:
        kind = ErrorKind(headers.get(KIND_HEADER, ""))
    except ValueError:
        kind = ErrorKind.UNCERTAIN
    return Failure(kind, body.decode("utf-8", "replace"), headers.get(PRIMARY_HEADER, ""))
