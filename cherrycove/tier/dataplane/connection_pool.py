"""The pool of connections to model brokers: which connection may carry the next request.

A connection is not reused while bytes of an earlier response may still come, while bytes of an earlier
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

REUSE_DELAY_S = 0.008  # after a response; a stray second response comes a few ms late
IDLE_TIMEOUT_S = 4.0  # of a connection whose broker does not say for how long it keeps one
SINGLE_EXECUTION_IDLE_TIMEOUT_S = 1.0  # the same for a request that may run once only
KEEP_ALIVE_FRACTION = 0.7  # of the time for which a broker keeps an idle connection; the rest is for the way
POOL_IDLE_FACTOR = 4  # times IDLE_TIMEOUT_S after which the pool closes any idle connection

_single_execution: ContextVar[bool] = ContextVar("single_execution", default=False)


@contextmanager
def single_execution(*, enabled: bool) -> Iterator[None]:
    """Send requests within the block only over connections that are certainly alive, if ``enabled``.

    A request on a connection whose other end is gone may have run, as far as the proxy knows; one that may
    run once only would then be lost (RFC 9112, 9.3.1).
    """
    token = _single_execution.set(enabled)
    try:
        yield
    finally:
        _single_execution.reset(token)


class BrokerConnection(NodeConnection):
    """One connection, owned by the pool; accepts only the response with the id of the request that was sent.

    A response with another id is a stray, a late second response to an earlier request: its body is skipped,
    and the connection is closed after the response that was expected.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._expected_id = ""
        self._idle_timeout_s = IDLE_TIMEOUT_S
        self._has_keep_alive = False  # the broker said for how long it keeps an idle connection
        self._response_ended_at = inf
        self._stray: StreamReader | None = None  # the body of a stray response

    def expect(self, request_id: str) -> None:
        """From now on accept only the response to this request."""
        self._expected_id = request_id
        self._response_ended_at = inf

    @property
    def should_close(self) -> bool:
        """Whether it must not be reused.

        Also where a response came before its request was sent completely (RFC 9112, 9.5): the broker may read
        on, and then nothing but the rest of that request may come.
        """
        return super().should_close or self._has_unsent_bytes()

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """A head was parsed; called by the library."""
        message, body = data
        request_id = message.headers.get(REQUEST_ID)
        if self._answer is None and request_id != self._expected_id:
            self._should_close = True
            if request_id is not None:
                self._stray = body
                return
        keep_alive_s = parse_keep_alive_s(message.headers)
        if keep_alive_s is not None:
            self._idle_timeout_s = keep_alive_s * KEEP_ALIVE_FRACTION
            self._has_keep_alive = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Bytes came; called by the event loop."""
        if self._stray is not None and not self._stray.is_eof():
            self._heads = 0  # these bytes are not of a head, whatever their number
        super().data_received(data)
        if self._stray is not None and self._stray.exception() is None:
            self._stray.read_nowait()  # otherwise the library stops reading at its limit of unread bytes
        if self._answer is not None and self._answer.is_eof():
            self._response_ended_at = min(self._response_ended_at, monotonic())

    def is_connected(self) -> bool:
        """Whether it can be reused for a request that may be repeated."""
        return super().is_connected() and self._idle_s() < self._idle_timeout_s

    def is_fit_for_single_execution(self) -> bool:
        """Whether it can be reused for a request that may run once only."""
        if not self.is_connected():
            return False
        return self._has_keep_alive or self._idle_s() < SINGLE_EXECUTION_IDLE_TIMEOUT_S

    def _idle_s(self) -> float:
        return monotonic() - self._response_ended_at


class BrokerRequest(aiohttp.ClientRequest):
    """A request that sets its connection's expected id, and the remaining time when it is sent."""

    def __init__(self, *arguments: Any, **settings: Any) -> None:
        super().__init__(*arguments, **settings)
        self._created_at = monotonic()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Send over a connection of the pool; called by the library."""
        self.update_remaining_time()
        protocol = conn.protocol
        if isinstance(protocol, BrokerConnection):
            protocol.expect(self.headers.get(REQUEST_ID, ""))
        return await super().send(conn)

    def update_remaining_time(self) -> None:
        """Subtract the wait for a connection from ``Deadline-Ms``: no broker gets more time than is left."""
        remaining_ms = parse_unsigned(self.headers.get(DEADLINE_MS))
        if remaining_ms is not None:
            waited_ms = math.ceil((monotonic() - self._created_at) * 1000)
            self._created_at = monotonic()
            self.headers[DEADLINE_MS] = str(max(remaining_ms - waited_ms, 1))


class BrokerConnector(Connector):
    """The pool, owned by the session of the ``UpstreamClient``; ``set_limit`` bounds it by broker."""

    def __init__(self, max_connections: int, max_per_broker: int) -> None:
        super().__init__(
            REUSE_DELAY_S, IDLE_TIMEOUT_S * POOL_IDLE_FACTOR, limit=max_connections,
            limit_per_host=max_per_broker, happy_eyeballs_delay=None, use_dns_cache=False,
        )  # fmt: skip
        self._factory = partial(BrokerConnection, loop=self._loop)  # type: ignore[assignment]

    def set_limit(self, max_per_broker: int) -> None:
        """Bound the connections to each broker; open ones stay."""
        self._limit_per_host = max_per_broker

    async def _get(self, key: Any, traces: Any) -> Any:
        """A pooled connection that is fit for the request, or None where a new one should be opened."""
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
