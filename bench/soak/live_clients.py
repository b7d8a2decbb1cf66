"""Clients of live requests: each uses its connection until the proxy ends it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random

from bench.soak import traffic
from bench.soak.http_connection import CutOffError, HttpAnswer, HttpConnection
from bench.soak.ledger import Ledger, Request
from examples.tier_client import new_id
from examples.tier_processes import Daemon
from examples.toy_broker import ToyBroker

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.3  # between two requests of a client
PROMISES = (408, 421, 429, 503)  # the request has not run and never will
ONCE_SHARE = 0.3


class RunCounter:
    """Counts the runs of requests at the brokers as they come."""

    def __init__(self, brokers: list[ToyBroker]) -> None:
        self._brokers = brokers
        self._seen = [0] * len(brokers)
        self._runs: Counter[str] = Counter()

    def count(self, request_id: str) -> int:
        """How often a request has reached a broker and run."""
        for index, broker in enumerate(self._brokers):
            for received in broker.received[self._seen[index] :]:
                self._runs[received.headers.get("request-id", "")] += 1
            self._seen[index] = len(broker.received)
        return self._runs[request_id]


class LiveClient:
    """One client of one proxy. ``stop`` lets the request in flight end."""

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
        """Connect and ask, again and again."""
        while not self._is_stopping:
            try:
                connection = await HttpConnection.open(self._proxy.frontend, CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                self._ledger.counts["not connected"] += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                await self._use(connection)
            finally:
                connection.close()

    async def _use(self, connection: HttpConnection) -> None:
        while not self._is_stopping and not connection.is_closed:
            answer = await self._ask(connection)
            if answer is None or not answer.keeps_connection:
                return
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_PAUSE_S))

    async def _ask(self, connection: HttpConnection) -> HttpAnswer | None:
        """Send one request; None if the connection ended without a whole answer."""
        is_once = self._random.random() < ONCE_SHARE
        request_id = new_id()
        target = (traffic.ONCE_PREFIX if is_once else traffic.STREAM_PREFIX) + request_id
        sent_at = time.monotonic()
        answer: HttpAnswer | None = None
        status, detail = 0, ""
        try:
            async with asyncio.timeout(traffic.DEADLINE_S):
                body = request_id.encode()
                answer = await connection.request("POST", target, traffic.headers(request_id), body)
            status = answer.status
        except CutOffError as error:
            status, detail = error.status, str(error)
        except TimeoutError:
            detail = "no whole answer within the deadline"
        request = Request(
            request_id=request_id,
            kind="once" if is_once else "stream",
            proxy=self._proxy.name,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            is_complete=answer is not None,
            detail=detail,
        )
        self._judge(request, answer, is_once=is_once)
        return answer

    def _judge(self, request: Request, answer: HttpAnswer | None, *, is_once: bool) -> None:
        runs = self._runs.count(request.request_id)
        self._ledger.request_over(request, deadline_s=traffic.DEADLINE_S, was_run=runs > 0)
        if answer is None:
            return
        if answer.status == 200:
            self.served += 1
            expected = request.request_id.encode() if is_once else traffic.WHOLE_STREAM
            self._ledger.require(
                holds=answer.body == expected,
                detail=f"{request.kind} {request.request_id}: not the broker's body: {answer.body[:200]!r}",
            )
        if is_once:
            self._ledger.require(holds=runs <= 1, detail=f"once {request.request_id} ran {runs} times")
            is_broken = answer.status in PROMISES and runs > 0
            self._ledger.require(
                holds=not is_broken, detail=f"once {request.request_id} got {answer.status} and has run"
            )
