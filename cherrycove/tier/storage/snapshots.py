"""Snapshot files: the whole state up to one entry, with the member list in force there."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file

SNAPSHOT_PREFIX = "snapshot-"
_MAGIC = b"CvS1"
_HEADER = struct.Struct("<4sIQQQIQ")  # magic, CRC-32, index, epoch, segment, bytes of members, of state
_CHECKED_FROM = 8
BLOCK_BYTES = 1024 * 1024  # of the state, read and checked as a whole when it is sent to another replica


@attrs.frozen
class Snapshot:
    """State after the entry ``index``. ``members`` is an encoded list, opaque here."""

    index: int
    epoch: int
    members: bytes
    state: bytes = attrs.field(repr=False)

    @property
    def size_bytes(self) -> int:
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


def list_snapshots(directory: Path) -> list[Path]:
    """The snapshot files of ``directory``, the newest one last."""
    return sorted(directory.glob(f"{SNAPSHOT_PREFIX}*"))


def remove_other_snapshots(kept: Path) -> None:
    """Remove the snapshots beside ``kept``, whose name must last already."""
    for path in list_snapshots(kept.parent):
        if path != kept:
            path.unlink(missing_ok=True)


def read_snapshot(path: Path) -> tuple[Snapshot, int]:
    """The snapshot of a file and the number of the first segment that goes with it."""
    with path.open("rb") as file:  # part by part: the state may take much of the memory
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            raise DamagedStorageError(f"{path}: too short")
        magic, checksum, index, epoch, segment, members_length, state_length = _HEADER.unpack(header)
        whole = _HEADER.size + members_length + state_length == path.stat().st_size
        if magic != _MAGIC or not whole:
            raise DamagedStorageError(f"{path}: not a whole snapshot")
        members = file.read(members_length)
        state = file.read(state_length)
    found = zlib.crc32(header[_CHECKED_FROM:])
    found = zlib.crc32(members, found)
    if zlib.crc32(state, found) != checksum:
        raise DamagedStorageError(f"{path}: wrong checksum")
    return Snapshot(index, epoch, members, state), segment


def _block_checksums(state: bytes) -> tuple[int, ...]:
    view = memoryview(state)
    return tuple(zlib.crc32(view[start : start + BLOCK_BYTES]) for start in range(0, len(state), BLOCK_BYTES))


@attrs.frozen
class StoredSnapshot:
    """A snapshot file of this replica, with the checksums that its state had in memory."""

    path: Path
    index: int
    size_bytes: int
    _state_offset: int
    _block_checksums: tuple[int, ...]

    @staticmethod
    def of(path: Path, snapshot: Snapshot) -> StoredSnapshot:
        offset = _HEADER.size + len(snapshot.members)
        return StoredSnapshot(
            path, snapshot.index, snapshot.size_bytes, offset, _block_checksums(snapshot.state)
        )

    def read(self, offset: int, size: int) -> bytes:
        """Part of the state. DamagedStorageError where the file no longer holds what was stored."""
        first = offset // BLOCK_BYTES
        checksums = self._block_checksums[first : -(-(offset + size) // BLOCK_BYTES)]
        with self.path.open("rb") as file:
            file.seek(self._state_offset + first * BLOCK_BYTES)
            blocks = [
                self._checked(file.read(self._block_size(first + i)), c) for i, c in enumerate(checksums)
            ]
        start = offset - first * BLOCK_BYTES
        return b"".join(blocks)[start : start + size]

    def _block_size(self, number: int) -> int:
        return min(BLOCK_BYTES, self.size_bytes - self._state_offset - number * BLOCK_BYTES)

    def _checked(self, block: bytes, checksum: int) -> bytes:
        if zlib.crc32(block) != checksum:
            raise DamagedStorageError(f"{self.path}: wrong checksum of a block")
        return block
