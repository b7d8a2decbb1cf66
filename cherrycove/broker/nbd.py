"""NBD, the network block device protocol: a pure codec, the front that clients mount, the back to nodes.

It owns the fixed newstyle handshake, the framing of commands and of simple and structured replies, and the
mapping from an export's commands to the core's requests. It must never send a command to a node without an
attempt from the core, take up a connection on which a reply is still to come, answer a command twice, buffer
a payload over the advertised maximum, or advertise what it does not do.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count
from math import ceil

from cherrycove.broker.core import Answer, Attempt, Core, Ending, Reply, Request, Verdict
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.handover import listener
from cherrycove.broker.local_codes import Own
from cherrycove.broker.sockets import LOOK, ended

log = Log("cherrycove.nbd")

NBDMAGIC, IHAVEOPT, OPTION_REPLY = 0x4E42444D41474943, 0x49484156454F5054, 0x0003E889045565A9
REQUEST, SIMPLE, STRUCTURED = 0x25609513, 0x67446698, 0x668E33EF
FIXED_NEWSTYLE, NO_ZEROES = 1, 2  # handshake flags, of both sides
HAS_FLAGS, READ_ONLY, SEND_FLUSH, SEND_TRIM, SEND_DF, MULTI_CONN = 1, 2, 4, 32, 128, 256
FLAG_DF, DONE = 4, 1  # of a command, of a chunk
ACK, SERVER, INFO = 1, 2, 3  # option replies
ERR_UNSUP, ERR_INVALID, ERR_UNKNOWN, ERR_SHUTDOWN = (1 << 31) + 1, (1 << 31) + 3, (1 << 31) + 6, (1 << 31) + 7
INFO_EXPORT, INFO_DESCRIPTION, INFO_BLOCK_SIZE = 0, 2, 3
NONE, OFFSET_DATA, OFFSET_HOLE, ERROR, ERROR_OFFSET = 0, 1, 2, (1 << 15) + 1, (1 << 15) + 2
MIN_BLOCK_BYTES, PREFERRED_BLOCK_BYTES, MAX_PAYLOAD_BYTES = (
    512,
    4096,
    64 * 1024,
)  # clients that ask for no sizes assume the first
MAX_OPTION_BYTES = 8 * 1024  # bytes of an option's data; a name holds at most 4,096
MAX_OPTIONS = 64  # that one client may send
MAX_SKIPPED_BYTES = (
    32 * 1024 * 1024
)  # bytes of a payload too large that are read past; over that, the client goes
HANDSHAKE_TIMEOUT_S, SEND_TIMEOUT_S = 10.0, 30.0  # s that a client has to negotiate, to take a reply
MAX_IDLE_S, MAX_IDLE_CONNECTIONS = (
    10.0,
    8,
)  # s that a node's connection is kept, how many for each node and export


class Option(IntEnum):
    EXPORT_NAME = 1
    ABORT = 2
    LIST = 3
    INFO = 6
    GO = 7
    STRUCTURED_REPLY = 8


class Command(IntEnum):
    READ = 0
    WRITE = 1
    DISC = 2
    FLUSH = 3
    TRIM = 4


class Errno(IntEnum):
    EPERM = 1
    EIO = 5  # failed: it may have taken effect
    ENOMEM = 12  # refused: a new try does no harm
    EINVAL = 22
    ENOSPC = 28
    EOVERFLOW = 75
    ENOTSUP = 95
    ESHUTDOWN = 108


PASSED_ON = (Errno.EPERM, Errno.EINVAL, Errno.ENOSPC, Errno.EOVERFLOW, Errno.ENOTSUP)  # a node's own word


class ProtocolError(Exception):
    """The other side does not speak the protocol; its connection is of no further use."""


# The codec. Nothing here waits, but for the functions that read one frame from a stream.


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """One command as it stands on the wire; a WRITE's payload follows it."""

    command: int
    flags: int
    cookie: int
    offset: int
    length: int

    def pack(self) -> bytes:
        return struct.pack(
            ">IHHQQI", REQUEST, self.flags, self.command, self.cookie, self.offset, self.length
        )


@dataclass(frozen=True, slots=True)
class ReplyChunk:
    """One structured reply chunk."""

    flags: int
    kind: int
    cookie: int
    data: bytes

    def pack(self) -> bytes:
        head = struct.pack(">IHHQI", STRUCTURED, self.flags, self.kind, self.cookie, len(self.data))
        return head + self.data


