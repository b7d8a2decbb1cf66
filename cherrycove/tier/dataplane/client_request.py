"""Reads client requests within the configured limits."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import aiohttp
from aiohttp import web

from cherrycove.http_listener.client_connection import GAVE_WAY_RETRY_AFTER_S
from cherrycove.http_listener.errors import BodyTooLargeError, GaveWayError, TrailersTooLargeError
from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.dataplane.errors import DataPlaneError
from cherrycove.tier.listener.client_server import connection_of
from cherrycove.tier.listener.request_body import read_body

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientRequestError(DataPlaneError):
    """The client sent a request that could not be read; its connection must be closed.

    ``status`` and ``reason`` are sent to the client.
    """

    def __init__(self, status: HTTPStatus, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


async def read_request_body(request: web.BaseRequest, limits: ClientLimits) -> bytes:
    """Return the complete body of a request, empty if it has none. Raises ``ClientRequestError``."""
    try:
        async with asyncio.timeout(limits.idle_timeout_ms / 1000):
            return await _read_body(request, limits.max_body_bytes)
    except TimeoutError as error:
        connection = connection_of(request)
        if connection is not None and connection.waits_for_memory:
            raise _no_memory() from error
        raise ClientRequestError(HTTPStatus.REQUEST_TIMEOUT, "the body did not come in time") from error
    except GaveWayError as error:
        raise _no_memory() from error
    except BodyTooLargeError as error:
        raise ClientRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long") from error
    except TrailersTooLargeError as error:
        raise ClientRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, str(error)) from error
    except (web.RequestPayloadError, aiohttp.ClientPayloadError, ValueError) as error:
        raise ClientRequestError(HTTPStatus.BAD_REQUEST, "the body cannot be read") from error


def _no_memory() -> ClientRequestError:
    return ClientRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "no memory now", GAVE_WAY_RETRY_AFTER_S)


async def _read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    if not request.body_exists:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError("the body is too long")  # instead of asking for it
    expects_continue = request.headers.get("Expect", "").lower() == "100-continue"  # RFC 9110, 10.1.1
    if expects_continue and request.transport is not None:
        request.transport.write(CONTINUE)
    return await read_body(request, max_bytes)
