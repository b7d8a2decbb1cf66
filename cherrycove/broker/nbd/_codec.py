"""Messages of the NBD protocol: packing, parsing, and reading one message from a stream.

The codec owns no connection and never writes to one. Section names are those of the protocol's ``proto.md``.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from cherrycove.broker.nbd._constants import (
    GREETING_MAGIC,
    MAX_OPTION_BYTES,
    MAX_PAYLOAD_BYTES,
    OPTION_MAGIC,
    OPTION_REPLY_MAGIC,
    REQUEST_MAGIC,
    SIMPLE_REPLY_MAGIC,
    STRUCTURED_REPLY_MAGIC,
    ChunkType,
    Command,
    HandshakeFlag,
    ReplyFlag,
)

_MAX_ERROR_MESSAGE_BYTES = 1024


class NbdError(Exception):
    """Base class of this package's errors."""


class ProtocolError(NbdError):
    """The peer violated the protocol; its connection must be closed."""


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """A request message's header (section "Request message"); a WRITE's payload follows it.

    ``offset`` and ``length`` are in bytes; ``command`` is the raw number, which need not be a ``Command``.
    """

    command: int
    flags: int
    cookie: int
    offset: int
    length: int

    def pack(self) -> bytes:
        """Return the 28 bytes of the header."""
        return struct.pack(
            ">IHHQQI", REQUEST_MAGIC, self.flags, self.command, self.cookie, self.offset, self.length
        )


@dataclass(frozen=True, slots=True)
class ReplyChunk:
    """One structured reply chunk (section "Structured reply chunk message")."""

    flags: int
    kind: int
    cookie: int
    data: bytes

    def pack(self) -> bytes:
        """Return the chunk's header followed by its payload."""
        header = struct.pack(
            ">IHHQI", STRUCTURED_REPLY_MAGIC, self.flags, self.kind, self.cookie, len(self.data)
        )
        return header + self.data


def pack_simple_reply(cookie: int, errno: int = 0, data: bytes = b"") -> bytes:
    """Return a simple reply (section "Simple reply message"); ``data`` is a successful READ's payload."""
    return struct.pack(">IIQ", SIMPLE_REPLY_MAGIC, errno, cookie) + data


def make_error_chunk(cookie: int, errno: int, message: str = "") -> ReplyChunk:
    """Return the final chunk of a failed command; truncates the message to ``_MAX_ERROR_MESSAGE_BYTES``."""
    text = message.encode()[:_MAX_ERROR_MESSAGE_BYTES]
    payload = struct.pack(">IH", errno, len(text)) + text
    return ReplyChunk(ReplyFlag.DONE, ChunkType.ERROR, cookie, payload)


def make_data_chunk(cookie: int, offset: int, data: bytes, flags: int = ReplyFlag.DONE) -> ReplyChunk:
    """Return a chunk with the bytes of the export that start at ``offset``."""
    return ReplyChunk(flags, ChunkType.OFFSET_DATA, cookie, struct.pack(">Q", offset) + data)


def pack_greeting() -> bytes:
    """Return a server's greeting in the fixed newstyle handshake (section "Newstyle negotiation")."""
    flags = HandshakeFlag.FIXED_NEWSTYLE | HandshakeFlag.NO_ZEROES
    return struct.pack(">QQH", GREETING_MAGIC, OPTION_MAGIC, flags)


def pack_option(number: int, data: bytes = b"") -> bytes:
    """Return a client's option message (section "Newstyle negotiation")."""
    return struct.pack(">QII", OPTION_MAGIC, number, len(data)) + data


def pack_option_reply(number: int, kind: int, data: bytes = b"") -> bytes:
    """Return a server's reply to an option (section "Fixed newstyle negotiation")."""
    return struct.pack(">QIII", OPTION_REPLY_MAGIC, number, kind, len(data)) + data


