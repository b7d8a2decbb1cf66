"""Connections of clients within the limits: served byte for byte, however their bytes come; refusals."""

from __future__ import annotations

import asyncio
import gc
import json
import tracemalloc

import pytest
from dataplane_harness import HOST, TIMEOUT_S, DataPlaneHarness, configuration_bytes

from cherrycove.http_listener import transfer_progress
from cherrycove.tier.listener.client_server import ClientServer
from examples.toy_broker import Received, ToyBroker, Wire

MAX_HEADER_BYTES = 4096
MAX_BODY_BYTES = 100_000
HEAD_FRAMING = len("  HTTP/1.1\r\n\r\n")


def head(*fields: str, target: str = "/again/x") -> bytes:
    return "\r\n".join([f"POST {target} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]).encode()


def filled_head(counted_bytes: int, *fields: str) -> bytes:
    """Return a head of short lines that counts exactly ``counted_bytes``."""
    start = head(*fields).removesuffix(b"\r\n")
    missing = counted_bytes + HEAD_FRAMING - len(start) - len(b"\r\n")
    lines = b"a:\r\n" * (missing // 4 - 1)
    return start + lines + b"a:" + b"x" * (missing - len(lines) - 4) + b"\r\n\r\n"


async def exchange(harness: DataPlaneHarness, request: bytes, step: int | None = None) -> int:
    """Send a request, ``step`` bytes at a time, and return the status of its response."""
    client = await harness.client()
    for start in range(0, len(request), step or len(request)):
        client.writer.write(request[start : start + (step or len(request))])
        await client.writer.drain()
        await asyncio.sleep(0)
    async with asyncio.timeout(TIMEOUT_S):
        reply = await client.reply()
    client.writer.close()
    return reply.status


@pytest.mark.parametrize(("excess", "status"), [(0, 200), (1, 431)])
def test_a_head_at_the_limit_is_served_and_one_above_it_gets_431(excess: int, status: int) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            request = filled_head(MAX_HEADER_BYTES + excess, "Request-Id: r1", "Content-Length: 2") + b"ab"
            assert await exchange(harness, request) == status
            assert await exchange(harness, request, step=7) == status

    asyncio.run(scenario())


def test_a_head_that_never_ends_gets_431_with_its_id_once_it_is_too_long() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            client = await harness.client()
            client.writer.write(head("Request-Id: r7")[:-2] + b"a:\r\n" * MAX_HEADER_BYTES)
            async with asyncio.timeout(TIMEOUT_S):
                reply = await client.reply()
            assert (reply.status, reply.headers["request-id"]) == (431, "r7")
            assert reply.headers["connection"] == "close"
            client.writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("excess", "status"), [(0, 200), (1, 413)])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_at_the_limit_is_served_and_one_above_it_gets_413(
    excess: int, status: int, is_chunked: bool
) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            body = b"x" * (MAX_BODY_BYTES + excess)
            if is_chunked:
                chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
                request = head("Request-Id: r1", "Transfer-Encoding: chunked") + chunks
            else:
                request = head("Request-Id: r1", f"Content-Length: {len(body)}") + body
            assert await exchange(harness, request) == status
            if status == 200:
                assert harness.brokers[0].received[-1].body == body

    asyncio.run(scenario())


@pytest.mark.parametrize("step", [1, 3, 1000])
def test_chunks_of_one_byte_with_trailers_arrive_unchanged(step: int) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            body = bytes(range(256))
            chunks = b"".join(b"1;x=y\r\n%c\r\n" % byte for byte in body) + b"0\r\nA: b\r\nC: d\r\n\r\n"
            request = head("Request-Id: r1", "Transfer-Encoding: chunked") + chunks
            assert await exchange(harness, request, step) == 200
            assert harness.brokers[0].received[-1].body == body

    asyncio.run(scenario())


def test_trailers_above_the_limit_of_a_head_get_431() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            start = head("Request-Id: r1", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
            assert await exchange(harness, start + b"a:\r\n" * MAX_HEADER_BYTES) == 431
            assert harness.brokers[0].received == []

    asyncio.run(scenario())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            client = await harness.client()
            requests = b""
            for number in range(100):
                body = b"%d" % number * 1000
                requests += head(f"Request-Id: r{number}", f"Content-Length: {len(body)}") + body
            client.writer.write(requests)
            async with asyncio.timeout(TIMEOUT_S):
                for number in range(100):
                    reply = await client.reply()
                    assert (reply.status, reply.body) == (200, b"%d" % number * 1000)
            client.writer.close()

    asyncio.run(scenario())


def test_a_client_that_leaves_behind_pipelined_requests_is_noticed() -> None:
    async def scenario() -> None:
        broker = ToyBroker()

        async def wait_for_disconnect(wire: Wire, request: Received) -> None:
            await wire.reader.read(1)
            broker.client_disconnected.set()

        broker.script = wait_for_disconnect
        async with DataPlaneHarness([broker]) as harness:
            client = await harness.client()
            client.writer.write(head("Request-Id: r1", "Content-Length: 0"))
            client.writer.write(head("Request-Id: r2", "Content-Length: 90000") + bytes(90_000))
            async with asyncio.timeout(TIMEOUT_S):
                await broker.wait_received()
                client.writer.close()
                await broker.client_disconnected.wait()
            assert [request.headers["request-id"] for request in broker.received] == ["r1"]

    asyncio.run(scenario())


def servers(harness: DataPlaneHarness) -> ClientServer:
    runner = harness.data_plane._ingress._runner
    assert runner is not None and isinstance(runner.server, ClientServer)
    return runner.server


def test_everything_reserved_is_returned_after_answers_refusals_and_disconnects() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            memory = servers(harness).memory
            body = b"x" * MAX_BODY_BYTES
            whole = head("Request-Id: r1", f"Content-Length: {len(body)}") + body
            chunked = head("Request-Id: r1", "Transfer-Encoding: chunked")
            assert await exchange(harness, whole) == 200
            assert await exchange(harness, chunked + b"zz\r\n") == 400
            assert await exchange(harness, head("Request-Id: r1", "Content-Length: 100001")) == 413
            for part in (whole[:-1], whole[:20], chunked + b"1\r\nx\r\n0\r\na:"):
                client = await harness.client()
                client.writer.write(part)
                await client.writer.drain()
                client.writer.transport.abort()
            async with asyncio.timeout(TIMEOUT_S):
                while memory.reserved_bytes:
                    await asyncio.sleep(0)
            assert memory.waiting == 0

    asyncio.run(scenario())


def test_a_body_that_stops_gives_way_with_503_while_the_ordinary_caller_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(transfer_progress, "STALL_TIME_S", 0.05)
        document = configuration_bytes(maxBodyBytes=1_000_000)
        async with DataPlaneHarness([ToyBroker()], document=document) as harness:
            memory = servers(harness).memory
            memory.limit_bytes = 3_000_000
            stalled = await harness.client()
            stalled.writer.write(head("Request-Id: r1", "Content-Length: 1000000") + bytes(999_999))
            async with asyncio.timeout(TIMEOUT_S):
                while memory.reserved_bytes < 2_000_000:
                    await asyncio.sleep(0)
                assert await exchange(harness, head("Request-Id: r2", "Content-Length: 2") + b"ab") == 200
                body = bytes(900_000)
                waiting = head("Request-Id: r3", f"Content-Length: {len(body)}") + body
                assert await exchange(harness, waiting) == 200
                reply = await stalled.reply()
            assert (reply.status, reply.headers["request-id"]) == (503, "r1")
            assert float(reply.headers["retry-after"]) > 0
            assert [each.headers["request-id"] for each in harness.brokers[0].received] == ["r2", "r3"]
            stalled.writer.close()

    asyncio.run(scenario())


def configuration_with_waiting_route() -> bytes:
    """Return a configuration whose route ``/waiting/`` has a service without brokers."""
    document = json.loads(configuration_bytes())
    document["services"].append({**document["services"][0], "name": "absent"})
    waiting = {**document["routes"][1], "name": "waiting", "pathPrefix": "/waiting/", "service": "absent"}
    document["routes"].append(waiting)
    return json.dumps(document).encode()


def test_a_request_that_waits_for_a_broker_gives_way_to_one_that_holds_less() -> None:
    async def scenario() -> None:
        document = configuration_with_waiting_route()
        async with DataPlaneHarness([ToyBroker()], document=document) as harness:
            memory = servers(harness).memory
            memory.limit_bytes = 200_000
            waiting = await harness.client()
            lines = ["a:"] * 900
            waiting.writer.write(head("Request-Id: r1", "Content-Length: 0", *lines, target="/waiting/x"))
            async with asyncio.timeout(TIMEOUT_S):
                while memory.reserved_bytes < memory.limit_bytes:
                    await asyncio.sleep(0)
                assert await exchange(harness, head("Request-Id: r2", "Content-Length: 2") + b"ab") == 200
                reply = await waiting.reply()
            assert (reply.status, reply.headers["request-id"]) == (503, "r1")
            assert float(reply.headers["retry-after"]) > 0
            assert [each.headers["request-id"] for each in harness.brokers[0].received] == ["r2"]
            waiting.writer.close()
            async with asyncio.timeout(TIMEOUT_S):
                while memory.reserved_bytes:
                    await asyncio.sleep(0)

    asyncio.run(scenario())


def test_a_body_that_does_not_come_in_time_gets_408_and_returns_what_it_reserved() -> None:
    async def scenario() -> None:
        document = configuration_bytes(idleTimeoutMs=200)
        async with DataPlaneHarness([ToyBroker()], document=document) as harness:
            client = await harness.client()
            client.writer.write(head("Request-Id: r1", "Content-Length: 90000") + bytes(50_000))
            async with asyncio.timeout(TIMEOUT_S):
                reply = await client.reply()
                assert (reply.status, harness.brokers[0].received) == (408, [])
                client.writer.close()
                while servers(harness).memory.reserved_bytes:
                    await asyncio.sleep(0)

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["gives way", "client leaves", "times out"])
def test_an_abandoned_body_is_freed_although_its_request_is_old(ending: str) -> None:
    async def scenario() -> None:
        idle_timeout_ms = 400 if ending == "times out" else 15_000
        document = configuration_bytes(maxBodyBytes=4_000_000, idleTimeoutMs=idle_timeout_ms)
        async with DataPlaneHarness([ToyBroker()], document=document) as harness:
            memory = servers(harness).memory
            before, _ = tracemalloc.get_traced_memory()
            for number in range(4):
                client = await harness.client()
                start = head(f"Request-Id: r{number}", "Transfer-Encoding: chunked")
                client.writer.write(start + b"%x\r\n" % 3_000_000 + bytes(2_900_000))
                async with asyncio.timeout(TIMEOUT_S):
                    while not any(account.held_bytes > 5_000_000 for account in memory._accounts):
                        await asyncio.sleep(0)
                    while client.writer.transport.get_write_buffer_size():  # type: ignore[attr-defined]
                        await asyncio.sleep(0)
                    (account,) = (each for each in memory._accounts if each.held_bytes > 5_000_000)
                    gc.collect()  # the request is of the oldest generation from now on
                    if ending == "client leaves":
                        client.writer.transport.abort()
                    else:
                        if ending == "gives way":
                            account.holder.give_way()
                        assert (await client.reply()).status == (503 if ending == "gives way" else 408)
                        client.writer.close()
                    while memory.reserved_bytes:
                        await asyncio.sleep(0)
            after, _ = tracemalloc.get_traced_memory()
            assert after - before < 3_000_000

    tracemalloc.start()
    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()
        tracemalloc.stop()
