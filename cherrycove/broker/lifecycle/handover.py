"""The meeting of two processes of one broker: start lock, handover of the listening sockets, state file.

All processes of a broker share a directory in $TMPDIR. In it lie the Unix socket of the process in service,
the lock of the process that starts, and the maintenance state. What is found there is not trusted, and no
fault there keeps a process from starting: without the directory a broker serves alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import NamedTuple

from cherrycove.broker.core import Maintenance
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.announcement import SOCKET_NAME, broker_directory, short
from cherrycove.broker.lifecycle.link import Link
from cherrycove.broker.lifecycle.messages import (
    HandoverError,
    Message,
    pack_maintenance,
    parse_maintenance,
    parse_message,
)

log = Log("cherrycove.life.handover")

MAINTENANCE_FILE = "maintenance.json"  # file names in the broker's directory
LOCK_FILE = "start.lock"  # locked by the process that starts, until it can be found
LOCK_RETRY_S = 0.02
ANNOUNCEMENT_TIMEOUT_S = 6.0  # in which a process that has announced itself must ask for the handover
# In which a process in service must answer its successor, else it counts as absent. A successor has to serve
# 6 s after its start, of which its imports take up to 2 on a crowded core.
ANSWER_TIMEOUT_S = 2.5
GRANTED = b"\n"  # first byte of an answer; the descriptors come with it, the state behind it
BUSY = b"w"  # the answer of a process that has another beside it already
BUSY_RETRY_S = 0.1
BUSY_TIMEOUT_S = 4.5  # as long as a shutdown may take, and what is left of the 6 s
MAX_MESSAGE_BYTES = 1 << 20
MAX_LISTENERS = 4


TAKEOVER_ERRORS = (OSError, EOFError, HandoverError, asyncio.LimitOverrunError, ValueError)


class TwoLiveError(OSError):
    """Two processes of this broker are alive already, and neither has ended in ``BUSY_TIMEOUT_S``."""


class BusyError(Exception):
    """The process in service has another beside it."""


class Grant(NamedTuple):
    """What the process in service hands to its successor."""

    state: Message
    listeners: list[socket.socket]


class Takeover(NamedTuple):
    """What a successor has received from the process in service."""

    link: Link
    state: Message
    listeners: list[socket.socket]


PendingTakeover = asyncio.Task[Takeover | None]  # ends with None where the process in service has ended


def cancel_takeover(pending: PendingTakeover) -> None:
    """Await a handover no longer, and close its connection."""
    pending.cancel()


class HandoverEndpoint:
    """One process's end of a handover, and the broker's directory. The coordinator owns it.

    Args:
        name: the broker's name.
        listen: host and port of its HTTP server; with the name they identify the broker.
        root: the folder of the directory; $TMPDIR by default.
        on_coming: called when ``coming`` has changed.
    """

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        root: str | None = None,
        on_coming: Callable[[], None] = lambda: None,
    ) -> None:
        self.path = Path(broker_directory(name, *listen, root))
        self.changing = asyncio.Lock()  # of the maintenance state, until a change is stored or undone
        self.coming = 0  # processes that have announced themselves and not asked yet
        self.on_coming = on_coming
        self._server: asyncio.Server | None = None
        self._lock = -1
        self._connections: set[asyncio.Task[None]] = set()
        self._announcements: set[asyncio.Task[None]] = set()  # of these, those that carry an announcement
        try:
            self.path.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    # The start lock.

    async def enter(self) -> None:
        """Acquire the start lock, until ``leave`` or the end of this process.

        Two that start at once would find nobody each, and serve with two budgets. One that stalls as it
        starts delays the next by ``BUSY_TIMEOUT_S``, and no longer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BUSY_TIMEOUT_S
        try:
            self._lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            while not _try_lock(self._lock):
                if loop.time() >= deadline:
                    log.warning("handover.start_not_alone")
                    return
                await asyncio.sleep(LOCK_RETRY_S)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    def leave(self) -> None:
        """Release the start lock: the next process may start."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    # The maintenance state.

    async def save_maintenance(self, state: Maintenance) -> bool:
        """Store the maintenance state; return whether the next start will find it.

        On a thread: a busy disk takes 0.25 s for it, in which the loop would handle no request.
        """
        try:
            await asyncio.to_thread(self._write, json.dumps(pack_maintenance(state)))
        except OSError as error:
            log.error("maintenance.not_kept", why=error)
            return False
        return True

    def _write(self, text: str) -> None:
        fresh = self.path / f"{os.getpid()}.{MAINTENANCE_FILE}"
        fresh.write_text(text)
        os.replace(fresh, self.path / MAINTENANCE_FILE)

    def load_maintenance(self) -> Maintenance:
        """Return the stored maintenance state; the empty one if there is none or it is unreadable."""
        try:
            return parse_maintenance(parse_message((self.path / MAINTENANCE_FILE).read_bytes()))
        except FileNotFoundError:
            return Maintenance()
        except (OSError, HandoverError) as error:
            log.warning("maintenance.unreadable", path=self.path / MAINTENANCE_FILE, why=error)
            return Maintenance()

    # The successor's side.

    async def request_handover(
        self, hello: Message, on_stalled: Callable[[PendingTakeover], None] = cancel_takeover
    ) -> Takeover | None:
        """Ask the process in service for the handover; None if there is none, or it does not answer.

        ``on_stalled`` gets the handover that is still awaited where a process has taken the connection, and
        so is alive, but has not answered in ``ANSWER_TIMEOUT_S``.

        Raises:
            TwoLiveError: it has had another beside it for ``BUSY_TIMEOUT_S``. A third that served at once
                would have half of the budgets beside two others.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BUSY_TIMEOUT_S
        while True:
            try:
                return await self._request_takeover(hello, on_stalled)
            except BusyError as error:
                if loop.time() >= deadline:
                    raise TwoLiveError("two processes of this broker live already") from error
                await asyncio.sleep(BUSY_RETRY_S)

    async def _request_takeover(
        self, hello: Message, on_stalled: Callable[[PendingTakeover], None]
    ) -> Takeover | None:
        pending = asyncio.create_task(self._receive_takeover(hello))
        try:
            done, _ = await asyncio.wait((pending,), timeout=ANSWER_TIMEOUT_S)
        except asyncio.CancelledError:
            pending.cancel()
            raise
        if done:
            return await pending
        log.warning("handover.nobody", why="TimeoutError")
        on_stalled(pending)
        return None

    async def _receive_takeover(self, hello: Message) -> Takeover | None:
        peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        peer.setblocking(False)
        descriptors: list[int] = []
        try:
            await self._send_hello(peer, hello)
            descriptors = await _receive_descriptors(peer)
            reader, writer = await asyncio.open_connection(sock=peer, limit=MAX_MESSAGE_BYTES)
            state = parse_message(await reader.readline())
            listeners = [socket.socket(fileno=number) for number in descriptors]
            return Takeover(Link(reader, writer), state, listeners)
        except BaseException as error:
            for number in descriptors:
                os.close(number)
            peer.close()
            if not isinstance(error, TAKEOVER_ERRORS):
                raise  # it is busy, or this process ends
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("handover.nobody", why=str(error) or type(error).__name__)
            return None

    async def _send_hello(self, peer: socket.socket, hello: Message) -> None:
        loop = asyncio.get_running_loop()
        with short(self.path) as folder:
            await loop.sock_connect(peer, f"{folder}/{SOCKET_NAME}")
        await loop.sock_sendall(peer, json.dumps(hello).encode() + b"\n")

    # The predecessor's side.

    async def await_successor(
        self,
        grant: Callable[[Message], Grant | None],
        on_link: Callable[[Link], Awaitable[None]],
        on_lost: Callable[[], object] = lambda: None,
    ) -> None:
        """Listen for the next process, in place of whichever was listening, and release the start lock.

        Args:
            grant: returns what to hand over, or None if the process has to ask again.
            on_link: runs as long as the link to the successor.
            on_lost: called if the successor was lost between the grant and the link.
        """
        own_name = f"{os.getpid()}.sock"
        serve = partial(self._serve, grant, on_link, on_lost)
        if self._server is not None:
            self._server.close()  # another process has taken its name since
        try:
            with short(self.path) as folder:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(f"{folder}/{own_name}")
                self._server = await asyncio.start_unix_server(
                    serve, f"{folder}/{own_name}", limit=MAX_MESSAGE_BYTES
                )
            # Replaces whatever lies there, of the predecessor or of a process that died long ago.
            os.replace(self.path / own_name, self.path / SOCKET_NAME)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error)
        finally:
            self.leave()

    async def _serve(
        self,
        grant: Callable[[Message], Grant | None],
        on_link: Callable[[Link], Awaitable[None]],
        on_lost: Callable[[], object],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection: an announcement, or a request for the handover."""
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        try:
            hello = parse_message(await reader.readline())
            if "coming" in hello:
                await self._await_request(reader, connection)
                return
            granted = grant(hello)
            if granted is None:
                writer.write(BUSY)
                return
            try:
                _send_grant(writer, *granted)
            except (OSError, ValueError):
                on_lost()
                raise
            await on_link(Link(reader, writer))
        except (OSError, ValueError) as error:
            log.warning("handover.came_to_nothing", why=error)
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _await_request(self, reader: asyncio.StreamReader, connection: asyncio.Task[None]) -> None:
        """Count an announced process until it closes its announcement, dies, or has had its time."""
        self.coming += 1
        self.on_coming()
        self._announcements.add(connection)
        try:
            async with asyncio.timeout(ANNOUNCEMENT_TIMEOUT_S):
                await reader.read()
        except TimeoutError:
            pass
        finally:
            self._announcements.discard(connection)
            self.coming -= 1
            self.on_coming()

    async def close(self) -> None:
        """Stop listening, and wait for the connections; their links are closed by the coordinator."""
        if self._server is not None:
            self._server.close()
        for announcement in self._announcements:
            announcement.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _send_grant(writer: asyncio.StreamWriter, state: Message, listeners: list[socket.socket]) -> None:
    with writer.get_extra_info("socket").dup() as peer:
        socket.send_fds(peer, [GRANTED], [each.fileno() for each in listeners])
    writer.write(json.dumps(state).encode() + b"\n")


async def _receive_descriptors(peer: socket.socket) -> list[int]:
    """Receive the listening sockets; BusyError if the other has to be asked again."""
    loop = asyncio.get_running_loop()
    readable = loop.create_future()
    loop.add_reader(peer, _wake, readable)
    try:
        await readable
    finally:
        loop.remove_reader(peer)
    # One byte and no more: the descriptors come with it, and the state behind it is read as a stream.
    first, descriptors, _, _ = socket.recv_fds(peer, 1, MAX_LISTENERS)
    if first == BUSY:
        raise BusyError
    if not first or not descriptors:
        raise HandoverError("it hands nothing over")
    return descriptors


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
