"""NBD connections to storage nodes, and the backend that sends a client's command over them."""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import NamedTuple

from cherrycove.broker.core import Attempt, Ending, Reply
from cherrycove.broker.event_log import Log
from cherrycove.broker.nbd._codec import (
    CommandReply,
    CommandRequest,
    NbdError,
    ProtocolError,
    pack_go_data,
    pack_option,
    read_fields,
    read_option_reply,
    read_reply,
)
from cherrycove.broker.nbd._constants import (
    GREETING_MAGIC,
    MAX_OPTIONS,
    OPTION_ERROR_BIT,
    OPTION_MAGIC,
    Command,
    Errno,
    HandshakeFlag,
    InfoType,
    Option,
    OptionReplyType,
    TransmissionFlag,
)
from cherrycove.broker.nbd._flush_tracking import UnflushedWrites
from cherrycove.broker.nbd.config import Export, NbdConfig

log = Log("cherrycove.nbd")

_MAX_IDLE_S = 10.0
_MAX_IDLE_CONNECTIONS = 8  # per node and export
_REQUIRED_FOR_WRITES = int(TransmissionFlag.SEND_FLUSH | TransmissionFlag.CAN_MULTI_CONN)
_CLIENT_FLAGS = int(HandshakeFlag.FIXED_NEWSTYLE | HandshakeFlag.NO_ZEROES)


class ExportUnavailableError(NbdError):
    """The node speaks NBD but does not offer the export with the required features."""


class _Endpoint(NamedTuple):
    host: str
    port: int
    export: str


@dataclass(slots=True, eq=False)
class _Connection:
    """A negotiated connection to one export of one node; ``last_used_s`` is event loop time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    structured: bool
    last_used_s: float = 0.0
    last_cookie: int = 0

    def abort(self) -> None:
        """Close at once; buffered data is discarded."""
        self.writer.transport.abort()

    def is_reusable(self, now_s: float) -> bool:
        """Return whether it has been idle for less than ``_MAX_IDLE_S`` and is open on both sides."""
        is_recent = now_s - self.last_used_s < _MAX_IDLE_S
        return is_recent and not self.reader.at_eof() and not self.writer.is_closing()


class ConnectionPool:
    """A pool of connections to exports of nodes. Each carries one command at a time.

    The broker owns the pool and closes it after the server. A connection is closed and not reused after any
    failure on it and after the cancellation of the task that uses it.
    """

    def __init__(self, config: NbdConfig, dial_timeout_s: float, max_connections: int) -> None:
        """Create an empty pool of at most ``max_connections`` connections in use at the same time.

        ``dial_timeout_s`` limits the time for connecting and negotiating.
        """
        self._config = config
        self._dial_timeout_s = dial_timeout_s
        self._idle: dict[_Endpoint, deque[_Connection]] = {}
        self._slots = asyncio.Semaphore(max_connections)
        self._unflushed: dict[str, UnflushedWrites] = {}  # by export

    def unflushed_writes(self, export: str) -> UnflushedWrites:
        """Return the tracker for the writes of all clients to this export."""
        return self._unflushed.setdefault(export, UnflushedWrites())

    @asynccontextmanager
    async def connection(self, attempt: Attempt, export: str) -> AsyncIterator[_Connection]:
        """Lend a connection with no command in flight; it is reused only if the block raises no exception.

        Raises:
            ExportUnavailableError: if the node does not offer the export as needed.
            ProtocolError: if the node violates the protocol in the handshake.
            OSError, EOFError: if the connection cannot be made.
        """
        endpoint = self._endpoint(attempt, export)
        async with self._slots:
            connection = self._take_idle(endpoint) or await self._connect(endpoint)
            is_reusable = False
            try:
                yield connection
                is_reusable = True
            finally:
                self._release(endpoint, connection, is_reusable=is_reusable)

    def _endpoint(self, attempt: Attempt, export: str) -> _Endpoint:
        listed_host = attempt.address.rpartition(":")[0].strip("[]")
        host, port = self._config.nodes.get(attempt.node, (listed_host, self._config.node_port))
        return _Endpoint(host, port, export)

    def _release(self, endpoint: _Endpoint, connection: _Connection, *, is_reusable: bool) -> None:
        idle = self._idle.setdefault(endpoint, deque())
        if is_reusable and len(idle) < _MAX_IDLE_CONNECTIONS:
            connection.last_used_s = asyncio.get_running_loop().time()
            idle.append(connection)
        else:
            connection.abort()

    def _take_idle(self, endpoint: _Endpoint) -> _Connection | None:
        idle = self._idle.get(endpoint, deque())
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, endpoint: _Endpoint) -> _Connection:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(self._dial_timeout_s):
                reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
                structured = await _negotiate(reader, writer, endpoint.export)
                return _Connection(reader, writer, structured)
        except BaseException:
            if writer is not None:
                writer.transport.abort()
            raise

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()


async def _negotiate(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, export: str) -> bool:
    """Handshake as a client (section "Fixed newstyle negotiation"); return whether replies are structured."""
    magic, style, flags = await read_fields(reader, ">QQH")
    is_newstyle = magic == GREETING_MAGIC and style == OPTION_MAGIC
    if not is_newstyle or not flags & HandshakeFlag.FIXED_NEWSTYLE:
        raise ProtocolError("greeting without fixed newstyle negotiation")
    writer.write(struct.pack(">I", flags & _CLIENT_FLAGS) + pack_option(Option.STRUCTURED_REPLY))
    kind, _ = await read_option_reply(reader, Option.STRUCTURED_REPLY)
    structured = kind == OptionReplyType.ACK
    writer.write(pack_option(Option.GO, pack_go_data(export)))
    _check_is_usable(await _read_transmission_flags(reader))
    return structured


async def _read_transmission_flags(reader: asyncio.StreamReader) -> int:
    """Read the replies to GO up to its acknowledgement; return the export's transmission flags."""
    transmission_flags = 0
    for _ in range(MAX_OPTIONS):
        kind, data = await read_option_reply(reader, Option.GO)
        if kind == OptionReplyType.ACK:
            return transmission_flags
        if kind & OPTION_ERROR_BIT:
            raise ExportUnavailableError(f"node rejected the export with reply type {kind:#x}")
        if _is_export_info(kind, data):
            (transmission_flags,) = struct.unpack_from(">H", data, 10)
    raise ProtocolError(f"GO not acknowledged within {MAX_OPTIONS} replies")


