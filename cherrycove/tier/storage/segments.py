"""Segment files: their names, and how one is read at the start.

Segments are numbered; the name of a file is its number and the index of its first entry.
"""

from __future__ import annotations

import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.frames import decode_frame, has_valid_frame_after

SEGMENT_SUFFIX = ".log"


@attrs.frozen(order=True)
class SegmentName:
    """The name of a segment. Names are in the order of their numbers."""

    number: int
    first_index: int  # of the first entry

    @property
    def file_name(self) -> str:
        """The name of the file, with leading zeros."""
        return f"{self.number:010d}-{self.first_index:016d}{SEGMENT_SUFFIX}"

    @property
    def checksum_seed(self) -> int:
        """Start value of the checksums, so that a frame is valid only in its own segment."""
        return zlib.crc32(self.file_name.encode("ascii"))


@attrs.frozen
class SegmentContents:
    """What was read from a segment."""

    entries: list[Entry]
    valid_bytes: int  # up to the end of the last valid frame
    is_torn: bool  # whether anything stands behind the last valid frame


def list_segments(directory: Path) -> list[SegmentName]:
    """Return the segments of ``directory`` in order.

    Raises ``DamagedStorageError`` for a file with the suffix of a segment and another form of name.
    """
    names: list[SegmentName] = []
    for path in directory.glob(f"*{SEGMENT_SUFFIX}"):
        number, _, first_index = path.stem.partition("-")
        if not (number.isdigit() and first_index.isdigit()):
            raise DamagedStorageError(f"{path}: not a segment's name")
        names.append(SegmentName(int(number), int(first_index)))
    return sorted(names)


def read_segment(directory: Path, name: SegmentName, *, is_last: bool) -> SegmentContents:
    """Read the segment ``name``.

    Only the last segment may end in a torn frame, since a segment is begun after the one before is synced.
    Raises ``DamagedStorageError`` for an invalid frame anywhere else.
    """
    data = (directory / name.file_name).read_bytes()
    entries: list[Entry] = []
    offset = 0
    while offset < len(data):
        frame = decode_frame(data, offset, name.checksum_seed)
        if frame is None:
            if not is_last or has_valid_frame_after(data, offset, name.checksum_seed):
                raise DamagedStorageError(f"{name.file_name}: invalid frame at byte {offset}")
            break
        entries.extend(frame.entries)
        offset = frame.end
    return SegmentContents(entries, valid_bytes=offset, is_torn=offset < len(data))
