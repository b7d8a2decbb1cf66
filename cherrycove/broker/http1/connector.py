"""The pool of HTTP connections to disk nodes or model brokers: reuse after a delay, a limit on idle ones.

An event loop that is late is not taken for a peer that cannot be reached.
"""

from __future__ import annotations

import asyncio
from functools import partial
from time import monotonic
from typing import Any

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection, _TransportPlaceholder

from cherrycove.broker.http1.node_connection import NodeConnection
from cherrycove.broker.timeouts import arrival_timeout


class PatientConnector(aiohttp.TCPConnector):
    """aiohttp's connection pool, with an ``ArrivalTimeout`` in place of its own time limits.

    ``ClientTimeout.connect`` limits the wait for a connection of the pool, ``sock_connect`` that for a new
    connection to be established.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: Any,
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109 (aiohttp's signature)
    ) -> Connection:
        """Return a connection of the pool, or a new one; called by aiohttp."""
        async with arrival_timeout(timeout.connect):
            return await super().connect(req, traces, attrs.evolve(timeout, connect=None))

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: Any,
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109 (aiohttp's signature)
    ) -> ResponseHandler:
        async with arrival_timeout(timeout.sock_connect):
            return await super()._create_connection(req, traces, attrs.evolve(timeout, sock_connect=None))


class Connector(PatientConnector):
    """aiohttp's connection pool, with ``NodeConnection``, a delay before reuse and a limit on idle ones."""

    def __init__(self, reuse_delay_s: float, idle_timeout_s: float, **settings: Any) -> None:
        super().__init__(keepalive_timeout=idle_timeout_s, **settings)
        self._factory = partial(NodeConnection, loop=self._loop)  # type: ignore[assignment]
        self._reuse_delay_s, self._idle_timeout_s = reuse_delay_s, idle_timeout_s

    async def _get(self, key: Any, traces: Any) -> Any:
        # A duplicate response that arrives a little late would be taken for that to the next request on the
        # connection. During the delay it belongs to no request and closes the connection. Waiting for the
        # delay costs the node and the request less than another connection.
        while pooled := self._conns.get(key):
            connection, idle_since = pooled[0]  # the first has been idle for the longest time
            idle_s = monotonic() - idle_since
            if not connection.is_connected() or idle_s > self._idle_timeout_s:
                pooled.popleft()[0].close()
            elif idle_s < self._reuse_delay_s:
                # A placeholder keeps the request's slot during the delay and passes it on if the request is
                # cancelled; otherwise the next waiter would not be woken.
                slot: Any = _TransportPlaceholder(self._placeholder_future)
                self._acquired.add(slot)
                try:
                    await self._wait_for_reuse(self._reuse_delay_s - idle_s)
                finally:
                    self._release_acquired(key, slot)
            else:
                break
        return await super()._get(key, traces)

    async def _wait_for_reuse(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        # aiohttp's limit counts only connections in use; idle ones beyond it would take all descriptors, so
        # the one that has been idle for the longest time is closed.
        while sum(map(len, self._conns.values())) + len(self._acquired) > self._limit and self._conns:
            key = min(self._conns, key=lambda each: self._conns[each][0][1])
            protocol, _ = self._conns[key].popleft()
            if not self._conns[key]:
                del self._conns[key]
            protocol.close()
        return await super()._create_connection(*request)
