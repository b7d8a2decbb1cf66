"""One attempt at one broker: sends the request once, and tells whether it may have been executed."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from cherrycove.broker.http1.node_connection import READ_CHUNK_BYTES
from cherrycove.tier.dataplane.connection_pool import (
    BrokerConnector,
    BrokerRequest,
    ConnectionRequirements,
    connection_requirements,
)
from cherrycove.tier.dataplane.headers import (
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    InstanceLoad,
)
from cherrycove.tier.dataplane.response_anomalies import AnomalyRecord
from cherrycove.tier.dataplane.upstream_response import ResponseFault, UpstreamResponse
from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.sessions import client_session

CONNECT_TIMEOUT_S = 0.25
POOL_TIMEOUT_S = 0.5  # to wait for a free connection of the broker's pool, including connecting
NOT_EXECUTED_STATUSES = frozenset({  # with which a broker may say that it did not execute the request
    HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
})  # fmt: skip


class NotExecutedReason(Enum):
    """Why a broker certainly did not execute a request."""

    UNREACHABLE = "unreachable"  # no connection was established, so no byte was sent
    REJECTED = "rejected"  # the broker said that it did not execute the request
    OTHER_INSTANCE = "other_instance"  # another broker listens at this address


@attrs.frozen
class UpstreamRequest:
    """A request as it is sent to brokers, without the header fields that differ between attempts."""

    request_id: str
    method: str
    target: str  # path and query exactly as received
    headers: CIMultiDict[str]
    body: bytes
    is_idempotent: bool = attrs.field(default=False, kw_only=True)  # its route allows several executions


@attrs.frozen
class NotExecuted:
    """The broker certainly did not execute the request, which may be sent again."""

    reason: NotExecutedReason
    load: InstanceLoad | None = None


@attrs.frozen
class PossiblyExecuted:
    """The request was sent, and no usable response was received."""

    fault: ResponseFault


@attrs.frozen
class ResponseStarted:
    """The headers of a response were received; the caller owns the response and must close it."""

    response: UpstreamResponse


UpstreamResult = NotExecuted | ResponseStarted | PossiblyExecuted


@attrs.define(eq=False)
class SendProgress:
    """How far an attempt has come; tells the caller of ``UpstreamClient.send`` also if it is cancelled."""

    has_begun: bool = False  # bytes of the request may have been sent, so that it may have been executed


class UpstreamClient:
    """Sends requests to brokers over pooled connections; owned by the ``DataPlane``.

    It never retries by itself. It reports a request as not executed only if no byte of it was sent or the
    broker said so.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._connector: BrokerConnector | None = None
        self._session: aiohttp.ClientSession | None = None
        self.anomalies = AnomalyRecord()

    async def start(self) -> None:
        """Open the connection pool."""
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_mark_sent)
        self._connector = BrokerConnector(self._max_connections, self._max_connections, self.anomalies)
        self._session = client_session(
            connector=self._connector,
            request_class=BrokerRequest,
            auto_decompress=False,
            trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=READ_CHUNK_BYTES // 2,
            timeout=aiohttp.ClientTimeout(total=None, connect=POOL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self) -> None:
        """Close the connection pool; requests in flight fail as ``PossiblyExecuted``."""
        if self._session is not None:
            await self._session.close()
            self._session = None
        self.anomalies.stop()

    def limit_connections(self, max_per_broker: int) -> None:
        """Limit the connections per broker from now on."""
        if self._connector is not None:
            self._connector.set_limit(max_per_broker)

    async def send(
        self,
        broker: Broker,
        request: UpstreamRequest,
        remaining_s: float | None,
        progress: SendProgress | None = None,
    ) -> UpstreamResult:
        """Send once and wait for the response headers; the caller limits the wait.

        ``remaining_s`` is the time left until the client's deadline; if None, ``Deadline-Ms`` is not set.
        ``progress`` is new for each attempt.
        """
        progress = progress or SendProgress()
        if self._session is None:
            return NotExecuted(NotExecutedReason.UNREACHABLE)
        headers = request.headers.copy()
        headers[EXPECTED_INSTANCE] = broker.instance_id
        if remaining_s is not None:
            headers[DEADLINE_MS] = str(max(int(remaining_s * 1000), 1))
        requirements = ConnectionRequirements(request.request_id, request.is_idempotent)
        try:
            with connection_requirements(requirements):
                response = await self._request(broker, request, headers, progress)
        except aiohttp.ClientResponseError:
            return _failed(progress, ResponseFault.MALFORMED)
        except (aiohttp.ClientError, OSError, ValueError):
            return _failed(progress, ResponseFault.CLOSED)
        return await _classify(response, request.request_id)

    async def _request(
        self, broker: Broker, request: UpstreamRequest, headers: CIMultiDict[str], progress: SendProgress
    ) -> aiohttp.ClientResponse:
        assert self._session is not None
        host, _, port = broker.address.rpartition(":")
        # Passes the complete target as the path, since yarl would drop an empty query or a fragment.
        url = URL.build(scheme="http", host=host, port=int(port), path=request.target, encoded=True)
        return await self._session.request(
            request.method, url, headers=headers, data=request.body or None,
            allow_redirects=False, trace_request_ctx=progress,
        )  # fmt: skip


async def _mark_sent(session: Any, context: Any, params: Any) -> None:  # noqa: ARG001 (aiohttp's signature)
    context.trace_request_ctx.has_begun = True


def _failed(progress: SendProgress, fault: ResponseFault) -> UpstreamResult:
    return PossiblyExecuted(fault) if progress.has_begun else NotExecuted(NotExecutedReason.UNREACHABLE)


async def _classify(response: aiohttp.ClientResponse, request_id: str) -> UpstreamResult:
    """Classify a response; one that is not to be forwarded is closed here.

    Status 421 alone says that the broker did not execute the request (RFC 9110, 15.5.20), other statuses only
    together with ``Not-Executed``; without it, the broker may have executed the request before it responded.
    """
    upstream = UpstreamResponse(response)
    if response.headers.get(REQUEST_ID) != request_id:
        response.close()
        return PossiblyExecuted(ResponseFault.MALFORMED)
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await upstream.discard()
        return NotExecuted(NotExecutedReason.OTHER_INSTANCE)
    if NOT_EXECUTED in response.headers and response.status in NOT_EXECUTED_STATUSES:
        await upstream.discard()
        return NotExecuted(NotExecutedReason.REJECTED, upstream.load)
    if response.status in NOT_EXECUTED_STATUSES or not _is_forwardable(response):
        response.close()
        return PossiblyExecuted(ResponseFault.MALFORMED)
    return ResponseStarted(upstream)


def _is_forwardable(response: aiohttp.ClientResponse) -> bool:
    """Whether a response may be forwarded: it has no content coding, and is signed if it is a success."""
    headers = response.headers
    if "Content-Encoding" in headers or not 200 <= response.status < 600:
        return False
    return RESPONSE_SIGNATURE in headers or not response.ok
