"""Snapshot files: the state machine's state after one entry, with the members in force at that entry.

In a file without packs (``CvS1``) the members are followed by the uncompressed state. In a file with packs
(``CvS2``) they are followed by a table of all blocks and the content of the blocks that are not final; the
final blocks are stored in packs.
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
    read_range,
)

SNAPSHOT_PREFIX = "snapshot-"
BLOCK_BYTES = 1024 * 1024  # unit in which a state without packs is read and verified
_MAGIC = b"CvS1"
_MAGIC_WITH_PACKS = b"CvS2"
# Magic, CRC-32, index, epoch, number of the first segment, length of the members, length of the rest.
_HEADER = struct.Struct("<4sIQQQIQ")
_CHECKED_FROM = 8  # the checksum covers the file from this byte on
_ROW_COUNT = struct.Struct("<I")  # number of rows in the table of blocks
# A ``BlockLocation``; for a block in the snapshot file, the offset is relative to the end of the table.
_ROW = struct.Struct("<QQIII")


def _as_state(state: bytes | SnapshotState) -> SnapshotState:
    return SnapshotState.of(state)


@attrs.frozen
class Snapshot:
    """The state after the entry with ``index``, which has ``epoch``."""

    index: int
    epoch: int
    members: bytes  # encoded by the replication package, opaque here
    state: SnapshotState = attrs.field(repr=False, converter=_as_state)  # opaque here

    @property
    def size_bytes(self) -> int:
        """Size of the snapshot file, without the packs that hold its final blocks."""
        table_bytes = 0
        if self.state.uses_packs:
            table_bytes = _ROW_COUNT.size + _ROW.size * len(self.state.blocks)
        return _HEADER.size + len(self.members) + table_bytes + self.state.rewritten_bytes


@attrs.frozen
class SnapshotFile:
    """Contents of a snapshot file."""

    snapshot: Snapshot
    first_segment_number: int  # segments with lower numbers are covered by the snapshot
    locations: Sequence[BlockLocation]  # location of each block of the state; empty without packs

    def final_blocks(self) -> Iterator[tuple[StateBlock, BlockLocation]]:
        """Yield the blocks that are stored in packs, with their locations."""
        if self.locations:
            for block, location in zip(self.snapshot.state.blocks, self.locations, strict=True):
                if block.is_final:
                    yield block, location


def snapshot_path(directory: Path, index: int) -> Path:
    """Return the path of the snapshot of entry ``index``."""
    return directory / f"{SNAPSHOT_PREFIX}{index:016d}"


def list_snapshots(directory: Path) -> list[Path]:
    """Return the snapshot files in ``directory``, the newest one last."""
    return sorted(directory.glob(f"{SNAPSHOT_PREFIX}*"))


def write_snapshot(
    directory: Path,
    snapshot: Snapshot,
    first_segment_number: int,
    location_of: Callable[[StateBlock], BlockLocation],
) -> StoredSnapshot:
    """Store ``snapshot`` durably.

    Segments numbered below ``first_segment_number`` are covered by the snapshot. ``location_of`` returns the
    durable location of a final block.
    """
    state = snapshot.state
    path = snapshot_path(directory, snapshot.index)
    locations = _block_locations(state, location_of) if state.uses_packs else []
    table = _encode_table(locations) if locations else b""
    contents = [block.data() for block in state.blocks if not (locations and block.is_final)]
    lengths = (len(snapshot.members), len(table) + state.rewritten_bytes)
    magic = _MAGIC_WITH_PACKS if locations else _MAGIC
    header = _HEADER.pack(magic, 0, snapshot.index, snapshot.epoch, first_segment_number, *lengths)
    checksum = _checksum(header, snapshot.members, table, *contents)
    header = header[: len(magic)] + checksum.to_bytes(4, "little") + header[_CHECKED_FROM:]
    replace_file(path, header, snapshot.members, table, *contents)
    return StoredSnapshot.of(path, snapshot, locations)


def read_snapshot(path: Path) -> SnapshotFile:
    """Read the snapshot file ``path``. Raises ``DamagedStorageError`` if it is truncated or invalid."""
    # The fields are read one by one to avoid a second copy of a large state in memory.
    with path.open("rb") as file:
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            raise DamagedStorageError(f"{path}: snapshot file is shorter than its header")
        magic, checksum, index, epoch, segment, members_length, length = _HEADER.unpack(header)
        is_complete = _HEADER.size + members_length + length == path.stat().st_size
        if magic not in (_MAGIC, _MAGIC_WITH_PACKS) or not is_complete:
            raise DamagedStorageError(f"{path}: snapshot file is truncated or has an unknown format")
        members = file.read(members_length)
        content = file.read(length)
    if _checksum(header, members, content) != checksum:
        raise DamagedStorageError(f"{path}: wrong checksum of the snapshot")
    if magic == _MAGIC:
        return SnapshotFile(Snapshot(index, epoch, members, content), segment, [])
    locations, table_bytes = _decode_table(content)
    blocks = [_read_block(path, content, table_bytes, location) for location in locations]
    return SnapshotFile(Snapshot(index, epoch, members, SnapshotState(blocks)), segment, locations)


def remove_other_snapshots(kept: Path) -> None:
    """Remove all snapshots except ``kept``, whose directory entry must already be durable."""
    for path in list_snapshots(kept.parent):
        if path != kept:
            path.unlink(missing_ok=True)


@attrs.frozen
class StoredSnapshot:
    """A snapshot on the disk of this replica, with the in-memory checksum of each of its blocks.

    The checksum in the file covers the whole file, so it cannot be verified when a part is read. The
    checksums of the blocks can, and a block that is damaged on disk is not sent to another replica.
    """

    path: Path
    index: int
    size_bytes: int  # size of the snapshot file
    _locations: Sequence[BlockLocation]  # with offsets from the start of the file that holds the block

    @classmethod
    def of(cls, path: Path, snapshot: Snapshot, locations: Sequence[BlockLocation]) -> StoredSnapshot:
        """Describe ``snapshot``, stored at ``path``; ``locations`` is its table, empty without packs."""
        start = _HEADER.size + len(snapshot.members)
        if not locations:
            return cls(
                path, snapshot.index, snapshot.size_bytes, _plain_locations(bytes(snapshot.state), start)
            )
        start += _ROW_COUNT.size + _ROW.size * len(locations)
        absolute_locations = [
            location if location.is_final else attrs.evolve(location, offset=start + location.offset)
            for location in locations
        ]
        return cls(path, snapshot.index, snapshot.size_bytes, absolute_locations)

    def read(self, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state at ``offset``, fewer at its end.

        Raises ``DamagedStorageError`` if a block is corrupted on disk, and ``OSError`` if it cannot be read.
        """
        lengths = [location.state_bytes for location in self._locations]
        return read_range(lengths, self._read_data, offset, size)

    def read_encoded(self, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state's encoded form; raises the same errors as ``read``."""
        lengths = [encoded_length(location.stored_bytes) for location in self._locations]
        return read_range(lengths, self._read_encoded, offset, size)

    def _read_content(self, location: BlockLocation) -> bytes:
        path = pack_path(self.path.parent, location.pack) if location.is_final else self.path
        return read_content(path, location)

    def _read_data(self, number: int) -> bytes:
        location = self._locations[number]
        return decode_content(self._read_content(location), location.state_bytes, is_final=location.is_final)

    def _read_encoded(self, number: int) -> bytes:
        location = self._locations[number]
        return encode_block(self._read_content(location), location.state_bytes, is_final=location.is_final)


def _block_locations(
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
    """Return the table at the start of ``content`` and its length; the checksum was verified before."""
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
        raise DamagedStorageError(f"{pack}: pack file is missing") from error
    return StateBlock(stored, location.state_bytes, is_final=True)


def _plain_locations(state: bytes, file_offset: int) -> list[BlockLocation]:
    view = memoryview(state)
    locations: list[BlockLocation] = []
    for start in range(0, len(state), BLOCK_BYTES):
        block = view[start : start + BLOCK_BYTES]
        locations.append(BlockLocation(0, file_offset + start, len(block), len(block), zlib.crc32(block)))
    return locations


def _checksum(header: bytes, *parts: bytes) -> int:
    checksum = zlib.crc32(header[_CHECKED_FROM:])
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    return checksum
