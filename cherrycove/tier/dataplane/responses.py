"""Responses that are not streamed: buffered responses of brokers, and responses of the proxy itself."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from cherrycove.tier.dataplane.headers import REQUEST_ID, RETRY_AFTER, end_to_end_headers
from cherrycove.tier.dataplane.upstream_response import UpstreamResponse


def buffered_response(upstream: UpstreamResponse, body: bytes, *, close: bool) -> web.Response:
    """A broker's response that was read completely; ``close`` makes it close the client's connection."""
    response = web.Response(status=upstream.status, headers=end_to_end_headers(upstream.headers), body=body)
    if close:
        response.force_close()
    return response


def proxy_response(
    status: int, text: str, request_id: str, *, close: bool, retry_after_s: float | None = None
) -> web.Response:
    """A response that the proxy generates; ``text`` is the reason, sent as the body.

    ``Retry-After`` (RFC 9110, 10.2.3) is sent in seconds with a fraction, which the clients understand.
    """
    headers: CIMultiDict[str] = CIMultiDict({"Content-Type": "text/plain"})
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.3f}"
    response = web.Response(status=status, headers=headers, body=text.encode() + b"\n")
    if close:
        response.force_close()
    return response
