"""Two events that cross: real connections, and the bad order made to happen each time.

One side is held at a barrier (credit that is spent, room that is taken, a node that answers when told), the
other event is awaited, then the barrier is lifted. docs/design/crossings.md names each pair.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import fcntl
import json
import math
import os
import signal
import socket
import struct
import sys
from collections.abc import Callable
from contextlib import closing
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from aiohttp import connector
from support import PLATFORM, RAW, ROOT, Discovery, Node, World, answer, message, raw, run
from test_nbd import BLOCK, BlockNode, Client, setup

from bench.many.rig import _with_parent
from cherrycove.broker import config, nbd
from cherrycove.broker.core import Attempt, Ending, Member, NodeList
from cherrycove.broker.http1 import body, server, upstream, watch
from cherrycove.broker.lifecycle import announcement
from cherrycove.broker.lifecycle.handover import LOCK
from cherrycove.broker.lifecycle.shutdown_timetable import ShutdownTimetable
from cherrycove.broker.nbd import Command
from cherrycove.broker.process import Broker
from cherrycove.broker.process import run as run_broker
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.interface import NodeState

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: the end of the connection is a reset


def patient(**changes: Any) -> config.PlatformConfig:
    """The example's deployment with a connection time that no test outlasts."""
    whole = raw()
    whole["settings"]["limits"]["dialTimeoutNs"] = 10**11
    whole["settings"]["guarantees"] |= changes
    return config.parse_platform_config(whole, {})


class Held:
    """The module's hand is held back: what comes waits, as for credit, until ``free``."""

    def __init__(self, world: World) -> None:
        self._core, self._handle = world.core, world.core._driver.scheduler.handle
        self.events: list[Any] = []
        world.core._driver.scheduler.handle = self._hold  # type: ignore[method-assign]

    def _hold(self, now: float, events: Any) -> list[Any]:
        self.events += events
        return []

    def free(self) -> None:
        self._core._driver.scheduler.handle = self._handle  # type: ignore[method-assign]
        driver = self._core._driver
        driver.pending_events = self.events + driver.pending_events
        self._core.tick()


async def until(holds: Callable[[], object]) -> None:
    """Until that is so; nothing but the loop's turns passes meanwhile."""
    while not holds():
        await asyncio.sleep(0.001)


async def received_at(listener: socket.socket) -> bytes:
    """All that comes over the next connection in the queue of ``listener``, up to its end."""
    connection, _ = listener.accept()
    with connection:
        connection.setblocking(False)
        received = b""
        while piece := await asyncio.get_running_loop().sock_recv(connection, 1 << 16):
            received += piece
        return received


async def leave(writer: asyncio.StreamWriter, how: str) -> None:
    if how == "reset":
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
    else:
        writer.close()


async def nothing_came(world: World, node: Node, shard: int = 0, before: tuple[str, ...] = ()) -> None:
    """The node has seen no byte of what it was spared, and what that held is free again."""
    await until(lambda: world.core.open_requests == 0 and world.front.body_memory.reserved_bytes == 0)
    status, _, data = await world.ask(id="later", shard=shard)
    assert (status, data) == (200, b"data of later")
    assert [each["x-request-id"] for each in node.seen] == [*before, "later"] and not node.partial_requests
    await until(
        lambda: all(
            each.in_flight == each.waiting == 0 for each in world.core._driver.scheduler.state.nodes.values()
        )
    )


def raw_client(port: int) -> socket.socket:
    """One that sends at once, between two turns of the loop."""
    made = socket.create_connection(("127.0.0.1", port))
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


async def answered(client: socket.socket) -> int:
    """The status that a raw client is answered."""
    client.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=client)
    try:
        return (await answer(reader))[0]
    finally:
        writer.close()


# Clients that leave.

