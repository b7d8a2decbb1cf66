"""Histories of writes on a modelled disk, and the check of every crash in them.

A history is a list of writes as the writer thread does them, one after the other. After a crash the disk must
hold the state after all finished writes, with or without the one in progress. What a start finds counts as
durable from then on, so it must survive a further loss of power, also where the process had only been killed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
from disk_model import Contents, DiskState, RecordedDisk

from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock
from cherrycove.tier.storage.snapshots import Snapshot

IP = "10.0.0.1"
REPLICA = "replica"  # the replica's folder below the root
SEGMENT_BYTES = 90  # so that each few entries begin another segment
EMPTY = RecoveredState(HardState(), None, [])


def entries(first: int, last: int, epoch: int = 1) -> list[Entry]:
    return [Entry(i, epoch, EntryKind.COMMAND, b"%d.%d" % (epoch, i)) for i in range(first, last + 1)]


@attrs.frozen
class Step:
    """One write of a history, and what it makes of the state."""

    do: Callable[[ReplicaStorage], None]
    becomes: Callable[[RecoveredState], RecoveredState]
    skipped_on_failure: bool = False  # a snapshot of this replica's own state


def promise(epoch: int, vote: str, committed: int = 0) -> Step:
    new = HardState(epoch, vote, committed)
    return Step(
        lambda storage: storage.write_hard_state(new),
        lambda state: attrs.evolve(state, hard_state=new),
    )


def append(first: int, last: int, epoch: int = 1) -> Step:
    return append_entries(entries(first, last, epoch))


def append_entries(new: list[Entry]) -> Step:
    def becomes(state: RecoveredState) -> RecoveredState:
        kept = [entry for entry in state.entries if entry.index < new[0].index]
        return attrs.evolve(state, entries=[*kept, *new])

    return Step(lambda storage: storage.append(new), becomes)


def snapshot(index: int, last: int, epoch: int = 1, required: bool = False) -> Step:
    """Of the state at ``index``, with the entries up to ``last`` behind it."""
    return snapshot_before(index, epoch, entries(index + 1, last, epoch), required)


def snapshot_before(index: int, epoch: int, tail: list[Entry], required: bool = False) -> Step:
    """Of the state at ``index``, the entry of ``epoch``, with ``tail`` behind it."""
    new = Snapshot(index, epoch, b"members", b"state at %d" % index)
    return Step(
        lambda storage: storage.save_snapshot(new, tail),
        lambda state: RecoveredState(state.hard_state, new, tail),
        skipped_on_failure=not required,
    )


FINAL_BLOCKS = [StateBlock.final(b"final block %d" % number) for number in range(2)]


def divided(index: int, last: int, *numbers: int) -> Step:
    """A snapshot of a state with these final blocks, with the entries up to ``last`` behind it."""
    return snapshot_of(index, 0, [FINAL_BLOCKS[number] for number in numbers], entries(index + 1, last, 0))


def snapshot_of(
    index: int, epoch: int, final: list[StateBlock], tail: list[Entry], required: bool = False
) -> Step:
    """Of a state with ``final`` blocks between two that are not."""
    blocks = [StateBlock.plain(b"at %d" % index), *final, StateBlock.plain(b"end")]
    new = Snapshot(index, epoch, b"members", SnapshotState(blocks))
    return Step(
        lambda storage: storage.save_snapshot(new, tail),
        lambda state: RecoveredState(state.hard_state, new, tail),
        skipped_on_failure=not required,
    )


HISTORIES = {
    "blocks": [append(1, 2, 0), divided(1, 2, 0, 1)],
    "more blocks": [append(1, 2, 0), divided(1, 2, 0), divided(2, 2, 0, 1)],
    "blocks rewritten": [append(1, 2, 0), divided(1, 2, 0, 1), divided(2, 2, 1)],
    "append": [promise(1, "a"), append(1, 2), append(3, 3)],
    "promises": [promise(1, "a"), promise(2, "b"), append(1, 1, 2), promise(2, "b", 1), promise(3, "c", 1)],
    "replaced entries": [promise(1, "a"), append(1, 4), promise(2, "b"), append(3, 3, 2), append(4, 5, 2)],
    "roll": [promise(1, "a"), append(1, 2), append(3, 4), append(5, 6), append(7, 8)],
    "snapshot": [promise(1, "a"), append(1, 4), append(5, 6), snapshot(4, 6), append(7, 7)],
    "snapshot of all": [promise(1, "a"), append(1, 4), snapshot(4, 4), append(5, 5)],
    "snapshot from the primary": [
        promise(1, "a"),
        append(1, 2),
        snapshot(9, 9, required=True),
        append(10, 11),
    ],
    "snapshots in a row": [append(1, 3, 0), snapshot(1, 3, 0), snapshot(2, 3, 0)],
    "snapshots": [
        promise(1, "a"),
        append(1, 4),
        snapshot(3, 4),
        append(5, 8),
        append(9, 10),
        snapshot(7, 10),
        promise(2, "b", 8),
        append(9, 9, 2),
    ],
}


@attrs.frozen
class Start:
    """What a start made of a disk."""

    member_id: str
    state: RecoveredState


def open_storage(root: Path) -> tuple[Start, ReplicaStorage]:
    """A process starts: it opens the identity, then recovers. A damaged disk fails the test."""
    directory = root / REPLICA
    member_id, _ = open_identity(directory, first_start=True, ip=IP)
    storage = ReplicaStorage(directory, segment_bytes=SEGMENT_BYTES)
    return Start(member_id, storage.recover()), storage


def next_entry(state: RecoveredState) -> Entry:
    """What a replica in its promised epoch would append first."""
    base = state.snapshot.index if state.snapshot is not None else 0
    return entries(base + len(state.entries) + 1, base + len(state.entries) + 1, state.hard_state.epoch)[0]


@attrs.frozen
class RecordedStart:
    result: Start
    during: list[DiskState]  # the disk after each call of the start
    after: DiskState  # and when it is done
    during_append: list[DiskState]  # after each call that stores one more entry
    after_append: DiskState


@attrs.define
class Starts:
    """Starts on given disks, each distinct disk without unsynced changes once."""

    folder: Path
    ignored_sync: str = ""
    sync_places: set[str] = attrs.field(factory=set)
    _count: int = 0
    _known: dict[Contents, RecordedStart] = attrs.field(factory=dict)

    def after(self, contents: Contents) -> RecordedStart:
        """After a loss of power."""
        if contents not in self._known:
            self._known[contents] = self.on(DiskState.of(contents))
        return self._known[contents]

    def on(self, state: DiskState) -> RecordedStart:
        """After the process died while the machine lived on."""
        self._count += 1
        disk = RecordedDisk(self.folder / str(self._count), state.copy())
        disk.ignored_sync = self.ignored_sync
        with disk.recording():
            result, storage = open_storage(disk.root)
            during, after = list(disk.states), disk.state.copy()
            storage.append([next_entry(result.state)])
            storage.close()
        self.sync_places |= disk.sync_places
        return RecordedStart(result, during, after, disk.states[len(during) :], disk.state)


@attrs.frozen
class Moment:
    """A state of the disk during a history, and what a start may find there."""

    step: int
    disk: DiskState
    allowed: list[RecoveredState]


class Crashes:
    """Checks all crashes of a recorded run, and all second ones in the life behind them."""

    def __init__(self, starts: Starts, second_ones: bool = True) -> None:
        self._starts = starts
        self._second_ones = second_ones
        self._checked: set[tuple[Contents, str]] = set()

    def check(self, moment: Moment) -> None:
        self._check_start(self._starts.on(moment.disk), moment.allowed)
        for contents in moment.disk.after_power_loss():
            checked = (contents, repr(moment.allowed))
            if checked not in self._checked:
                self._checked.add(checked)
                self._check_start(self._starts.after(contents), moment.allowed)

    def _check_start(self, started: RecordedStart, allowed: list[RecoveredState]) -> None:
        assert started.result.state in allowed
        if self._second_ones:
            self._check_second_ones(started, allowed)

    def _check_second_ones(self, started: RecordedStart, allowed: list[RecoveredState]) -> None:
        for state in started.during:
            for contents in state.after_power_loss():
                assert self._starts.after(contents).result.state in allowed
        for contents in started.after.after_power_loss():
            again = self._starts.after(contents).result
            assert again == started.result, "what a start found was lost with the power"
        found = started.result.state
        with_entry = attrs.evolve(found, entries=[*found.entries, next_entry(found)])
        for state in started.during_append:
            for contents in state.after_power_loss():
                assert self._starts.after(contents).result.state in (found, with_entry)
        for contents in started.after_append.after_power_loss():
            assert self._starts.after(contents).result.state == with_entry


def perform(step: Step, storage: ReplicaStorage) -> bool:
    """As the writer thread does: where the disk refuses, until it succeeds, or not at all if that may be."""
    while True:
        try:
            step.do(storage)
            return True
        except OSError:
            if step.skipped_on_failure:
                return False


class Run:
    """A history on a recorded disk, with a call that fails or a sync that is left out."""

    def __init__(self, folder: Path, ignored_sync: str = "") -> None:
        self.disk = RecordedDisk(folder / "recorded", DiskState())
        self.disk.ignored_sync = ignored_sync
        self.failed_step = 0
        self.calls = 0  # of the history, without the start before it

    def moments(self, history: list[Step], failing_call: int = 0) -> list[Moment]:
        disk = self.disk
        with disk.recording():
            storage = self._started()
            found = [Moment(0, state, [EMPTY]) for state in disk.states]
            before = disk.calls
            disk.failing_call = before + failing_call if failing_call else 0
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

    def _steps(self, history: list[Step], storage: ReplicaStorage) -> Iterator[Moment]:
        states = self.disk.states
        now = [EMPTY]
        for number, step in enumerate(history, start=1):
            if 0 < self.failed_step < number - 1:
                return
            done = len(states)
            after = [step.becomes(state) for state in now]
            performed = perform(step, storage)
            if not self.failed_step and 0 < self.disk.failing_call <= self.disk.calls:
                self.failed_step = number
            for state in states[done:-1]:
                yield Moment(number, state, now + after)
            now = after if performed else now + after
            yield Moment(number, states[-1], now)


def check_history(name: str, folder: Path, ignored_sync: str = "") -> set[str]:
    """All crashes of one history; the places of all syncs that were seen."""
    starts = Starts(folder, ignored_sync)
    crashes = Crashes(starts)
    run = Run(folder, ignored_sync)
    for moment in run.moments(HISTORIES[name]):
        crashes.check(moment)
    return starts.sync_places | run.disk.sync_places


def check_failures(name: str, folder: Path, ignored_sync: str = "") -> None:
    """A full disk at each call of a history, and all crashes from there to the end of the next step."""
    crashes = Crashes(Starts(folder / "starts", ignored_sync), second_ones=False)
    whole = Run(folder / "whole")
    whole.moments(HISTORIES[name])
    for failing_call in range(1, whole.calls + 1):
        run = Run(folder / str(failing_call), ignored_sync)
        moments = run.moments(HISTORIES[name], failing_call)
        assert run.failed_step
        for moment in moments:
            if moment.step >= run.failed_step:
                crashes.check(moment)
