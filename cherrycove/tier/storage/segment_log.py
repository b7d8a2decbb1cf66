"""The log on disk: append-only segments of checksummed frames.

Nothing is overwritten: when the log is read, an entry whose index exists already replaces that entry and all
after it. A new segment is started only after the previous one is synced.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import sync_directory, sync_file, write_all
from cherrycove.tier.storage.frames import encode_frame
from cherrycove.tier.storage.segments import SegmentName, list_segments, read_segment

SEGMENT_BYTES = 4 * 1024 * 1024  # a new segment is started once the open one reaches this size


class SegmentLog:
    """Reads the log, and appends frames to its newest segment. Only one thread at a time may use it.

    ``recover`` must be called first. The first frame after it starts a new segment.
    """

    def __init__(self, directory: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._directory = directory
        self._segment_bytes = segment_bytes
        self._descriptor = -1  # file descriptor of the open segment; -1 if none is open
        self._checksum_seed = 0  # checksum seed of the open segment
        self._length = 0  # synced bytes of the open segment
        self._segment_number = 0  # number of the open or last segment
        self._has_failed_write = False  # unsynced bytes of it may follow the synced ones
        self._closed_bytes = 0  # total size of the segments before the open one

    @property
    def size_bytes(self) -> int:
        """Size of all segments."""
        return self._closed_bytes + self._length

    @property
    def next_segment_number(self) -> int:
        """Number of the segment that will be started next."""
        return self._segment_number + 1

    def recover(self, base_index: int, first_segment_number: int) -> list[Entry]:
        """Return the entries after ``base_index``, read from segment ``first_segment_number`` on.

        Older segments are removed, and a torn frame at the end is truncated. The entries are durable when
        this returns: the last segment is synced, since a killed process may have left its last frame
        unsynced. Raises ``DamagedStorageError`` for an invalid frame elsewhere and for a gap in the log.
        """
        self.remove_segments_below(first_segment_number)
        names = list_segments(self._directory)
        self._segment_number = first_segment_number - 1
        log: list[Entry] = []
        for name in names:
            is_last = name is names[-1]
            self._segment_number = name.number
            contents = read_segment(self._directory, name, is_last=is_last)
            _replay(log, base_index, contents.entries)
            if contents.is_torn:
                self._truncate_torn_tail(name, contents.valid_bytes)
            elif is_last:
                sync_file(self._directory / name.file_name)
            self._closed_bytes += contents.valid_bytes
        return log

    def append(self, entries: Sequence[Entry]) -> None:
        """Write ``entries`` as one frame and sync it. If this raises ``OSError``, none is durable."""
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

    def roll(self) -> None:
        """Close the open segment; the next frame starts a new one."""
        self._truncate_failed_write()
        self.close()

    def remove_segments_below(self, number: int) -> None:
        """Remove the segments below ``number``, without a sync: recovery removes any that reappear."""
        for name in list_segments(self._directory):
            if name.number < number:
                path = self._directory / name.file_name
                self._closed_bytes -= path.stat().st_size
                path.unlink()
        self._closed_bytes = max(self._closed_bytes, 0)

    def close(self) -> None:
        """Close the open segment, if there is one."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._closed_bytes += self._length
            self._length = 0

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

    def _truncate_failed_write(self) -> None:
        """Truncate the remains of a failed write, so that no later frame follows them."""
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


def _replay(log: list[Entry], base_index: int, entries: Sequence[Entry]) -> None:
    """Apply ``entries`` to ``log``, whose first entry is the one after ``base_index``."""
    for entry in entries:
        if entry.index <= base_index:
            continue  # covered by the snapshot, which contains committed entries only
        position = entry.index - base_index - 1
        if position > len(log):
            raise DamagedStorageError(f"entries {base_index + len(log) + 1} to {entry.index - 1} are missing")
        del log[position:]
        log.append(entry)