BURST = b"".join(message(id=f"p{number}") for number in range(40))
WAITS = {
    "one read": message(id="gone"),
    "half a next request behind": message(id="gone") + message(id="next")[:40],
    "many requests at once": BURST,  # more than the library reads ahead
    "a long body": message("claim-write", "PUT", id="gone", body=b"x" * 70_000),  # more than is read ahead
}


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("sends", WAITS)
def test_a_client_that_leaves_while_it_waits_for_the_module_is_not_sent_on(sends: str, how: str) -> None:
    """While a connection's buffer is full nobody reads it, and its end was not seen."""

    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            held = Held(world)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(WAITS[sends])
            await until(lambda: world.core.counts["taken"])
            await leave(writer, how)
            await until(lambda: world.core.counts["client gone"])
            held.free()
            await nothing_came(world, node)

    run(story())


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("size", [1_000, 60_000])
def test_a_client_that_leaves_while_its_body_waits_for_room_is_not_sent_on(size: int, how: str) -> None:
    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message("claim-write", "PUT", id="gone", body=b"x" * size))
            await until(lambda: world.front.body_memory._waiting)
            await leave(writer, how)
            await until(lambda: not world.front._web.connected)
            world.front.body_memory.release(world.front.body_memory.limit_bytes)
            assert world.core.counts["taken"] == 0
            await nothing_came(world, node)

    run(story())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_leaves_within_its_body_is_not_sent_on(how: str) -> None:
    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message("claim-write", "PUT", id="gone", body=b"x" * 900)[:-100])
            await until(lambda: world.front._body_timeouts)
            await leave(writer, how)
            await until(lambda: not world.front._web.connected)
            assert world.core.counts["taken"] == 0
            await nothing_came(world, node)

    run(story())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_leaves_while_it_waits_for_a_pool_place_is_not_sent_on(how: str) -> None:
    async def story() -> None:
        busy, node = await Node("held ok").start(), await Node().start()
        async with World(busy, node, platform=patient()) as world:
            world.pool.resize(1)
            first = asyncio.create_task(world.ask(id="first"))
            await busy.until(1)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="gone", shard=1))
            await until(lambda: world.pool._connector._waiters)
            await leave(writer, how)
            await until(lambda: world.core.counts["client gone"])
            busy.release.set()
            assert (await first)[0] == 200
            await nothing_came(world, node, shard=1)

    run(story())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_leaves_while_a_connection_comes_up_late_is_not_sent_on(how: str) -> None:
    async def story() -> None:
        late = socket.create_server(("127.0.0.1", 0), backlog=0)
        filler = raw_client(late.getsockname()[1])  # the queue is full: whoever comes next is not let in
        node = Node()
        node.port = late.getsockname()[1]
        async with World(node, platform=patient()) as world:
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="gone"))
            await until(
                lambda: any(t.current and t.current.scope for t in world.core._requests.tickets.values())
            )
            await leave(writer, how)
            await until(lambda: world.core.counts["client gone"])
            filler.close()
            await node.start(listener=late)
            await nothing_came(world, node)

    run(story())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_leaves_between_two_attempts_is_not_sent_on(how: str) -> None:
    async def story() -> None:
        node = await Node("held 503 X-Not-Run: 1").start()
        async with World(node) as world:
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="gone"))
            await node.until(1)
            held = Held(world)
            node.release.set()
            await until(lambda: any(isinstance(event, api.AttemptEnd) for event in held.events))
            await leave(writer, how)
            await until(lambda: world.core.counts["client gone"])
            held.free()
            await nothing_came(world, node, before=("gone",))

    run(story())


@pytest.mark.parametrize("first", ["leaving", "attempt"])
def test_a_client_that_leaves_just_as_an_attempt_is_handed_out_is_not_sent_on(first: str) -> None:
    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            give = world.core._requests.deliver

            def cross(ticket: Any, step: Any) -> None:
                world.core._requests.deliver = give  # type: ignore[method-assign]
                assert isinstance(step, Attempt)
                if first == "attempt":
                    give(ticket, step)
                for transport in list(world.front._web._connections.values()):
                    transport.abort()  # its end is seen in this turn of the loop
                if first == "leaving":
                    give(ticket, step)

            world.core._requests.deliver = cross  # type: ignore[method-assign]
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="gone"))
            await until(lambda: world.core.counts["client gone"])
            await nothing_came(world, node)
            writer.close()

    run(story())


