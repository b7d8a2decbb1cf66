"""HTTP calls to a tier: addresses are tried in turn, redirects followed, overload waited out."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from urllib.parse import urlsplit

import aiohttp
import attrs

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem
from cherrycove.tier.protocol.sessions import client_session

MAX_REDIRECTS = 2
ATTEMPT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
RETRYABLE_STATUSES = (408, 429)  # besides all from 500 on
DEFAULT_TIMEOUT_S = 10


@attrs.frozen
class HttpResponse:
    status: int
    body: bytes
    address: str  # host:port that gave it


@attrs.frozen
class HttpRequest:
    """One call as it is sent, again and again, until an answer is clear."""

    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


def send(addresses: Sequence[str], request: HttpRequest, timeout_s: float) -> HttpResponse:
    """The first clear answer from ``addresses`` (host:port); ends the command if none comes in time."""
    return asyncio.run(_send(addresses, request, timeout_s))


async def _send(addresses: Sequence[str], request: HttpRequest, timeout_s: float) -> HttpResponse:
    for address in addresses:
        _check_address(address)
    last = Problem("no answer", ", ".join(addresses))
    try:
        async with asyncio.timeout(timeout_s), client_session() as session:
            backoff_s = INITIAL_BACKOFF_S
            while True:
                for address in addresses:
                    answer = await send_once(session, address, request)
                    if isinstance(answer, HttpResponse):
                        return answer
                    last = answer
                await asyncio.sleep(backoff_s)
                backoff_s = min(2.0 * backoff_s, MAX_BACKOFF_S)
    except TimeoutError:
        raise CommandError(ExitCode.UNANSWERED, last) from None


async def send_once(
    session: aiohttp.ClientSession, address: str, request: HttpRequest
) -> HttpResponse | Problem:
    """A clear answer, or why there is none."""
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
    url = f"http://{address}{request.path}"
    try:
        for _ in range(MAX_REDIRECTS + 1):
            async with session.request(
                request.method,
                url,
                data=request.body,
                headers=request.headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
                if response.status == 307 and "Location" in response.headers:
                    url = response.headers["Location"]
                    continue
                return _classify(HttpResponse(response.status, body, urlsplit(url).netloc))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Problem(str(error) or "no answer in time", urlsplit(url).netloc)
    return Problem("too many redirects", address)


def _classify(answer: HttpResponse) -> HttpResponse | Problem:
    if answer.status < 500 and answer.status not in RETRYABLE_STATUSES:
        return answer
    return Problem(f"status {answer.status} {failure_reason(answer)}".rstrip(), answer.address)


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit()):
        raise CommandError(ExitCode.INVALID, Problem(f"{address!r} is not HOST:PORT"))


def failure_reason(answer: HttpResponse) -> str:
    """The sentence that came with a failure."""
    text = answer.body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return text
    try:
        document = json.loads(text)
    except ValueError:
        return text
    return str(document.get("detail") or document.get("error") or "")
