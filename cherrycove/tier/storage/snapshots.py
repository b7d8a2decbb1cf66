"""Snapshot files: the state machine's state after one entry, with the members in force there.

A state that is not divided is one run of bytes behind the members (``CvS1``). One that is, is a table of its
blocks, behind which stands what is not final; the final ones are in packs (``CvS2``).
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import attrs

from cherrycove.tier.storage.block_packs import BlockLocation, pack_path, read_content
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file
from cherrycove.tier.storage.snapshot_state import (
    SnapshotState,
    StateBlock,
    decode_content,
    encode_block,
    encoded_length,
    read_pieces,
)

SNAPSHOT_PREFIX = "snapshot-"
BLOCK_BYTES = 1024 * 1024  # of a state that is not divided; read and checked together
_MAGIC = b"CvS1"
_MAGIC_OF_BLOCKS = b"CvS2"
_HEADER = struct.Struct("<4sIQQQIQ")  # magic, CRC-32, index, epoch, segment, length of members, of the rest
_CHECKED_FROM = 8  # the checksum covers the file from this byte on
_ROW_COUNT = struct.Struct("<I")  # of the table of blocks
_ROW = struct.Struct(
    "<QQIII"
)  # a ``BlockLocation``; the offset of a block in this file counts from the table's end


def _as_state(state: bytes | SnapshotState) -> SnapshotState:
    return SnapshotState.of(state)


@attrs.frozen
class Snapshot:
    """The state after the entry ``index`` of ``epoch``."""

    index: int
    epoch: int
    members: bytes  # encoded by replication, opaque here
    state: SnapshotState = attrs.field(repr=False, converter=_as_state)  # opaque here

    @property
    def size_bytes(self) -> int:
        """Size of the file; the packs with its final blocks are not counted."""
        table_bytes = 0
        if self.state.uses_packs:
            table_bytes = _ROW_COUNT.size + _ROW.size * len(self.state.blocks)
        return _HEADER.size + len(self.members) + table_bytes + self.state.rewritten_bytes


@attrs.frozen
class SnapshotFile:
    """What a snapshot file holds."""

    snapshot: Snapshot
    first_segment_number: int  # segments numbered below are not needed beside the snapshot
    locations: Sequence[BlockLocation]  # of the blocks of the state; empty if it is not divided

    def final_blocks(self) -> Iterator[tuple[StateBlock, BlockLocation]]:
        """The blocks that are in packs."""
        if self.locations:
            for block, location in zip(self.snapshot.state.blocks, self.locations, strict=True):
                if block.is_final:
                    yield block, location


def snapshot_path(directory: Path, index: int) -> Path:
    """Return the path of the snapshot of entry ``index``."""
    return directory / f"{SNAPSHOT_PREFIX}{index:016d}"


def list_snapshots(directory: Path) -> list[Path]:
    """Return the snapshot files of ``directory``, the newest one last."""
    return sorted(directory.glob(f"{SNAPSHOT_PREFIX}*"))


def write_snapshot(
    directory: Path,
    snapshot: Snapshot,
    first_segment_number: int,
    location_of: Callable[[StateBlock], BlockLocation],
) -> StoredSnapshot:
    """Store ``snapshot`` durably.

    Segments numbered below ``first_segment_number`` are no longer needed beside it. ``location_of`` tells
    where a final block is stored durably.
    """
    state = snapshot.state
    path = snapshot_path(directory, snapshot.index)
    locations = _locations(state, location_of) if state.uses_packs else []
    table = _encode_table(locations) if locations else b""
    contents = [block.data() for block in state.blocks if not (locations and block.is_final)]
    lengths = (len(snapshot.members), len(table) + state.rewritten_bytes)
    magic = _MAGIC_OF_BLOCKS if locations else _MAGIC
    header = _HEADER.pack(magic, 0, snapshot.index, snapshot.epoch, first_segment_number, *lengths)
    checksum = _checksum(header, snapshot.members, table, *contents)
    header = header[: len(magic)] + checksum.to_bytes(4, "little") + header[_CHECKED_FROM:]
    replace_file(path, header, snapshot.members, table, *contents)
    return StoredSnapshot.of(path, snapshot, locations)


def read_snapshot(path: Path) -> SnapshotFile:
    """Read the snapshot file ``path``. Raises ``DamagedStorageError`` if it is not complete and valid."""
    with path.open("rb") as file:  # one field after the other: the state may take much of the memory
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            raise DamagedStorageError(f"{path}: too short")
        magic, checksum, index, epoch, segment, members_length, length = _HEADER.unpack(header)
        is_complete = _HEADER.size + members_length + length == path.stat().st_size
        if magic not in (_MAGIC, _MAGIC_OF_BLOCKS) or not is_complete:
            raise DamagedStorageError(f"{path}: not a whole snapshot")
        members = file.read(members_length)
        content = file.read(length)
    if _checksum(header, members, content) != checksum:
        raise DamagedStorageError(f"{path}: wrong checksum")
    if magic == _MAGIC:
        return SnapshotFile(Snapshot(index, epoch, members, content), segment, [])
    locations, table_bytes = _decode_table(content)
    blocks = [_read_block(path, content, table_bytes, location) for location in locations]
    return SnapshotFile(Snapshot(index, epoch, members, SnapshotState(blocks)), segment, locations)


def remove_other_snapshots(kept: Path) -> None:
    """Remove the snapshots beside ``kept``, whose name must be durable already."""
    for path in list_snapshots(kept.parent):
        if path != kept:
            path.unlink(missing_ok=True)


@attrs.frozen
class StoredSnapshot:
    """A snapshot on the disk of this replica, with the checksums that its blocks had in memory.

    The checksum in the file covers all of it, so it cannot be checked when a part is read. Those of blocks
    can, and a block that was damaged on the disk is not sent to another replica.
    """

    path: Path
    index: int
    size_bytes: int  # of the file
    _pieces: Sequence[BlockLocation]  # with offsets from the start of the file that has them

    @classmethod
    def of(cls, path: Path, snapshot: Snapshot, locations: Sequence[BlockLocation]) -> StoredSnapshot:
        """Describe ``snapshot``, stored at ``path``; ``locations`` are those of its file's table, if any."""
        start = _HEADER.size + len(snapshot.members)
        if not locations:
            return cls(path, snapshot.index, snapshot.size_bytes, _plain_pieces(bytes(snapshot.state), start))
        start += _ROW_COUNT.size + _ROW.size * len(locations)
        pieces = [
            location if location.is_final else attrs.evolve(location, offset=start + location.offset)
            for location in locations
        ]
        return cls(path, snapshot.index, snapshot.size_bytes, pieces)

    def read(self, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state from ``offset`` on, fewer at its end.

        Raises ``DamagedStorageError`` if the disk no longer holds what was stored, ``OSError`` if it cannot
        be read.
        """
        lengths = [piece.state_bytes for piece in self._pieces]
        return read_pieces(lengths, self._read_data, offset, size)

    def read_encoded(self, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state's encoded form; fails like ``read``."""
        lengths = [encoded_length(piece.stored_bytes) for piece in self._pieces]
        return read_pieces(lengths, self._read_encoded, offset, size)

    def _read_content(self, piece: BlockLocation) -> bytes:
        path = pack_path(self.path.parent, piece.pack) if piece.is_final else self.path
        return read_content(path, piece)

    def _read_data(self, number: int) -> bytes:
        piece = self._pieces[number]
        return decode_content(self._read_content(piece), piece.state_bytes, is_final=piece.is_final)

    def _read_encoded(self, number: int) -> bytes:
        piece = self._pieces[number]
        return encode_block(self._read_content(piece), piece.state_bytes, is_final=piece.is_final)


def _locations(
    state: SnapshotState, location_of: Callable[[StateBlock], BlockLocation]
) -> list[BlockLocation]:
    locations: list[BlockLocation] = []
    offset = 0
    for block in state.blocks:
        if block.is_final:
            locations.append(location_of(block))
            continue
        size = len(block.content)
        locations.append(BlockLocation(0, offset, size, size, zlib.crc32(block.content)))
        offset += size
    return locations


def _encode_table(locations: Sequence[BlockLocation]) -> bytes:
    return _ROW_COUNT.pack(len(locations)) + b"".join(
        _ROW.pack(*attrs.astuple(location)) for location in locations
    )


def _decode_table(content: bytes) -> tuple[list[BlockLocation], int]:
    """The table at the start of ``content``, whose checksum is right, and its length."""
    (count,) = _ROW_COUNT.unpack_from(content)
    table_bytes = _ROW_COUNT.size + count * _ROW.size
    rows = _ROW.iter_unpack(content[_ROW_COUNT.size : table_bytes])
    return [BlockLocation(*row) for row in rows], table_bytes


def _read_block(path: Path, content: bytes, table_bytes: int, location: BlockLocation) -> StateBlock:
    if not location.is_final:
        start = table_bytes + location.offset
        return StateBlock.plain(content[start : start + location.stored_bytes])
    pack = pack_path(path.parent, location.pack)
    try:
        stored = read_content(pack, location)
    except FileNotFoundError as error:
        raise DamagedStorageError(f"{pack}: missing") from error
    return StateBlock(stored, location.state_bytes, is_final=True)


def _plain_pieces(state: bytes, file_offset: int) -> list[BlockLocation]:
    view = memoryview(state)
    pieces: list[BlockLocation] = []
    for start in range(0, len(state), BLOCK_BYTES):
        piece = view[start : start + BLOCK_BYTES]
        pieces.append(BlockLocation(0, file_offset + start, len(piece), len(piece), zlib.crc32(piece)))
    return pieces


def _checksum(header: bytes, *parts: bytes) -> int:
    checksum = zlib.crc32(header[_CHECKED_FROM:])
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    return checksum
