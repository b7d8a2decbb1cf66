"""Many crashes and restarts of a replica on one disk, with hundreds of writes and snapshots.

Each process performs random writes, some of them on a full disk, and ends at a random system call by a kill
or a power failure. The next process must recover what the previous one had reported as done.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import attrs
import pytest
from disk_model import ModelDisk, RecordedDisk
from storage_crashes import (
    EMPTY_STATE,
    WriteStep,
    append_entries,
    entries,
    open_storage,
    perform,
    snapshot_with_blocks,
    write_hard_state,
)

from cherrycove.tier.storage import block_packs, snapshot_state
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshot_state import StateBlock

SEEDS = range(8)
RESTARTS = 25
MAX_STEPS = 16  # writes of one process
MAX_ENTRIES = 6  # bound on the entries of one write
MAX_BLOCKS = 4  # bound on the new blocks of one snapshot
MAX_CALLS_BEFORE_A_FULL_DISK = 60
MAX_CALLS_ON_A_FULL_DISK = 12


@attrs.frozen
class CrashPoint:
    """The disk after a system call, the states that recovery may return, and the commit index."""

    disk: ModelDisk
    allowed: list[RecoveredState]
    committed: int


@attrs.define
class SimulatedWriter:
    """Chooses random writes of a replica: replaces uncommitted entries, takes snapshots of committed ones."""

    random: Random
    epoch: int
    committed: int
    base: int  # index of the newest snapshot
    base_epoch: int
    log: list[Entry]
    final: list[StateBlock]  # final blocks of the newest snapshot

    @staticmethod
    def of(state: RecoveredState, committed: int, random: Random) -> SimulatedWriter:
        snapshot = state.snapshot
        base, base_epoch = (snapshot.index, snapshot.epoch) if snapshot is not None else (0, 0)
        committed = max(committed, base, state.hard_state.commit_index)
        final = [block for block in snapshot.state.blocks if block.is_final] if snapshot is not None else []
        return SimulatedWriter(
            random, state.hard_state.epoch, committed, base, base_epoch, list(state.entries), final
        )

    @property
    def last(self) -> int:
        return self.base + len(self.log)

    def next_step(self) -> WriteStep:
        chosen = self.random.random()
        if chosen < 0.1:
            return self._commit()
        if chosen < 0.2:
            return self._new_epoch()
        if chosen < 0.4 and self.committed > self.base:
            return self._take_snapshot()
        if chosen < 0.43:
            return self._receive_snapshot()
        return self._append()

    def _commit(self) -> WriteStep:
        self.committed = self.random.randint(self.committed, self.last)
        return write_hard_state(self.epoch, "a", self.committed)

    def _new_epoch(self) -> WriteStep:
        self.epoch += 1
        return write_hard_state(self.epoch, "b", self.committed)

    def _append(self) -> WriteStep:
        """Append entries; the first append of an epoch may replace uncommitted ones."""
        first = self.last + 1
        if first - 1 > self.committed and self.log[-1].epoch < self.epoch:
            first = self.random.randint(self.committed + 1, first)
        new = entries(first, first + self.random.randrange(MAX_ENTRIES), self.epoch)
        self.log[first - self.base - 1 :] = new
        return append_entries(new)

    def _take_snapshot(self) -> WriteStep:
        index = self.random.randint(self.base + 1, self.committed)
        epoch = self.log[index - self.base - 1].epoch
        del self.log[: index - self.base]
        self.base, self.base_epoch = index, epoch
        self.final = [block for block in self.final if self.random.random() < 0.7]
        self.final += [
            StateBlock.final(self.random.randbytes(20)) for _ in range(self.random.randrange(MAX_BLOCKS))
        ]
        return snapshot_with_blocks(index, epoch, list(self.final), list(self.log))

    def _receive_snapshot(self) -> WriteStep:
        self.base = self.committed = self.last + self.random.randint(1, 9)
        self.base_epoch = self.epoch
        self.log.clear()
        self.final = [StateBlock.final(b"received %d" % self.base)]
        return snapshot_with_blocks(self.base, self.epoch, list(self.final), [], required=True)


def run_until_crash(disk: RecordedDisk, before: CrashPoint, random: Random) -> list[CrashPoint]:
    """Run one process and return all its crash points."""
    with disk.recording():
        started, storage = open_storage(disk.root)
        assert started.state in before.allowed
        states = disk.states
        crash_points = [CrashPoint(state, before.allowed, before.committed) for state in states]
        possible = [started.state]
        crash_points.append(CrashPoint(disk.state.copy(), possible, before.committed))
        writer = SimulatedWriter.of(started.state, before.committed, random)
        if random.random() < 0.5:
            disk.first_failing_call = disk.calls + random.randint(1, MAX_CALLS_BEFORE_A_FULL_DISK)
            disk.failing_calls = random.randint(1, MAX_CALLS_ON_A_FULL_DISK)
        for _ in range(random.randint(0, MAX_STEPS)):
            committed = writer.committed
            step = writer.next_step()
            recorded = len(states)
            possible_after = [step.next_state(state) for state in possible]
            performed = perform(step, storage)
            crash_points.extend(
                CrashPoint(state, possible + possible_after, committed) for state in states[recorded:]
            )
            possible = possible_after if performed else possible + possible_after
            crash_points.append(CrashPoint(disk.state.copy(), possible, writer.committed))
        storage.close()
    return crash_points


def crash(crash_point: CrashPoint, random: Random) -> CrashPoint:
    """Choose a kill or a power failure, and return the disk that the next process finds."""
    if random.random() < 0.5:
        return crash_point
    lost = ModelDisk.of(crash_point.disk.random_power_loss(random))
    return attrs.evolve(crash_point, disk=lost)


@pytest.fixture(autouse=True)
def small_packs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use packs for states of any size, and rewrite packs for unused blocks of any size."""
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)
    monkeypatch.setattr(block_packs, "GARBAGE_BYTES", 0)
    monkeypatch.setattr(block_packs, "MAX_PACKS", 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_each_restart_recovers_the_reported_writes(seed: int, tmp_path: Path) -> None:
    random = Random(seed)
    crash_point = CrashPoint(ModelDisk(), [EMPTY_STATE], 0)
    for number in range(RESTARTS):
        disk = RecordedDisk(tmp_path / str(number), crash_point.disk.copy())
        crash_point = crash(random.choice(run_until_crash(disk, crash_point, random)), random)
    assert crash_point.committed > RESTARTS
