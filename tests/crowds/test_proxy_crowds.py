"""Crowds at a proxy's listeners: it lives, stays within its limits, and answers an ordinary caller.

The settings give the process 160 MB and 512 descriptors. Every crowd stays within the configuration's limits.
"""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path

import pytest
from crowd import Crowd, CrowdClient, crowd_of
from crowded_tier import (
    BODY_BYTES,
    HEADER_BYTES,
    ONE_PROXY,
    ONE_STORE,
    SHORT_LINE,
    crowded_tier,
    filled_head,
    head,
)

from examples import tier_client
from examples.tier_processes import Sizes
from examples.toy_broker import Received, ToyBroker, Wire, stream

LARGE_RESPONSE_BYTES = 12_000_000
SMALL_RECEIVE_BUFFER_BYTES = 4096
READINESS_LINE_BYTES = 8000
READINESS_LINES = 120


def play(
    directory: Path, *payload: bytes, count: int, sizes: Sizes = ONE_PROXY, serves_batch_jobs: bool = False
) -> None:
    """Let ``count`` clients send ``payload`` to the proxy's frontend, and check the proxy."""

    async def scenario() -> None:
        async with crowded_tier(directory, sizes) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            crowd = crowd_of(count, proxy.frontend, *payload)
            await tier.check_after(crowd, proxy, serves_batch_jobs=serves_batch_jobs)

    asyncio.run(scenario())


def test_heads_of_short_lines_that_never_end(tmp_path: Path) -> None:
    play(tmp_path, filled_head("/chat/1", is_complete=False), count=300)


def test_complete_heads_of_short_lines_whose_body_does_not_come(tmp_path: Path) -> None:
    play(tmp_path, filled_head("/chat/1", "Content-Length: 1"), count=300)


def test_requests_with_heads_of_short_lines_that_wait_for_a_broker(tmp_path: Path) -> None:
    play(tmp_path, filled_head("/waiting/1", "Content-Length: 1") + b"x", count=200)


def test_pipelined_heads_of_short_lines(tmp_path: Path) -> None:
    waiting = filled_head("/waiting/1", "Content-Length: 0")
    play(tmp_path, waiting * 40, count=20)


def test_bodies_one_byte_short(tmp_path: Path) -> None:
    start = head("/chat/1", f"Content-Length: {BODY_BYTES}")
    play(tmp_path, start, bytes(BODY_BYTES - 1), count=50)


