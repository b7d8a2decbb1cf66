"""Snapshot files: the whole state up to one entry, with the member list in force there."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.files import DamagedStorageError, replace_file

SNAPSHOT_PREFIX = "snapshot-"
_MAGIC = b"CvS1"
_HEADER = struct.Struct("<4sIQQQIQ")  # magic, CRC-32, index, epoch, segment, bytes of members, of state
_CHECKED_FROM = 8


@attrs.frozen
class Snapshot:
    """State after the entry ``index``. ``members`` is an encoded list, opaque here."""

    index: int
    epoch: int
    members: bytes
    state: bytes = attrs.field(repr=False)

    @property
    def size(self) -> int:
        return _HEADER.size + len(self.members) + len(self.state)


def snapshot_path(directory: Path, index: int) -> Path:
    return directory / f"{SNAPSHOT_PREFIX}{index:016d}"


def write_snapshot(directory: Path, snapshot: Snapshot, segment: int) -> Path:
    """Store ``snapshot`` durably. Segments numbered below ``segment`` are no longer needed beside it."""
    lengths = (len(snapshot.members), len(snapshot.state))
    header = _HEADER.pack(_MAGIC, 0, snapshot.index, snapshot.epoch, segment, *lengths)
    checksum = zlib.crc32(header[_CHECKED_FROM:])
    checksum = zlib.crc32(snapshot.members, checksum)
    checksum = zlib.crc32(snapshot.state, checksum)
    header = header[:4] + checksum.to_bytes(4, "little") + header[_CHECKED_FROM:]
    path = snapshot_path(directory, snapshot.index)
    replace_file(path, header, snapshot.members, snapshot.state)
    return path


def read_snapshot(path: Path) -> tuple[Snapshot, int]:
    """The snapshot of a file and the number of the first segment that goes with it."""
    data = path.read_bytes()
    if len(data) < _HEADER.size:
        raise DamagedStorageError(f"{path}: too short")
    magic, checksum, index, epoch, segment, members_length, state_length = _HEADER.unpack_from(data)
    whole = _HEADER.size + members_length + state_length == len(data)
    if magic != _MAGIC or not whole or zlib.crc32(memoryview(data)[_CHECKED_FROM:]) != checksum:
        raise DamagedStorageError(f"{path}: wrong checksum")
    middle = _HEADER.size + members_length
    return Snapshot(index, epoch, data[_HEADER.size : middle], data[middle:]), segment


def read_state(path: Path, offset: int, size: int) -> bytes:
    """Part of the state in a snapshot file that is known to be whole; empty if it is gone."""
    try:
        with path.open("rb") as file:
            members_length = _HEADER.unpack(file.read(_HEADER.size))[-2]
            file.seek(_HEADER.size + members_length + offset)
            return file.read(size)
    except OSError:
        return b""