def pack_simple_reply(cookie: int, errno: int = 0, data: bytes = b"") -> bytes:
    return struct.pack(">IIQ", SIMPLE, errno, cookie) + data


def make_error_chunk(cookie: int, errno: int, message: str = "") -> ReplyChunk:
    text = message.encode()[:1024]
    return ReplyChunk(DONE, ERROR, cookie, struct.pack(">IH", errno, len(text)) + text)


def make_data_chunk(cookie: int, offset: int, data: bytes, flags: int = DONE) -> ReplyChunk:
    return ReplyChunk(flags, OFFSET_DATA, cookie, struct.pack(">Q", offset) + data)


def pack_greeting() -> bytes:
    return struct.pack(">QQH", NBDMAGIC, IHAVEOPT, FIXED_NEWSTYLE | NO_ZEROES)


def pack_option(number: int, data: bytes = b"") -> bytes:
    return struct.pack(">QII", IHAVEOPT, number, len(data)) + data


def pack_option_reply(number: int, kind: int, data: bytes = b"") -> bytes:
    return struct.pack(">QIII", OPTION_REPLY, number, kind, len(data)) + data


def pack_go_data(name: str, infos: Iterable[int] = ()) -> bytes:
    """The data of GO or INFO."""
    wanted, text = list(infos), name.encode()
    return struct.pack(">I", len(text)) + text + struct.pack(f">H{len(wanted)}H", len(wanted), *wanted)


def parse_go_data(data: bytes) -> tuple[str, list[int]]:
    """The export's name and the kinds of information asked for."""
    try:
        (size,) = struct.unpack_from(">I", data)
        name = data[4 : 4 + size].decode()
        (count,) = struct.unpack_from(">H", data, 4 + size)
        wanted = list(struct.unpack_from(f">{count}H", data, 6 + size))
    except (struct.error, UnicodeDecodeError):
        raise ProtocolError("the data of GO or INFO is malformed") from None
    if len(data) != 6 + size + 2 * count:
        raise ProtocolError("GO or INFO carries more than its lengths say")
    return name, wanted


async def _unpack(reader: asyncio.StreamReader, form: str) -> tuple[int, ...]:
    return struct.unpack(form, await reader.readexactly(struct.calcsize(form)))


