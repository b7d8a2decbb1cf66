"""One disk through many lives of its replica, with hundreds of writes, snapshots and crashes in a row.

Each life does random writes, some of them on a full disk, and ends at a random call by a kill or a loss of
power. The next one must find what the one before had reported, and go on from there.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import attrs
import pytest
from disk_model import DiskState, RecordedDisk
from storage_crashes import (
    EMPTY,
    Step,
    append_entries,
    entries,
    open_storage,
    perform,
    promise,
    snapshot_of,
)

from cherrycove.tier.storage import block_packs, snapshot_state
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshot_state import StateBlock

SEEDS = range(8)
LIVES = 25
MOST_STEPS = 16  # in one life
MOST_ENTRIES = 6  # in one write
MOST_BLOCKS = 4  # that are new in one snapshot
MOST_CALLS_BEFORE_A_FULL_DISK = 60
MOST_CALLS_ON_A_FULL_DISK = 12


@attrs.frozen
class Moment:
    """The disk after a call, what a start may find there, and up to where entries are committed."""

    disk: DiskState
    allowed: list[RecoveredState]
    committed: int


@attrs.define
class Replica:
    """Chooses writes as a replica does: it replaces what is not committed, and takes snapshots of what is."""

    random: Random
    epoch: int
    committed: int
    base: int  # entries up to here are in a snapshot
    base_epoch: int
    log: list[Entry]
    final: list[StateBlock]  # of the newest snapshot

    @staticmethod
    def of(state: RecoveredState, committed: int, random: Random) -> Replica:
        snapshot = state.snapshot
        base, base_epoch = (snapshot.index, snapshot.epoch) if snapshot is not None else (0, 0)
        committed = max(committed, base, state.hard_state.commit_index)
        final = [block for block in snapshot.state.blocks if block.is_final] if snapshot is not None else []
        return Replica(
            random, state.hard_state.epoch, committed, base, base_epoch, list(state.entries), final
        )

    @property
    def last(self) -> int:
        return self.base + len(self.log)

    def next_step(self) -> Step:
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

    def _commit(self) -> Step:
        self.committed = self.random.randint(self.committed, self.last)
        return promise(self.epoch, "a", self.committed)

    def _new_epoch(self) -> Step:
        self.epoch += 1
        return promise(self.epoch, "b", self.committed)

    def _append(self) -> Step:
        """The first append of an epoch replaces what is not committed, from any point on."""
        first = self.last + 1
        if first - 1 > self.committed and self.log[-1].epoch < self.epoch:
            first = self.random.randint(self.committed + 1, first)
        new = entries(first, first + self.random.randrange(MOST_ENTRIES), self.epoch)
        self.log[first - self.base - 1 :] = new
        return append_entries(new)

    def _take_snapshot(self) -> Step:
        index = self.random.randint(self.base + 1, self.committed)
        epoch = self.log[index - self.base - 1].epoch
        del self.log[: index - self.base]
        self.base, self.base_epoch = index, epoch
        self.final = [block for block in self.final if self.random.random() < 0.7]
        self.final += [
            StateBlock.final(self.random.randbytes(20)) for _ in range(self.random.randrange(MOST_BLOCKS))
        ]
        return snapshot_of(index, epoch, list(self.final), list(self.log))

    def _receive_snapshot(self) -> Step:
        self.base = self.committed = self.last + self.random.randint(1, 9)
        self.base_epoch = self.epoch
        self.log.clear()
        self.final = [StateBlock.final(b"received %d" % self.base)]
        return snapshot_of(self.base, self.epoch, list(self.final), [], required=True)


def live(disk: RecordedDisk, before: Moment, random: Random) -> list[Moment]:
    """One life, and all its moments."""
    with disk.recording():
        started, storage = open_storage(disk.root)
        assert started.state in before.allowed
        states = disk.states
        moments = [Moment(state, before.allowed, before.committed) for state in states]
        now = [started.state]
        moments.append(Moment(disk.state.copy(), now, before.committed))
        replica = Replica.of(started.state, before.committed, random)
        if random.random() < 0.5:
            disk.failing_call = disk.calls + random.randint(1, MOST_CALLS_BEFORE_A_FULL_DISK)
            disk.failures = random.randint(1, MOST_CALLS_ON_A_FULL_DISK)
        for _ in range(random.randint(0, MOST_STEPS)):
            committed = replica.committed
            step = replica.next_step()
            done = len(states)
            after = [step.becomes(state) for state in now]
            performed = perform(step, storage)
            moments.extend(Moment(state, now + after, committed) for state in states[done:])
            now = after if performed else now + after
            moments.append(Moment(disk.state.copy(), now, replica.committed))
        storage.close()
    return moments


def crash(moment: Moment, random: Random) -> Moment:
    """The disk that the next life finds."""
    if random.random() < 0.5:
        return moment
    lost = DiskState.of(moment.disk.after_some_power_loss(random))
    return attrs.evolve(moment, disk=lost)


@pytest.fixture(autouse=True)
def small_packs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Final blocks of the smallest state go into packs, and garbage of any size is rewritten."""
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)
    monkeypatch.setattr(block_packs, "GARBAGE_BYTES", 0)
    monkeypatch.setattr(block_packs, "MAX_PACKS", 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_each_life_finds_what_the_one_before_reported(seed: int, tmp_path: Path) -> None:
    random = Random(seed)
    moment = Moment(DiskState(), [EMPTY], 0)
    for number in range(LIVES):
        disk = RecordedDisk(tmp_path / str(number), moment.disk.copy())
        moment = crash(random.choice(live(disk, moment, random)), random)
    assert moment.committed > LIVES