def pack_go_data(name: str, info_types: Iterable[int] = ()) -> bytes:
    """Return the data of the options GO and INFO: an export's name and the requested information types."""
    requested, text = list(info_types), name.encode()
    header = struct.pack(">I", len(text)) + text
    return header + struct.pack(f">H{len(requested)}H", len(requested), *requested)


def parse_go_data(data: bytes) -> tuple[str, list[int]]:
    """Return the export's name and the requested information types.

    The text of the error is sent to the client.

    Raises:
        ProtocolError: if the data is malformed or its size differs from what its length fields announce.
    """
    try:
        (size,) = struct.unpack_from(">I", data)
        name = data[4 : 4 + size].decode()
        (count,) = struct.unpack_from(">H", data, 4 + size)
        info_types = list(struct.unpack_from(f">{count}H", data, 6 + size))
    except (struct.error, UnicodeDecodeError) as error:
        raise ProtocolError("the data of GO or INFO is malformed") from error
    if len(data) != 6 + size + 2 * count:
        raise ProtocolError("GO or INFO carries more than its lengths say")
    return name, info_types


async def read_fields(reader: asyncio.StreamReader, layout: str) -> tuple[int, ...]:
    """Read the next integers from the stream in a ``struct`` layout; raises EOFError if the stream ends."""
    return struct.unpack(layout, await reader.readexactly(struct.calcsize(layout)))


