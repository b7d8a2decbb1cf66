"""An event loop that is late: what arrived in time counts, and no delay of the proxy is a broker's fault."""

from __future__ import annotations

import asyncio
import socket
import time
from math import inf
from typing import Any

import pytest
from dataplane_harness import TIMEOUT_S, DataPlaneHarness

from cherrycove.broker.http1.connector import PatientConnector
from cherrycove.broker.timeouts import HANDLING_TIME_S, ArrivalTimeout, arrival_timeout
from cherrycove.tier.dataplane.upstream import CONNECT_TIMEOUT_S, POOL_TIMEOUT_S
from cherrycove.tier.protocol import sessions
from examples.toy_broker import Received, ToyBroker, Wire

DEADLINE_S = 0.6  # of the client in tests of the deadline
STANDSTILL_S = 0.2  # of the event loop, from a moment before that deadline


def stand_still(seconds: float) -> None:
    """Keep the event loop busy, as a long computation would."""
    time.sleep(seconds)


class UnacceptingBroker(ToyBroker):
    """Listens with a full backlog, so that connecting to it takes for ever."""

    async def start(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._queued = [socket.socket() for _ in range(3)]
        for each in self._queued:
            each.setblocking(False)
            each.connect_ex(self._listener.getsockname())
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    async def stop(self) -> None:
        for each in (self._listener, *self._queued):
            each.close()


# The time limit


def test_bytes_that_arrived_in_time_are_read_by_a_late_loop() -> None:
    async def scenario() -> bytes:
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)
        loop = asyncio.get_running_loop()

        def send_and_stand_still() -> None:
            theirs.send(b"in time")
            stand_still(0.2)

        loop.call_later(0.03, send_and_stand_still)
        async with arrival_timeout(0.1):
            received = await reader.read(100)
        writer.close()
        theirs.close()
        return received

    assert asyncio.run(scenario()) == b"in time"


@pytest.mark.parametrize("standstill_s", (0.0, 0.2))
def test_a_limit_expires_at_its_time_or_when_the_late_loop_has_handled_what_arrived(
    standstill_s: float,
) -> None:
    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        loop.call_later(0.09, stand_still, standstill_s)
        with pytest.raises(TimeoutError):
            async with arrival_timeout(0.1) as limit:
                await asyncio.sleep(TIMEOUT_S)
        assert limit.expired()
        return loop.time() - began_at

    earliest_s = max(0.1, 0.09 + standstill_s)
    assert earliest_s <= asyncio.run(scenario()) < earliest_s + HANDLING_TIME_S + 1.0


def test_a_limit_can_be_moved_and_has_none_by_default() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with ArrivalTimeout() as limit:
            assert limit.when() == inf and limit._timer is None
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with arrival_timeout(TIMEOUT_S) as limit:
                limit.reschedule(began_at + 0.03)
                assert limit.when() == began_at + 0.03
                await asyncio.sleep(TIMEOUT_S)
        assert 0.03 <= loop.time() - began_at < TIMEOUT_S

    asyncio.run(scenario())


@pytest.mark.parametrize("cancelled_after_s", (-0.001, 0.001))
def test_a_cancellation_in_the_turn_of_the_expiry_is_not_lost(cancelled_after_s: float) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + 0.03

        async def wait() -> None:
            async with ArrivalTimeout(expires_at):
                await asyncio.sleep(TIMEOUT_S)

        task = asyncio.create_task(wait())
        loop.call_at(expires_at - 0.005, stand_still, 0.02)
        loop.call_at(expires_at + cancelled_after_s, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())


# Connecting


@pytest.fixture
def first_connect_is_late(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The event loop stands still, for the time that a test puts here, while a connection comes up."""
    standstills: list[float] = []
    connect = PatientConnector._create_connection

    async def late(connector: PatientConnector, *arguments: Any) -> Any:
        if standstills:
            asyncio.get_running_loop().call_soon(stand_still, standstills.pop())
        return await connect(connector, *arguments)

    monkeypatch.setattr(PatientConnector, "_create_connection", late)
    return standstills


@pytest.mark.parametrize("limit_s", (CONNECT_TIMEOUT_S, POOL_TIMEOUT_S))
def test_a_broker_that_accepted_in_time_is_reachable_for_a_late_proxy(
    limit_s: float, first_connect_is_late: list[float]
) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness, asyncio.timeout(TIMEOUT_S):
            first_connect_is_late.append(limit_s + 0.05)
            assert (await harness.request("/once/x")).status == 200
            assert (harness.brokers[0].connections, len(harness.brokers[0].received)) == (1, 1)

    asyncio.run(scenario())


def test_a_process_that_accepted_in_time_is_reachable_for_a_late_caller(
    first_connect_is_late: list[float],
) -> None:
    async def scenario() -> None:
        broker = ToyBroker()
        await broker.start()
        async with sessions.client_session() as session:
            first_connect_is_late.append(0.2)
            limit = sessions.connect_timeout(0.1)
            async with session.get(f"http://{broker.address}/", timeout=limit) as response:
                assert response.status == 200
        assert broker.connections == 1
        await broker.stop()

    asyncio.run(scenario())


# The deadline of a request


@pytest.mark.parametrize("late_from_s", (0.4, 0.45, 0.5, 0.55, 0.57))
def test_a_late_deadline_answers_a_request_that_no_broker_accepted_like_the_scheduler(
    late_from_s: float,
) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(slots=0)]) as harness:
            asyncio.get_running_loop().call_later(late_from_s, stand_still, STANDSTILL_S)
            headers = {"Deadline-Ms": str(int(DEADLINE_S * 1000))}
            reply = await harness.request("/once/x", headers=headers)
            assert reply.status == 503 and 0 < float(reply.headers["retry-after"]) <= 0.2
            assert not harness.brokers[0].received

    asyncio.run(scenario())


def test_a_rejection_that_arrived_before_the_deadline_counts_for_a_late_proxy() -> None:
    async def scenario() -> None:
        async def reject_late(wire: Wire, request: Received) -> None:
            await asyncio.sleep(DEADLINE_S / 2)
            await wire.head(request, "503 Service Unavailable", Content_Length="0", Not_Executed="1")
            stand_still(DEADLINE_S)

        async with DataPlaneHarness([ToyBroker(script=reject_late)]) as harness:
            headers = {"Deadline-Ms": str(int(DEADLINE_S * 1000))}
            reply = await harness.request("/once/x", headers=headers)
            assert len(harness.brokers[0].received) == 1
            assert reply.status == 503 and 0 < float(reply.headers["retry-after"]) <= 0.2

    asyncio.run(scenario())


def test_a_request_whose_deadline_passes_while_it_connects_was_not_executed() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([UnacceptingBroker()]) as harness:
            headers = {"Deadline-Ms": str(int(CONNECT_TIMEOUT_S * 500))}
            reply = await harness.request("/once/x", headers=headers)
            assert reply.status == 503 and 0 < float(reply.headers["retry-after"]) <= 0.2

    asyncio.run(scenario())
