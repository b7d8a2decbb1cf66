"""Names of segment files, and the reading of a segment during recovery.

Segments are numbered; a file name consists of the segment's number and the index of its first entry.
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
    """The name of a segment. Names are ordered by their numbers."""

    number: int
    first_index: int  # index of the first entry

    @property
    def file_name(self) -> str:
        """Name of the file, with numbers padded by zeros."""
        return f"{self.number:010d}-{self.first_index:016d}{SEGMENT_SUFFIX}"

    @property
    def checksum_seed(self) -> int:
        """Initial value of the checksums, which makes a frame valid only in its own segment."""
        return zlib.crc32(self.file_name.encode("ascii"))


@attrs.frozen
class SegmentContents:
    """Entries that were read from a segment, and how much of the file is valid."""

    entries: list[Entry]
    valid_bytes: int  # offset of the end of the last valid frame
    is_torn: bool  # whether any bytes follow the last valid frame


def list_segments(directory: Path) -> list[SegmentName]:
    """Return the names of the segments in ``directory``, in order.

    Raises ``DamagedStorageError`` for a file that has the suffix of a segment but an invalid name.
    """
    names: list[SegmentName] = []
    for path in directory.glob(f"*{SEGMENT_SUFFIX}"):
        number, _, first_index = path.stem.partition("-")
        if not (number.isdigit() and first_index.isdigit()):
            raise DamagedStorageError(f"{path}: invalid name of a log segment")
        names.append(SegmentName(int(number), int(first_index)))
    return sorted(names)


def read_segment(directory: Path, name: SegmentName, *, is_last: bool) -> SegmentContents:
    """Read the segment ``name``.

    Only the last segment may end in a torn frame, since the previous segment is synced before a new one is
    started. Raises ``DamagedStorageError`` for an invalid frame anywhere else.
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