async def read_option(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    magic, number, size = await _unpack(reader, ">QII")
    if magic != IHAVEOPT:
        raise ProtocolError("an option without its magic")
    if size > MAX_OPTION_BYTES:
        raise ProtocolError("an option of too many bytes")
    return number, await reader.readexactly(size)


async def read_option_reply(reader: asyncio.StreamReader, number: int) -> tuple[int, bytes]:
    magic, covered, kind, size = await _unpack(reader, ">QIII")
    if magic != OPTION_REPLY or covered != number or size > MAX_OPTION_BYTES:
        raise ProtocolError("an option's reply is malformed")
    return kind, await reader.readexactly(size)


async def read_command_request(reader: asyncio.StreamReader) -> CommandRequest:
    magic, flags, command, cookie, offset, length = await _unpack(reader, ">IHHQQI")
    if magic != REQUEST:
        raise ProtocolError("a command without its magic")
    return CommandRequest(command, flags, cookie, offset, length)


@dataclass(slots=True)
class CommandReply:
    """A reply to one command, put together from its chunks."""

    call: CommandRequest
    errno: int = 0
    message: str = ""
    data: bytearray = field(default_factory=bytearray)
    ranges: list[tuple[int, int]] = field(default_factory=list)

    def take(self, chunk: ReplyChunk) -> None:
        body = chunk.data
        if chunk.kind == OFFSET_DATA and len(body) > 8:
            self._place(struct.unpack_from(">Q", body)[0], body[8:])
        elif chunk.kind == OFFSET_HOLE and len(body) == 12:
            offset, size = struct.unpack(">QI", body)
            if not 0 < size <= MAX_PAYLOAD_BYTES:
                raise ProtocolError("a hole of a size that was not asked for")
            self._place(offset, bytes(size))
        elif chunk.kind in (ERROR, ERROR_OFFSET) and len(body) >= 6:
            errno, size = struct.unpack_from(">IH", body)
            if not errno or len(body) != 6 + size + 8 * (chunk.kind == ERROR_OFFSET):
                raise ProtocolError("an error chunk is malformed")
            self.errno, self.message = errno, body[6 : 6 + size].decode(errors="replace")
        elif chunk.kind != NONE or body or not chunk.flags & DONE:
            raise ProtocolError(f"an unknown or malformed chunk of type {chunk.kind}")

    def _place(self, offset: int, data: bytes) -> None:
        start = offset - self.call.offset
        end = start + len(data)
        if (
            self.call.command != Command.READ
            or start < 0
            or end > self.call.length
            or any(start < there and first < end for first, there in self.ranges)
        ):
            raise ProtocolError("data that was not asked for, or twice")
        self.data = self.data or bytearray(self.call.length)
        self.data[start:end] = data
        self.ranges.append((start, end))

    def finish(self) -> CommandReply:
        covered = sum(end - start for start, end in self.ranges)
        if self.call.command == Command.READ and not self.errno and covered != self.call.length:
            raise ProtocolError("the reply is done but its data is not whole")
        return self


async def read_reply(reader: asyncio.StreamReader, call: CommandRequest, structured: bool) -> CommandReply:
    """The whole reply to a command that is the only one out on its connection."""
    command_reply = CommandReply(call)
    while True:
        (magic,) = await _unpack(reader, ">I")
        if magic == SIMPLE and not command_reply.ranges and not (structured and call.command == Command.READ):
            errno, cookie = await _unpack(reader, ">IQ")
            if cookie != call.cookie:
                raise ProtocolError("a reply to no command of ours")
            command_reply.errno = errno
            if not errno and call.command == Command.READ:
                command_reply._place(call.offset, await reader.readexactly(call.length))
            return command_reply.finish()
        if magic != STRUCTURED or not structured:
            raise ProtocolError("a reply without its magic")
        flags, kind, cookie, size = await _unpack(reader, ">HHQI")
        if cookie != call.cookie or size > MAX_PAYLOAD_BYTES + 8:
            raise ProtocolError("a chunk of no command of ours, or of too many bytes")
        command_reply.take(ReplyChunk(flags, kind, cookie, await reader.readexactly(size)))
        if flags & DONE:
            return command_reply.finish()


# What the operator sets up.


@dataclass(frozen=True, slots=True)
class Export:
    name: str
    volume: str
    shard: int
    plan: int
    size: int
    hosts: int = 1
    read_only: bool = False
    description: str = ""

    def flags(self, structured: bool) -> int:
        writes = READ_ONLY if self.read_only else SEND_FLUSH | SEND_TRIM
        return HAS_FLAGS | writes | (SEND_DF if structured else 0)


@dataclass(frozen=True, slots=True)
class NbdConfig:
    listen: tuple[str, int]
    exports: Mapping[str, Export]
    classes: Mapping[Command, int]  # place in Settings.classes
    unit_bytes: int
    node_port: int
    nodes: Mapping[str, tuple[str, int]]  # where a node's NBD is found, if not at its listed host
    connections: int = 64
    pipeline: int = 16

    def units(self, call: CommandRequest, most: float) -> float:
        return min(max(ceil(call.length / self.unit_bytes), 1), most)


def check(call: CommandRequest, export: Export, structured: bool) -> Errno | None:
    """What is wrong with a command, before anything is done about it."""
    allowed = FLAG_DF if structured and call.command == Command.READ else 0
    if call.command not in list(Command) or call.flags & ~allowed:
        return Errno.EINVAL
    if call.command == Command.FLUSH:
        return Errno.EINVAL if call.offset or call.length or export.read_only else None
    if export.read_only and call.command in (Command.WRITE, Command.TRIM):
        return Errno.EPERM
    too_large = call.length > MAX_PAYLOAD_BYTES and call.command != Command.TRIM
    if not call.length or too_large or call.offset % MIN_BLOCK_BYTES or call.length % MIN_BLOCK_BYTES:
        return Errno.EINVAL
    if call.offset + call.length > export.size:
        return Errno.ENOSPC if call.command == Command.WRITE else Errno.EINVAL
    return None


# The back.


@dataclass(slots=True, eq=False)
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    structured: bool
    used: float = 0.0
    cookie: int = 0


class UnflushedWrites:
    """Which lives of nodes hold writes of an export that were answered and not flushed since.

    Guard: a flush vouches only for what the same life of the same node was told. One that comes to another
    life fails once, so that the client learns that writes answered before may be gone.
    """

    def __init__(self) -> None:
        self._last: dict[str, int] = {}
        self._serial = 0

    def wrote(self, life: str) -> None:
        self._serial += 1
        self._last[life] = self._serial

    def mark(self) -> int:
        return self._serial

    def lost(self, life: str) -> bool:
        """Whether another life holds some; they are then forgotten."""
        others = [each for each in self._last if each != life]
        for each in others:
            del self._last[each]
        return bool(others)

    def flushed(self, life: str, mark: int) -> None:
        if self._last.get(life, mark + 1) <= mark:
            del self._last[life]


class ExportUnavailableError(Exception):
    """The node speaks NBD but does not offer the export in the way that is needed."""


class ConnectionPool:
    """Connections to nodes' exports. One carries one command at a time."""

    def __init__(self, setup: NbdConfig, dial_timeout: float, most: int) -> None:
        self._setup, self._dial = setup, dial_timeout
        self._idle: dict[tuple[str, int, str], deque[Connection]] = {}
        self._places = asyncio.Semaphore(most)
        self.unflushed: dict[str, UnflushedWrites] = {}  # by export

    def address(self, attempt: Attempt) -> tuple[str, int]:
        host = attempt.address.rpartition(":")[0].strip("[]")
        return self._setup.nodes.get(attempt.node, (host, self._setup.node_port))

    @asynccontextmanager
    async def connection(self, attempt: Attempt, export: str) -> AsyncIterator[Connection]:
        """A connection with nothing out on it. It is kept afterwards only if the command ended whole."""
        place = (*self.address(attempt), export)
        async with self._places:
            connection = self._take(place) or await self._open(place)
            keep = False
            try:
                yield connection
                keep = True
            finally:
                kept = self._idle.setdefault(place, deque())
                if keep and len(kept) < MAX_IDLE_CONNECTIONS:
                    connection.used = asyncio.get_running_loop().time()
                    kept.append(connection)
                else:
                    connection.writer.transport.abort()

    def _take(self, place: tuple[str, int, str]) -> Connection | None:
        kept, now = self._idle.get(place, deque()), asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            if (
                now - connection.used < MAX_IDLE_S
                and not connection.reader.at_eof()
                and not connection.writer.is_closing()
            ):
                return connection
            connection.writer.transport.abort()
        return None

    async def _open(self, place: tuple[str, int, str]) -> Connection:
        host, port, export = place
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(self._dial):
                reader, writer = await asyncio.open_connection(host, port)
                return Connection(reader, writer, await _negotiate(reader, writer, export))
        except BaseException:
            if writer is not None:
                writer.transport.abort()
            raise

    def close(self) -> None:
        for kept in self._idle.values():
            for connection in kept:
                connection.writer.transport.abort()
        self._idle.clear()


async def _negotiate(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, export: str) -> bool:
    """Handshake as a client; whether replies are structured."""
    magic, style, flags = await _unpack(reader, ">QQH")
    if magic != NBDMAGIC or style != IHAVEOPT or not flags & FIXED_NEWSTYLE:
        raise ProtocolError("no fixed newstyle greeting")
    writer.write(
        struct.pack(">I", flags & (FIXED_NEWSTYLE | NO_ZEROES)) + pack_option(Option.STRUCTURED_REPLY)
    )
    kind, _ = await read_option_reply(reader, Option.STRUCTURED_REPLY)
    structured = kind == ACK
    writer.write(pack_option(Option.GO, pack_go_data(export)))
    offered = 0
    for _ in range(MAX_OPTIONS):
        kind, data = await read_option_reply(reader, Option.GO)
        if kind == ACK:
            if not offered & READ_ONLY and not (offered & SEND_FLUSH and offered & MULTI_CONN):
                raise ExportUnavailableError("its flush does not cover what other connections wrote")
            return structured
        if kind & (1 << 31):
            raise ExportUnavailableError(f"it refuses the export: {kind:#x}")
        if kind == INFO and len(data) == 12 and data[:2] == struct.pack(">H", INFO_EXPORT):
            (offered,) = struct.unpack_from(">H", data, 10)
    raise ProtocolError("GO without an end")


class CommandBackend:
    """One client's command as the back sends it; the core's Backend."""

    def __init__(self, pool: ConnectionPool, export: Export, call: CommandRequest, payload: bytes) -> None:
        self.errno = 0  # the last word of a node on it
        self._lost = False  # a flush that cannot cover all it should
        self._pool, self._export, self._call, self._payload = pool, export, call, payload

    async def attempt(self, attempt: Attempt) -> Reply:
        unflushed = self._pool.unflushed.setdefault(self._export.name, UnflushedWrites())
        flushes, mark = self._call.command == Command.FLUSH, unflushed.mark()
        self._lost = self._lost or (flushes and unflushed.lost(attempt.life))
        if self._lost:
            self.errno = Errno.EIO
            return Reply(Ending.NODE_ERROR)
        try:
            async with self._pool.connection(attempt, self._export.name) as connection:
                connection.cookie += 1
                call = CommandRequest(
                    self._call.command, 0, connection.cookie, self._call.offset, self._call.length
                )
                if connection.writer.is_closing():
                    return Reply(Ending.BROKEN_UNSENT)
                attempt.wrote()  # from here on nobody can tell what has left
                connection.writer.write(call.pack() + self._payload)
                reply = await read_reply(connection.reader, call, connection.structured)
        except ExportUnavailableError as error:
            log.warning("nbd.node_unusable", node=attempt.node, export=self._export.name, why=error)
            return Reply(Ending.TURNED_AWAY)
        except ProtocolError as error:
            log.warning("nbd.node_unusable", node=attempt.node, export=self._export.name, why=error)
            return Reply(Ending.CUT_SHORT if attempt.written else Ending.BROKEN_UNSENT)
        except (OSError, EOFError) as error:
            if attempt.written:
                return Reply(Ending.BROKEN)
            timed_out = isinstance(error, TimeoutError)
            return Reply(Ending.CONNECT_TIMEOUT if timed_out else Ending.CONNECT_REFUSED)
        self.errno = reply.errno
        if reply.errno:
            return Reply(Ending.NODE_ERROR)
        if flushes:
            unflushed.flushed(attempt.life, mark)
        elif self._call.command in (Command.WRITE, Command.TRIM):
            unflushed.wrote(attempt.life)
        return Reply(Ending.SERVED, bytes(reply.data))


# The front.


class Server:
    """NBD clients' connections."""

    def __init__(self, core: Core, pool: ConnectionPool, setup: NbdConfig) -> None:
        self._core, self._pool, self._setup = core, pool, setup
        self._sessions: set[asyncio.Task[None]] = set()
        self._draining = False
        self._closed: set[str] = set()
        self._server: asyncio.Server | None = None
        self.listener: socket.socket

    async def listen(self, given: socket.socket | None = None) -> int:
        """Start to accept, from a socket that another process opened if there is one."""
        self.listener = given or listener(*self._setup.listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Protocol(self._accept), sock=self.listener
        )
        port: int = self.listener.getsockname()[1]
        return port

    def hand_over(self) -> socket.socket:
        """Another process accepts from now on; the socket, should it have to be taken back."""
        kept = self.listener.dup()
        if self._server is not None:
            self._server.close()
        return kept

    def drain(self) -> None:
        """No export is handed out any more; those in use go on until ``close``."""
        self._draining = True

    def close_export(self, name: str, closed: bool) -> None:
        """Whether an export may be mounted; clients that have it keep it."""
        (self._closed.add if closed else self._closed.discard)(name)

    def _export(self, name: str) -> Export | None:
        return None if self._draining or name in self._closed else self._setup.exports.get(name)

    async def close(self) -> None:
        """Take no more commands, answer those taken, then hang up."""
        if self._server is not None:
            self._server.close()
        for session in self._sessions:
            session.cancel()
        await asyncio.gather(*self._sessions, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is None or len(self._sessions) >= self._setup.connections:
            log.warning("nbd.client_turned_away", connected=len(self._sessions))
            writer.transport.abort()
            return
        self._sessions.add(task)
        protocol = writer.transport.get_protocol()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                chosen = await self._handshake(reader, writer)
            if chosen is not None and isinstance(protocol, _Protocol):
                session = _TransmissionSession(self._core, self._pool, self._setup, *chosen, reader, writer)
                protocol.on_gone = session.gone
                await session.run()
        except ProtocolError as error:
            log.warning("nbd.client_cut_off", why=error)
        except asyncio.CancelledError:
            pass  # by close; the session has answered what it had taken
        except (OSError, EOFError):
            pass  # the client has gone
        finally:
            self._sessions.discard(task)
            writer.close()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[Export, bool] | None:
        writer.write(pack_greeting())
        (flags,) = await _unpack(reader, ">I")
        if flags & ~(FIXED_NEWSTYLE | NO_ZEROES) or not flags & FIXED_NEWSTYLE:
            raise ProtocolError("unknown client flags, or no fixed newstyle")
        structured = False
        for _ in range(MAX_OPTIONS):
            await writer.drain()
            number, data = await read_option(reader)
            if number == Option.EXPORT_NAME:
                export = self._export(data.decode(errors="replace"))
                if export is None:
                    raise ProtocolError("EXPORT_NAME names no export")  # it has no other way to say no
                zeroes = b"" if flags & NO_ZEROES else bytes(124)
                writer.write(struct.pack(">QH", export.size, export.flags(structured)) + zeroes)
                return export, structured
            if number == Option.ABORT:
                writer.write(pack_option_reply(number, ACK))
                return None
            if number == Option.STRUCTURED_REPLY:
                structured = structured or not data
                writer.write(pack_option_reply(number, ERR_INVALID if data else ACK))
            elif number == Option.LIST:
                self._list(writer, data)
            elif number in (Option.INFO, Option.GO):
                export = self._inform(writer, number, data, structured)
                if export is not None and number == Option.GO:
                    return export, structured
            else:
                writer.write(pack_option_reply(number, ERR_UNSUP))
        raise ProtocolError("too many options")

    def _list(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if data:
            writer.write(pack_option_reply(Option.LIST, ERR_INVALID))
            return
        for name in self._setup.exports:
            text = name.encode()
            writer.write(pack_option_reply(Option.LIST, SERVER, struct.pack(">I", len(text)) + text))
        writer.write(pack_option_reply(Option.LIST, ACK))

    def _inform(
        self, writer: asyncio.StreamWriter, number: int, data: bytes, structured: bool
    ) -> Export | None:
        try:
            name, wanted = parse_go_data(data)
        except ProtocolError as error:
            writer.write(pack_option_reply(number, ERR_INVALID, str(error).encode()))
            return None
        export = self._export(name)
        if export is None:
            kind = ERR_SHUTDOWN if name in self._setup.exports else ERR_UNKNOWN
            writer.write(pack_option_reply(number, kind))
            return None
        covered = [
            struct.pack(">HQH", INFO_EXPORT, export.size, export.flags(structured)),
            struct.pack(">HIII", INFO_BLOCK_SIZE, MIN_BLOCK_BYTES, PREFERRED_BLOCK_BYTES, MAX_PAYLOAD_BYTES),
        ]
        if INFO_DESCRIPTION in wanted:
            covered.append(struct.pack(">H", INFO_DESCRIPTION) + export.description.encode())
        writer.write(
            b"".join(pack_option_reply(number, INFO, each) for each in covered)
            + pack_option_reply(number, ACK)
        )
        return export


class _Protocol(asyncio.StreamReaderProtocol):
    """Tells a session that its client has gone even while the session does not read."""

    def __init__(
        self, accept: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        self.on_gone: Callable[[], None] | None = None
        super().__init__(asyncio.StreamReader(limit=2 * MAX_PAYLOAD_BYTES), accept)

    def eof_received(self) -> bool | None:
        if self.on_gone is not None:
            self.on_gone()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.on_gone is not None:
            self.on_gone()
        super().connection_lost(exc)


_SESSIONS = count(1)  # of this process


class _TransmissionSession:
    """The transmission phase of one client."""

    def __init__(
        self,
        core: Core,
        pool: ConnectionPool,
        setup: NbdConfig,
        export: Export,
        structured: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._core, self._pool, self._setup = core, pool, setup
        self._export, self._structured = export, structured
        self._reader, self._writer = reader, writer
        self._jobs: set[asyncio.Task[None]] = set()
        self._number = next(_SESSIONS)
        self._gone = False
        self._room = asyncio.Semaphore(setup.pipeline)

    async def run(self) -> None:
        try:
            while True:
                await self._enter()
                if self._gone:
                    raise EOFError
                call = await read_command_request(self._reader)
                if call.command == Command.DISC:
                    break
                payload = await self._payload(call)
                task = asyncio.create_task(self._serve(call, payload))
                self._jobs.add(task)
                task.add_done_callback(self._ended)
        except asyncio.CancelledError:
            await self._finish()
            raise
        except BaseException:
            self._abandon()
            raise
        await self._finish()

    async def _enter(self) -> None:
        """No more is read while as many are open as may be. Guard: what the client has sent beyond hides its
        end, and its commands waited on; so that is looked for."""
        while not self._gone:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK):
                    await self._room.acquire()
                    return
            if ended(self._writer.transport):
                self.gone()

    def gone(self) -> None:
        """The client has hung up; seen at once where the session waits for room."""
        if self._room.locked():
            self._gone = True
            self._abandon()

    def _abandon(self) -> None:
        # Guard: a client that is gone must be told to the core at once; its commands are owed nothing.
        for job in self._jobs:
            job.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._jobs.discard(task)
        self._room.release()

    async def _finish(self) -> None:
        await asyncio.gather(*self._jobs, return_exceptions=True)

    async def _payload(self, call: CommandRequest) -> bytes | None:
        """A WRITE's data; None where it was too much, and read past."""
        if call.command != Command.WRITE:
            return b""
        if call.length <= MAX_PAYLOAD_BYTES:
            return await self._reader.readexactly(call.length)
        if call.length > MAX_SKIPPED_BYTES:
            raise ProtocolError("a payload far over the maximum")
        left = call.length
        while left:
            piece = await self._reader.read(min(left, MAX_PAYLOAD_BYTES))
            if not piece:
                raise EOFError
            left -= len(piece)
        return None

    async def _serve(self, call: CommandRequest, payload: bytes | None) -> None:
        errno, data = check(call, self._export, self._structured), b""
        message = "not a command that this export takes"
        if errno is not None or payload is None:
            if call.command in self._setup.classes:
                self._core.turned_away(
                    self._setup.classes[Command(call.command)],
                    own=Own.BAD_COMMAND,
                    id=self._id(call),
                    volume=self._export.volume,
                    front="nbd",
                )
        else:
            settings, command = self._core.settings, Command(call.command)
            cls, export = self._setup.classes[command], self._export
            deadline = asyncio.get_running_loop().time() + settings.classes[cls].deadline
            job = CommandBackend(self._pool, export, call, payload)
            answer = await self._core.serve(
                Request(
                    cls,
                    export.plan,
                    export.volume,
                    self._setup.units(call, settings.max_units),
                    export.shard,
                    export.hosts,
                    deadline,
                    f"{export.volume}/{call.offset // MAX_PAYLOAD_BYTES}",
                    id=self._id(call),
                    front="nbd",
                ),
                job,
            )
            errno, message = _told(answer, job)
            if errno is None and answer.reply is not None:
                data = answer.reply.body
        await self._write(self._reply(call, errno, message, data))

    def _id(self, call: CommandRequest) -> str:
        """What a command is known by: its client has no id for it, and cookies are each session's own."""
        return f"nbd:{self._export.name[:64]}:{self._number}:{call.cookie:x}"

    def _reply(self, call: CommandRequest, errno: Errno | None, message: str, data: bytes) -> bytes:
        if not self._structured:
            return pack_simple_reply(call.cookie, errno or 0, data)
        if errno is not None:
            return make_error_chunk(call.cookie, errno, message).pack()
        if call.command == Command.READ:
            return make_data_chunk(call.cookie, call.offset, data).pack()
        return ReplyChunk(DONE, NONE, call.cookie, b"").pack()

    async def _write(self, reply: bytes) -> None:
        self._writer.write(reply)  # in one piece: replies of other commands come before or behind it
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._writer.drain()
        except (OSError, TimeoutError):
            self._writer.transport.abort()


def _told(answer: Answer, job: CommandBackend) -> tuple[Errno | None, str]:
    """A final answer as an error number and its message."""
    if answer.verdict is Verdict.SERVED:
        return None, ""
    if answer.verdict is Verdict.REFUSED:
        return Errno.ENOMEM, f"refused: a new try does no harm; retry after {answer.retry_after:.3f} s"
    if answer.cause is Ending.NODE_ERROR and job.errno in PASSED_ON:
        return Errno(job.errno), "the node refuses the command"
    return Errno.EIO, "failed: it may have taken effect"