def test_a_client_that_leaves_before_it_is_accepted_is_not_sent_on() -> None:
    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            client = raw_client(world.port)
            client.sendall(message(id="gone"))
            client.close()  # all this in one turn of the broker's loop
            await until(lambda: world.core.counts["client gone"] or world.core.counts["taken"])
            await until(lambda: not world.front._web.connected)
            await nothing_came(world, node)

    run(story())


@pytest.mark.parametrize("late_dials", [0, 1])
def test_what_is_left_of_a_request_when_its_client_leaves_is_not_sent(
    late_dials: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closed in good order, a connection sent on what the node had not taken yet, whenever it did.

    A loop that is late gives up a connection which the node's system has accepted already, and dials again.
    """
    made = upstream.NodeConnection.connection_made

    def narrow(self: upstream.NodeConnection, transport: Any) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(self, transport)

    monkeypatch.setattr(upstream.NodeConnection, "connection_made", narrow)

    async def story() -> None:
        loop = asyncio.get_running_loop()
        clock, dial, dials, shift_s = loop.time, loop.sock_connect, 0, 0.0

        async def dial_late(sock: socket.socket, address: Any) -> None:
            nonlocal dials, shift_s
            dials += 1
            if dials <= late_dials:
                shift_s += 2 * PLATFORM.dial_timeout_s  # connected and timed out in the same turn
            await dial(sock, address)

        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        node = Node()
        node.port = listener.getsockname()[1]
        async with World(node) as world:
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            monkeypatch.setattr(loop, "time", lambda: clock() + shift_s)
            monkeypatch.setattr(loop, "sock_connect", dial_late)
            writer.write(message("claim-write", "PUT", id="gone", body=b"x" * 60_000))
            await until(
                lambda: any(
                    each.transport and each.transport.get_write_buffer_size()
                    for each in world.pool._connector._acquired
                )
            )
            await leave(writer, "close")
            await until(lambda: world.core.counts["client gone"])
            received = [await received_at(listener) for _ in range(dials)]
            listener.close()
            assert dials == late_dials + 1 and not any(received[:-1])  # one that is given up carries nothing
            got = received[-1]
            assert got.startswith(b"PUT /claim-write") and got.count(b"x") < 60_000

    run(story())


def test_an_nbd_client_that_leaves_while_its_commands_wait_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With its pipeline full nobody reads it; what it sent beyond fills the buffer ahead of its end."""
    made: list[Any] = []
    connected = nbd.server.ClientProtocol.connection_made

    def connect(self: Any, transport: Any) -> None:
        made.append(transport)
        connected(self, transport)

    monkeypatch.setattr(nbd.server.ClientProtocol, "connection_made", connect)

    async def story() -> None:
        block = await BlockNode().start()
        async with World(Node(), platform=PLATFORM) as world:
            _, port = await world.nbd(setup(block, pipeline=2))
            held = Held(world)
            client = await Client.mounted(port)
            for number in range(2):
                client.send(Command.WRITE, number * 1024, len(BLOCK), BLOCK)
            await until(lambda: world.core.counts["taken"] == 2)
            for number in range(160):  # what is read ahead, and more
                client.send(Command.WRITE, number * 1024, 1 << 16, bytes(1 << 16))
            await until(lambda: not made[0].is_reading())
            await leave(client.writer, "reset")  # a mere end would stay behind what the broker does not take
            await until(lambda: world.core.counts["client gone"] == 2)
            held.free()
            assert not block.seen and world.core.open_requests == 0

    run(story())


# Shutdown.


def test_a_request_in_the_buffer_of_an_idle_connection_is_answered_before_it_closes() -> None:
    async def story() -> None:
        async with World(await Node().start()) as world:
            client = raw_client(world.port)
            client.sendall(message(id="before"))
            await until(lambda: world.core.counts["served"] and world.front._web._idle)
            client.recv(1 << 16)
            client.sendall(message(id="crossing"))
            closing = asyncio.create_task(world.front.close())  # its first step comes before the loop reads
            assert await answered(client) == 200
            await closing

    run(story())


def test_a_request_that_waits_to_be_accepted_is_answered_before_the_listener_closes() -> None:
    async def story() -> None:
        async with World(await Node(*["ok"] * 9).start()) as world:
            clients = [raw_client(world.port) for _ in range(9)]  # more than are accepted in one turn
            for number, client in enumerate(clients):
                client.sendall(message(id=f"c{number}"))
            closing = asyncio.create_task(world.front.close())
            assert [await answered(client) for client in clients] == [200] * 9
            await closing

    run(story())


def test_a_body_that_is_on_its_way_as_the_process_ends_is_taken() -> None:
    async def story() -> None:
        async with World(await Node().start()) as world:
            world.front._give_up_at = math.inf
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            whole = message("claim-write", "PUT", id="late", body=b"x" * 900)
            writer.write(whole[:-100])
            await until(lambda: world.front._body_timeouts)
            closing = asyncio.create_task(world.front.close())
            await until(lambda: world.front._server is not None and not world.front._server.is_serving())
            writer.write(whole[-100:])
            assert (await answer(reader))[0] == 200
            await closing
            writer.close()

    run(story())


@pytest.mark.parametrize("waits_for", ["room", "body"])
def test_what_is_not_taken_in_when_all_is_given_up_is_refused_at_once(
    waits_for: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "MEMORY_TIMEOUT_S", 1e6)
    monkeypatch.setattr(body, "CHUNK_TIMEOUT_S", 1e6)

    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            if waits_for == "room":
                world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            whole = message("claim-write", "PUT", id="late", body=b"x" * 900)
            writer.write(whole if waits_for == "room" else whole[:-100])
            await until(lambda: world.front._body_timeouts)
            world.front._give_up()
            status, headers, _ = await answer(reader)
            assert status == 503 and float(headers["retry-after"]) > 0 and not node.seen
            writer.close()

    run(story())


def test_an_answer_whose_node_stands_still_within_it_does_not_hold_up_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process was killed over it, 10 s before the answer would have been given up."""
    monkeypatch.setattr(upstream, "STALL_TIMEOUT_S", 1e6)

    async def story() -> None:
        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100_000)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(stall, "127.0.0.1", 0)
        async with World() as world:
            world.members = [Member("d0", f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 0)]
            world.list()
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="stalls"))
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(100_000)
            with closing(writer):  # which ends what waits, should the test fail
                times = ShutdownTimetable(0.0, 0.0, 0.0, 0.1)
                await world.front.serve_until_stop(times, asyncio.get_running_loop().time(), replaced=False)
                ends = asyncio.create_task(world.front.close())
                assert await reader.read() == b""  # 100,000 bytes short, as its client can tell
                await ends
                assert not world.core.open_requests and not world.front.body_memory.reserved_bytes

    run(story())


def test_a_client_that_still_sends_its_body_does_not_hold_up_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "CLOSE_TIMEOUT_S", 1e6)
    monkeypatch.setattr(server, "LINGER_TIMEOUT_S", 1e6)

    async def story() -> None:
        async with World(await Node().start()) as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message("claim-write", "PUT", id="sends", body=b"x" * 900)[:-100])
            await until(lambda: world.front._body_timeouts)
            with closing(writer):
                times = ShutdownTimetable(0.0, 0.0, 0.0, 0.1)
                await world.front.serve_until_stop(times, asyncio.get_running_loop().time(), replaced=False)
                ends = asyncio.create_task(world.front.close())
                assert (await answer(reader))[0] == 503
                await ends
                assert not world.front._web.connected

    run(story())


def test_what_waits_for_room_is_refused_within_its_own_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """It waited 1 s, however little its client did: where a class waits 200 ms, that is too late."""
    monkeypatch.setattr(server, "MEMORY_TIMEOUT_S", 1e6)

    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            status, _, _ = await world.ask(cls="claim-write", method="PUT", body=b"x" * 900, ms=200)
            assert status == 503 and not node.seen

    run(story())


def test_a_read_does_not_stand_behind_bodies_that_wait_for_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "MEMORY_TIMEOUT_S", 1e6)
    monkeypatch.setattr(server, "MEMORY_TIMEOUT_FRACTION", 1e6)

    async def story() -> None:
        async with World(await Node().start()) as world:
            world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            waits = asyncio.create_task(
                world.ask(cls="claim-write", method="PUT", body=b"x" * 900, id="waits")
            )
            await until(lambda: world.front.body_memory._waiting)
            try:
                assert (await world.ask(id="reads"))[2] == b"data of reads" and not waits.done()
            finally:
                world.front.body_memory.release(world.front.body_memory.limit_bytes)
            assert (await waits)[2] == b"data of waits"

    run(story())


def test_what_waited_for_room_has_so_much_less_time() -> None:
    """Its time was counted from when it had room, and its answer came later than its client waited."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        clock, shift = loop.time, [0.0]
        loop.time = lambda: clock() + shift[0]  # type: ignore[method-assign]
        node = await Node().start()
        async with World(node) as world:
            world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            asks = asyncio.create_task(world.ask(cls="claim-write", method="PUT", body=b"x" * 900, ms=20_000))
            await until(lambda: world.front.body_memory._waiting)
            shift[0] = 0.4  # of the 1 s that it may wait
            world.front.body_memory.release(world.front.body_memory.limit_bytes)
            assert (await asks)[0] == 200
            assert int(node.seen[0]["x-deadline-ms"]) <= 19_600

    run(story())


def test_no_advice_to_wait_is_given_where_the_settings_allow_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "MEMORY_TIMEOUT_S", 0.0)

    async def story() -> None:
        whole = raw()
        whole["settings"]["limits"]["retryAfter"] = False
        async with World(await Node().start(), platform=config.parse_platform_config(whole, {})) as world:
            world.front.body_memory.reserve_unchecked(world.front.body_memory.limit_bytes)
            status, headers, _ = await world.ask(cls="claim-write", method="PUT", body=b"x" * 900)
            assert status == 503 and "retry-after" not in headers

    run(story())


