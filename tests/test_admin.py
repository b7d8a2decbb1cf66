"""The admin protocol, and the metrics that it reports."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from support import PLATFORM, Node, World, corrupted, fuzz, random_splits, run

from cherrycove.broker import admin
from cherrycove.broker.core import Metrics, Verdict

STATS = admin.report(Metrics({"r": dict.fromkeys(Verdict, 3)}, 7, 2, 9, 1))


async def start_server() -> tuple[admin.AdminServer, int]:
    async def answer(call: admin.Call) -> str:
        return STATS if call.command == "stats" else f"YES {call.command} {call.node}"

    server = admin.AdminServer(answer)
    return server, await server.listen("127.0.0.1", 0)


async def call(port: int, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    received = await reader.read()
    writer.close()
    return received


@fuzz
@given(random_splits(b"maint-on s-5be2a07c\r\nmaint-off s-5be2a07c\n"))
def test_a_call_is_executed_however_it_is_split_and_a_second_line_is_ignored(pieces: list[bytes]) -> None:
    async def scenario() -> None:
        server, port = await start_server()
        assert await call(port, *pieces) == b"YES maint-on s-5be2a07c\n"
        await server.close()

    run(scenario())


@fuzz
@given(corrupted(b"maint-on s-5be2a07c"))
def test_a_line_is_a_valid_call_or_is_rejected_with_a_reason(line: bytes) -> None:
    try:
        found = admin.parse_call(line)
    except admin.InvalidCallError as error:
        assert str(error)
    else:
        assert found.command in admin.PLAIN_COMMANDS + admin.NODE_COMMANDS and bool(found.node) == (
            found.command in admin.NODE_COMMANDS
        )


def test_an_incomplete_or_invalid_call_is_answered_no() -> None:
    """A truncated line may name another node than intended; an endless one would be kept in memory."""

    async def scenario() -> None:
        server, port = await start_server()
        for line in (b"\n", b"maint-on\n", b"maint-on a b\n", b"stats now\n", b"\xff\0\n", b"x" * 9000):
            assert (await call(port, line)).startswith(b"NO "), line
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"maint-on s-1")
        writer.write_eof()
        assert (await reader.read()).startswith(b"NO ")
        writer.close()
        await server.close()

    run(scenario())


def test_idle_callers_do_not_block_others() -> None:
    async def scenario() -> None:
        server, port = await start_server()
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
        assert await call(port, b"stats\n") == STATS.encode() + b"\n"
        for _ in range(3):
            assert await call(port, b"status\n") == b"YES status \n"
        assert len(server._connections) <= admin.MAX_CONNECTIONS
        for _, writer in idle:
            writer.close()
        await server.close()

    run(scenario())


def test_a_caller_that_does_not_complete_its_line_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        server, port = await start_server()
        assert not await call(port, b"stat") and not server._connections
        await server.close()

    run(scenario())


def test_the_metrics_count_every_answer_once_and_gauges_return_to_zero() -> None:
    """Rejections by a server count too; each class is reported from the start, so no sum jumps."""

    async def scenario() -> None:
        node = await Node("ok", "500", "hang").start()
        async with World(node) as world:
            classes = [cls.name for cls in PLATFORM.settings.classes]
            write = {"cls": "claim-write", "method": "PUT", "body": b"x"}
            assert set(world.core.metrics().answers) == set(classes) and world.core.metrics().attempts == 0
            statuses = [(await world.ask(**write, id=id))[0] for id in ("a", "b")]
            assert statuses == [200, 500] and (await world.ask(Tier="gold"))[0] == 400
            held = asyncio.create_task(world.ask(**write, id="c", ms=900))
            await node.until(3)
            metrics = world.core.metrics()
            assert (metrics.attempts, metrics.open_requests, metrics.listed_nodes, metrics.unused_nodes) == (
                3,
                1,
                1,
                0,
            )
            assert (await held)[0] == 504
            lines = admin.report(world.core.metrics()).split("\n")
            assert "broker.passed.claim-write:1|c" in lines and "broker.bad_gateway.claim-write:2|c" in lines
            assert "broker.bad_gateway.claim-read:1|c" in lines and "broker.in_progress:0|g" in lines
            assert "broker.dropped.claim-export:0|c" in lines and lines[-1] == "END"

    run(scenario())
