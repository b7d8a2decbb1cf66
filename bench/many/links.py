"""Links: relays between two parties that can be cut, delayed, slowed, reset, or made to lose datagrams.

It owns every byte between the parties of a rig. It must never read or change one, and never make up one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

PIECE = 16 * 1024
LINGER = struct.pack("ii", 1, 0)  # a close with this set is a reset


@dataclass(slots=True)
class Way:
    """One direction of a link. Times are seconds."""

    open: bool = True  # False: bytes are kept until it is open again
    delay: float = 0.0
    rate: float = 0.0  # bytes a second; 0: any
    lost: float = 0.0  # part of datagrams that never come
    twice: float = 0.0  # part that come twice
    late: float = 0.0  # the longest that one is held back by itself, so that others overtake it


@dataclass(slots=True, eq=False)
class Link:
    """A stream between ``name`` and where it leads. New connections find it as it is then."""

    name: str
    target: Callable[[], tuple[str, int]]
    there: Way = field(default_factory=Way)
    back: Way = field(default_factory=Way)
    refuses: bool = False  # new connections are reset at once
    port: int = 0
    opened: int = 0  # connections, since the start
    at: list[float] = field(default_factory=list)  # when each was opened, on the loop's clock
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> Link:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def set(self, **changes: object) -> None:
        """Change both directions, for example ``set(open=False)``."""
        for way in (self.there, self.back):
            for name, value in changes.items():
                setattr(way, name, value)
        self.changed()

    def changed(self) -> None:
        """To be called once a direction has been changed by hand."""
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Break every open connection."""
        for writer in list(self._open):
            _reset(writer)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.at.append(asyncio.get_running_loop().time())
        if self.refuses:
            return _reset(writer)
        try:
            while not self.there.open:
                await self._changed.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target())
        except (OSError, asyncio.CancelledError):
            return _reset(writer)
        self._open |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, self.there), self._pump(far_reader, writer, self.back)
            )
        except OSError:
            _reset(writer)
            _reset(far_writer)
        except asyncio.CancelledError:
            pass  # the rig ends; the library would report it as a fault
        finally:
            self._open -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        while piece := await reader.read(PIECE):
            if way.delay:
                await asyncio.sleep(way.delay)
            if way.rate:
                await asyncio.sleep(len(piece) / way.rate)
            while not way.open:
                await self._changed.wait()
            writer.write(piece)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    own = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


class Datagrams(asyncio.DatagramProtocol):
    """A relay for datagrams from one party to another; loss, doubling and order come from a seed."""

    def __init__(self, target: tuple[str, int], way: Way, dice: random.Random) -> None:
        self._target, self.way, self._dice = target, way, dice
        self.passed = self.dropped = 0
        self._transport: asyncio.DatagramTransport | None = None
        self.port = 0

    async def start(self) -> Datagrams:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        way, dice = self.way, self._dice
        if not way.open or dice.random() < way.lost:
            self.dropped += 1
            return
        loop = asyncio.get_running_loop()
        for _ in range(2 if dice.random() < way.twice else 1):
            loop.call_later(way.delay + dice.uniform(0.0, way.late), self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.passed += 1
            self._transport.sendto(data, self._target)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
