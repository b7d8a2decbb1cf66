"""Snapshot files: the state machine's state after one entry, with the members in force there."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file

SNAPSHOT_PREFIX = "snapshot-"
BLOCK_BYTES = 1024 * 1024  # of the state; read and checked together when it is sent to another replica
_MAGIC = b"CvS1"
_HEADER = struct.Struct("<4sIQQQIQ")  # magic, CRC-32, index, epoch, segment, length of members, of state
_CHECKED_FROM = 8  # the checksum covers the file from this byte on


@attrs.frozen
class Snapshot:
    """The state after the entry ``index`` of ``epoch``."""

    index: int
    epoch: int
    members: bytes  # encoded by replication, opaque here
    state: bytes = attrs.field(repr=False)  # encoded by the state machine, opaque here

    @property
    def size_bytes(self) -> int:
        """Size of the file."""
        return _HEADER.size + len(self.members) + len(self.state)


@attrs.frozen
class SnapshotFile:
    """What a snapshot file holds."""

    snapshot: Snapshot
    first_segment_number: int  # segments numbered below are not needed beside the snapshot


def snapshot_path(directory: Path, index: int) -> Path:
    """Return the path of the snapshot of entry ``index``."""
    return directory / f"{SNAPSHOT_PREFIX}{index:016d}"


def list_snapshots(directory: Path) -> list[Path]:
    """Return the snapshot files of ``directory``, the newest one last."""
    return sorted(directory.glob(f"{SNAPSHOT_PREFIX}*"))


def write_snapshot(directory: Path, snapshot: Snapshot, first_segment_number: int) -> Path:
    """Store ``snapshot`` durably and return its path.

    Segments numbered below ``first_segment_number`` are no longer needed beside it.
    """
    lengths = (len(snapshot.members), len(snapshot.state))
    header = _HEADER.pack(_MAGIC, 0, snapshot.index, snapshot.epoch, first_segment_number, *lengths)
    checksum = _checksum(header, snapshot.members, snapshot.state)
    header = header[: len(_MAGIC)] + checksum.to_bytes(4, "little") + header[_CHECKED_FROM:]
    path = snapshot_path(directory, snapshot.index)
    replace_file(path, header, snapshot.members, snapshot.state)
    return path


def read_snapshot(path: Path) -> SnapshotFile:
    """Read the snapshot file ``path``. Raises ``DamagedStorageError`` if it is not complete and valid."""
    with path.open("rb") as file:  # one field after the other: the state may take much of the memory
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            raise DamagedStorageError(f"{path}: too short")
        magic, checksum, index, epoch, segment, members_length, state_length = _HEADER.unpack(header)
        is_complete = _HEADER.size + members_length + state_length == path.stat().st_size
        if magic != _MAGIC or not is_complete:
            raise DamagedStorageError(f"{path}: not a whole snapshot")
        members = file.read(members_length)
        state = file.read(state_length)
    if _checksum(header, members, state) != checksum:
        raise DamagedStorageError(f"{path}: wrong checksum")
    return SnapshotFile(Snapshot(index, epoch, members, state), segment)


def remove_other_snapshots(kept: Path) -> None:
    """Remove the snapshots beside ``kept``, whose name must be durable already."""
    for path in list_snapshots(kept.parent):
        if path != kept:
            path.unlink(missing_ok=True)


@attrs.frozen
class StoredSnapshot:
    """A snapshot file of this replica, with the checksums that its state had in memory.

    The checksum in the file covers all of it, so it cannot be checked when a part is read. The checksums of
    blocks can, and a block that was damaged on the disk is not sent to another replica.
    """

    path: Path
    index: int
    size_bytes: int
    _state_offset: int
    _block_checksums: tuple[int, ...]

    @classmethod
    def of(cls, path: Path, snapshot: Snapshot) -> StoredSnapshot:
        """Describe ``snapshot``, which is stored at ``path``."""
        state_offset = _HEADER.size + len(snapshot.members)
        checksums = _block_checksums(snapshot.state)
        return cls(path, snapshot.index, snapshot.size_bytes, state_offset, checksums)

    def read(self, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state from ``offset`` on, fewer at its end.

        Raises ``DamagedStorageError`` if the file no longer holds what was stored, ``OSError`` if it cannot
        be read.
        """
        first_block = offset // BLOCK_BYTES
        end_block = -(-(offset + size) // BLOCK_BYTES)
        blocks: list[bytes] = []
        with self.path.open("rb") as file:
            file.seek(self._state_offset + first_block * BLOCK_BYTES)
            for number, checksum in enumerate(self._block_checksums[first_block:end_block], first_block):
                block = file.read(self._block_size(number))
                if zlib.crc32(block) != checksum:
                    raise DamagedStorageError(f"{self.path}: wrong checksum of a block")
                blocks.append(block)
        start = offset - first_block * BLOCK_BYTES
        return b"".join(blocks)[start : start + size]

    def _block_size(self, number: int) -> int:
        return min(BLOCK_BYTES, self.size_bytes - self._state_offset - number * BLOCK_BYTES)


def _checksum(header: bytes, members: bytes, state: bytes) -> int:
    checksum = zlib.crc32(header[_CHECKED_FROM:])
    checksum = zlib.crc32(members, checksum)
    return zlib.crc32(state, checksum)


def _block_checksums(state: bytes) -> tuple[int, ...]:
    view = memoryview(state)
    return tuple(zlib.crc32(view[start : start + BLOCK_BYTES]) for start in range(0, len(state), BLOCK_BYTES))