@pytest.mark.parametrize("by", ["its idle time", "a newcomer", "a crowd"])
def test_an_idle_connection_on_which_a_request_has_come_is_not_closed(by: str) -> None:
    async def story() -> None:
        async with World(await Node().start()) as world:
            web = world.front._web
            client = raw_client(world.port)
            client.sendall(message(id="before"))
            await until(lambda: world.core.counts["served"] and web._idle)
            client.recv(1 << 16)
            (handler,) = web._idle
            client.sendall(message(id="crossing"))
            if by == "its idle time":
                handler._next_keepalive_close_time = 0.0
                handler._process_keepalive()
            elif by == "a newcomer":
                web._partial[server.ClientConnection(web, loop=web._loop)] = 0.0  # one that may go instead
                web._connections[next(iter(web._partial))] = asyncio.Transport()
                with pytest.raises(NotImplementedError):  # of the stand-in's abort: it is the one to go
                    web.resize(1)
            else:
                web._soft_limit, web._idle[handler] = 0, 0.0
                web.request_started(handler_like(web))
            assert await answered(client) == 200

    run(story())


def handler_like(web: server.ClientConnections) -> Any:
    """A connection that begins a request beside the one looked at."""
    other = server.ClientConnection(web, loop=web._loop)
    other.transport = asyncio.Transport()
    return other