def test_bodies_in_chunks_that_never_end(tmp_path: Path) -> None:
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
    chunks = chunk * (BODY_BYTES // 0x10000)
    play(tmp_path, head("/chat/1", "Transfer-Encoding: chunked"), chunks, count=50)


def test_bodies_in_chunks_of_one_byte_that_never_end(tmp_path: Path) -> None:
    chunks = b"1\r\nx\r\n" * 100_000
    play(tmp_path, head("/chat/1", "Transfer-Encoding: chunked"), chunks, count=300)


def test_trailers_of_long_lines_that_never_end(tmp_path: Path) -> None:
    start = head("/chat/1", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    line = b"a:" + b"x" * 200_000 + b"\r\n"
    play(tmp_path, start, *[line] * 40, count=25)


def test_trailers_of_short_lines_that_never_end(tmp_path: Path) -> None:
    start = head("/chat/1", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    play(tmp_path, start, SHORT_LINE * 4000, count=300)


def test_whole_bodies_that_wait_for_a_broker(tmp_path: Path) -> None:
    start = head("/waiting/1", f"Content-Length: {BODY_BYTES}")
    play(tmp_path, start, bytes(BODY_BYTES), count=50)


def test_batch_documents_of_many_small_values(tmp_path: Path) -> None:
    start, end = b'{"requests":[', b"{}]}"
    values = b"[],{}," * ((BODY_BYTES - len(start) - len(end)) // 6)
    body = start + values + end
    play(
        tmp_path, head("/bundle/1", f"Content-Length: {len(body)}"), body,
        count=40, sizes=ONE_STORE, serves_batch_jobs=True,
    )  # fmt: skip


def large_batch_job(job: int, items: int = 200) -> bytes:
    """Return a request with a batch job that is nearly as long as ``maxBodyBytes`` allows."""
    data = base64.b64encode(bytes(15_000)).decode()
    entries = [
        {"instanceId": f"{job}-{item}", "path": f"/bundle/{job}", "headers": {}, "body": data, "tokens": 1}
        for item in range(items)
    ]
    body = json.dumps({"requests": entries}, separators=(",", ":")).encode()
    assert len(body) <= BODY_BYTES
    start = head(f"/bundle/{job}", f"Content-Length: {len(body)}")
    return start.replace(b"Request-Id: crowd", b"Request-Id: crowd-%d" % job) + body


def test_whole_batch_jobs(tmp_path: Path) -> None:
    async def scenario() -> None:
        broker = ToyBroker(script=stream(2))
        async with crowded_tier(tmp_path, ONE_STORE, broker, diskMb=2000) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            crowd = Crowd([CrowdClient(proxy.frontend, [large_batch_job(job)]) for job in range(40)])
            await tier.check_after(crowd, proxy, *tier.running_daemons("store"), serves_batch_jobs=True)

    asyncio.run(scenario())


def test_responses_that_nobody_reads(tmp_path: Path) -> None:
    async def large_response(wire: Wire, request: Received) -> None:
        size = LARGE_RESPONSE_BYTES if request.target == "/chat/large" else 1
        await wire.answer(request, bytes(size))

    async def scenario() -> None:
        broker = ToyBroker(script=large_response)
        async with crowded_tier(tmp_path, ONE_PROXY, broker) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            request = head("/chat/large", method="GET")
            crowd = crowd_of(30, proxy.frontend, request, receive_buffer_bytes=SMALL_RECEIVE_BUFFER_BYTES)
            await tier.check_after(crowd, proxy)

    asyncio.run(scenario())


def test_connections_that_send_nothing(tmp_path: Path) -> None:
    play(tmp_path, count=700)


def test_connections_that_send_part_of_a_head(tmp_path: Path) -> None:
    play(tmp_path, head("/chat/1", is_complete=False), count=700)


def test_heads_of_long_lines_at_the_readiness_listener(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with crowded_tier(tmp_path, ONE_PROXY) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            lines = (b"a:" + b"x" * READINESS_LINE_BYTES + b"\r\n") * READINESS_LINES
            start = head("/api/readiness", method="GET").removesuffix(b"\r\n")
            await tier.check_after(crowd_of(200, proxy.readiness, start, lines), proxy)
            await tier.ready()

    asyncio.run(scenario())


@pytest.mark.parametrize("row", [
    "incomplete heads", "heads without bodies", "waiting heads", "bodies", "chunks", "small chunks",
    "waiting bodies", "trailers",
])  # fmt: skip
def test_crowds_with_descriptors_to_spare(tmp_path: Path, row: str) -> None:
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
    chunked = head("/chat/1", "Transfer-Encoding: chunked")
    payload, count = {
        "incomplete heads": ([filled_head("/chat/1", is_complete=False)], 300),
        "heads without bodies": ([filled_head("/chat/1", "Content-Length: 1")], 300),
        "waiting heads": ([filled_head("/waiting/1", "Content-Length: 1") + b"x"], 200),
        "bodies": ([head("/chat/1", f"Content-Length: {BODY_BYTES}"), bytes(BODY_BYTES - 1)], 50),
        "chunks": ([chunked, chunk * (BODY_BYTES // 0x10000)], 50),
        "small chunks": ([chunked, b"1\r\nx\r\n" * 100_000], 300),
        "waiting bodies": ([head("/waiting/1", f"Content-Length: {BODY_BYTES}"), bytes(BODY_BYTES)], 50),
        "trailers": ([chunked + b"1\r\nx\r\n0\r\n", SHORT_LINE * 4000], 300),
    }[row]

    async def scenario() -> None:
        async with crowded_tier(tmp_path, ONE_PROXY, fileDescriptors=4096) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            await tier.check_after(crowd_of(count, proxy.frontend, *payload), proxy)

    asyncio.run(scenario())


def test_a_head_of_exactly_the_limit_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with crowded_tier(tmp_path, ONE_PROXY) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            host, _, port = proxy.frontend.rpartition(":")
            start = filled_head("/chat/1", "Content-Length: 2", "Deadline-Ms: 5000")
            assert HEADER_BYTES - len(SHORT_LINE) < len(start) <= HEADER_BYTES
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(start + b"ab")
                assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
            finally:
                writer.close()

    asyncio.run(scenario())


def test_streams_that_nobody_reads(tmp_path: Path) -> None:
    async def endless_stream(wire: Wire, request: Received) -> None:
        if request.target != "/chat/large":
            return await wire.answer(request, b"")
        await wire.stream_head(request)
        for number in range(1, 13):
            await wire.event(number, "x" * 1_000_000)
        await wire.end_stream()

    async def scenario() -> None:
        broker = ToyBroker(script=endless_stream, slots=64)
        async with crowded_tier(tmp_path, ONE_PROXY, broker, fileDescriptors=4096) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            request = head("/chat/large", method="GET")
            crowd = crowd_of(60, proxy.frontend, request, receive_buffer_bytes=SMALL_RECEIVE_BUFFER_BYTES)
            await tier.check_after(crowd, proxy)

    asyncio.run(scenario())


def test_reads_of_large_result_pages(tmp_path: Path) -> None:
    async def large_result(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        await wire.event(1, "x" * 30_000)
        await wire.end_stream()

    async def scenario() -> None:
        broker = ToyBroker(script=large_result, slots=64)
        async with crowded_tier(tmp_path, ONE_STORE, broker, fileDescriptors=4096, diskMb=2000) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            await tier_client.submit(proxy.frontend, "large", [f"item-{number}" for number in range(60)])
            await tier_client.results(proxy.frontend, "large")
            request = head("/api/lots/large?pageCursor=0", method="GET")
            crowd = crowd_of(
                300, proxy.frontend, request, request, receive_buffer_bytes=SMALL_RECEIVE_BUFFER_BYTES
            )
            await tier.check_after(crowd, proxy, *tier.running_daemons("store"), serves_batch_jobs=True)

    asyncio.run(scenario())


def test_a_process_ends_in_order_while_a_crowd_stays(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with crowded_tier(tmp_path, ONE_PROXY, fileDescriptors=4096) as tier:
            await tier.serve()
            (proxy,) = tier.proxies
            body = head("/chat/1", f"Content-Length: {BODY_BYTES}")
            rows = [
                [filled_head("/chat/1", is_complete=False)],
                [body, bytes(BODY_BYTES - 1)],
                [head("/waiting/1", f"Content-Length: {BODY_BYTES}"), bytes(BODY_BYTES)],
                [filled_head("/waiting/1", "Content-Length: 0") * 40],
            ]
            crowd = Crowd([CrowdClient(proxy.frontend, row) for row in rows for _ in range(20)])
            async with crowd:
                await crowd.wait_until_at_rest()
                assert await proxy.terminate() == 0, proxy.log_tail()

    asyncio.run(scenario())
