"""Clients that send live requests; each uses its connection until the proxy closes it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random

from bench.soak import traffic
from bench.soak.http_connection import HttpConnection, HttpResponse, IncompleteResponseError
from bench.soak.ledger import Ledger, Request
from examples.tier_client import new_id
from examples.tier_processes import Daemon
from examples.toy_broker import ToyBroker

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.1
MAX_PAUSE_S = 0.3  # longest pause between two requests of a client
# A response with one of these statuses means that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
NON_IDEMPOTENT_SHARE = 0.3


class RunCounter:
    """Counts how often each request was executed by the brokers."""

    def __init__(self, brokers: list[ToyBroker]) -> None:
        self._brokers = brokers
        self._seen = [0] * len(brokers)
        self._runs: Counter[str] = Counter()

    def count(self, request_id: str) -> int:
        """Return how often a request has been executed by a broker."""
        for index, broker in enumerate(self._brokers):
            for received in broker.received[self._seen[index] :]:
                self._runs[received.headers.get("request-id", "")] += 1
            self._seen[index] = len(broker.received)
        return self._runs[request_id]


class LiveClient:
    """A client of one proxy. ``stop`` lets the request in flight complete."""

    def __init__(self, proxy: Daemon, runs: RunCounter, ledger: Ledger, random: Random) -> None:
        self._proxy = proxy
        self._runs = runs
        self._ledger = ledger
        self._random = random
        self._is_stopping = False
        self.served = 0

    def stop(self) -> None:
        """Send no further request."""
        self._is_stopping = True

    async def run(self) -> None:
        """Connect and send requests, and reconnect when the connection ends, until ``stop`` is called."""
        while not self._is_stopping:
            try:
                connection = await HttpConnection.open(self._proxy.frontend, CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                self._ledger.counts["not connected"] += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                await self._use_connection(connection)
            finally:
                connection.close()

    async def _use_connection(self, connection: HttpConnection) -> None:
        while not self._is_stopping and not connection.is_closed:
            response = await self._send_request(connection)
            if response is None or not response.keeps_connection:
                return
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _send_request(self, connection: HttpConnection) -> HttpResponse | None:
        """Send one request; returns None if the connection ended without a complete response."""
        is_non_idempotent = self._random.random() < NON_IDEMPOTENT_SHARE
        request_id = new_id()
        target = (traffic.NON_IDEMPOTENT_PREFIX if is_non_idempotent else traffic.STREAM_PREFIX) + request_id
        sent_at = time.monotonic()
        response: HttpResponse | None = None
        status, detail = 0, ""
        try:
            async with asyncio.timeout(traffic.DEADLINE_S):
                body = request_id.encode()
                response = await connection.request("POST", target, traffic.headers(request_id), body)
            status = response.status
        except IncompleteResponseError as error:
            status, detail = error.status, str(error)
        except TimeoutError:
            detail = "no complete response within the deadline"
        request = Request(
            request_id=request_id,
            kind="once" if is_non_idempotent else "stream",
            proxy=self._proxy.name,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            is_complete=response is not None,
            detail=detail,
        )
        self._check_response(request, response, is_non_idempotent=is_non_idempotent)
        return response

    def _check_response(
        self, request: Request, response: HttpResponse | None, *, is_non_idempotent: bool
    ) -> None:
        runs = self._runs.count(request.request_id)
        self._ledger.record_request(request, deadline_s=traffic.DEADLINE_S, was_run=runs > 0)
        if response is None:
            return
        if response.status == 200:
            self.served += 1
            expected = request.request_id.encode() if is_non_idempotent else traffic.COMPLETE_STREAM
            self._ledger.require(
                holds=response.body == expected,
                detail=f"{request.kind} {request.request_id}: unexpected body: {response.body[:200]!r}",
            )
        if is_non_idempotent:
            self._ledger.require(holds=runs <= 1, detail=f"once {request.request_id} ran {runs} times")
            is_wrongly_executed = response.status in NOT_EXECUTED_STATUSES and runs > 0
            self._ledger.require(
                holds=not is_wrongly_executed,
                detail=f"once {request.request_id} got {response.status} but was executed",
            )
