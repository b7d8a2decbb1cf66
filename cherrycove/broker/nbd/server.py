"""The NBD server: accepts clients and runs handshake and session on each connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.listening_socket import bind_listening_socket
from cherrycove.broker.nbd._codec import ProtocolError
from cherrycove.broker.nbd._constants import MAX_PAYLOAD_BYTES
from cherrycove.broker.nbd._handshake import Handshake, NegotiatedExport
from cherrycove.broker.nbd._session import TransmissionSession
from cherrycove.broker.nbd.client import ConnectionPool
from cherrycove.broker.nbd.config import Export, NbdConfig

log = Log("cherrycove.nbd")

_HANDSHAKE_TIMEOUT_S = 10.0
_READ_BUFFER_BYTES = 2 * MAX_PAYLOAD_BYTES


class Server:
    """Serves NBD clients.

    The broker owns it: it listens, may hand its listener to another process, drains (it rejects new mounts
    and serves mounted exports) and closes. It owns a task for each connection; a protocol violation by a
    client closes only that client's connection.
    """

    listener: socket.socket  #: the listening socket; set by ``listen``

    def __init__(self, core: Core, pool: ConnectionPool, config: NbdConfig) -> None:
        """Create a server that does not listen yet; the caller closes ``pool``."""
        self._core = core
        self._pool = pool
        self._config = config
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_draining = False
        self._closed_exports: set[str] = set()
        self._server: asyncio.Server | None = None
        self._additional_servers: list[asyncio.Server] = []  # on sockets of a process that responded late

    async def listen(self, inherited: socket.socket | None = None) -> int:
        """Start to accept clients; return the port.

        ``inherited`` is a listening socket opened by another process; None to open one.
        """
        self.listener = inherited or bind_listening_socket(*self._config.listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientProtocol(self._serve_client), sock=self.listener
        )
        port: int = self.listener.getsockname()[1]
        return port

    async def accept_also(self, inherited: socket.socket) -> None:
        """Accept clients also from this socket until this process hands over or closes."""
        self._additional_servers.append(
            await asyncio.get_running_loop().create_server(
                lambda: ClientProtocol(self._serve_client), sock=inherited
            )
        )

    def hand_over(self) -> socket.socket:
        """Stop accepting; return a duplicate of the listening socket, from which ``listen`` can resume."""
        duplicate = self.listener.dup()
        self._close_additional_servers()
        if self._server is not None:
            self._server.close()
        return duplicate

    def drain(self) -> None:
        """Reject all further mounts; mounted exports are served until ``close``."""
        self._is_draining = True

    def close_export(self, name: str) -> None:
        """Reject mounts of an export; clients that have mounted it are still served."""
        self._closed_exports.add(name)

    def reopen_export(self, name: str) -> None:
        """Allow mounts of an export again."""
        self._closed_exports.discard(name)

    def _close_additional_servers(self) -> None:
        for server in self._additional_servers:
            server.close()
        self._additional_servers.clear()

    async def close(self) -> None:
        """Stop reading commands, reply to those in flight, then close all connections."""
        self._close_additional_servers()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_export(self, name: str) -> Export | None:
        if self._is_draining or name in self._closed_exports:
            return None
        return self._config.exports.get(name)

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is None or len(self._tasks) >= self._config.connections:
            log.warning("nbd.client_turned_away", connected=len(self._tasks))
            writer.transport.abort()
            return
        self._tasks.add(task)
        try:
            await self._run_phases(reader, writer)
        except ProtocolError as error:
            log.warning("nbd.client_cut_off", why=error)
        except asyncio.CancelledError:
            pass  # cancelled by close; the session has replied to the commands it had read
        except (OSError, EOFError):
            pass  # the client has disconnected
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _run_phases(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = writer.transport.get_protocol()
        negotiated = await self._negotiate(reader, writer)
        if negotiated is None or not isinstance(protocol, ClientProtocol):
            return
        session = TransmissionSession(self._core, self._pool, self._config, negotiated, reader, writer)
        protocol.on_disconnected = session.on_disconnected
        await session.run()

    async def _negotiate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> NegotiatedExport | None:
        handshake = Handshake(reader, writer, self._config.exports, self._find_export)
        async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
            return await handshake.run()


class ClientProtocol(asyncio.StreamReaderProtocol):
    """Notifies a session of the client's disconnection even while the session reads nothing."""

    def __init__(
        self, serve_client: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        """Create a protocol that runs ``serve_client`` as the task of the connection."""
        self.on_disconnected: Callable[[], None] | None = None
        super().__init__(asyncio.StreamReader(limit=_READ_BUFFER_BYTES), serve_client)

    def eof_received(self) -> bool | None:
        """Handle the end of the client's stream."""
        self._notify_disconnected()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a connection closed by either side."""
        self._notify_disconnected()
        super().connection_lost(exc)

    def _notify_disconnected(self) -> None:
        if self.on_disconnected is not None:
            self.on_disconnected()
