"""The server's handshake phase (proto.md, sections "Fixed newstyle negotiation" and "Option types")."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cherrycove.broker.nbd._codec import (
    ProtocolError,
    pack_greeting,
    pack_option_reply,
    parse_go_data,
    read_fields,
    read_option,
)
from cherrycove.broker.nbd._constants import (
    MAX_OPTIONS,
    MAX_PAYLOAD_BYTES,
    MIN_BLOCK_BYTES,
    PREFERRED_BLOCK_BYTES,
    HandshakeFlag,
    InfoType,
    Option,
    OptionReplyType,
)
from cherrycove.broker.nbd.config import Export

_KNOWN_CLIENT_FLAGS = int(HandshakeFlag.FIXED_NEWSTYLE | HandshakeFlag.NO_ZEROES)
_EXPORT_NAME_ZEROES = 124  # padding after the reply to EXPORT_NAME, unless NO_ZEROES was negotiated


class NegotiatedExport(NamedTuple):
    """The outcome of a handshake: the export, and whether replies to its commands are structured."""

    export: Export
    structured: bool


class Handshake:
    """One client's handshake. The server owns it and limits its duration."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        export_names: Iterable[str],
        find_export: Callable[[str], Export | None],
    ) -> None:
        """Create a handshake.

        ``export_names`` are listed to clients; ``find_export`` returns an export by its name, or None if it
        cannot be mounted now.
        """
        self._reader = reader
        self._writer = writer
        self._export_names = list(export_names)
        self._find_export = find_export
        self._structured = False

    async def run(self) -> NegotiatedExport | None:
        """Negotiate with the client; return None if it aborted.

        Raises:
            ProtocolError: if the client violates the protocol or its EXPORT_NAME names no available export.
            OSError, EOFError: if the client disconnects.
        """
        self._writer.write(pack_greeting())
        (flags,) = await read_fields(self._reader, ">I")
        if flags & ~_KNOWN_CLIENT_FLAGS or not flags & HandshakeFlag.FIXED_NEWSTYLE:
            raise ProtocolError(f"unsupported client flags {flags:#x}: unknown, or without fixed newstyle")
        for _ in range(MAX_OPTIONS):
            await self._writer.drain()
            number, data = await read_option(self._reader)
            if number == Option.ABORT:
                self._reply(number, OptionReplyType.ACK)
                return None
            export = self._handle_option(number, data, omit_zeroes=bool(flags & HandshakeFlag.NO_ZEROES))
            if export is not None:
                return NegotiatedExport(export, self._structured)
        raise ProtocolError(f"more than {MAX_OPTIONS} options in one handshake")

    def _handle_option(self, number: int, data: bytes, *, omit_zeroes: bool) -> Export | None:
        """Reply to an option; return the export if the option ends the handshake."""
        if number == Option.EXPORT_NAME:
            return self._select_by_name(data, omit_zeroes=omit_zeroes)
        if number == Option.GO:
            return self._reply_with_info(number, data)
        if number == Option.INFO:
            self._reply_with_info(number, data)
        elif number == Option.STRUCTURED_REPLY:
            self._structured = self._structured or not data
            self._reply(number, OptionReplyType.ERR_INVALID if data else OptionReplyType.ACK)
        elif number == Option.LIST:
            self._list_exports(data)
        else:
            self._reply(number, OptionReplyType.ERR_UNSUP)
        return None

    def _select_by_name(self, data: bytes, *, omit_zeroes: bool) -> Export:
        export = self._find_export(data.decode(errors="replace"))
        if export is None:
            raise ProtocolError("EXPORT_NAME names no available export")  # the option has no error reply
        header = struct.pack(">QH", export.size, export.transmission_flags(structured=self._structured))
        self._writer.write(header + (b"" if omit_zeroes else bytes(_EXPORT_NAME_ZEROES)))
        return export

    def _list_exports(self, data: bytes) -> None:
        if data:
            self._reply(Option.LIST, OptionReplyType.ERR_INVALID)
            return
        for name in self._export_names:
            text = name.encode()
            self._reply(Option.LIST, OptionReplyType.SERVER, struct.pack(">I", len(text)) + text)
        self._reply(Option.LIST, OptionReplyType.ACK)

    def _reply_with_info(self, number: int, data: bytes) -> Export | None:
        """Reply to INFO or GO; return the export, or None after an error reply."""
        try:
            name, info_types = parse_go_data(data)
        except ProtocolError as error:
            self._reply(number, OptionReplyType.ERR_INVALID, str(error).encode())
            return None
        export = self._find_export(name)
        if export is None:
            is_listed = name in self._export_names
            self._reply(number, OptionReplyType.ERR_SHUTDOWN if is_listed else OptionReplyType.ERR_UNKNOWN)
            return None
        infos = _export_infos(export, info_types, structured=self._structured)
        replies = b"".join(pack_option_reply(number, OptionReplyType.INFO, info) for info in infos)
        self._writer.write(replies + pack_option_reply(number, OptionReplyType.ACK))
        return export

    def _reply(self, number: int, kind: OptionReplyType, data: bytes = b"") -> None:
        self._writer.write(pack_option_reply(number, kind, data))


def _export_infos(export: Export, info_types: list[int], *, structured: bool) -> list[bytes]:
    """Return the required information replies, and the description if it was requested."""
    flags = export.transmission_flags(structured=structured)
    infos = [
        struct.pack(">HQH", InfoType.EXPORT, export.size, flags),
        struct.pack(">HIII", InfoType.BLOCK_SIZE, MIN_BLOCK_BYTES, PREFERRED_BLOCK_BYTES, MAX_PAYLOAD_BYTES),
    ]
    if InfoType.DESCRIPTION in info_types:
        infos.append(struct.pack(">H", InfoType.DESCRIPTION) + export.description.encode())
    return infos
