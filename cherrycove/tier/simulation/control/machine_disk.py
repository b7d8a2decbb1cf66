"""Simulates the disk of a machine with its faults, and the writer that writes to it on virtual time."""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from random import Random

import attrs

from cherrycove.tier.replication.effects import Write, WriteHardState, WriteSnapshot
from cherrycove.tier.replication.writer import coalesce_writes
from cherrycove.tier.simulation.control.loop import CURRENT_INCARNATION, Incarnation, VirtualLoop
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot

SYNC_S = (0.001, 0.006)
LATE_SYNC_SHARE = 0.04  # of the syncs on a disk without faults, which take LATE_SYNC_S
LATE_SYNC_S = (0.03, 0.2)
SLOW_SYNC_S = (0.1, 0.5)
RETRY_S = 0.25  # delay until writes that a full disk rejected are retried
STALLED_POLL_S = 0.05  # interval at which a stalled disk is checked


@attrs.define(eq=False)
class MachineDisk(SimulatedDisk):
    """The disk of one program on one machine, which a fault can make slow, full or stalled."""

    slow: bool = False
    full: bool = False
    stalled_until: float = 0.0  # virtual time


class SimulatedStorage:
    """Storage of one incarnation of a process; implements ``replication.disk_interface.Storage``.

    Writes go through ``SimulatedWriter``, so the methods that write are never called.
    """

    def __init__(self, disk: MachineDisk) -> None:
        self.disk = disk

    @property
    def size_bytes(self) -> int:
        """Return the size of log and snapshot in bytes."""
        return self.disk.size_bytes

    def recover(self) -> RecoveredState:
        """Return the durable state."""
        return self.disk.recovered()

    def write_hard_state(self, _hard_state: HardState) -> None:
        """Raise ``NotImplementedError``: never called."""
        raise NotImplementedError("the simulated writer performs the writes")

    def append(self, _entries: Sequence[Entry]) -> None:
        """Raise ``NotImplementedError``: never called."""
        raise NotImplementedError("the simulated writer performs the writes")

    def save_snapshot(self, _snapshot: Snapshot, _tail: Sequence[Entry]) -> None:
        """Raise ``NotImplementedError``: never called."""
        raise NotImplementedError("the simulated writer performs the writes")

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the snapshot at entry ``index``; empty if the disk has no such snapshot."""
        return self.disk.read_state(index, offset, size, encoded=encoded)

    def close(self) -> None:
        """Do nothing, as the disk outlives the process."""


class SimulatedWriter:
    """Performs writes in order on virtual time; implements ``replication.disk_interface.Writer``."""

    def __init__(
        self,
        loop: VirtualLoop,
        random: Random,
        storage: SimulatedStorage,
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
        self._incarnation: Incarnation | None = None
        self._has_failed = False
        self._is_stopped = False

    def start(self) -> None:
        """Start the writer in the incarnation of the caller."""
        self._incarnation = CURRENT_INCARNATION.get()

    def submit(self, writes: list[Write]) -> None:
        """Perform ``writes`` after all that were submitted earlier."""
        self._waiting.extend(writes)
        self._begin()

    async def stop(self) -> None:
        """Stop immediately; some of the writes in progress may have reached the disk."""
        self._is_stopped = True
        self._disk.crash(self._random)

    def _begin(self) -> None:
        if self._disk.in_progress or not self._waiting or self._is_stopped:
            return
        self._disk.in_progress, self._waiting = coalesce_writes(self._waiting), []
        self._schedule_sync()

    def _schedule_sync(self, delay_s: float = 0.0) -> None:
        duration_s = sum(self._sync_s() for _ in self._disk.in_progress)
        self._loop.call_in(self._incarnation, delay_s + duration_s, self._complete)

    def _sync_s(self) -> float:
        if self._disk.slow:
            return self._random.uniform(*SLOW_SYNC_S)
        is_late = self._random.random() < LATE_SYNC_SHARE
        return self._random.uniform(*(LATE_SYNC_S if is_late else SYNC_S))

    def _complete(self) -> None:
        if self._is_stopped:
            return
        if self._disk.stalled_until > self._loop.time():
            self._loop.call_in(self._incarnation, STALLED_POLL_S, self._complete)
            return
        if self._disk.full and self._reject_writes():
            return
        self._has_failed = False
        done, self._disk.in_progress = self._disk.in_progress, []
        for write in done:
            self._disk.perform(write)
        for write in done:
            self._on_written(write.ticket)
        self._begin()

    def _reject_writes(self) -> bool:
        """Reject writes because the disk is full.

        Snapshots that may be skipped are skipped, and the rest is retried after RETRY_S. Returns False if the
        rest needs no space and can be performed.
        """
        error = OSError(errno.ENOSPC, "no space")
        skipped = [write for write in self._disk.in_progress if _may_be_skipped(write)]
        kept = [write for write in self._disk.in_progress if write not in skipped]
        if skipped:
            self._disk.in_progress = kept
            for write in skipped:
                self._on_skipped(write.ticket, error)
                if not kept:
                    self._on_written(write.ticket)
        if all(isinstance(write, WriteHardState) for write in kept):
            return False
        if not self._has_failed:
            self._has_failed = True
            self._on_failed(error)
        self._schedule_sync(RETRY_S)
        return True


def _may_be_skipped(write: Write) -> bool:
    return isinstance(write, WriteSnapshot) and not write.required
