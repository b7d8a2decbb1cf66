"""The replicated state of batch jobs: what was accepted, and the results at their fixed positions.

A state machine driven by committed commands only. It holds no clock: ages and leases are soft state of the
primary (see ``store`` and ``leasing``), which observes every change here.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import attrs

from cherrycove.tier.batch.jobs.model import FinishedJob, ItemKey, Job, OpenJob, StoredItem, StoredResult
from cherrycove.tier.batch.jobs.recent_bodies import RecentBodies
from cherrycove.tier.batch.jobs.snapshot import job_of, read_snapshot, write_snapshot
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
    """What applying the acceptance of a job did."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already accepted"  # nothing changed


class EndOutcome(Enum):
    """What applying the end of a job did."""

    ENDED = "ended"  # now or earlier
    UNKNOWN = "unknown"


class JobsObserver:
    """Is notified of each change after it was applied. A subclass overrides what it needs."""

    def job_accepted(self, job: Job) -> None:
        """``job`` is new."""

    def result_recorded(self, job: Job, item_id: str) -> None:
        """An item of ``job`` has its result."""

    def job_ended(self, job: Job) -> None:
        """The client ended ``job``."""

    def jobs_forgotten(self, job_ids: Iterable[str]) -> None:
        """These jobs are no longer part of the state."""

    def state_restored(self) -> None:
        """All jobs were replaced by those of a snapshot."""


@attrs.define
class JobsUsage:
    """What the jobs of a state take, in bytes but for the counts."""

    open_payload_bytes: int = 0  # bodies and results of jobs with items to be run
    open_items: int = 0  # of these jobs
    unfinished_items: int = 0  # of these, the items without a result
    unfinished_body_bytes: int = 0  # and their bodies
    finished_bytes: int = 0  # of all other jobs, as they are stored
    finished_results: int = 0
    finished_state_bytes: int = 0  # of these jobs before they were compressed

    @property
    def total_bytes(self) -> int:
        """Size of all jobs."""
        return self.open_payload_bytes + self.finished_bytes

    def add(self, job: Job) -> None:
        """Count a job."""
        self._count(job, 1)

    def remove(self, job: Job) -> None:
        """Count a job no longer."""
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
        """An item of an open job has its result, and has lost its body."""
        self.open_payload_bytes += text_bytes - body_bytes
        self.unfinished_items -= 1
        self.unfinished_body_bytes -= body_bytes


class JobsState:
    """All jobs; a ``StateMachine`` of a replicated group.

    Every replica applies the same commands in the same order and so has the same jobs, results and bodies.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.usage = JobsUsage()
        self._recent_bodies = RecentBodies()
        self._observers: list[JobsObserver] = []

    @property
    def stored_bytes(self) -> int:
        """Size of all jobs, and of the bodies that are kept beside them."""
        return self.usage.total_bytes + self._recent_bodies.size_bytes

    @property
    def recent_bytes(self) -> int:
        """Size of the bodies that are kept of items with a result."""
        return self._recent_bodies.size_bytes

    def observe(self, observer: JobsObserver) -> None:
        """Notify ``observer`` of every change from now on."""
        self._observers.append(observer)

    def open_job(self, job_id: str) -> OpenJob | None:
        """None where the job is unknown or nothing of it is left to be run."""
        job = self.jobs.get(job_id)
        return job if isinstance(job, OpenJob) else None

    def item(self, key: ItemKey) -> StoredItem | None:
        """None where the job is unknown or finished, or the item is unknown."""
        job = self.open_job(key.job_id)
        return job.items.get(key.item_id) if job is not None else None

    def encoded_item(self, key: ItemKey) -> bytes | None:
        """A serialized item with its body; None where the item is unknown or its body was dropped."""
        job = self.jobs.get(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        return item.encoded if item is not None and item.encoded else self._recent_bodies.get(key)

    def body(self, key: ItemKey) -> bytes | None:
        """The body of an item; None where the item is unknown or its body was dropped."""
        encoded = self.encoded_item(key)
        return Item.FromString(encoded).body if encoded else None

    # StateMachine

    def apply(self, index: int, command: bytes) -> object:  # noqa: ARG002 - part of StateMachine
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
        """All jobs, as one serialized ``BatchSnapshot``."""
        return write_snapshot(self.jobs.values(), self._recent_bodies)

    def restore(self, state: bytes | SnapshotState) -> None:
        """Replace all jobs by those of a snapshot; ``DecodeError`` if ``state`` is not one."""
        self.jobs = {}  # the old jobs are released first, so that both never take memory at once
        self.usage = JobsUsage()
        self._recent_bodies = RecentBodies()
        bodies = _ListedBodies()
        for field in read_snapshot(state):
            if isinstance(field.message, ItemReference):
                key = ItemKey.of(field.message)
                self._recent_bodies.add(key, bodies.take(key))
                continue
            bodies.collect(field.message)
            job = job_of(field)
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
        submission.CopyFrom(command.job)  # a submessage would keep the whole command in memory
        opened = OpenJob(submission, command.received_unix_ms, items)
        job = opened.finished(ended=False) if opened.has_all_results else opened
        self.jobs[job_id] = job
        self.usage.add(job)
        for observer in self._observers:
            observer.job_accepted(job)
        return AcceptOutcome.ACCEPTED

    def _record(self, result: ItemResult) -> None:
        """The first result of an item counts; a later one changes nothing."""
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


class _ListedBodies:
    """Bodies of items with a result, which stand in their jobs and are not kept there."""

    def __init__(self) -> None:
        self._encoded: dict[ItemKey, bytes] = {}

    def collect(self, message: JobSnapshot) -> None:
        """Take the bodies out of ``message``."""
        listed = {entry.item_id for entry in message.results}
        for item in message.items:
            if item.encoded and item.item_id in listed:
                self._encoded[ItemKey(message.terms.job_id, item.item_id)] = item.encoded
                item.encoded = b""

    def take(self, key: ItemKey) -> bytes:
        """A serialized item; empty where it has come without its body."""
        return self._encoded.pop(key, b"")
