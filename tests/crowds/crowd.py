"""Crowds of clients on loopback that make a process hold as much as the protocol lets them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from types import TracebackType

import attrs

from examples.small_tier import until

SEND_BYTES = 64 * 1024  # passed to the socket at a time
RESTING_POLLS = 20  # polls without a byte sent after which a crowd cannot send more
BYTES_PER_KIB = 1024


@attrs.frozen
class ProcessUsage:
    """What one process uses, as the kernel counts it."""

    peak_resident_bytes: int
    open_descriptors: int

    @classmethod
    def of(cls, process_id: int) -> ProcessUsage:
        """Read the usage of a running process from /proc; raises ``OSError`` if it has ended."""
        folder = Path("/proc") / str(process_id)
        lines = (folder / "status").read_text().splitlines()
        peak_kib = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
        return cls(peak_kib * BYTES_PER_KIB, len(list((folder / "fd").iterdir())))


@attrs.define(eq=False)
class CrowdClient:
    """One connection that sends its payload as fast as it is read, then stays open without reading."""

    address: str
    payload: Sequence[bytes]
    receive_buffer_bytes: int = 0  # 0: the system's choice
    sent_bytes: int = 0
    is_refused: bool = False  # the connection was closed by the process, or could not be opened
    _socket: socket.socket | None = None

    async def run(self) -> None:
        """Connect and send; returns once everything is sent or the connection is lost."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if self.receive_buffer_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        try:
            await loop.sock_connect(self._socket, (host, int(port)))
            for part in self.payload:
                await self._send(memoryview(part))
        except OSError:
            self.is_refused = True

    async def _send(self, part: memoryview) -> None:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        for start in range(0, len(part), SEND_BYTES):
            piece = part[start : start + SEND_BYTES]
            await loop.sock_sendall(self._socket, piece)
            self.sent_bytes += len(piece)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()


@attrs.define(eq=False)
class Crowd:
    """Clients that connect and send at the same time; an asynchronous context manager that closes them."""

    clients: Sequence[CrowdClient]
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list, init=False)
    _sent_before: int = attrs.field(default=-1, init=False)
    _polls_at_rest: int = attrs.field(default=0, init=False)

    async def __aenter__(self) -> Crowd:
        self._tasks = [asyncio.create_task(client.run()) for client in self.clients]
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task
        for client in self.clients:
            client.close()

    async def wait_until_at_rest(self) -> None:
        """Wait until every client has sent everything, was refused, or is not being read."""
        await until("the crowd has sent what it can", self._is_at_rest, within_s=60.0)

    async def _is_at_rest(self) -> bool:
        if all(task.done() for task in self._tasks):
            return True
        sent_bytes = sum(client.sent_bytes for client in self.clients)
        self._polls_at_rest = self._polls_at_rest + 1 if sent_bytes == self._sent_before else 0
        self._sent_before = sent_bytes
        return self._polls_at_rest >= RESTING_POLLS


def crowd_of(count: int, address: str, *payload: bytes, receive_buffer_bytes: int = 0) -> Crowd:
    """Return a crowd whose ``count`` clients all send ``payload`` to ``address`` (host:port)."""
    return Crowd([CrowdClient(address, payload, receive_buffer_bytes) for _ in range(count)])


async def answered(request: Callable[[], Awaitable[int]], status: int = 200) -> None:
    """Wait until one ordinary request is answered with ``status``; a refused one is repeated."""

    async def is_answered() -> bool:
        return await request() == status

    await until(f"an ordinary request is answered with {status}", is_answered)
