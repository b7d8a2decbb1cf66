"""Histories of writes on a model disk, and a checker that simulates a crash at every point of them.

A history is a sequence of writes as the writer thread performs them. After a crash the disk must hold the
state after all completed writes, with or without the one in progress. State that recovery has returned counts
as durable, so it must survive a later power failure, even if the process had only been killed before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
from disk_model import DiskContents, ModelDisk, RecordedDisk

from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock
from cherrycove.tier.storage.snapshots import Snapshot

IP = "10.0.0.1"
REPLICA = "replica"  # directory of the replica below the root
SEGMENT_BYTES = 90  # small, so that a new segment is started every few entries
EMPTY_STATE = RecoveredState(HardState(), None, [])


def entries(first: int, last: int, epoch: int = 1) -> list[Entry]:
    return [Entry(i, epoch, EntryKind.COMMAND, b"%d.%d" % (epoch, i)) for i in range(first, last + 1)]


@attrs.frozen
class WriteStep:
    """One write of a history, and the state that results from it."""

    apply: Callable[[ReplicaStorage], None]
    next_state: Callable[[RecoveredState], RecoveredState]
    skipped_on_failure: bool = False  # not retried: a snapshot of this replica's own state


def write_hard_state(epoch: int, vote: str, committed: int = 0) -> WriteStep:
    new = HardState(epoch, vote, committed)
    return WriteStep(
        lambda storage: storage.write_hard_state(new),
        lambda state: attrs.evolve(state, hard_state=new),
    )


def append(first: int, last: int, epoch: int = 1) -> WriteStep:
    return append_entries(entries(first, last, epoch))


def append_entries(new: list[Entry]) -> WriteStep:
    def next_state(state: RecoveredState) -> RecoveredState:
        kept = [entry for entry in state.entries if entry.index < new[0].index]
        return attrs.evolve(state, entries=[*kept, *new])

    return WriteStep(lambda storage: storage.append(new), next_state)


def snapshot(index: int, last: int, epoch: int = 1, required: bool = False) -> WriteStep:
    """A snapshot of the state at ``index``, with the entries up to ``last`` after it."""
    return snapshot_with_tail(index, epoch, entries(index + 1, last, epoch), required)


def snapshot_with_tail(index: int, epoch: int, tail: list[Entry], required: bool = False) -> WriteStep:
    """A snapshot of the state at ``index``, whose entry has ``epoch``, with ``tail`` after it."""
    new = Snapshot(index, epoch, b"members", b"state at %d" % index)
    return WriteStep(
        lambda storage: storage.save_snapshot(new, tail),
        lambda state: RecoveredState(state.hard_state, new, tail),
        skipped_on_failure=not required,
    )


FINAL_BLOCKS = [StateBlock.final(b"final block %d" % number) for number in range(2)]


def packed_snapshot(index: int, last: int, *numbers: int) -> WriteStep:
    """A snapshot of a state with these final blocks, with the entries up to ``last`` after it."""
    return snapshot_with_blocks(
        index, 0, [FINAL_BLOCKS[number] for number in numbers], entries(index + 1, last, 0)
    )


def snapshot_with_blocks(
    index: int, epoch: int, final: list[StateBlock], tail: list[Entry], required: bool = False
) -> WriteStep:
    """A snapshot of a state with the ``final`` blocks between two plain ones."""
    blocks = [StateBlock.plain(b"at %d" % index), *final, StateBlock.plain(b"end")]
    new = Snapshot(index, epoch, b"members", SnapshotState(blocks))
    return WriteStep(
        lambda storage: storage.save_snapshot(new, tail),
        lambda state: RecoveredState(state.hard_state, new, tail),
        skipped_on_failure=not required,
    )


HISTORIES = {
    "blocks": [append(1, 2, 0), packed_snapshot(1, 2, 0, 1)],
    "more blocks": [append(1, 2, 0), packed_snapshot(1, 2, 0), packed_snapshot(2, 2, 0, 1)],
    "blocks rewritten": [append(1, 2, 0), packed_snapshot(1, 2, 0, 1), packed_snapshot(2, 2, 1)],
    "append": [write_hard_state(1, "a"), append(1, 2), append(3, 3)],
    "hard states": [
        write_hard_state(1, "a"),
        write_hard_state(2, "b"),
        append(1, 1, 2),
        write_hard_state(2, "b", 1),
        write_hard_state(3, "c", 1),
    ],
    "replaced entries": [
        write_hard_state(1, "a"),
        append(1, 4),
        write_hard_state(2, "b"),
        append(3, 3, 2),
        append(4, 5, 2),
    ],
    "roll": [write_hard_state(1, "a"), append(1, 2), append(3, 4), append(5, 6), append(7, 8)],
    "snapshot": [write_hard_state(1, "a"), append(1, 4), append(5, 6), snapshot(4, 6), append(7, 7)],
    "snapshot of all": [write_hard_state(1, "a"), append(1, 4), snapshot(4, 4), append(5, 5)],
    "snapshot from the primary": [
        write_hard_state(1, "a"),
        append(1, 2),
        snapshot(9, 9, required=True),
        append(10, 11),
    ],
    "snapshots in a row": [append(1, 3, 0), snapshot(1, 3, 0), snapshot(2, 3, 0)],
    "snapshots": [
        write_hard_state(1, "a"),
        append(1, 4),
        snapshot(3, 4),
        append(5, 8),
        append(9, 10),
        snapshot(7, 10),
        write_hard_state(2, "b", 8),
        append(9, 9, 2),
    ],
}


@attrs.frozen
class StartedReplica:
    """The identity and state that a start recovered from a disk."""

    member_id: str
    state: RecoveredState


def open_storage(root: Path) -> tuple[StartedReplica, ReplicaStorage]:
    """Start a process: open the identity, then recover. A damaged disk fails the test."""
    directory = root / REPLICA
    member_id, _ = open_identity(directory, first_start=True, ip=IP)
    storage = ReplicaStorage(directory, segment_bytes=SEGMENT_BYTES)
    return StartedReplica(member_id, storage.recover()), storage


def next_entry(state: RecoveredState) -> Entry:
    """Return the entry that a replica would append next in the epoch of its hard state."""
    base = state.snapshot.index if state.snapshot is not None else 0
    return entries(base + len(state.entries) + 1, base + len(state.entries) + 1, state.hard_state.epoch)[0]


@attrs.frozen
class RecordedRecovery:
    result: StartedReplica
    during: list[ModelDisk]  # the disk after each system call of the start
    after: ModelDisk  # the disk at the end of the start
    during_append: list[ModelDisk]  # the disk after each system call of a following append
    after_append: ModelDisk


@attrs.define
class RecoveryRunner:
    """Starts replicas on given disks; results for disks without unsynced changes are cached."""

    directory: Path
    skipped_sync: str = ""
    sync_locations: set[str] = attrs.field(factory=set)
    _count: int = 0
    _known: dict[DiskContents, RecordedRecovery] = attrs.field(factory=dict)

    def after(self, contents: DiskContents) -> RecordedRecovery:
        """Start after a power failure that left ``contents``."""
        if contents not in self._known:
            self._known[contents] = self.on(ModelDisk.of(contents))
        return self._known[contents]

    def on(self, state: ModelDisk) -> RecordedRecovery:
        """Start after the process was killed while the machine kept running."""
        self._count += 1
        disk = RecordedDisk(self.directory / str(self._count), state.copy())
        disk.skipped_sync = self.skipped_sync
        with disk.recording():
            result, storage = open_storage(disk.root)
            during, after = list(disk.states), disk.state.copy()
            storage.append([next_entry(result.state)])
            storage.close()
        self.sync_locations |= disk.sync_locations
        return RecordedRecovery(result, during, after, disk.states[len(during) :], disk.state)


@attrs.frozen
class CrashPoint:
    """The disk at one point of a history, and the states that recovery may return from it."""

    step: int
    disk: ModelDisk
    allowed: list[RecoveredState]


class CrashChecker:
    """Checks all crashes of a recorded run, and all further crashes during the recovery from them."""

    def __init__(self, recoveries: RecoveryRunner, repeated_crashes: bool = True) -> None:
        self._recoveries = recoveries
        self._checks_repeated = repeated_crashes
        self._checked: set[tuple[DiskContents, str]] = set()

    def check(self, crash_point: CrashPoint) -> None:
        self._check_start(self._recoveries.on(crash_point.disk), crash_point.allowed)
        for contents in crash_point.disk.after_power_loss():
            checked = (contents, repr(crash_point.allowed))
            if checked not in self._checked:
                self._checked.add(checked)
                self._check_start(self._recoveries.after(contents), crash_point.allowed)

    def _check_start(self, started: RecordedRecovery, allowed: list[RecoveredState]) -> None:
        assert started.result.state in allowed
        if self._checks_repeated:
            self._check_repeated_crashes(started, allowed)

    def _check_repeated_crashes(self, started: RecordedRecovery, allowed: list[RecoveredState]) -> None:
        for state in started.during:
            for contents in state.after_power_loss():
                assert self._recoveries.after(contents).result.state in allowed
        for contents in started.after.after_power_loss():
            again = self._recoveries.after(contents).result
            assert again == started.result, "recovered state was lost in a power failure"
        found = started.result.state
        with_entry = attrs.evolve(found, entries=[*found.entries, next_entry(found)])
        for state in started.during_append:
            for contents in state.after_power_loss():
                assert self._recoveries.after(contents).result.state in (found, with_entry)
        for contents in started.after_append.after_power_loss():
            assert self._recoveries.after(contents).result.state == with_entry


def perform(step: WriteStep, storage: ReplicaStorage) -> bool:
    """Perform a write like the writer thread, which retries a failed write unless it may be skipped.

    Returns whether it was performed.
    """
    while True:
        try:
            step.apply(storage)
            return True
        except OSError:
            if step.skipped_on_failure:
                return False


class RecordedRun:
    """Runs a history on a recorded disk, optionally with a failing call or a skipped sync."""

    def __init__(self, directory: Path, skipped_sync: str = "") -> None:
        self.disk = RecordedDisk(directory / "recorded", ModelDisk())
        self.disk.skipped_sync = skipped_sync
        self.failed_step = 0
        self.calls = 0  # calls of the history, without the preceding start

    def crash_points(self, history: list[WriteStep], first_failing_call: int = 0) -> list[CrashPoint]:
        disk = self.disk
        with disk.recording():
            storage = self._started()
            found = [CrashPoint(0, state, [EMPTY_STATE]) for state in disk.states]
            before = disk.calls
            disk.first_failing_call = before + first_failing_call if first_failing_call else 0
            found.extend(self._steps(history, storage))
            storage.close()
        self.calls = disk.calls - before
        return found

    def _started(self) -> ReplicaStorage:
        directory = self.disk.root / REPLICA
        open_identity(directory, first_start=True, ip=IP)
        storage = ReplicaStorage(directory, segment_bytes=SEGMENT_BYTES)
        storage.recover()
        return storage

    def _steps(self, history: list[WriteStep], storage: ReplicaStorage) -> Iterator[CrashPoint]:
        states = self.disk.states
        possible = [EMPTY_STATE]
        for number, step in enumerate(history, start=1):
            if 0 < self.failed_step < number - 1:
                return
            recorded = len(states)
            possible_after = [step.next_state(state) for state in possible]
            performed = perform(step, storage)
            if not self.failed_step and 0 < self.disk.first_failing_call <= self.disk.calls:
                self.failed_step = number
            for state in states[recorded:-1]:
                yield CrashPoint(number, state, possible + possible_after)
            possible = possible_after if performed else possible + possible_after
            yield CrashPoint(number, states[-1], possible)


def check_history(name: str, directory: Path, skipped_sync: str = "") -> set[str]:
    """Check all crashes of one history; return the locations of all syncs that were made."""
    recoveries = RecoveryRunner(directory, skipped_sync)
    checker = CrashChecker(recoveries)
    run = RecordedRun(directory, skipped_sync)
    for crash_point in run.crash_points(HISTORIES[name]):
        checker.check(crash_point)
    return recoveries.sync_locations | run.disk.sync_locations


def check_failures(name: str, directory: Path, skipped_sync: str = "") -> None:
    """Check a full disk at each call of a history, with all crashes up to the end of the next step."""
    checker = CrashChecker(RecoveryRunner(directory / "starts", skipped_sync), repeated_crashes=False)
    complete = RecordedRun(directory / "whole")
    complete.crash_points(HISTORIES[name])
    for first_failing_call in range(1, complete.calls + 1):
        run = RecordedRun(directory / str(first_failing_call), skipped_sync)
        crash_points = run.crash_points(HISTORIES[name], first_failing_call)
        assert run.failed_step
        for crash_point in crash_points:
            if crash_point.step >= run.failed_step:
                checker.check(crash_point)