async def read_option(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read a client's next option; return its number and its data.

    Raises:
        ProtocolError: if the magic is wrong or the data exceeds ``MAX_OPTION_BYTES``.
        EOFError: if the stream ends before the option is complete.
    """
    magic, number, size = await read_fields(reader, ">QII")
    if magic != OPTION_MAGIC:
        raise ProtocolError("option with a wrong magic number")
    if size > MAX_OPTION_BYTES:
        raise ProtocolError(f"option data of {size} bytes; the limit is {MAX_OPTION_BYTES}")
    return number, await reader.readexactly(size)


async def read_option_reply(reader: asyncio.StreamReader, number: int) -> tuple[int, bytes]:
    """Read a server's next reply to option ``number``; return its type and its data.

    Raises:
        ProtocolError: if the magic or the option is wrong, or the data exceeds ``MAX_OPTION_BYTES``.
        EOFError: if the stream ends before the reply is complete.
    """
    magic, replied_number, kind, size = await read_fields(reader, ">QIII")
    if magic != OPTION_REPLY_MAGIC or replied_number != number or size > MAX_OPTION_BYTES:
        raise ProtocolError(f"malformed reply to option {number}")
    return kind, await reader.readexactly(size)


async def read_command_request(reader: asyncio.StreamReader) -> CommandRequest:
    """Read the next command's header; a WRITE's payload is left in the stream.

    Raises:
        ProtocolError: if the magic is wrong.
        EOFError: if the stream ends before the header is complete.
    """
    magic, flags, command, cookie, offset, length = await read_fields(reader, ">IHHQQI")
    if magic != REQUEST_MAGIC:
        raise ProtocolError("command with a wrong magic number")
    return CommandRequest(command, flags, cookie, offset, length)


@dataclass(slots=True)
class CommandReply:
    """The reply to one command, assembled from its chunks.

    ``ranges`` holds the start and end of each range of data received so far, relative to the request's
    offset. ``errno`` is 0 for success; ``data`` is complete once ``finish`` has returned.
    """

    request: CommandRequest
    errno: int = 0
    message: str = ""
    data: bytearray = field(default_factory=bytearray)
    ranges: list[tuple[int, int]] = field(default_factory=list)

    def add_chunk(self, chunk: ReplyChunk) -> None:
        """Add the next structured chunk; raises ProtocolError if it is malformed or unrequested."""
        payload = chunk.data
        if chunk.kind == ChunkType.OFFSET_DATA and len(payload) > 8:
            self.add_data(struct.unpack_from(">Q", payload)[0], payload[8:])
        elif chunk.kind == ChunkType.OFFSET_HOLE and len(payload) == 12:
            offset, size = struct.unpack(">QI", payload)
            if not 0 < size <= MAX_PAYLOAD_BYTES:
                raise ProtocolError(f"hole of invalid size: {size} bytes")
            self.add_data(offset, bytes(size))
        elif chunk.kind in (ChunkType.ERROR, ChunkType.ERROR_OFFSET) and len(payload) >= 6:
            self._set_error(chunk)
        elif chunk.kind != ChunkType.NONE or payload or not chunk.flags & ReplyFlag.DONE:
            raise ProtocolError(f"unknown or malformed chunk of type {chunk.kind}")

    def _set_error(self, chunk: ReplyChunk) -> None:
        errno, size = struct.unpack_from(">IH", chunk.data)
        offset_bytes = 8 * (chunk.kind == ChunkType.ERROR_OFFSET)
        if not errno or len(chunk.data) != 6 + size + offset_bytes:
            raise ProtocolError("malformed error chunk")
        self.errno = errno
        self.message = chunk.data[6 : 6 + size].decode(errors="replace")

    def add_data(self, offset: int, data: bytes) -> None:
        """Add bytes of the export; raises ProtocolError if they were not requested or already received."""
        start = offset - self.request.offset
        end = start + len(data)
        if (
            self.request.command != Command.READ
            or start < 0
            or end > self.request.length
            or any(start < known_end and known_start < end for known_start, known_end in self.ranges)
        ):
            raise ProtocolError("data that was not requested or was already received")
        self.data = self.data or bytearray(self.request.length)
        self.data[start:end] = data
        self.ranges.append((start, end))

    def finish(self) -> CommandReply:
        """Return the reply after its last chunk; raises ProtocolError if a READ's data has gaps."""
        received = sum(end - start for start, end in self.ranges)
        is_incomplete = received != self.request.length
        if self.request.command == Command.READ and not self.errno and is_incomplete:
            raise ProtocolError(f"incomplete reply: got {received} of {self.request.length} bytes")
        return self


async def read_reply(
    reader: asyncio.StreamReader, request: CommandRequest, *, structured: bool
) -> CommandReply:
    """Read the complete reply to a command that is the only one in flight on its connection.

    ``structured`` says whether structured replies were negotiated. The reply to a READ must then be
    structured (section "Structured reply chunk message").

    Raises:
        ProtocolError: if the reply is malformed or belongs to another command.
        EOFError: if the stream ends before the reply is complete.
    """
    reply = CommandReply(request)
    must_be_structured = structured and request.command == Command.READ
    while True:
        (magic,) = await read_fields(reader, ">I")
        if magic == SIMPLE_REPLY_MAGIC and not reply.ranges and not must_be_structured:
            await _read_simple_reply(reader, reply)
            return reply.finish()
        if magic != STRUCTURED_REPLY_MAGIC or not structured:
            raise ProtocolError("reply with a wrong magic number, or of a kind that was not negotiated")
        chunk = await _read_chunk(reader, request)
        reply.add_chunk(chunk)
        if chunk.flags & ReplyFlag.DONE:
            return reply.finish()


async def _read_simple_reply(reader: asyncio.StreamReader, reply: CommandReply) -> None:
    request = reply.request
    errno, cookie = await read_fields(reader, ">IQ")
    if cookie != request.cookie:
        raise ProtocolError(f"reply with an unknown cookie: {cookie:#x}")
    reply.errno = errno
    if not errno and request.command == Command.READ:
        reply.add_data(request.offset, await reader.readexactly(request.length))


async def _read_chunk(reader: asyncio.StreamReader, request: CommandRequest) -> ReplyChunk:
    """Read the rest of a chunk whose magic has just been read."""
    flags, kind, cookie, size = await read_fields(reader, ">HHQI")
    if cookie != request.cookie or size > MAX_PAYLOAD_BYTES + 8:
        raise ProtocolError(f"chunk with an unknown cookie or oversized: cookie {cookie:#x}, {size} bytes")
    return ReplyChunk(flags, kind, cookie, await reader.readexactly(size))
