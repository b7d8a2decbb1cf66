"""The pool of connections to model brokers: decides which connection may be reused.

A connection is not reused while bytes of an earlier response may still arrive, while bytes of an earlier
request are still unsent, or when its broker is about to close it (RFC 9112, 9.3 to 9.6).
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from functools import partial
from math import inf
from time import monotonic
from typing import Any

import aiohttp
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage

from cherrycove.broker.http1.upstream import Connector, NodeConnection
from cherrycove.tier.dataplane.headers import DEADLINE_MS, REQUEST_ID, parse_keep_alive_s, parse_unsigned

REUSE_DELAY_S = 0.008  # after a response; a duplicate response arrives a few ms later
IDLE_TIMEOUT_S = 4.0  # of a connection whose broker announces no keep-alive timeout
SINGLE_EXECUTION_IDLE_TIMEOUT_S = 1.0  # the same, for a request that must not be executed twice
KEEP_ALIVE_FRACTION = 0.7  # of the broker's keep-alive timeout; the rest allows for network latency
POOL_IDLE_FACTOR = 4  # the pool closes any connection that is idle for this multiple of IDLE_TIMEOUT_S

_single_execution: ContextVar[bool] = ContextVar("single_execution", default=False)


@contextmanager
def single_execution(*, enabled: bool) -> Iterator[None]:
    """Send requests within the block only over connections that are certainly alive, if ``enabled``.

    If a request is sent on a connection that the broker has closed, the proxy cannot tell whether it was
    executed; one that must not be executed twice could then not be retried (RFC 9112, 9.3.1).
    """
    token = _single_execution.set(enabled)
    try:
        yield
    finally:
        _single_execution.reset(token)


class BrokerConnection(NodeConnection):
    """One connection, owned by the pool; accepts only the response with the id of the request that was sent.

    A response with another id is a late duplicate response to an earlier request: its body is skipped, and
    the connection is closed after the expected response.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._expected_id = ""
        self._idle_timeout_s = IDLE_TIMEOUT_S
        self._has_keep_alive = False  # the broker announced a keep-alive timeout
        self._response_ended_at = inf
        self._unexpected_body: StreamReader | None = None  # of a response with another id

    def expect(self, request_id: str) -> None:
        """Accept only the response to this request from now on."""
        self._expected_id = request_id
        self._response_ended_at = inf

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be reused.

        This includes the case that a response arrived before its request was sent completely (RFC 9112, 9.5):
        the broker may go on reading, and would take further bytes for the rest of that request.
        """
        return super().should_close or self._has_unsent_bytes()

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Handle parsed response headers; called by aiohttp."""
        message, body = data
        request_id = message.headers.get(REQUEST_ID)
        if self._response_body is None and request_id != self._expected_id:
            self._should_close = True
            if request_id is not None:
                self._unexpected_body = body
                return
        keep_alive_s = parse_keep_alive_s(message.headers)
        if keep_alive_s is not None:
            self._idle_timeout_s = keep_alive_s * KEEP_ALIVE_FRACTION
            self._has_keep_alive = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and note the end of the response; called by the event loop."""
        if self._unexpected_body is not None and not self._unexpected_body.is_eof():
            # These bytes belong to a body, so the limit on header bytes does not apply.
            self._header_bytes = 0
        super().data_received(data)
        if self._unexpected_body is not None and self._unexpected_body.exception() is None:
            self._unexpected_body.read_nowait()  # otherwise aiohttp stops reading at its buffer limit
        if self._response_body is not None and self._response_body.is_eof():
            self._response_ended_at = min(self._response_ended_at, monotonic())

    def is_connected(self) -> bool:
        """Whether the connection can be reused for a request that may be executed more than once."""
        return super().is_connected() and self._idle_s() < self._idle_timeout_s

    def is_fit_for_single_execution(self) -> bool:
        """Whether the connection can be reused for a request that must not be executed twice."""
        if not self.is_connected():
            return False
        return self._has_keep_alive or self._idle_s() < SINGLE_EXECUTION_IDLE_TIMEOUT_S

    def _idle_s(self) -> float:
        return monotonic() - self._response_ended_at


class BrokerRequest(aiohttp.ClientRequest):
    """A request that, when it is sent, sets its connection's expected id and updates ``Deadline-Ms``."""

    def __init__(self, *arguments: Any, **settings: Any) -> None:
        super().__init__(*arguments, **settings)
        self._created_at = monotonic()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Send the request over a connection of the pool; called by aiohttp."""
        self.update_remaining_time()
        protocol = conn.protocol
        if isinstance(protocol, BrokerConnection):
            protocol.expect(self.headers.get(REQUEST_ID, ""))
        return await super().send(conn)

    def update_remaining_time(self) -> None:
        """Subtract the wait for a connection from ``Deadline-Ms``, so that it stays the time that is left."""
        remaining_ms = parse_unsigned(self.headers.get(DEADLINE_MS))
        if remaining_ms is not None:
            waited_ms = math.ceil((monotonic() - self._created_at) * 1000)
            self._created_at = monotonic()
            self.headers[DEADLINE_MS] = str(max(remaining_ms - waited_ms, 1))


class BrokerConnector(Connector):
    """The pool; ``set_limit`` changes its limit per broker. Owned by the ``UpstreamClient`` session."""

    def __init__(self, max_connections: int, max_per_broker: int) -> None:
        super().__init__(
            REUSE_DELAY_S, IDLE_TIMEOUT_S * POOL_IDLE_FACTOR, limit=max_connections,
            limit_per_host=max_per_broker, happy_eyeballs_delay=None, use_dns_cache=False,
        )  # fmt: skip
        self._factory = partial(BrokerConnection, loop=self._loop)  # type: ignore[assignment]

    def set_limit(self, max_per_broker: int) -> None:
        """Limit the connections per broker; open connections are kept."""
        self._limit_per_host = max_per_broker

    async def _get(self, key: Any, traces: Any) -> Any:
        """A pooled connection that is fit for the request, or None if a new one should be opened."""
        while _single_execution.get() and (pooled := self._conns.get(key)):
            connection = pooled[0][0]
            if not isinstance(connection, BrokerConnection) or connection.is_fit_for_single_execution():
                break
            pooled.popleft()
            connection.close()
        return await super()._get(key, traces)

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        protocol = await super()._create_connection(*request)
        if isinstance(protocol, BrokerConnection):
            protocol.expect("")
        return protocol
