"""The durable state of one replica as a whole: promise, snapshot and log in one directory."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Sequence
from pathlib import Path

import attrs

from cherrycove.tier.storage.entries import ENTRY_OVERHEAD_BYTES, FRAME_OVERHEAD_BYTES, Entry
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import sync_directory
from cherrycove.tier.storage.hard_state import HardState, HardStateFile
from cherrycove.tier.storage.segments import SEGMENT_BYTES, SegmentLog, limit_exceeded, list_segments
from cherrycove.tier.storage.snapshots import (
    Snapshot,
    StoredSnapshot,
    list_snapshots,
    read_snapshot,
    remove_other_snapshots,
    write_snapshot,
)

RESERVED_BYTES = 64 * 1024  # of the disk's limit, for identity, promise and folders

_log = logging.getLogger(__name__)


@attrs.frozen
class RecoveredState:
    """What a replica finds on its disk at its start."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]  # behind the snapshot, without a gap


class ReplicaStorage:
    """Writes of one replica. All methods block; one thread at a time uses them."""

    def __init__(self, directory: Path, limit_bytes: int = 0, segment_bytes: int = SEGMENT_BYTES) -> None:
        """``limit_bytes`` bounds the directory; 0 sets no bound."""
        self._directory = directory
        self._limit_bytes = limit_bytes - RESERVED_BYTES if limit_bytes else 0
        self._hard_state_file = HardStateFile(directory)
        self._log = SegmentLog(directory, segment_bytes)
        self._snapshot: StoredSnapshot | None = None

    @property
    def size_bytes(self) -> int:
        """Bytes of log and snapshot."""
        return self._log.size_bytes + (self._snapshot.size_bytes if self._snapshot is not None else 0)

    @property
    def damaged_hard_state_copies(self) -> int:
        """How many copies of the newest promise ``recover`` found damaged, or torn, and wrote again."""
        return self._hard_state_file.damaged_copies

    def recover(self) -> RecoveredState:
        """Read everything; cut a torn tail. Raises DamagedStorageError where synced data is lost."""
        for leftover in self._directory.glob("*.tmp"):
            leftover.unlink()
        sync_directory(
            self._directory
        )  # a killed process may have left this to do; what follows relies on it
        paths = list_snapshots(self._directory)
        may_create = not paths and not list_segments(self._directory)
        hard_state = self._hard_state_file.open(may_create)
        snapshot, first_segment_number = read_snapshot(paths[-1]) if paths else (None, 1)
        if snapshot is not None:
            self._snapshot = StoredSnapshot.of(paths[-1], snapshot)
            remove_other_snapshots(paths[-1])
        entries = self._log.recover(snapshot.index if snapshot else 0, first_segment_number)
        newest = entries[-1].epoch if entries else snapshot.epoch if snapshot else 0
        if newest > hard_state.epoch:
            raise DamagedStorageError(f"log of epoch {newest}, promise of epoch {hard_state.epoch}")
        last = entries[-1].index if entries else snapshot.index if snapshot else 0
        if last < hard_state.commit_index:
            raise DamagedStorageError(
                f"log up to entry {last}, of {hard_state.commit_index} known as committed"
            )
        return RecoveredState(hard_state, snapshot, entries)

    def write_hard_state(self, hard_state: HardState) -> None:
        """Store and sync the newest promise."""
        self._hard_state_file.write(hard_state)

    def append(self, entries: Sequence[Entry]) -> None:
        """Store and sync entries; one that is not above the last replaces its position and all behind."""
        self._check_limit(FRAME_OVERHEAD_BYTES + sum(entry.size_bytes for entry in entries))
        self._log.append(entries)

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        """Store a snapshot with the entries behind it, then remove what both make superfluous."""
        room = snapshot.size_bytes + sum(entry.size_bytes for entry in tail) + ENTRY_OVERHEAD_BYTES
        self._check_limit(room)
        self._log.roll()
        first_segment_number = self._log.next_segment_number
        if tail:
            self._log.append(tail)
        path = write_snapshot(self._directory, snapshot, first_segment_number)
        self._snapshot = StoredSnapshot.of(path, snapshot)
        with contextlib.suppress(OSError):  # the snapshot counts; the next one, or a start, removes the rest
            self._log.remove_segments_below(first_segment_number)
            remove_other_snapshots(path)

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        """Part of the state in the stored snapshot of entry ``index``; empty if it is gone or damaged."""
        snapshot = self._snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        try:
            return snapshot.read(offset, size)
        except FileNotFoundError:
            return b""  # replaced just now
        except (OSError, DamagedStorageError) as error:
            _log.error("snapshot_unreadable", extra={"path": str(snapshot.path), "reason": str(error)})
            return b""

    def _check_limit(self, wanted: int) -> None:
        if self._limit_bytes and self.size_bytes + wanted > self._limit_bytes:
            raise limit_exceeded()

    def close(self) -> None:
        self._log.close()
        self._hard_state_file.close()
