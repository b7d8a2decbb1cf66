"""Two events that cross: real connections, and the bad order made to happen each time.

One side is held at a barrier (credit that is spent, room that is taken, a node that answers when told), the
other event is awaited, then the barrier is lifted. docs/design/crossings.md names each pair.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from support import Node, World, message, run

from cherrycove.core import Request

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: the end of the connection is a reset


class Held:
    """The module's hand is held back: what comes waits, as for credit, until ``free``."""

    def __init__(self, world: World) -> None:
        self._core, self._handle = world.core, world.core._scheduler.handle
        self.came = asyncio.Condition()
        self._events: list[object] = []
        world.core._scheduler.handle = self._hold  # type: ignore[method-assign]

    def _hold(self, now: float, events: list[object]) -> list[object]:
        self._events += events
        return []

    def free(self) -> None:
        self._core._scheduler.handle = self._handle  # type: ignore[method-assign]
        self._core._events = self._events + self._core._events  # type: ignore[assignment,operator]
        self._core.tick()


async def counted(core: object, what: str, least: int = 1) -> None:
    """Until the core has counted so many."""
    while core.counts[what] < least:  # type: ignore[attr-defined]
        await asyncio.sleep(0.001)


async def leave(writer: asyncio.StreamWriter, how: str) -> None:
    if how == "reset":
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
    else:
        writer.close()


async def nothing_came(world: World, node: Node) -> None:
    """The node has seen no byte: a later request, which it serves, is the first."""
    status, _, body = await world.ask(id="later")
    assert (status, body) == (200, b"data of later")
    assert [each["x-request-id"] for each in node.seen] == ["later"] and node.connections == 1


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
    """Guard: while a connection's buffer is full nobody reads it, and its end was not seen."""
    async def story() -> None:
        node = await Node().start()
        async with World(node) as world:
            held = Held(world)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(WAITS[sends])
            await counted(world.core, "taken")
            await leave(writer, how)
            await counted(world.core, "client gone")
            held.free()
            await nothing_came(world, node)
            assert world.core.open_requests == 0 and world.front.room.held == 0
    run(story())
