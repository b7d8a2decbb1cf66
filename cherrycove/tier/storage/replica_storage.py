"""The durable state of one replica: hard state, snapshot and log in one directory."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Sequence
from pathlib import Path

import attrs

from cherrycove.tier.storage.block_packs import BlockPacks
from cherrycove.tier.storage.entries import ENTRY_OVERHEAD_BYTES, Entry
from cherrycove.tier.storage.errors import DamagedStorageError, DiskLimitError
from cherrycove.tier.storage.files import sync_directory
from cherrycove.tier.storage.frames import FRAME_OVERHEAD_BYTES
from cherrycove.tier.storage.hard_state import HardState, HardStateFile
from cherrycove.tier.storage.segment_log import SEGMENT_BYTES, SegmentLog
from cherrycove.tier.storage.segments import list_segments
from cherrycove.tier.storage.snapshots import (
    Snapshot,
    StoredSnapshot,
    list_snapshots,
    read_snapshot,
    remove_other_snapshots,
    write_snapshot,
)

RESERVED_BYTES = 64 * 1024  # of the directory's limit, for identity, hard state and the directory itself

_log = logging.getLogger(__name__)


@attrs.frozen
class RecoveredState:
    """What a replica finds on its disk when it starts."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]  # behind the snapshot, without a gap

    @property
    def last_index(self) -> int:
        """Index of the last entry, in the log or in the snapshot; 0 if there is none."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def last_epoch(self) -> int:
        """Epoch of the last entry, in the log or in the snapshot; 0 if there is none."""
        if self.entries:
            return self.entries[-1].epoch
        return self.snapshot.epoch if self.snapshot is not None else 0


class ReplicaStorage:
    """Reads and writes the directory of one replica.

    All methods block, and one thread at a time uses them; ``recover`` comes first. A write is durable when
    its method returns. One that raises ``OSError`` does not count and is to be attempted again; a start
    before that may find it or not.
    """

    def __init__(self, directory: Path, limit_bytes: int = 0, segment_bytes: int = SEGMENT_BYTES) -> None:
        """``limit_bytes`` bounds the directory; 0 sets no bound."""
        self._directory = directory
        self._limit_bytes = limit_bytes - RESERVED_BYTES if limit_bytes else 0
        self._hard_state_file = HardStateFile(directory)
        self._log = SegmentLog(directory, segment_bytes)
        self._packs = BlockPacks(directory)
        self._snapshot: StoredSnapshot | None = None

    @property
    def size_bytes(self) -> int:
        """Size of log, snapshot and packs."""
        snapshot_bytes = self._snapshot.size_bytes if self._snapshot is not None else 0
        return self._log.size_bytes + snapshot_bytes + self._packs.size_bytes

    @property
    def damaged_hard_state_copies(self) -> int:
        """Copies of the newest hard state that ``recover`` found damaged, or torn, and wrote again."""
        return self._hard_state_file.damaged_copies

    def recover(self) -> RecoveredState:
        """Read the durable state, and remove what unfinished writes left.

        What is returned is durable, also where a killed process wrote it without a sync. Raises
        ``DamagedStorageError`` if synced data is lost.
        """
        for leftover in self._directory.glob("*.tmp"):
            leftover.unlink()
        # A killed process may have renamed a file without syncing the name; what follows relies on the names.
        sync_directory(self._directory)
        snapshots = list_snapshots(self._directory)
        may_create = not snapshots and not list_segments(self._directory)
        hard_state = self._hard_state_file.open(may_create=may_create)
        snapshot, first_segment_number = self._recover_snapshot(snapshots[-1]) if snapshots else (None, 1)
        if snapshot is None:
            self._packs.recover([])
        entries = self._log.recover(snapshot.index if snapshot else 0, first_segment_number)
        recovered = RecoveredState(hard_state, snapshot, entries)
        _check_log_not_older(recovered)
        return recovered

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace epoch, vote and commit index."""
        self._hard_state_file.write(hard_state)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; one that is not above the last replaces that position and all behind it."""
        self._check_limit(FRAME_OVERHEAD_BYTES + sum(entry.size_bytes for entry in entries))
        self._log.append(entries)

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        """Replace the log by ``snapshot`` and the entries behind it, ``tail``.

        The tail goes into a new segment before the snapshot gets its name. A crash before that leaves the
        former snapshot and all segments, in which the tail stands twice; that is read as the same log.
        Final blocks are durable before the snapshot that names them, and removed after the one that does not.
        """
        plan = self._packs.plan(snapshot.state)
        tail_bytes = sum(entry.size_bytes for entry in tail)
        self._check_limit(plan.size_bytes + snapshot.size_bytes + tail_bytes + ENTRY_OVERHEAD_BYTES)
        self._log.roll()
        first_segment_number = self._log.next_segment_number
        if tail:
            self._log.append(tail)
        self._packs.write(plan)
        self._snapshot = write_snapshot(self._directory, snapshot, first_segment_number, self._packs.location)
        with contextlib.suppress(OSError):  # the next snapshot, or a start, removes what is left
            self._log.remove_segments_below(first_segment_number)
            remove_other_snapshots(self._snapshot.path)
            self._packs.keep_only(snapshot.state)

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Return ``size`` bytes of the state in the stored snapshot of entry ``index``, from ``offset`` on.

        ``encoded``: of the state's encoded form. Returns nothing if the snapshot was replaced, or cannot be
        read or is damaged, which is logged.
        """
        snapshot = self._snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        try:
            return snapshot.read_encoded(offset, size) if encoded else snapshot.read(offset, size)
        except FileNotFoundError:
            return b""  # the writer replaced it meanwhile
        except (OSError, DamagedStorageError) as error:
            _log.error("snapshot_unreadable", extra={"path": str(snapshot.path), "reason": str(error)})
            return b""

    def close(self) -> None:
        """Close the files."""
        self._log.close()
        self._hard_state_file.close()

    def _recover_snapshot(self, path: Path) -> tuple[Snapshot, int]:
        """Read the newest snapshot and the number of its first segment; remove the older snapshots."""
        file = read_snapshot(path)
        self._snapshot = StoredSnapshot.of(path, file.snapshot, file.locations)
        remove_other_snapshots(path)
        self._packs.recover(file.final_blocks())
        return file.snapshot, file.first_segment_number

    def _check_limit(self, additional_bytes: int) -> None:
        if self._limit_bytes and self.size_bytes + additional_bytes > self._limit_bytes:
            raise DiskLimitError


def _check_log_not_older(recovered: RecoveredState) -> None:
    """Raise ``DamagedStorageError`` if the log is of a newer epoch or shorter than the hard state knows."""
    hard_state = recovered.hard_state
    epoch = recovered.last_epoch
    if epoch > hard_state.epoch:
        raise DamagedStorageError(f"log of epoch {epoch}, promise of epoch {hard_state.epoch}")
    last = recovered.last_index
    if last < hard_state.commit_index:
        known = hard_state.commit_index
        raise DamagedStorageError(f"log up to entry {last}, of {known} known as committed")
