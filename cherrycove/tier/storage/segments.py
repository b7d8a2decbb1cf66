"""The log on disk: append-only segment files of checksummed frames.

Nothing is overwritten: an entry whose index is not above the last one replaces that position and all behind
it. Segments are numbered; a file's name is its number and the index of its first entry. A new segment is
begun only after the one before it is synced.
"""

from __future__ import annotations

import errno
import os
import zlib
from collections.abc import Sequence
from pathlib import Path

import attrs

from cherrycove.tier.storage.entries import Entry, decode_frame, encode_frame, has_valid_frame_after
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import sync_directory, sync_file, write_all

SEGMENT_SUFFIX = ".log"
SEGMENT_BYTES = 4 * 1024 * 1024  # a segment is followed by a new one when larger than this


@attrs.frozen(order=True)
class SegmentName:
    number: int
    first_index: int

    @property
    def file_name(self) -> str:
        return f"{self.number:010d}-{self.first_index:016d}{SEGMENT_SUFFIX}"

    @property
    def checksum_seed(self) -> int:
        """Start value of the checksums, so that a frame is valid only in its own segment."""
        return zlib.crc32(self.file_name.encode("ascii"))


def list_segments(directory: Path) -> list[SegmentName]:
    """The segments of ``directory`` in order."""
    names: list[SegmentName] = []
    for path in directory.glob(f"*{SEGMENT_SUFFIX}"):
        number, _, first_index = path.stem.partition("-")
        if not (number.isdigit() and first_index.isdigit()):
            raise DamagedStorageError(f"{path}: not a segment's name")
        names.append(SegmentName(int(number), int(first_index)))
    return sorted(names)


def _read_segment(directory: Path, name: SegmentName, last: bool) -> tuple[list[Entry], int, bool]:
    """Entries of a segment, the offset behind its last valid frame, and whether more stands there."""
    data = (directory / name.file_name).read_bytes()
    entries: list[Entry] = []
    offset = 0
    while offset < len(data):
        frame = decode_frame(data, offset, name.checksum_seed)
        if frame is None:
            if not last or has_valid_frame_after(data, offset, name.checksum_seed):
                raise DamagedStorageError(f"{name.file_name}: invalid frame at byte {offset}")
            break
        entries.extend(frame[0])
        offset = frame[1]
    return entries, offset, offset < len(data)


def _replay_entries(log: list[Entry], base_index: int, entries: Sequence[Entry]) -> None:
    for entry in entries:
        if entry.index <= base_index:
            continue  # in the snapshot, which is taken of committed entries only
        position = entry.index - base_index - 1
        if position > len(log):
            raise DamagedStorageError(f"entries {base_index + len(log) + 1} to {entry.index - 1} are missing")
        del log[position:]
        log.append(entry)


class SegmentLog:
    """Appends frames to the newest segment. One thread at a time."""

    def __init__(self, directory: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._directory = directory
        self._segment_bytes = segment_bytes
        self._descriptor = -1
        self._checksum_seed = 0
        self._length = 0  # synced bytes of the open segment
        self._segment_number = 0  # of the open or last segment
        self._has_failed_write = False  # a write failed, and bytes of it may stand behind the synced ones
        self._closed_bytes = 0  # of the segments before the open one

    @property
    def size_bytes(self) -> int:
        """Bytes of all segments."""
        return self._closed_bytes + self._length

    @property
    def next_segment_number(self) -> int:
        return self._segment_number + 1

    def recover(self, base_index: int, first_segment_number: int) -> list[Entry]:
        """The entries behind ``base_index``, from segments numbered ``first_segment_number`` and above.

        They are durable when this returns: a killed process may have left its last frame unsynced."""
        self.remove_segments_below(first_segment_number)
        names = list_segments(self._directory)
        self._segment_number = first_segment_number - 1
        log: list[Entry] = []
        for name in names:
            self._segment_number = name.number
            entries, valid, torn = _read_segment(self._directory, name, name is names[-1])
            _replay_entries(log, base_index, entries)
            if torn:
                self._truncate_torn_tail(name, valid)
            elif name is names[-1]:
                sync_file(self._directory / name.file_name)
            self._closed_bytes += valid
        return log

    def _truncate_torn_tail(self, name: SegmentName, length: int) -> None:
        path = self._directory / name.file_name
        if length == 0:
            path.unlink()
            sync_directory(self._directory)
            return
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, length)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def append(self, entries: Sequence[Entry]) -> None:
        """Write ``entries`` as one frame and sync it. After an OSError none of it counts; try again."""
        self._truncate_failed_write()
        if self._descriptor < 0 or self._length >= self._segment_bytes:
            self._open_segment(entries[0].index)
        frame = encode_frame(entries, self._checksum_seed)
        self._has_failed_write = True
        os.lseek(self._descriptor, self._length, os.SEEK_SET)
        write_all(self._descriptor, frame)
        os.fsync(self._descriptor)
        if self._length == 0:
            sync_directory(self._directory)
        self._has_failed_write = False
        self._length += len(frame)

    def _truncate_failed_write(self) -> None:
        """Cut what a failed write left, so that no later frame comes to stand behind it."""
        if self._has_failed_write:
            os.ftruncate(self._descriptor, self._length)
            os.fsync(self._descriptor)
            self._has_failed_write = False

    def _open_segment(self, first_index: int) -> None:
        self.close()
        name = SegmentName(self._segment_number + 1, first_index)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self._descriptor = os.open(self._directory / name.file_name, flags, 0o600)
        self._segment_number = name.number
        self._checksum_seed = name.checksum_seed
        self._length = 0

    def roll(self) -> None:
        """Let the next frame begin a new segment."""
        self._truncate_failed_write()
        self.close()

    def remove_segments_below(self, number: int) -> None:
        """Remove the segments numbered below ``number``."""
        for name in list_segments(self._directory):
            if name.number < number:
                path = self._directory / name.file_name
                self._closed_bytes -= path.stat().st_size
                path.unlink()
        self._closed_bytes = max(self._closed_bytes, 0)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._closed_bytes += self._length
            self._length = 0


def limit_exceeded() -> OSError:
    """What a write over the disk's limit raises."""
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
