"""Sends HTTP requests to a tier; tries addresses in turn, follows redirects, retries overload and outages."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from urllib.parse import urlsplit

import aiohttp
import attrs

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem
from cherrycove.tier.protocol.sessions import client_session, connect_timeout

MAX_REDIRECTS = 2
ATTEMPT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
RETRYABLE_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)  # and all from 500 on


@attrs.frozen
class HttpResponse:
    """Holds a response and the address of the process that sent it."""

    status: int
    body: bytes
    address: str  # host:port


@attrs.frozen
class HttpRequest:
    """Holds one idempotent request, which every attempt sends unchanged."""

    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


def send(addresses: Sequence[str], request: HttpRequest, timeout_s: float) -> HttpResponse:
    """Return the first definite response from ``addresses`` (host:port), which may be a rejection.

    A response is definite unless its status calls for a retry. Raises CommandError for an invalid address,
    and if no definite response arrives within ``timeout_s``.
    """
    return asyncio.run(_send(addresses, request, timeout_s))


async def send_once(
    session: aiohttp.ClientSession, address: str, request: HttpRequest
) -> HttpResponse | Problem:
    """Make one attempt; return its definite response, or the problem if there is none."""
    url = f"http://{address}{request.path}"
    try:
        for _ in range(MAX_REDIRECTS + 1):
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S), _open(session, url, request) as response:
                body = await response.read()
                if _is_redirect(response):
                    url = response.headers["Location"]
                    continue
                return _classify(HttpResponse(response.status, body, urlsplit(url).netloc))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Problem(str(error) or "request timed out", urlsplit(url).netloc)
    return Problem(f"more than {MAX_REDIRECTS} redirects", address)


def failure_reason(response: HttpResponse) -> str:
    """Return the explanation in a failed response; the whole body if that is not a JSON object."""
    text = response.body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return text
    try:
        document = json.loads(text)
    except ValueError:
        return text
    return str(document.get("detail") or document.get("error") or "")


async def _send(addresses: Sequence[str], request: HttpRequest, timeout_s: float) -> HttpResponse:
    for address in addresses:
        _check_address(address)
    last_problem = Problem("no address answered", ", ".join(addresses))
    try:
        async with asyncio.timeout(timeout_s), client_session() as session:
            backoff_s = INITIAL_BACKOFF_S
            while True:
                for address in addresses:
                    result = await send_once(session, address, request)
                    if isinstance(result, HttpResponse):
                        return result
                    last_problem = result
                await asyncio.sleep(backoff_s)
                backoff_s = min(2.0 * backoff_s, MAX_BACKOFF_S)
    except TimeoutError:
        raise CommandError(ExitCode.UNANSWERED, last_problem) from None


def _open(
    session: aiohttp.ClientSession, url: str, request: HttpRequest
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    return session.request(
        request.method,
        url,
        data=request.body,
        headers=request.headers,
        timeout=connect_timeout(CONNECT_TIMEOUT_S),
        allow_redirects=False,
    )


def _is_redirect(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response of a backup redirects to the primary."""
    return response.status == HTTPStatus.TEMPORARY_REDIRECT and "Location" in response.headers


def _classify(response: HttpResponse) -> HttpResponse | Problem:
    """Return a definite response unchanged, and a problem for a response that calls for a retry."""
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR and response.status not in RETRYABLE_STATUSES:
        return response
    return Problem(f"status {response.status} {failure_reason(response)}".rstrip(), response.address)


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit()):
        raise CommandError(ExitCode.INVALID, Problem(f"{address!r} is not HOST:PORT"))
