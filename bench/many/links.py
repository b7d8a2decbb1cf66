"""Proxies between two parties that can block, delay, throttle and reset streams, or lose datagrams.

All traffic between the parties of a rig passes through them. They do not interpret, change or add bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

CHUNK_SIZE = 16 * 1024
LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0: close sends a reset


@dataclass(slots=True)
class Direction:
    """Holds the settings of one direction of a link. Times are seconds."""

    open: bool = True  # False: bytes are held back until it is open again
    delay: float = 0.0
    rate: float = 0.0  # bytes per second; 0: unlimited
    loss: float = 0.0  # fraction of datagrams that are lost
    duplication: float = 0.0  # fraction that are delivered twice
    jitter: float = 0.0  # longest random delay of one datagram, which reorders them


@dataclass(slots=True, eq=False)
class Link:
    """A TCP proxy; each new connection is connected to what ``target`` returns then."""

    name: str
    target: Callable[[], tuple[str, int]]
    forward: Direction = field(default_factory=Direction)
    backward: Direction = field(default_factory=Direction)
    refuses: bool = False  # new connections are reset at once
    port: int = 0
    opened: int = 0  # connections accepted since the start
    opened_at: list[float] = field(default_factory=list)  # time of each, on the loop's clock
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> Link:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def set(self, **changes: object) -> None:
        """Change both directions, for example ``set(open=False)``."""
        for direction in (self.forward, self.backward):
            for name, value in changes.items():
                setattr(direction, name, value)
        self.changed()

    def changed(self) -> None:
        """Wake up waiting streams; call it after setting an attribute of a direction directly."""
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open):
            _reset(writer)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.opened_at.append(asyncio.get_running_loop().time())
        if self.refuses:
            return _reset(writer)
        try:
            while not self.forward.open:
                await self._changed.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target())
        except (OSError, asyncio.CancelledError):
            return _reset(writer)
        self._open |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, self.forward), self._pump(far_reader, writer, self.backward)
            )
        except OSError:
            _reset(writer)
            _reset(far_writer)
        except asyncio.CancelledError:
            pass  # the rig is closing; asyncio would log the cancellation as an error
        finally:
            self._open -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while chunk := await reader.read(CHUNK_SIZE):
            if direction.delay:
                await asyncio.sleep(direction.delay)
            if direction.rate:
                await asyncio.sleep(len(chunk) / direction.rate)
            while not direction.open:
                await self._changed.wait()
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    own = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    writer.transport.abort()


class DatagramProxy(asyncio.DatagramProtocol):
    """Forwards datagrams in one direction; ``rng`` decides on loss, duplication and reordering."""

    def __init__(self, target: tuple[str, int], direction: Direction, rng: random.Random) -> None:
        self._target, self.direction, self._rng = target, direction, rng
        self.forwarded = self.dropped = 0
        self._transport: asyncio.DatagramTransport | None = None
        self.port = 0

    async def start(self) -> DatagramProxy:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        direction, rng = self.direction, self._rng
        if not direction.open or rng.random() < direction.loss:
            self.dropped += 1
            return
        loop = asyncio.get_running_loop()
        for _ in range(2 if rng.random() < direction.duplication else 1):
            loop.call_later(direction.delay + rng.uniform(0.0, direction.jitter), self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.forwarded += 1
            self._transport.sendto(data, self._target)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
