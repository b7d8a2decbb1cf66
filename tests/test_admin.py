"""Operators' calls and the figures they read."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from support import PLATFORM, Node, World, corrupted, fuzz, random_splits, run

from cherrycove.broker import admin
from cherrycove.broker.core import Figures, Verdict

STATS = admin.report(Figures({"r": dict.fromkeys(Verdict, 3)}, 7, 2, 9, 1))


async def desk() -> tuple[admin.AdminServer, int]:
    async def answer(call: admin.Call) -> str:
        return STATS if call.command == "stats" else f"YES {call.command} {call.node}"

    made = admin.AdminServer(answer)
    return made, await made.listen("127.0.0.1", 0)


async def call(port: int, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    said = await reader.read()
    writer.close()
    return said


@fuzz
@given(random_splits(b"maint-on s-5be2a07c\r\nmaint-off s-5be2a07c\n"))
def test_cuts_of_a_call_change_nothing_and_a_second_line_is_nobodys(pieces: list[bytes]) -> None:
    async def story() -> None:
        made, port = await desk()
        assert await call(port, *pieces) == b"YES maint-on s-5be2a07c\n"
        await made.close()

    run(story())


@fuzz
@given(corrupted(b"maint-on s-5be2a07c"))
def test_a_line_is_a_call_or_gets_a_reason(garbage: bytes) -> None:
    try:
        found = admin.parse_call(garbage)
    except admin.CallError as error:
        assert str(error)
    else:
        assert found.command in admin.PLAIN_COMMANDS + admin.NODE_COMMANDS and bool(found.node) == (
            found.command in admin.NODE_COMMANDS
        )


def test_what_is_no_whole_call_gets_a_no() -> None:
    """A line cut off may name another node than was meant; an endless one would be kept in memory."""

    async def story() -> None:
        made, port = await desk()
        for line in (b"\n", b"maint-on\n", b"maint-on a b\n", b"stats now\n", b"\xff\0\n", b"x" * 9000):
            assert (await call(port, line)).startswith(b"NO "), line
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"maint-on s-1")
        writer.write_eof()
        assert (await reader.read()).startswith(b"NO ")
        writer.close()
        await made.close()

    run(story())


def test_callers_who_stay_keep_nobody_out() -> None:
    async def story() -> None:
        made, port = await desk()
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
        assert await call(port, b"stats\n") == STATS.encode() + b"\n"
        for _ in range(3):
            assert await call(port, b"status\n") == b"YES status \n"
        assert len(made._callers) <= admin.MAX_CALLERS
        for _, writer in held:
            writer.close()
        await made.close()

    run(story())


def test_a_caller_who_never_ends_its_line_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.05)

    async def story() -> None:
        made, port = await desk()
        assert not await call(port, b"stat") and not made._callers
        await made.close()

    run(story())


def test_the_figures_count_every_answer_once_and_gauges_return() -> None:
    """Also what a front answers by itself; each class is told from the start, so that a sum never jumps."""

    async def story() -> None:
        node = await Node("ok", "500", "hang").start()
        async with World(node) as world:
            classes = [cls.name for cls in PLATFORM.settings.classes]
            write = {"cls": "claim-write", "method": "PUT", "body": b"x"}
            assert set(world.core.figures().answers) == set(classes) and world.core.figures().tries == 0
            statuses = [(await world.ask(**write, id=id))[0] for id in ("a", "b")]
            assert statuses == [200, 500] and (await world.ask(Tier="gold"))[0] == 400
            held = asyncio.create_task(world.ask(**write, id="c", ms=900))
            await node.until(3)
            figures = world.core.figures()
            assert (figures.tries, figures.open, figures.known, figures.skipped) == (3, 1, 1, 0)
            assert (await held)[0] == 504
            lines = admin.report(world.core.figures()).split("\n")
            assert "broker.passed.claim-write:1|c" in lines and "broker.bad_gateway.claim-write:2|c" in lines
            assert "broker.bad_gateway.claim-read:1|c" in lines and "broker.in_progress:0|g" in lines
            assert "broker.dropped.claim-export:0|c" in lines and lines[-1] == "END"

    run(story())
