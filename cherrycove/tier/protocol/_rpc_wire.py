"""The encoding of internal calls in HTTP: header fields, paths and failures.

A call is ``POST /rpc/NAME``. A response with status 200 carries the serialized reply; any other status
carries a failure: its kind in ``X-Error-Kind``, a description as the body, for NOT_PRIMARY the address of the
primary in ``X-Primary``, and optionally the advised delay before a retry in ``Retry-After`` (RFC 9110,
10.2.3, but with fractional seconds).
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from aiohttp import web

from cherrycove.tier.errors import ErrorKind, Failure

PATH_PREFIX = "/rpc/"
_SECONDS = re.compile(r"\d{1,6}(\.\d{1,6})?")
KIND_HEADER = "X-Error-Kind"
PRIMARY_HEADER = "X-Primary"
RETRY_AFTER_HEADER = "Retry-After"
CALL_HEADER = "X-Call"  # incarnation of the caller and number of the call in this incarnation
RECEIVER_HEADER = "X-Receiver"  # member id that the call is addressed to
IDENTITY_HEADERS = (CALL_HEADER, RECEIVER_HEADER)  # identify a call; its reply repeats them


def failure_response(failure: Failure) -> web.Response:
    """Return the response that carries ``failure``."""
    headers = {KIND_HEADER: failure.kind.value}
    if failure.primary:
        headers[PRIMARY_HEADER] = failure.primary
    if failure.advised_retry_after_s is not None:
        headers[RETRY_AFTER_HEADER] = f"{failure.advised_retry_after_s:.3f}"
    return web.Response(status=failure.response.status, text=failure.detail, headers=headers)


def parse_failure(headers: Mapping[str, str], body: bytes) -> Failure:
    """Return the failure that a response carries; its kind is UNCERTAIN if the response has no known kind."""
    try:
        kind = ErrorKind(headers.get(KIND_HEADER, ""))
    except ValueError:
        kind = ErrorKind.UNCERTAIN
    detail = body.decode("utf-8", "replace")
    return Failure(kind, detail, headers.get(PRIMARY_HEADER, ""), _advised_retry_after_s(headers))


def _advised_retry_after_s(headers: Mapping[str, str]) -> float | None:
    text = headers.get(RETRY_AFTER_HEADER, "")
    return float(text) if _SECONDS.fullmatch(text) else None
