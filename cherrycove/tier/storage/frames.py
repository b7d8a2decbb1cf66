"""Checksummed frames, in which entries are stored in a segment.

A frame holds the entries of one write. The writer syncs a frame before it writes the next one, so after a
power failure only the last frame can be missing or torn; a valid frame after an invalid one means that the
disk is corrupted.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence

import attrs

from cherrycove.tier.storage.entries import ENTRY_HEADER, Entry, EntryKind

_MAGIC = b"CvF1"
_HEADER = struct.Struct("<4sII")  # magic, length of the body in bytes, CRC-32 of length and body
FRAME_OVERHEAD_BYTES = _HEADER.size


@attrs.frozen
class DecodedFrame:
    """A valid frame of a segment."""

    entries: list[Entry]
    end: int  # byte offset of the end of the frame


def encode_frame(entries: Sequence[Entry], checksum_seed: int) -> bytes:
    """Return the bytes of one frame.

    ``checksum_seed`` is the initial value of the checksum. Each segment has its own, so that a frame of a
    deleted file that is still present in a reused disk block is not valid in another segment.
    """
    chunks: list[bytes] = []
    for entry in entries:
        chunks.append(ENTRY_HEADER.pack(entry.index, entry.epoch, entry.kind, len(entry.payload)))
        chunks.append(entry.payload)
    body = b"".join(chunks)
    return _HEADER.pack(_MAGIC, len(body), _checksum(len(body), body, checksum_seed)) + body


def decode_frame(data: bytes, offset: int, checksum_seed: int) -> DecodedFrame | None:
    """Return the frame at ``offset`` in ``data``, or None if no valid frame starts there."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    end = start + length
    if magic != _MAGIC or end > len(data):
        return None
    body = data[start:end]
    if _checksum(length, body, checksum_seed) != checksum:
        return None
    return DecodedFrame(_decode_body(body), end)


def has_valid_frame_after(data: bytes, offset: int, checksum_seed: int) -> bool:
    """Return whether any valid frame starts after ``offset`` in ``data``."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if decode_frame(data, position, checksum_seed) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def _checksum(length: int, body: bytes, checksum_seed: int) -> int:
    return zlib.crc32(body, zlib.crc32(length.to_bytes(4, "little"), checksum_seed))


def _decode_body(body: bytes) -> list[Entry]:
    entries: list[Entry] = []
    offset = 0
    while offset < len(body):
        index, epoch, kind, length = ENTRY_HEADER.unpack_from(body, offset)
        offset += ENTRY_HEADER.size
        entries.append(Entry(index, epoch, EntryKind(kind), body[offset : offset + length]))
        offset += length
    return entries
