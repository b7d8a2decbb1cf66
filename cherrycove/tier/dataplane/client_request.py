"""Reads client requests within the configured limits."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import aiohttp
from aiohttp import web

from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.dataplane.errors import DataPlaneError

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientRequestError(DataPlaneError):
    """The client sent a request that could not be read; its connection must be closed.

    ``status`` and ``reason`` are sent to the client.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


async def read_request_body(request: web.BaseRequest, limits: ClientLimits) -> bytes:
    """Return the complete body of a request, empty if it has none. Raises ``ClientRequestError``."""
    if _header_section_bytes(request) > limits.max_header_bytes:
        raise ClientRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
    try:
        async with asyncio.timeout(limits.idle_timeout_ms / 1000):
            return await _read_body(request)
    except web.HTTPRequestEntityTooLarge as error:
        raise ClientRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long") from error
    except TimeoutError as error:
        raise ClientRequestError(HTTPStatus.REQUEST_TIMEOUT, "the body did not come in time") from error
    except (web.RequestPayloadError, aiohttp.ClientPayloadError, ValueError) as error:
        raise ClientRequestError(HTTPStatus.BAD_REQUEST, "the body cannot be read") from error


def _header_section_bytes(request: web.BaseRequest) -> int:
    fields = sum(len(name) + len(value) + len(": \r\n") for name, value in request.raw_headers)
    return len(request.method) + len(request.raw_path) + fields


async def _read_body(request: web.BaseRequest) -> bytes:
    if not request.body_exists:
        return b""
    expects_continue = request.headers.get("Expect", "").lower() == "100-continue"  # RFC 9110, 10.1.1
    if expects_continue and request.transport is not None:
        request.transport.write(CONTINUE)
    return await request.read()
