"""The response to a request whose head is not parsed, written directly to the connection."""

from __future__ import annotations

import re
from http import HTTPStatus

_REQUEST_ID = re.compile(rb"\r?\n(Request-Id:[^\r\n]{1,256})\r?\n", re.IGNORECASE)


def refusal(
    received: bytes | bytearray, status: HTTPStatus, reason: str, retry_after_s: float | None
) -> bytes:
    """Return a response that closes its connection; it repeats the ``Request-Id`` found in ``received``."""
    body = reason.encode() + b"\n"
    lines = [
        b"HTTP/1.1 %d %s" % (status, status.phrase.encode()),
        b"Content-Type: text/plain",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    request_id = _REQUEST_ID.search(received)
    if request_id is not None:
        lines.append(request_id.group(1))
    if retry_after_s is not None:
        lines.append(b"Retry-After: %.3f" % retry_after_s)
    return b"\r\n".join([*lines, b"", body])
