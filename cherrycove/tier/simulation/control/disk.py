"""Simulated disks: what was synced survives, the write in progress may or may not, and syncs take time."""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState, WriteSnapshot
from cherrycove.tier.replication.writer import coalesce_writes
from cherrycove.tier.simulation.control.loop import CURRENT_LIFE, Life, VirtualLoop
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot

SYNC_S = (0.001, 0.006)
LATE_SYNCS = 0.04  # share of syncs that take longer, also on a disk without trouble
LATE_SYNC_S = (0.03, 0.2)
SLOW_SYNC_S = (0.1, 0.5)
RETRY_S = 0.25
STALLED_POLL_S = 0.05  # a stalled disk is looked at again so often


@attrs.define(eq=False)
class Disk:
    """One folder of one machine: identity, promise, snapshot and log of a replica."""

    member_id: str = ""
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    slow: bool = False
    full: bool = False
    stalled_until: float = 0.0
    in_progress: list[Write] = attrs.field(factory=list)
    lost: bool = False

    @property
    def base_index(self) -> int:
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def size_bytes(self) -> int:
        snapshot = self.snapshot.size_bytes if self.snapshot is not None else 0
        return snapshot + sum(entry.size_bytes for entry in self.entries)

    def perform(self, write: Write) -> None:
        if isinstance(write, WriteHardState):
            self.hard_state = write.hard_state
        elif isinstance(write, WriteEntries):
            for entry in write.entries:
                position = entry.index - self.base_index - 1
                if position >= 0:
                    del self.entries[position:]
                    self.entries.append(entry)
        else:
            self.snapshot = write.snapshot
            self.entries = list(write.tail)

    def process_ended(self, random: Random) -> None:
        """Some of the writes in progress reached the disk, in their order."""
        for write in self.in_progress[: random.randint(0, len(self.in_progress))]:
            self.perform(write)
        self.in_progress = []


class DiskStorage:
    """The storage of one process's life; implements ``replication.disk_interface.Storage``."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    @property
    def size_bytes(self) -> int:
        return self.disk.size_bytes

    def recover(self) -> RecoveredState:
        return RecoveredState(self.disk.hard_state, self.disk.snapshot, list(self.disk.entries))

    def write_hard_state(self, hard_state: HardState) -> None:
        raise NotImplementedError("the simulated writer performs whole writes")

    def append(self, entries: Any) -> None:
        raise NotImplementedError("the simulated writer performs whole writes")

    def save_snapshot(self, snapshot: Snapshot, tail: Any) -> None:
        raise NotImplementedError("the simulated writer performs whole writes")

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        snapshot = self.disk.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state[offset : offset + size]

    def close(self) -> None:
        return None


class DiskQueue:
    """Performs writes in order on virtual time; implements ``replication.disk_interface.Writer``."""

    def __init__(
        self,
        loop: VirtualLoop,
        random: Random,
        storage: DiskStorage,
        on_written: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        on_skipped: Callable[[int, OSError], None],
    ) -> None:
        self._loop = loop
        self._random = random
        self._disk = storage.disk
        self._on_written = on_written
        self._on_failed = on_failed
        self._on_skipped = on_skipped
        self._waiting: list[Write] = []
        self._life: Life | None = None
        self._failed = False
        self._stopped = False

    def start(self) -> None:
        self._life = CURRENT_LIFE.get()

    def submit(self, writes: list[Write]) -> None:
        self._waiting.extend(writes)
        self._begin()

    async def stop(self) -> None:
        """What can be finished is finished by the disk; the process does not wait for it here."""
        self._stopped = True
        self._disk.process_ended(self._random)

    def _begin(self) -> None:
        if self._disk.in_progress or not self._waiting or self._stopped:
            return
        self._disk.in_progress, self._waiting = coalesce_writes(self._waiting), []
        self._later()

    def _later(self, delay: float = 0.0) -> None:
        duration = sum(self._sync_s() for _ in self._disk.in_progress)
        self._loop.call_in(self._life, delay + duration, self._finish)

    def _sync_s(self) -> float:
        if self._disk.slow:
            return self._random.uniform(*SLOW_SYNC_S)
        late = self._random.random() < LATE_SYNCS
        return self._random.uniform(*(LATE_SYNC_S if late else SYNC_S))

    def _finish(self) -> None:
        if self._stopped:
            return
        if self._disk.stalled_until > self._loop.time():
            self._loop.call_in(self._life, STALLED_POLL_S, self._finish)
            return
        if self._disk.full and self._refuse():
            return
        self._failed = False
        done, self._disk.in_progress = self._disk.in_progress, []
        for write in done:
            self._disk.perform(write)
        for write in done:
            self._on_written(write.ticket)
        self._begin()

    def _refuse(self) -> bool:
        """The disk is full: a snapshot that may be skipped is, everything else is tried again."""
        error = OSError(errno.ENOSPC, "no space")
        skipped = [
            write
            for write in self._disk.in_progress
            if isinstance(write, WriteSnapshot) and not write.required
        ]
        kept = [write for write in self._disk.in_progress if write not in skipped]
        needs_room = any(not isinstance(write, WriteHardState) for write in kept)
        if skipped:
            self._disk.in_progress = kept
            for write in skipped:
                self._on_skipped(write.ticket, error)
                if not kept:
                    self._on_written(write.ticket)
        if not needs_room:
            return False
        if not self._failed:
            self._failed = True
            self._on_failed(error)
        self._later(RETRY_S)
        return True
