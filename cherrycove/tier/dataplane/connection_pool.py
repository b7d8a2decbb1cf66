"""The pool of connections to model brokers: decides which connection may be reused.

A connection is not reused while bytes of an earlier response may still arrive, while bytes of an earlier
request are still unsent, or when its broker is about to close it (RFC 9112, 9.3 to 9.6).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from functools import partial
from time import monotonic
from typing import Any

import aiohttp
import attrs
from aiohttp.connector import Connection

from cherrycove.broker.http1.connector import Connector
from cherrycove.tier.dataplane.broker_connection import IDLE_TIMEOUT_S, BrokerConnection
from cherrycove.tier.dataplane.headers import DEADLINE_MS, REQUEST_ID, parse_unsigned
from cherrycove.tier.dataplane.response_anomalies import AnomalyRecord

REUSE_DELAY_S = 0.008  # after a response; a duplicate response arrives a few ms later
POOL_IDLE_FACTOR = 4  # the pool closes any connection that is idle for this multiple of IDLE_TIMEOUT_S


@attrs.frozen
class ConnectionRequirements:
    """What a request requires of a pooled connection.

    No connection carries a request twice: a late second response to the first attempt would be taken for the
    response to the second. And if a request is sent on a connection that the broker has closed, the proxy
    cannot tell whether it was executed; one that must not be executed twice could then not be retried
    (RFC 9112, 9.3.1), so it is sent only over connections that are certainly alive.
    """

    request_id: str
    is_idempotent: bool

    def are_met_by(self, connection: BrokerConnection) -> bool:
        """Whether the request may be sent over this pooled connection."""
        if connection.has_carried(self.request_id):
            return False
        if self.is_idempotent:
            return connection.is_connected()
        return connection.is_fit_for_single_execution()


_requirements: ContextVar[ConnectionRequirements | None] = ContextVar("connection_requirements", default=None)


@contextmanager
def connection_requirements(requirements: ConnectionRequirements) -> Iterator[None]:
    """Send requests within the block only over connections that meet ``requirements``."""
    token = _requirements.set(requirements)
    try:
        yield
    finally:
        _requirements.reset(token)


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

    def __init__(self, max_connections: int, max_per_broker: int, anomalies: AnomalyRecord) -> None:
        super().__init__(
            REUSE_DELAY_S, IDLE_TIMEOUT_S * POOL_IDLE_FACTOR, limit=max_connections,
            limit_per_host=max_per_broker, happy_eyeballs_delay=None, use_dns_cache=False,
        )  # fmt: skip
        self._factory = partial(  # type: ignore[assignment]
            BrokerConnection, loop=self._loop, anomalies=anomalies
        )

    def set_limit(self, max_per_broker: int) -> None:
        """Limit the connections per broker; open connections are kept."""
        self._limit_per_host = max_per_broker

    async def _get(self, key: Any, traces: Any) -> Any:
        """A pooled connection that meets the requirements of the request, or None if a new one is needed."""
        requirements = _requirements.get()
        if requirements is None:
            return await super()._get(key, traces)
        while self._move_usable_to_front(key, requirements):
            connection = await super()._get(key, traces)  # may wait, while others take and return connections
            if connection is None or requirements.are_met_by(connection.protocol):
                return connection
            connection.release()
        return None

    def _move_usable_to_front(self, key: Any, requirements: ConnectionRequirements) -> bool:
        """Move the usable connection that has been idle for the longest time to the front.

        Returns whether there is one. Closes connections that can serve no request like this one any more.
        """
        pooled = self._conns.get(key, deque())
        carriers = []  # of this request; other requests may use them
        while pooled:
            connection = pooled[0][0]
            if not isinstance(connection, BrokerConnection) or requirements.are_met_by(connection):
                break
            entry = pooled.popleft()
            if connection.has_carried(requirements.request_id):
                carriers.append(entry)
            else:
                connection.close()
        has_usable = bool(pooled)
        pooled.extend(carriers)
        if not pooled:
            self._conns.pop(key, None)
        return has_usable
