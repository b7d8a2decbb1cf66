"""The writer thread: order, joined writes, and what it does when the disk refuses."""

from __future__ import annotations

import asyncio
import errno
import threading
from collections.abc import Sequence
from typing import cast

from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.call_handler import CallHandler
from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState, WriteSnapshot
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.writer import DiskWriter, coalesce_writes
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import ReplicaStorage
from cherrycove.tier.storage.snapshots import Snapshot

TIMEOUT_S = 10.0
SNAPSHOT = Snapshot(1, 1, b"", b"state")


def entry(index: int) -> Entry:
    return Entry(index, 1, EntryKind.COMMAND, b"")


class Disk:
    """Stands in for storage: keeps what is written, and refuses while ``refusals`` are left."""

    def __init__(self, refusals: int = 0) -> None:
        self.written: list[object] = []
        self.refusals = refusals
        self.open = threading.Event()
        self.open.set()

    def _write(self, what: object) -> None:
        self.open.wait(TIMEOUT_S)
        if self.refusals > 0:
            self.refusals -= 1
            raise OSError(errno.ENOSPC, "full")
        self.written.append(what)

    def write_hard_state(self, hard_state: HardState) -> None:
        self._write(hard_state)

    def append(self, entries: Sequence[Entry]) -> None:
        self._write([entry.index for entry in entries])

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        self._write(snapshot)

    def close(self) -> None:
        self.written.append("closed")


class Reports:
    """What the writer reported, in order."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.changed = asyncio.Event()

    def _add(self, what: str) -> None:
        self.seen.append(what)
        self.changed.set()

    def written(self, ticket: int) -> None:
        self._add(f"written {ticket}")

    def failed(self, error: OSError) -> None:
        self._add("failed")

    def skipped(self, ticket: int, error: OSError) -> None:
        self._add(f"skipped {ticket}")

    async def until(self, what: str) -> None:
        while what not in self.seen:
            self.changed.clear()
            await self.changed.wait()


def run(disk: Disk, submissions: list[list[Write]], last: str) -> list[str]:
    """Submit while the disk is held up, let it go, and wait for the report ``last``."""

    async def scenario() -> list[str]:
        reports = Reports()
        storage = cast(ReplicaStorage, disk)
        writer = DiskWriter(storage, reports.written, reports.failed, reports.skipped, retry_s=0.0)
        disk.open.clear()
        writer.start()
        for writes in submissions:
            writer.submit(writes)
        disk.open.set()
        await asyncio.wait_for(reports.until(last), TIMEOUT_S)
        await writer.stop()
        return reports.seen

    return asyncio.run(scenario())


def test_neighbours_are_joined_and_order_is_kept() -> None:
    first, second = HardState(1, "a"), HardState(2, "b")
    writes: list[Write] = [
        WriteEntries(1, [entry(1)]),
        WriteEntries(2, [entry(2)]),
        WriteHardState(3, first),
        WriteHardState(4, second),
        WriteEntries(5, [entry(3)]),
    ]
    assert coalesce_writes(writes) == [
        WriteEntries(2, [entry(1), entry(2)]),
        WriteHardState(4, second),
        WriteEntries(5, [entry(3)]),
    ]


def test_writes_are_reported_in_order_and_the_storage_is_closed() -> None:
    disk = Disk()
    seen = run(disk, [[WriteEntries(1, [entry(1)])], [WriteHardState(2, HardState(1))]], "written 2")
    assert seen == ["written 1", "written 2"]
    assert disk.written == [[1], HardState(1), "closed"]


def test_a_refused_write_is_told_once_and_tried_until_it_succeeds() -> None:
    disk = Disk(refusals=3)
    seen = run(disk, [[WriteEntries(1, [entry(1)])]], "written 1")
    assert seen == ["failed", "written 1"]
    assert disk.written == [[1], "closed"]


def test_a_snapshot_taken_here_is_skipped_where_it_does_not_fit() -> None:
    disk = Disk(refusals=1)
    seen = run(disk, [[WriteSnapshot(1, SNAPSHOT, [], required=False)]], "written 1")
    assert seen == ["skipped 1", "written 1"]
    assert disk.written == ["closed"]


def test_a_snapshot_from_the_primary_is_tried_again() -> None:
    disk = Disk(refusals=1)
    seen = run(disk, [[WriteSnapshot(1, SNAPSHOT, [], required=True)]], "written 1")
    assert seen == ["failed", "written 1"]
    assert disk.written == [SNAPSHOT, "closed"]


def test_a_reply_that_waits_for_the_disk_goes_back_with_the_call() -> None:
    sender = MemberIdentity("m1", "", "n1:1")
    other = MemberIdentity("m2", "", "n2:1")

    async def scenario() -> None:
        delivered = asyncio.Event()
        writing = True
        handler = CallHandler(lambda _sender, _batch: delivered.set(), lambda: writing)
        request = Message()
        request.vote_request.epoch = 1
        batch = Batch(sender_id="m1", sender_address="n1:1", messages=[request])
        call = asyncio.create_task(handler.handle(batch))
        await delivered.wait()
        assert not handler.add_reply(other, Message(epoch=1))
        assert handler.add_reply(sender, Message(epoch=2))
        handler.writes_finished()
        answer = await call
        assert [message.epoch for message in answer.messages] == [2]
        assert not handler.add_reply(sender, Message(epoch=3))

    asyncio.run(scenario())
