"""Holds the replicated state of batch jobs: accepted jobs, and their results at fixed positions.

It is a state machine that only committed commands change. It has no clock: ages and leases are soft state
of the primary (see ``store`` and ``leasing``), which observes every change here.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import attrs

from cherrycove.tier.batch.jobs.model import FinishedJob, ItemKey, Job, OpenJob, StoredItem, StoredResult
from cherrycove.tier.batch.jobs.recent_bodies import RecentBodies
from cherrycove.tier.batch.jobs.snapshot import job_from_field, read_snapshot, write_snapshot
from cherrycove.tier.protocol.batch_log_pb2 import (
    AcceptJob,
    BatchCommand,
    ItemFailures,
    ItemResult,
    JobSnapshot,
)
from cherrycove.tier.protocol.batch_pb2 import Item, ItemReference, SubmitRequest
from cherrycove.tier.storage.snapshot_state import SnapshotState


class AcceptOutcome(Enum):
    """Enumerates the effects that applying an ``accept`` command can have."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already accepted"  # the job was known and did not change


class EndOutcome(Enum):
    """Enumerates the effects that applying an ``end`` command can have."""

    ENDED = "ended"  # by this command or an earlier one
    UNKNOWN = "unknown"


class JobsObserver:
    """Is notified of each change after it was applied. Subclasses override the methods they need."""

    def job_accepted(self, job: Job) -> None:
        """Called after ``job`` was accepted."""

    def result_recorded(self, job: Job, item_id: str) -> None:
        """Called after an item of ``job`` got its result."""

    def job_ended(self, job: Job) -> None:
        """Called after the client ended ``job``."""

    def jobs_forgotten(self, job_ids: Iterable[str]) -> None:
        """Called after these jobs were removed from the state."""

    def state_restored(self) -> None:
        """Called after all jobs were replaced by those of a snapshot."""


@attrs.define
class JobsUsage:
    """Accumulates sizes in bytes, and counts, over the jobs of a state."""

    open_payload_bytes: int = 0  # bodies and results of open jobs
    open_items: int = 0  # items of open jobs
    unfinished_items: int = 0  # items of open jobs without a result
    unfinished_body_bytes: int = 0  # bodies of the unfinished items
    finished_bytes: int = 0  # finished jobs as they are stored, compressed
    finished_results: int = 0
    finished_state_bytes: int = 0  # finished jobs before compression

    @property
    def total_bytes(self) -> int:
        """Return the size of all jobs."""
        return self.open_payload_bytes + self.finished_bytes

    def add(self, job: Job) -> None:
        """Add a job to the totals."""
        self._count(job, 1)

    def remove(self, job: Job) -> None:
        """Subtract a job from the totals."""
        self._count(job, -1)

    def _count(self, job: Job, sign: int) -> None:
        if isinstance(job, FinishedJob):
            self.finished_bytes += sign * job.size_bytes
            self.finished_results += sign * job.result_count
            self.finished_state_bytes += sign * job.block.state_bytes
        else:
            body_bytes = sum(len(item.encoded) for item in job.items.values())
            self.open_payload_bytes += sign * (body_bytes + sum(len(each.text) for each in job.results))
            self.open_items += sign * job.total
            self.unfinished_items += sign * (job.total - job.result_count)
            self.unfinished_body_bytes += sign * body_bytes

    def result_recorded(self, body_bytes: int, text_bytes: int) -> None:
        """Update the totals for an item of an open job that got its result and dropped its body."""
        self.open_payload_bytes += text_bytes - body_bytes
        self.unfinished_items -= 1
        self.unfinished_body_bytes -= body_bytes