class Started:
    """A whole broker as a process whose configuration comes through a pipe: the test says when it is read."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.path = folder, folder / "config.json"
        os.mkfifo(self.path)
        whole = copy.deepcopy(RAW)
        del whole["admin"]
        self.raw = whole | {"listen": "127.0.0.1:0"}
        self.place = Path(announcement.directory(self.raw["name"], "127.0.0.1", 0, str(folder)))
        self.lines: list[str] = []

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=_with_parent,
            env=os.environ
            | {
                "RELAY_CONFIG": str(self.path),
                "TMPDIR": str(self.folder),
                "CHERRYCOVE_OPERATOR": str(self.folder / "none.toml"),
            },
        )

    async def read_by_process(self, before: Callable[[], object] = lambda: None) -> None:
        """Once the process reads its file: ``before``, then what the file holds."""
        numbers: list[int] = []

        def reader_is_there() -> bool:
            with contextlib.suppress(OSError):
                numbers.append(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
            return bool(numbers)

        await until(reader_is_there)
        # Guard: seen to come and to go, or the next one to write meets the same reader.
        await until(lambda: str(self.path) in opened(self.process.pid))
        before()
        os.write(numbers[0], json.dumps(self.raw).encode())
        os.close(numbers[0])
        await until(lambda: str(self.path) not in opened(self.process.pid))

    async def says(self, event: str) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.lines.append(line)
            if event in line:
                return
        raise AssertionError(f"it ended without {event}: {self.lines}")

    async def held_in_its_start(self) -> int:
        """Hold the lock that a start has to have; closing it sets the process free."""
        self.place.mkdir(mode=0o700)
        lock = os.open(self.place / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(lock, fcntl.LOCK_EX)
        return lock


def test_a_sighup_before_the_file_is_read_does_no_harm(tmp_path: Path) -> None:
    async def story() -> None:
        broker = Started(tmp_path)
        await broker.start()
        await broker.read_by_process(lambda: broker.process.send_signal(signal.SIGHUP))  # before its imports

        def again() -> None:
            broker.path.unlink()
            broker.path.write_text(json.dumps(broker.raw))  # what is read again
            broker.process.send_signal(signal.SIGHUP)

        await broker.read_by_process(again)
        await broker.says("config.read_again")
        broker.process.send_signal(signal.SIGTERM)
        await broker.says("broker.ended")
        assert await broker.process.wait() == 0

    run(story())


def test_a_sigterm_before_the_imports_ends_in_good_order(tmp_path: Path) -> None:
    async def story() -> None:
        broker = Started(tmp_path)
        await broker.start()
        with contextlib.suppress(BrokenPipeError):  # it may have ended by then
            await broker.read_by_process(lambda: broker.process.send_signal(signal.SIGTERM))
        assert await broker.process.wait() == 0

    run(story())


def test_a_sighup_within_the_start_is_done_once_it_is_over(tmp_path: Path) -> None:
    async def story() -> None:
        lists = [Discovery(json.dumps(RAW["known"]).encode()) for _ in range(2)]
        broker = Started(tmp_path)
        broker.raw["discovery"] = await lists[0].start()
        lock = await broker.held_in_its_start()
        await broker.start()
        await broker.read_by_process()
        await broker.read_by_process()  # the old address; the start waits for the lock
        moved = tmp_path / "moved.json"
        moved.write_text(json.dumps(broker.raw | {"discovery": await lists[1].start()}))
        await until(lambda: str(broker.place / LOCK) in opened(broker.process.pid))  # it is in its start
        os.replace(moved, broker.path)
        broker.process.send_signal(signal.SIGHUP)
        os.close(lock)
        assert "since" not in await lists[1].asked.get()
        broker.process.send_signal(signal.SIGTERM)
        await broker.says("broker.ended")
        assert await broker.process.wait() == 0

    run(story())


def opened(pid: int) -> set[str]:
    """The files that a process has open."""
    found = set()
    with contextlib.suppress(OSError):  # the process has ended
        for number in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):  # closed meanwhile
                found.add(os.readlink(number))
    return found


def test_the_kill_counts_from_the_signal_though_the_start_takes_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        go, began = asyncio.Event(), []  # type: asyncio.Event, list[float]

        async def start(self: Broker) -> int:
            await go.wait()
            return 0

        async def end(self: Broker, at: float) -> None:
            began.append(at)

        monkeypatch.setattr(Broker, "start", start)
        monkeypatch.setattr(Broker, "end", end)
        monkeypatch.setattr(signal, "pthread_sigmask", lambda *_: None)
        platform = config.parse_platform_config(
            raw() | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}, {}
        )
        loop, stop = asyncio.get_running_loop(), []  # type: asyncio.AbstractEventLoop, list[asyncio.Event]
        made = Broker.__init__

        def make(self: Broker, *given: Any) -> None:
            made(self, *given)
            stop.append(self.stop)

        monkeypatch.setattr(Broker, "__init__", make)
        running = asyncio.create_task(run_broker(platform, config.OperatorConfig(), []))
        await until(lambda: stop)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: stop[0].is_set())
        latest = loop.time()
        os.kill(os.getpid(), signal.SIGTERM)  # a second one moves nothing
        await asyncio.sleep(0.01)
        go.set()
        await running
        assert began and began[0] <= latest

    run(story())


# Connections to nodes.


class Repeating:
    """A node that answers a connection's first request twice, at the latest ahead of its next answer."""

    async def start(self) -> int:
        self.connections, self.writer = 0, None  # type: int, asyncio.StreamWriter | None
        self.last = b""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections, self.writer, self.last = self.connections + 1, writer, b""
        with contextlib.suppress(EOFError, OSError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                name = head.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nto %s" % (len(name) + 3, name)
                writer.write(self.last + answer)
                self.last = answer
        writer.close()


@pytest.mark.parametrize("second", [True, False])
def test_a_second_answer_that_comes_late_is_not_taken_for_that_to_the_next_request(
    second: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It crossed the next request on its way, if that went out at once over the same connection."""
    clock, rests = [100.0], []  # type: list[float], list[float]
    for module in (upstream, connector):
        monkeypatch.setattr(module, "monotonic", lambda: clock[0])
    node = Repeating()

    async def let_rest(pool: upstream.Connector, time: float) -> None:
        rests.append(time)
        clock[0] += time
        if second:
            (((connection, _),),) = pool._conns.values()
            assert node.writer is not None
            node.writer.write(node.last)
            await until(lambda: not connection.is_connected())
        else:
            node.last = b""

    monkeypatch.setattr(upstream.Connector, "_wait_for_reuse", let_rest)

    async def story() -> None:
        port = await node.start()
        async with World(reuse_delay_s=upstream.REUSE_DELAY_S) as world:
            world.members = [Member("d0", f"127.0.0.1:{port}", 0)]
            world.list()
            assert (await world.ask(id="first"))[2] == b"to first"
            clock[0] += upstream.REUSE_DELAY_S / 4
            assert (await world.ask(id="next"))[2] == b"to next"
            assert rests == [pytest.approx(upstream.REUSE_DELAY_S * 3 / 4)] and node.connections == 1 + second

    run(story())


def test_a_place_is_passed_on_by_one_that_leaves_while_its_connection_rests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Woken for the place and gone without a word, it left the next to wait for good."""
    monkeypatch.setattr(connector.random, "shuffle", lambda keys: None)  # who has waited longest is woken
    rests = asyncio.Event()

    async def let_rest(*_: object) -> None:
        rests.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(upstream.Connector, "_wait_for_reuse", let_rest)

    async def story() -> None:
        busy, node = await Node("held ok").start(), await Node().start()
        async with World(busy, node, platform=patient(), reuse_delay_s=1e6) as world:
            world.pool.resize(1)
            first = asyncio.create_task(world.ask(id="first"))
            await busy.until(1)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(id="gone"))
            await until(lambda: len(world.pool._connector._waiters) == 1)
            last = asyncio.create_task(world.ask(id="last", shard=1))
            await until(lambda: len(world.pool._connector._waiters) == 2)
            busy.release.set()
            assert (await first)[0] == 200
            await rests.wait()
            assert len(world.pool._connector._waiters) == 1 and not last.done()
            await leave(writer, "close")
            assert (await last)[2] == b"data of last"
            assert [each["x-request-id"] for each in busy.seen] == ["first"]

    run(story())


# Lists.


async def telling(*steps: bytes | None) -> tuple[str, asyncio.Queue[str]]:
    """A discovery that answers each call with the next of these and then says no more; what it was asked."""
    left, asked = list(steps), asyncio.Queue[str]()

    async def tell(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                asked.put_nowait((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
                step = left.pop(0) if left else None
                if step:
                    writer.write(step)
        except (EOFError, OSError):
            writer.close()

    server = await asyncio.start_server(tell, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}", asked


def told(index: int, whole: bool = True, status: str = "up") -> bytes:
    entry = {"name": "d0", "address": "127.0.0.1:1", "group": 0, "status": status}
    text = json.dumps({"index": index, "snapshot": whole, "endpoints": [entry]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text


@pytest.mark.parametrize("silent_after", [0, 10, 60, 120])  # at once, in the head, behind it, in the body
def test_a_watch_that_falls_silent_is_opened_anew(silent_after: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "WATCH_TIMEOUT_S", 0.2)
    monkeypatch.setattr(watch, "WATCH_SLACK_S", 0.2)

    async def story() -> None:
        news = told(2, False, "draining")
        address, asked = await telling(told(1), news[:silent_after], news)
        async with World() as world:
            watching = asyncio.create_task(watch.watch(world.core, address, {}))
            await until(lambda: world.core.version == 2)
            assert not world.core.ready
            assert ["since" in await asked.get() for _ in range(3)] == [False, True, True]
            watching.cancel()

    run(story())


@pytest.mark.parametrize("known", [False, True])
def test_a_silent_watch_ends_within_what_its_silence_may_take(known: bool) -> None:
    """The library rounds limits of over 5 s up to whole seconds: 6 s were up to 7."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        clock = loop.time
        shift = math.ceil(clock()) + 0.05 - clock()  # a rounding up costs almost a second from here on
        loop.time = lambda: clock() + shift  # type: ignore[method-assign]
        address, asked = await telling(*[told(1)] * known)
        async with World() as world:
            watching = asyncio.create_task(watch.watch(world.core, address, {}))
            for _ in range(1 + known):
                await asked.get()
            began = loop.time()
            ends = min(
                timer.when()
                for timer in loop._scheduled  # type: ignore[attr-defined]
                if not timer.cancelled() and timer.when() > began + 3.0
            )
            assert ends <= began + (6.0 if known else 4.0)
            watching.cancel()

    run(story())


def test_a_discovery_that_tells_changes_for_the_whole_list_is_not_asked_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits: list[float] = []
    asleep = asyncio.sleep

    async def sleep(delay: float, *_: object) -> None:
        waits.append(delay)
        await asleep(0)

    monkeypatch.setattr(watch.asyncio, "sleep", sleep)

    async def story() -> None:
        address, asked = await telling(*[told(1, False)] * 5)
        async with World() as world:
            watching = asyncio.create_task(watch.watch(world.core, address, {}))
            for _ in range(6):
                await asked.get()
            assert len(waits) >= 5 and not world.core.ready
            watching.cancel()

    run(story())


@pytest.mark.parametrize("figure", ["weight", "since_ms"])
@pytest.mark.parametrize("sign", [1, -1])
def test_a_figure_that_no_float_holds_leaves_the_list_as_it_was(figure: str, sign: int) -> None:
    """It ended the watch, and with it the broker."""

    async def story() -> None:
        entry = {"name": "d9", "address": "127.0.0.1:1", "group": 0, "status": "up", figure: sign * 10**400}
        spoilt = json.dumps({"index": 2, "snapshot": True, "endpoints": [entry]}).encode()
        address, asked = await telling(
            told(1), b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(spoilt) + spoilt, told(3)
        )
        async with World() as world:
            watching = asyncio.create_task(watch.watch(world.core, address, {}))
            await until(lambda: watching.done() or world.core.version == 3)
            assert not watching.done() and [m.name for m in world.core.members] == ["d0"]
            watching.cancel()

    run(story())


@pytest.mark.parametrize("news", ["drains", "is out"])
def test_a_drain_told_while_an_attempt_waits_for_a_pool_place_calls_it_off(news: str) -> None:
    async def story() -> None:
        busy, node = await Node("held ok").start(), await Node().start()
        async with World(busy, node, platform=patient(drainGraceNs=10**7)) as world:
            world.pool.resize(1)
            first = asyncio.create_task(world.ask(id="first"))
            await busy.until(1)
            second = asyncio.create_task(world.ask(id="second", shard=1))
            await until(lambda: world.pool._connector._waiters)
            if news == "drains":
                world.members[1] = replace(world.members[1], state=NodeState.DRAINING)
                world.core.update(NodeList(2, False, (world.members[1],)))
            else:
                world.core.maintain(world.core.maintenance.taking_out("d1", 0.0))
            await until(lambda: world.core.endings[Ending.EXPIRED])
            busy.release.set()
            assert (await first)[0] == 200 and (await second)[0] == 503
            assert not node.seen and not node.partial_requests

    run(story())
