"""Writer thread: order, coalesced writes, and the handling of failed writes; replies that wait for it."""

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


class StorageStub:
    """Storage stub that records the writes and fails the first ``failures`` of them."""

    def __init__(self, failures: int = 0) -> None:
        self.written: list[object] = []
        self.failures = failures
        self.unblocked = threading.Event()
        self.unblocked.set()

    def _write(self, what: object) -> None:
        self.unblocked.wait(TIMEOUT_S)
        if self.failures > 0:
            self.failures -= 1
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
    """Records the reports of the writer in order."""

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

    async def wait_for_report(self, what: str) -> None:
        while what not in self.seen:
            self.changed.clear()
            await self.changed.wait()


def run(disk: StorageStub, submissions: list[list[Write]], last: str) -> list[str]:
    """Submit writes while the disk is blocked, unblock it, and wait for the report ``last``."""

    async def scenario() -> list[str]:
        reports = Reports()
        storage = cast(ReplicaStorage, disk)
        writer = DiskWriter(storage, reports.written, reports.failed, reports.skipped, retry_s=0.0)
        disk.unblocked.clear()
        writer.start()
        for writes in submissions:
            writer.submit(writes)
        disk.unblocked.set()
        await asyncio.wait_for(reports.wait_for_report(last), TIMEOUT_S)
        await writer.stop()
        return reports.seen

    return asyncio.run(scenario())


def test_adjacent_writes_are_coalesced_and_order_is_kept() -> None:
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
    disk = StorageStub()
    seen = run(disk, [[WriteEntries(1, [entry(1)])], [WriteHardState(2, HardState(1))]], "written 2")
    assert seen == ["written 1", "written 2"]
    assert disk.written == [[1], HardState(1), "closed"]


def test_a_failed_write_is_reported_once_and_retried_until_it_succeeds() -> None:
    disk = StorageStub(failures=3)
    seen = run(disk, [[WriteEntries(1, [entry(1)])]], "written 1")
    assert seen == ["failed", "written 1"]
    assert disk.written == [[1], "closed"]


def test_a_local_snapshot_is_skipped_if_it_does_not_fit() -> None:
    disk = StorageStub(failures=1)
    seen = run(disk, [[WriteSnapshot(1, SNAPSHOT, [], required=False)]], "written 1")
    assert seen == ["skipped 1", "written 1"]
    assert disk.written == ["closed"]


def test_a_snapshot_from_the_primary_is_retried() -> None:
    disk = StorageStub(failures=1)
    seen = run(disk, [[WriteSnapshot(1, SNAPSHOT, [], required=True)]], "written 1")
    assert seen == ["failed", "written 1"]
    assert disk.written == [SNAPSHOT, "closed"]


def test_a_reply_that_waits_for_the_disk_is_returned_with_the_call() -> None:
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
