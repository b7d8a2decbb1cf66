"""The handover between two processes of one broker: start lock, transfer of listening sockets, state file.

All processes of a broker share a directory in $TMPDIR. It contains the Unix socket of the process in service,
the lock of the process that starts, and the maintenance state. Its contents are not trusted, and no error
there prevents a process from starting: without the directory a broker serves without handover.
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
from cherrycove.broker.lifecycle.announcement import SOCKET_NAME, broker_directory, short_path
from cherrycove.broker.lifecycle.link import Link
from cherrycove.broker.lifecycle.messages import (
    HandoverError,
    Message,
    pack_maintenance,
    parse_maintenance,
    parse_message,
)

log = Log("cherrycove.life.handover")

# File names in the broker's directory.
MAINTENANCE_FILE = "maintenance.json"
LOCK_FILE = "start.lock"  # locked by the starting process until it listens for its successor
LOCK_RETRY_S = 0.02
ANNOUNCEMENT_TIMEOUT_S = 6.0  # an announced process must request the handover within this time
# A successor has to serve within 6 s of its start, of which its imports take up to 2 s on a busy core. It
# starts to serve on its own if the process in service has not answered within this time.
ANSWER_TIMEOUT_S = 2.5
GRANTED = b"\n"  # first byte of a grant; the descriptors are attached to it, and the state follows it
BUSY = b"w"  # the answer of a process that already has a predecessor or a successor
BUSY_RETRY_S = 0.1
BUSY_TIMEOUT_S = 4.5  # the longest duration of a shutdown; also what remains of the 6 s
MAX_MESSAGE_BYTES = 1 << 20
MAX_LISTENERS = 4

TAKEOVER_ERRORS = (OSError, EOFError, HandoverError, asyncio.LimitOverrunError, ValueError)


class TwoProcessesAliveError(OSError):
    """Two processes of this broker are already alive, and neither has ended within ``BUSY_TIMEOUT_S``."""


class BusyError(Exception):
    """The process in service already has a predecessor or a successor."""


class Grant(NamedTuple):
    """The state and listening sockets that the process in service hands over to its successor."""

    state: Message
    listeners: list[socket.socket]


class Takeover(NamedTuple):
    """The link, state and listening sockets that a successor has received from the process in service."""

    link: Link
    state: Message
    listeners: list[socket.socket]


PendingTakeover = asyncio.Task[Takeover | None]  # returns None if the process in service has ended


def cancel_takeover(pending: PendingTakeover) -> None:
    """Stop waiting for a handover, and close its connection."""
    pending.cancel()


class HandoverEndpoint:
    """One process's side of the handover protocol, and the broker's directory. The coordinator owns it.

    Args:
        name: the broker's name.
        listen: host and port of its HTTP server; with the name they identify the broker.
        root: the parent of the broker's directory; $TMPDIR by default.
        on_announcements_changed: called when ``announcement_count`` has changed.
    """

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        root: str | None = None,
        on_announcements_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.path = Path(broker_directory(name, *listen, root))
        self.maintenance_lock = asyncio.Lock()  # held until a change of the state is stored or undone
        self.announcement_count = 0  # processes announced that have not requested the handover yet
        self.on_announcements_changed = on_announcements_changed
        self._server: asyncio.Server | None = None
        self._lock_descriptor = -1
        self._connections: set[asyncio.Task[None]] = set()
        self._announcements: set[asyncio.Task[None]] = set()  # the connections that carry an announcement
        try:
            self.path.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    # The start lock.

    async def acquire_start_lock(self) -> None:
        """Acquire the start lock, which is held until ``release_start_lock`` or the end of this process.

        Without it, two processes that start at the same time would both find no predecessor, and each would
        serve with a whole budget. A process that stalls during its start delays the next by
        ``BUSY_TIMEOUT_S`` at most: that one then starts without the lock.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BUSY_TIMEOUT_S
        try:
            self._lock_descriptor = os.open(
                self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            while not _try_lock(self._lock_descriptor):
                if loop.time() >= deadline:
                    log.warning("handover.start_not_alone")
                    return
                await asyncio.sleep(LOCK_RETRY_S)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    def release_start_lock(self) -> None:
        """Release the start lock, so that the next process may start."""
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    # The maintenance state.

    async def save_maintenance(self, state: Maintenance) -> bool:
        """Store the maintenance state; return whether it was written, so that the next process finds it.

        Runs on a thread: a busy disk takes 0.25 s for it, during which the loop would handle no request.
        """
        try:
            await asyncio.to_thread(self._write, json.dumps(pack_maintenance(state)))
        except OSError as error:
            log.error("maintenance.not_kept", why=error)
            return False
        return True

    def _write(self, text: str) -> None:
        temporary = self.path / f"{os.getpid()}.{MAINTENANCE_FILE}"
        temporary.write_text(text)
        os.replace(temporary, self.path / MAINTENANCE_FILE)

    def load_maintenance(self) -> Maintenance:
        """Return the stored maintenance state, or an empty one if there is none or it is unreadable."""
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
        """Request the handover from the process in service; return None if there is none or no answer.

        ``on_stalled`` receives the pending takeover if a process has accepted the connection, and so is
        alive, but has not answered within ``ANSWER_TIMEOUT_S``.

        Raises:
            TwoProcessesAliveError: if the process in service has answered BUSY for ``BUSY_TIMEOUT_S``. A
                third process that served at once would use half of the budgets in addition to the two others.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BUSY_TIMEOUT_S
        while True:
            try:
                return await self._request_takeover(hello, on_stalled)
            except BusyError as error:
                if loop.time() >= deadline:
                    raise TwoProcessesAliveError(
                        f"two processes of this broker are alive and neither ended within {BUSY_TIMEOUT_S} s"
                    ) from error
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
        writer: asyncio.StreamWriter | None = None
        try:
            await self._send_hello(peer, hello)
            descriptors = await _receive_descriptors(peer)
            reader, writer = await asyncio.open_connection(sock=peer, limit=MAX_MESSAGE_BYTES)
            state = parse_message(await reader.readline())
            listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            return Takeover(Link(reader, writer), state, listeners)
        except BaseException as error:
            for descriptor in descriptors:
                os.close(descriptor)
            if writer is not None:
                writer.transport.abort()  # it owns the socket
            else:
                peer.close()
            if not isinstance(error, TAKEOVER_ERRORS):
                raise  # BusyError, or the task was cancelled
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("handover.nobody", why=str(error) or type(error).__name__)
            return None

    async def _send_hello(self, peer: socket.socket, hello: Message) -> None:
        loop = asyncio.get_running_loop()
        with short_path(self.path) as directory:
            await loop.sock_connect(peer, f"{directory}/{SOCKET_NAME}")
        await loop.sock_sendall(peer, json.dumps(hello).encode() + b"\n")

    # The predecessor's side.

    async def await_successor(
        self,
        grant: Callable[[Message], Grant | None],
        on_link: Callable[[Link], Awaitable[None]],
        on_lost: Callable[[], object] = lambda: None,
    ) -> None:
        """Listen for the next process in place of the one that listened so far, and release the start lock.

        Args:
            grant: returns what to hand over, or None if the other process has to request it again.
            on_link: runs the link to the successor until the link is closed.
            on_lost: called if the grant could not be sent to the successor.
        """
        own_socket_name = f"{os.getpid()}.sock"
        serve = partial(self._serve, grant, on_link, on_lost)
        if self._server is not None:
            self._server.close()  # another process has replaced its socket file since
        try:
            with short_path(self.path) as directory:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(f"{directory}/{own_socket_name}")
                self._server = await asyncio.start_unix_server(
                    serve, f"{directory}/{own_socket_name}", limit=MAX_MESSAGE_BYTES
                )
            # Replaces any existing file: the predecessor's socket, or that of a process that died long ago.
            os.replace(self.path / own_socket_name, self.path / SOCKET_NAME)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error)
        finally:
            self.release_start_lock()

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
        """Count an announced process until its connection closes, for ``ANNOUNCEMENT_TIMEOUT_S`` at most."""
        self.announcement_count += 1
        self.on_announcements_changed()
        self._announcements.add(connection)
        try:
            async with asyncio.timeout(ANNOUNCEMENT_TIMEOUT_S):
                await reader.read()
        except TimeoutError:
            pass
        finally:
            self._announcements.discard(connection)
            self.announcement_count -= 1
            self.on_announcements_changed()

    async def close(self) -> None:
        """Stop listening, and wait until all connections are closed; the coordinator closes the links."""
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
        socket.send_fds(peer, [GRANTED], [listener.fileno() for listener in listeners])
    writer.write(json.dumps(state).encode() + b"\n")


async def _receive_descriptors(peer: socket.socket) -> list[int]:
    """Receive the descriptors of the listening sockets.

    Raises:
        BusyError: if the handover has to be requested again.
        HandoverError: if the other process sent no descriptors.
    """
    loop = asyncio.get_running_loop()
    readable = loop.create_future()
    loop.add_reader(peer, _wake, readable)
    try:
        await readable
    finally:
        loop.remove_reader(peer)
    # Reads a single byte: the descriptors are attached to it, and the state that follows is read as a stream.
    first, descriptors, _, _ = socket.recv_fds(peer, 1, MAX_LISTENERS)
    if first == BUSY:
        raise BusyError
    if not first or not descriptors:
        raise HandoverError("the process in service sent no listening sockets")
    return descriptors


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
