"""Log entries, and the checksummed frames that carry them in a segment.

A frame holds the entries of one write. The writer syncs a frame before it writes the next one, so after a
loss of power only the last frame can be missing or torn; a valid frame behind an invalid one means a
damaged disk.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from enum import IntEnum

import attrs

FRAME_MAGIC = b"CvF1"
_FRAME_HEADER = struct.Struct("<4sII")  # magic, length of the body in bytes, CRC-32 of length and body
_ENTRY_HEADER = struct.Struct("<QQBI")  # index, epoch, kind, length of the payload in bytes
FRAME_OVERHEAD_BYTES = _FRAME_HEADER.size
ENTRY_OVERHEAD_BYTES = _ENTRY_HEADER.size


class EntryKind(IntEnum):
    COMMAND = 0  # opaque to replication; applied by the state machine
    NOOP = 1  # first entry of a primary's epoch
    MEMBERS = 2  # the whole member list in force from this entry on


@attrs.frozen(slots=True)
class Entry:
    """One position of the replicated log."""

    index: int
    epoch: int
    kind: EntryKind
    payload: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Bytes that the entry takes in a segment."""
        return ENTRY_OVERHEAD_BYTES + len(self.payload)


def _checksum(length: int, body: bytes, seed: int) -> int:
    return zlib.crc32(body, zlib.crc32(length.to_bytes(4, "little"), seed))


def encode_frame(entries: Sequence[Entry], seed: int) -> bytes:
    """The bytes of one frame; ``seed`` ties its checksum to the segment."""
    parts: list[bytes] = []
    for entry in entries:
        parts.append(_ENTRY_HEADER.pack(entry.index, entry.epoch, entry.kind, len(entry.payload)))
        parts.append(entry.payload)
    body = b"".join(parts)
    return _FRAME_HEADER.pack(FRAME_MAGIC, len(body), _checksum(len(body), body, seed)) + body


def _decode_body(body: bytes) -> list[Entry]:
    entries: list[Entry] = []
    offset = 0
    while offset < len(body):
        index, epoch, kind, length = _ENTRY_HEADER.unpack_from(body, offset)
        offset += _ENTRY_HEADER.size
        entries.append(Entry(index, epoch, EntryKind(kind), body[offset : offset + length]))
        offset += length
    return entries


def decode_frame(data: bytes, offset: int, seed: int) -> tuple[list[Entry], int] | None:
    """Entries of the frame at ``offset`` and the offset behind it; None if no valid frame stands there."""
    if offset + _FRAME_HEADER.size > len(data):
        return None
    magic, length, checksum = _FRAME_HEADER.unpack_from(data, offset)
    start = offset + _FRAME_HEADER.size
    if magic != FRAME_MAGIC or start + length > len(data):
        return None
    body = data[start : start + length]
    if _checksum(length, body, seed) != checksum:
        return None
    return _decode_body(body), start + length


def has_valid_frame_after(data: bytes, offset: int, seed: int) -> bool:
    """Whether any valid frame starts behind ``offset``."""
    position = data.find(FRAME_MAGIC, offset + 1)
    while position >= 0:
        if decode_frame(data, position, seed) is not None:
            return True
        position = data.find(FRAME_MAGIC, position + 1)
    return False
