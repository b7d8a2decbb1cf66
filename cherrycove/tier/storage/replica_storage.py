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

# Part of the directory's size limit that is set aside for identity, hard state and the directory itself.
RESERVED_BYTES = 64 * 1024

_log = logging.getLogger(__name__)


@attrs.frozen
class RecoveredState:
    """Durable state that a replica recovered from its disk at its start."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]  # entries after the snapshot, without a gap

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

    All methods block, and only one thread at a time may call them; ``recover`` must be called first. A write
    is durable when its method returns. If it raises ``OSError``, the caller must retry it; recovery may or
    may not find a write that failed.
    """

    def __init__(self, directory: Path, limit_bytes: int = 0, segment_bytes: int = SEGMENT_BYTES) -> None:
        """``limit_bytes`` is the size limit of the directory; 0 means no limit."""
        self._directory = directory
        self._limit_bytes = limit_bytes - RESERVED_BYTES if limit_bytes else 0
        self._hard_state_file = HardStateFile(directory)
        self._log = SegmentLog(directory, segment_bytes)
        self._packs = BlockPacks(directory)
        self._snapshot: StoredSnapshot | None = None

    @property
    def size_bytes(self) -> int:
        """Total size of log, snapshot and packs."""
        snapshot_bytes = self._snapshot.size_bytes if self._snapshot is not None else 0
        return self._log.size_bytes + snapshot_bytes + self._packs.size_bytes

    @property
    def damaged_hard_state_copies(self) -> int:
        """Number of copies of the newest hard state that ``recover`` found damaged or torn and rewrote."""
        return self._hard_state_file.damaged_copies

    def recover(self) -> RecoveredState:
        """Read the durable state, and remove the remains of unfinished writes.

        The returned state is durable, even if a killed process wrote it without a sync. Raises
        ``DamagedStorageError`` if synced data is missing or corrupted.
        """
        for leftover in self._directory.glob("*.tmp"):
            leftover.unlink()
        # A killed process may have renamed a file without syncing the directory; the steps below rely on
        # the file names.
        sync_directory(self._directory)
        snapshots = list_snapshots(self._directory)
        may_create = not snapshots and not list_segments(self._directory)
        hard_state = self._hard_state_file.open(may_create=may_create)
        snapshot, first_segment_number = self._recover_snapshot(snapshots[-1]) if snapshots else (None, 1)
        if snapshot is None:
            self._packs.recover([])
        entries = self._log.recover(snapshot.index if snapshot else 0, first_segment_number)
        recovered = RecoveredState(hard_state, snapshot, entries)
        _check_log_against_hard_state(recovered)
        return recovered

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace epoch, vote and commit index durably."""
        self._hard_state_file.write(hard_state)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append ``entries``; one whose index exists already replaces that entry and all after it."""
        self._check_limit(FRAME_OVERHEAD_BYTES + sum(entry.size_bytes for entry in entries))
        self._log.append(entries)

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        """Replace the log by ``snapshot`` and ``tail``, the entries after it.

        The tail is written to a new segment before the snapshot gets its final name. A crash before that
        leaves the previous snapshot and all segments, which contain the tail twice; recovery reads the same
        log from them. Final blocks are durable before the first snapshot that refers to them, and are removed
        after the first one that does not.
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
        with contextlib.suppress(OSError):  # the next snapshot or recovery removes the remaining files
            self._log.remove_segments_below(first_segment_number)
            remove_other_snapshots(self._snapshot.path)
            self._packs.retain_only(snapshot.state)

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Return up to ``size`` bytes at ``offset`` of the state in the stored snapshot of entry ``index``.

        With ``encoded`` the range is one of the state's encoded form. Returns no bytes if the snapshot was
        replaced, or if it cannot be read or is damaged; the latter two are logged.
        """
        snapshot = self._snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        try:
            return snapshot.read_encoded(offset, size) if encoded else snapshot.read(offset, size)
        except FileNotFoundError:
            return b""  # replaced by a newer snapshot during the read
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


def _check_log_against_hard_state(recovered: RecoveredState) -> None:
    """Raise ``DamagedStorageError`` if the log contradicts the hard state.

    The log must not have an epoch above the hard state's, nor end before its commit index.
    """
    hard_state = recovered.hard_state
    epoch = recovered.last_epoch
    if epoch > hard_state.epoch:
        raise DamagedStorageError(
            f"log has an entry of epoch {epoch}, above epoch {hard_state.epoch} of the hard state"
        )
    last = recovered.last_index
    if last < hard_state.commit_index:
        known = hard_state.commit_index
        raise DamagedStorageError(
            f"log ends at entry {last}, but entries up to {known} are known to be committed"
        )
