"""Connections to model brokers: the pool of the present broker, told apart by request id.

It owns when a connection may be used again. It must never hand out one on which bytes of an earlier answer
may still come, one on which bytes of an earlier request are still to go, or one that the broker is about to
close.
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

from cherrycove.broker.http1.back import Connector, NodeConnection
from cherrycove.tier.dataplane.headers import DEADLINE_MS, REQUEST_ID, parse_keep_alive_s, parse_unsigned

REST_S = 0.008  # behind an answer before its connection is used again; a second answer comes a few ms late
IDLE_S = 4.0  # that a connection is kept where the broker tells nothing
ONCE_IDLE_S = 1.0  # the same for a request that may not be repeated: it would be lost to a dead connection
KEPT_PART = 0.7  # of the time a broker keeps an idle connection that is used; the rest is for the way

_once_only: ContextVar[bool] = ContextVar("once_only", default=False)


@contextmanager
def single_execution(once: bool) -> Iterator[None]:
    """For requests that are sent within, whether they may not be repeated. Such a request would be lost to a
    connection whose other end is gone without a word, so it is trusted to fewer of them."""
    before = _once_only.set(once)
    try:
        yield
    finally:
        _once_only.reset(before)


class BrokerConnection(NodeConnection):
    """One connection; takes the answer that carries the id of the request that was sent."""

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._expected_id = ""
        self._idle_s = IDLE_S
        self._told = False  # by the broker, for how long it keeps an idle connection
        self._answered_at = inf
        self._stray: StreamReader | None = None  # the body of an answer that is passed over

    def expect(self, request_id: str) -> None:
        """From now on only the answer to this request is taken."""
        self._expected_id = request_id
        self._answered_at = inf

    @property
    def should_close(self) -> bool:
        """Also where an answer came before its request went out whole: the broker may read on later, and
        then nothing but the rest of that request may come."""
        return super().should_close or self._unsent()

    def _unsent(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        message, body = data
        identity = message.headers.get(REQUEST_ID)
        if self._answer is None and identity != self._expected_id:
            self._should_close = True
            if identity is not None:  # the late second answer to another request
                self._stray = body
                return
        kept = parse_keep_alive_s(message.headers)
        if kept is not None:
            self._idle_s, self._told = kept * KEPT_PART, True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        if self._stray is not None and not self._stray.is_eof():
            self._heads = 0  # these are no bytes of a head, whatever their number
        super().data_received(data)
        if self._stray is not None and self._stray.exception() is None:
            self._stray.read_nowait()  # else the library stops reading once much has come that nobody takes
        if self._answer is not None and self._answer.is_eof():
            self._answered_at = min(self._answered_at, monotonic())

    def is_connected(self) -> bool:
        return super().is_connected() and self._age_s() < self._idle_s

    def is_fit_for_single_execution(self) -> bool:
        """Whether a request that may not be repeated can be trusted to it."""
        return self.is_connected() and (self._told or self._age_s() < ONCE_IDLE_S)

    def _age_s(self) -> float:
        return monotonic() - self._answered_at


class BrokerRequest(aiohttp.ClientRequest):
    """A request that tells its connection which answer to take, and its broker what time is left."""

    def __init__(self, *arguments: Any, **settings: Any) -> None:
        super().__init__(*arguments, **settings)
        self._made_at = monotonic()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        self.update_remaining_time()
        protocol = conn.protocol
        if isinstance(protocol, BrokerConnection):
            protocol.expect(self.headers.get(REQUEST_ID, ""))
        return await super().send(conn)

    def update_remaining_time(self) -> None:
        """The time that was left when the request was made, less what the wait for a connection took."""
        left_ms = parse_unsigned(self.headers.get(DEADLINE_MS))
        if left_ms is not None:
            waited_ms = math.ceil((monotonic() - self._made_at) * 1000)
            self._made_at = monotonic()
            self.headers[DEADLINE_MS] = str(max(left_ms - waited_ms, 1))


class BrokerConnector(Connector):
    """The pool; ``set_limit`` bounds the connections to each broker."""

    def __init__(self, most: int, most_per_broker: int) -> None:
        super().__init__(
            REST_S, IDLE_S * 4, limit=most, limit_per_host=most_per_broker,
            happy_eyeballs_delay=None, use_dns_cache=False,
        )  # fmt: skip
        self._factory = partial(BrokerConnection, loop=self._loop)  # type: ignore[assignment]

    async def _get(self, key: Any, traces: Any) -> Any:
        """A kept connection that the request can be trusted to, or None where a new one should be made."""
        while _once_only.get() and (kept := self._conns.get(key)):
            connection = kept[0][0]
            if not isinstance(connection, BrokerConnection) or connection.is_fit_for_single_execution():
                break
            kept.popleft()
            connection.close()
        return await super()._get(key, traces)

    def set_limit(self, most_per_broker: int) -> None:
        self._limit_per_host = most_per_broker

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        protocol = await super()._create_connection(*request)
        if isinstance(protocol, BrokerConnection):
            protocol.expect("")
        return protocol