def _is_export_info(kind: int, data: bytes) -> bool:
    return kind == OptionReplyType.INFO and len(data) == 12 and data[:2] == struct.pack(">H", InfoType.EXPORT)


def _check_is_usable(transmission_flags: int) -> None:
    """Raise ExportUnavailableError for a writable export whose flush covers only one connection."""
    if transmission_flags & TransmissionFlag.READ_ONLY:
        return
    if transmission_flags & _REQUIRED_FOR_WRITES != _REQUIRED_FOR_WRITES:
        raise ExportUnavailableError("flush on the node does not cover writes of other connections")


class CommandBackend:
    """Sends one client's command to the node of each attempt; implements the core's ``Backend``.

    ``errno`` is the error in the latest reply of a node, 0 for none.
    """

    def __init__(self, pool: ConnectionPool, export: Export, request: CommandRequest, payload: bytes) -> None:
        """Create a backend for one command; ``payload`` is a WRITE's data, otherwise empty."""
        self.errno = 0
        self._lost_writes = False  # the flush cannot cover all acknowledged writes, even if retried
        self._pool = pool
        self._export = export
        self._request = request
        self._payload = payload

    async def attempt(self, attempt: Attempt) -> Reply:
        """Send the command once; return how the attempt ended. Raises nothing but cancellation."""
        unflushed = self._pool.unflushed_writes(self._export.name)
        is_flush = self._request.command == Command.FLUSH
        sequence = unflushed.last_sequence  # read before the flush is sent: later writes are not covered
        self._lost_writes = self._lost_writes or (
            is_flush and unflushed.discard_other_incarnations(attempt.incarnation)
        )
        if self._lost_writes:
            self.errno = Errno.EIO
            return Reply(Ending.NODE_ERROR)
        try:
            reply = await self._exchange(attempt)
        except NbdError as error:
            log.warning("nbd.node_unusable", node=attempt.node, export=self._export.name, why=error)
            return Reply(_protocol_ending(error, attempt))
        except (OSError, EOFError) as error:
            return Reply(_connection_ending(error, attempt))
        if reply is None:
            return Reply(Ending.BROKEN_UNSENT)
        self.errno = reply.errno
        if reply.errno:
            return Reply(Ending.NODE_ERROR)
        if is_flush:
            unflushed.record_flush(attempt.incarnation, sequence)
        elif self._request.command in (Command.WRITE, Command.TRIM):
            unflushed.record_write(attempt.incarnation)
        return Reply(Ending.SERVED, bytes(reply.data))

    async def _exchange(self, attempt: Attempt) -> CommandReply | None:
        """Return the node's reply, or None if the connection closed before anything was sent."""
        async with self._pool.connection(attempt, self._export.name) as connection:
            connection.last_cookie += 1
            request = CommandRequest(
                self._request.command,
                0,
                connection.last_cookie,
                self._request.offset,
                self._request.length,
            )
            if connection.writer.is_closing():
                return None
            attempt.mark_written()  # from here on, how much has been sent is unknown
            connection.writer.write(request.pack() + self._payload)
            return await read_reply(connection.reader, request, structured=connection.structured)


def _protocol_ending(error: NbdError, attempt: Attempt) -> Ending:
    if isinstance(error, ExportUnavailableError):
        return Ending.TURNED_AWAY
    return Ending.CUT_SHORT if attempt.written else Ending.BROKEN_UNSENT


def _connection_ending(error: OSError | EOFError, attempt: Attempt) -> Ending:
    if attempt.written:
        return Ending.BROKEN
    return Ending.CONNECT_TIMEOUT if isinstance(error, TimeoutError) else Ending.CONNECT_REFUSED