class JobsState:
    """Holds all jobs as the ``StateMachine`` of a replicated group.

    Every replica applies the same commands in the same order and so has the same jobs, results and bodies.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.usage = JobsUsage()
        self._recent_bodies = RecentBodies()
        self._observers: list[JobsObserver] = []

    @property
    def stored_bytes(self) -> int:
        """Return the size of all jobs and of the bodies kept for items with a result."""
        return self.usage.total_bytes + self._recent_bodies.size_bytes

    @property
    def recent_bytes(self) -> int:
        """Return the size of the bodies kept for items with a result."""
        return self._recent_bodies.size_bytes

    def observe(self, observer: JobsObserver) -> None:
        """Notify ``observer`` of every change from now on."""
        self._observers.append(observer)

    def open_job(self, job_id: str) -> OpenJob | None:
        """Return the job if it has items left to run; None if it is unknown or finished."""
        job = self.jobs.get(job_id)
        return job if isinstance(job, OpenJob) else None

    def item(self, key: ItemKey) -> StoredItem | None:
        """Return an item of an open job; None if the job is unknown or finished, or the item is unknown."""
        job = self.open_job(key.job_id)
        return job.items.get(key.item_id) if job is not None else None

    def encoded_item(self, key: ItemKey) -> bytes | None:
        """Return a serialized item with its body; None if the item is unknown or its body was dropped."""
        job = self.jobs.get(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        return item.encoded if item is not None and item.encoded else self._recent_bodies.get(key)

    def body(self, key: ItemKey) -> bytes | None:
        """Return the body of an item; None if the item is unknown or its body was dropped."""
        encoded = self.encoded_item(key)
        return Item.FromString(encoded).body if encoded else None

    # StateMachine

    def apply(self, index: int, command: bytes) -> object:  # noqa: ARG002 - required by StateMachine
        """Apply one committed command.

        Returns an ``AcceptOutcome`` or an ``EndOutcome`` for these commands, None for all others.
        """
        message = BatchCommand.FromString(command)
        match message.WhichOneof("command"):
            case "accept":
                return self._accept(message.accept)
            case "results":
                for result in message.results.results:
                    self._record(result)
            case "end":
                return self._end(message.end.job_id)
            case "forget":
                self._forget(message.forget.job_ids)
            case "failures":
                self._record_failures(message.failures)
        return None

    def snapshot(self) -> SnapshotState:
        """Return all jobs as one serialized ``BatchSnapshot``."""
        return write_snapshot(self.jobs.values(), self._recent_bodies)

    def restore(self, state: bytes | SnapshotState) -> None:
        """Replace all jobs by those of a snapshot. Raises ``DecodeError`` if ``state`` is not one."""
        self.jobs = {}  # release the old jobs first, so that both sets are never in memory at once
        self.usage = JobsUsage()
        self._recent_bodies = RecentBodies()
        bodies = _FinishedItemBodies()
        for field in read_snapshot(state):
            if isinstance(field.message, ItemReference):
                key = ItemKey.of(field.message)
                self._recent_bodies.add(key, bodies.take(key))
                continue
            bodies.collect(field.message)
            job = job_from_field(field)
            self.jobs[job.job_id] = job
            self.usage.add(job)
        for observer in self._observers:
            observer.state_restored()

    # Commands

    def _accept(self, command: AcceptJob) -> AcceptOutcome:
        job_id = command.job.job_id
        if job_id in self.jobs:
            return AcceptOutcome.ALREADY_ACCEPTED
        items = {item.item_id: StoredItem(item.SerializeToString()) for item in command.job.items}
        del command.job.items[:]
        submission = SubmitRequest()
        submission.CopyFrom(command.job)  # a reference to the submessage would keep all of command in memory
        opened = OpenJob(submission, command.received_unix_ms, items)
        job = opened.finished(ended=False) if opened.has_all_results else opened
        self.jobs[job_id] = job
        self.usage.add(job)
        for observer in self._observers:
            observer.job_accepted(job)
        return AcceptOutcome.ACCEPTED

    def _record(self, result: ItemResult) -> None:
        """Record the first result of an item; later results have no effect."""
        key = ItemKey.of(result.reference)
        job = self.open_job(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        if job is None or item is None or item.has_result:
            return
        stored = StoredResult(key.item_id, result.completed, result.text)
        job.results.append(stored)
        self.usage.result_recorded(len(item.encoded), len(stored.text))
        self._recent_bodies.add(key, item.encoded)
        item.has_result, item.encoded = True, b""
        current: Job = self._finish(job, ended=False) if job.has_all_results else job
        for observer in self._observers:
            observer.result_recorded(current, key.item_id)

    def _finish(self, job: OpenJob, *, ended: bool) -> FinishedJob:
        finished = job.finished(ended=ended)
        self.usage.remove(job)
        self.usage.add(finished)
        self.jobs[job.job_id] = finished
        return finished

    def _record_failures(self, failures: ItemFailures) -> None:
        item = self.item(ItemKey.of(failures.reference))
        if item is not None:
            item.failed_attempts = max(item.failed_attempts, failures.failed_attempts)

    def _end(self, job_id: str) -> EndOutcome:
        job = self.jobs.get(job_id)
        if job is None:
            return EndOutcome.UNKNOWN
        if not job.ended:
            if isinstance(job, OpenJob):
                job = self._finish(job, ended=True)
            job.ended = True
            for observer in self._observers:
                observer.job_ended(job)
        return EndOutcome.ENDED

    def _forget(self, job_ids: Iterable[str]) -> None:
        forgotten = [job_id for job_id in job_ids if job_id in self.jobs and self.jobs[job_id].is_done]
        for job_id in forgotten:
            self.usage.remove(self.jobs.pop(job_id))
        self._recent_bodies.drop_jobs(set(forgotten))
        for observer in self._observers:
            observer.jobs_forgotten(forgotten)


class _FinishedItemBodies:
    """Moves the bodies of items with a result out of the job messages of a snapshot."""

    def __init__(self) -> None:
        self._encoded: dict[ItemKey, bytes] = {}

    def collect(self, message: JobSnapshot) -> None:
        """Remove the bodies of finished items from ``message`` and keep them here."""
        finished_ids = {entry.item_id for entry in message.results}
        for item in message.items:
            if item.encoded and item.item_id in finished_ids:
                self._encoded[ItemKey(message.terms.job_id, item.item_id)] = item.encoded
                item.encoded = b""

    def take(self, key: ItemKey) -> bytes:
        """Remove and return a serialized item; empty if the snapshot did not hold its body."""
        return self._encoded.pop(key, b"")
