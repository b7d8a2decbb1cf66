"""One send of a request to one model broker, and how it ended.

It owns the session to brokers. It must never send by itself a second time, and never call a request not run
without proof: no byte was sent, or the broker said so.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from types import SimpleNamespace
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from cherrycove.broker.http1.back import PIECE
from cherrycove.tier.dataplane.connection_pool import BrokerConnector, BrokerRequest, single_execution
from cherrycove.tier.dataplane.headers import (
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    InstanceLoad,
    parse_instance_load,
)
from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.sessions import client_session

CONNECT_TIMEOUT_S = 0.25
POOL_TIMEOUT_S = 0.5  # for a place among the connections of a broker, and the connection itself
MOST_ANSWER_BYTES = 32 * 1024 * 1024  # of an answer that is read whole
MISDIRECTED = 421
DISCARD_TIMEOUT_S = 0.05
MOST_DISCARDED_BYTES = 64 * 1024
PROMISES = frozenset({408, 421, 429, 503})  # statuses that promise that the request has not run


class NotExecutedReason(Enum):
    UNREACHABLE = "unreachable"  # no connection came up
    REJECTED = "rejected"  # the broker said that it did not run it
    OTHER_INSTANCE = "other_instance"  # another broker is at this address


class ResponseFault(Enum):
    CLOSED = "closed"  # reset or closed before the answer was whole
    MALFORMED = "malformed"  # what came is not the answer


@attrs.frozen
class UpstreamRequest:
    """A request as it is sent, but for the fields that differ by send."""

    request_id: str
    method: str
    target: str  # path and query exactly as they came
    headers: CIMultiDict[str]
    body: bytes
    is_idempotent: bool = False  # may run more than once


@attrs.frozen
class NotExecuted:
    """Certainly not run by this broker."""

    reason: NotExecutedReason
    load: InstanceLoad | None = None


@attrs.frozen
class PossiblyExecuted:
    """Sent, and no usable answer."""

    reason: ResponseFault


class IncompleteResponseError(Exception):
    """An answer did not come whole."""

    def __init__(self, reason: ResponseFault, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}")
        self.reason = reason


class UpstreamResponse:
    """An answer whose head has come; its body is read once. ``close`` must follow in any case."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: CIMultiDictProxy[str] = response.headers
        self.load = parse_instance_load(response.headers)

    @property
    def framed(self) -> bool:
        """Whether the answer itself tells where it ends; if not, an orderly end of its connection does."""
        coding = self.headers.get("Transfer-Encoding", "").lower()
        return "Content-Length" in self.headers or "chunked" in coding

    @property
    def media_type(self) -> str:
        return self.headers.get("Content-Type", "").partition(";")[0].strip().lower()

    async def chunk(self) -> bytes:
        """More of the body as it comes; empty only after its whole end, else ``IncompleteResponseError``."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise IncompleteResponseError(ResponseFault.CLOSED, str(error)) from error

    async def read(self) -> bytes:
        """The whole body."""
        body = bytearray()
        while piece := await self.chunk():
            body += piece
            if len(body) > MOST_ANSWER_BYTES:
                raise IncompleteResponseError(ResponseFault.MALFORMED, "the answer is too long")
        return bytes(body)

    async def discard(self) -> None:
        """Take the rest of a short answer that is not passed on, so that its connection can be kept."""
        with suppress(TimeoutError, aiohttp.ClientError, OSError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await self._response.content.read(MOST_DISCARDED_BYTES)
        self.close()

    def close(self) -> None:
        """Give the connection back if the answer has come to its end, else close it."""
        if not self._response.content.is_eof():
            self._response.close()
        self._response.release()


@attrs.frozen
class ResponseStarted:
    answer: UpstreamResponse


UpstreamResult = NotExecuted | ResponseStarted | PossiblyExecuted


class UpstreamClient:
    """Sends requests to brokers over kept connections."""

    def __init__(self, most_connections: int) -> None:
        self._most = most_connections
        self._connector: BrokerConnector | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_mark_sent)
        self._connector = BrokerConnector(self._most, self._most)
        self._session = client_session(
            connector=self._connector,
            request_class=BrokerRequest,
            auto_decompress=False,
            trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=PIECE // 2,
            timeout=aiohttp.ClientTimeout(total=None, connect=POOL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    def limit_connections(self, most_per_broker: int) -> None:
        if self._connector is not None:
            self._connector.set_limit(most_per_broker)

    async def send(
        self, broker: Broker, outgoing: UpstreamRequest, remaining_s: float | None
    ) -> UpstreamResult:
        """Send once and wait for the head of the answer; the caller bounds the wait.

        ``remaining_s`` is what the client's deadline leaves; None: the broker is told none."""
        if self._session is None:
            return NotExecuted(NotExecutedReason.UNREACHABLE)
        headers = outgoing.headers.copy()
        headers[EXPECTED_INSTANCE] = broker.instance_id
        if remaining_s is not None:
            headers[DEADLINE_MS] = str(max(int(remaining_s * 1000), 1))
        sent = SimpleNamespace(begun=False)
        try:
            with single_execution(not outgoing.is_idempotent):
                response = await self._request(broker, outgoing, headers, sent)
        except aiohttp.ClientResponseError:
            return _broken(sent, ResponseFault.MALFORMED)
        except (aiohttp.ClientError, OSError, ValueError):
            return _broken(sent, ResponseFault.CLOSED)
        return await _outcome(response, outgoing.request_id)

    async def _request(
        self, broker: Broker, outgoing: UpstreamRequest, headers: CIMultiDict[str], sent: SimpleNamespace
    ) -> aiohttp.ClientResponse:
        assert self._session is not None
        host, _, port = broker.address.rpartition(":")
        # All of the target as path, since the library would drop an empty query or a fragment.
        url = URL.build(scheme="http", host=host, port=int(port), path=outgoing.target, encoded=True)
        return await self._session.request(
            outgoing.method, url, headers=headers, data=outgoing.body or None,
            allow_redirects=False, trace_request_ctx=sent,
        )  # fmt: skip


async def _mark_sent(session: Any, context: SimpleNamespace, params: Any) -> None:
    context.trace_request_ctx.begun = True


def _broken(sent: SimpleNamespace, reason: ResponseFault) -> UpstreamResult:
    return PossiblyExecuted(reason) if sent.begun else NotExecuted(NotExecutedReason.UNREACHABLE)


async def _outcome(response: aiohttp.ClientResponse, request_id: str) -> UpstreamResult:
    """What an answer means; one that is not to be passed on is closed here."""
    answer = UpstreamResponse(response)
    if response.headers.get(REQUEST_ID) != request_id:
        response.close()
        return PossiblyExecuted(ResponseFault.MALFORMED)
    if response.status == MISDIRECTED:
        await answer.discard()
        return NotExecuted(NotExecutedReason.OTHER_INSTANCE)
    if NOT_EXECUTED in response.headers and response.status in PROMISES:
        await answer.discard()
        return NotExecuted(NotExecutedReason.REJECTED, answer.load)
    if response.status in PROMISES or not _usable(response):
        response.close()
        return PossiblyExecuted(ResponseFault.MALFORMED)
    return ResponseStarted(answer)


def _usable(response: aiohttp.ClientResponse) -> bool:
    """Whether it is an answer that may be passed on: plain, and stamped if it is a success."""
    headers = response.headers
    if "Content-Encoding" in headers or not 200 <= response.status < 600:
        return False
    return RESPONSE_SIGNATURE in headers or not response.ok
