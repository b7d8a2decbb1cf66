"""Graceful shutdown: which clients are still served, and that all requests are answered before the kill."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import Node, World, answer, fuzz, message, run

from cherrycove.broker.http1 import client_connections
from cherrycove.broker.lifecycle import shutdown_timetable
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable


@fuzz
@given(st.floats(0.05, 60), st.floats(0, 4), st.floats(0, 4), st.booleans(), st.booleans())
def test_every_answer_is_out_before_the_kill(
    longest: float, since: float, quiet: float, replaced: bool, connected: bool
) -> None:
    times = ShutdownTimetable.of(longest)
    assert times.kill <= min(longest, 3.0) + 0.7 and times.kill - times.give_up >= 0.3 - 1e-9
    assert (
        0
        <= times.closes_connections_at(replaced=replaced)
        <= times.stop
        <= times.give_up
        < times.abort
        < times.disconnect
        < times.kill
    )
    until = times.accepts_until(since, min(quiet, since), replaced=replaced, connected=connected)
    assert until <= times.stop
    if connected and not replaced:
        assert until == times.stop  # no other process serves the connected clients at this address
    elif quiet < since and since - quiet + shutdown_timetable.QUIET_S < times.stop:
        assert until - (since - quiet) == pytest.approx(shutdown_timetable.QUIET_S)


def test_without_a_successor_connections_stay_open_and_open_requests_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing connections after each answer left clients without a broker until the next process started."""
    monkeypatch.setattr(shutdown_timetable, "MAX_DEADLINE_S", 1.0)

    async def scenario() -> None:
        node = await Node("ok", "ok", "hang", "hang").start()
        async with World(node) as world:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            held_reader, held_writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="before"))
            assert (await answer(reader))[0] == 200
            times, began = ShutdownTimetable.of(60.0), loop.time()
            world.front.drain(close_connections=False)
            lingering = asyncio.create_task(world.front.serve_until_stop(times, began, replaced=False))
            writer.write(message(id="after"))
            status, headers, body = await answer(reader)
            assert (status, body) == (200, b"data of after") and "connection" not in headers
            held_writer.write(message(id="read", ms=60_000))
            writer.write(message(id="write", ms=60_000, cls="claim-write", method="PUT", body=b"x"))
            await node.until(4)
            await lingering
            closing = asyncio.create_task(world.front.close())
            assert {(await answer(held_reader))[0], (await answer(reader))[0]} <= {500, 503, 504}
            assert loop.time() >= began + times.give_up
            await closing
            assert not await reader.read() and not await held_reader.read()
            writer.close()
            held_writer.close()

    run(scenario())


def test_idle_connections_stay_open_during_a_shutdown_without_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing a connection for being idle left its client without a broker at this address."""
    monkeypatch.setattr(client_connections, "IDLE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with World(await Node("ok", "ok").start()) as world:
            times, began = ShutdownTimetable(30.0, 31.0, 32.0, 33.0), asyncio.get_running_loop().time()
            lingering = asyncio.create_task(world.front.serve_until_stop(times, began, replaced=False))
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            for number in range(2):
                writer.write(message(id=f"a{number}"))
                assert (await answer(reader))[0] == 200
                await asyncio.sleep(0.0 if number else 0.5)
            lingering.cancel()
            writer.close()

    run(scenario())


def test_with_a_successor_answers_close_their_connections_and_a_quiet_period_ends_the_shutdown() -> None:
    async def scenario() -> None:
        node = await Node("ok").start()
        async with World(node) as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            began = asyncio.get_running_loop().time()
            world.front.drain(close_connections=True)
            lingering = asyncio.create_task(
                world.front.serve_until_stop(ShutdownTimetable.of(60.0), began, replaced=True)
            )
            writer.write(message(id="last"))
            assert (await answer(reader))[1]["connection"] == "close"
            await lingering  # ends long before `stop`, although the client was connected
            await world.front.close()
            writer.close()

    run(scenario())


def test_requests_after_give_up_are_rejected_at_once() -> None:
    async def scenario() -> None:
        async with World(await Node("hang").start()) as world:
            world.core.expire_requests()
            status, headers, _ = await world.ask(ms=60_000)
            assert status == 503 and float(headers["retry-after"]) > 0  # the request was never sent to a node

    run(scenario())
