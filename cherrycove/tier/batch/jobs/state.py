"""The replicated state of batch jobs: what was accepted, and the results at their fixed positions.

A state machine driven by committed commands only. It holds no clock: ages and leases are soft state of the
primary (see ``store`` and ``leasing``), which observes every change here.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from cherrycove.tier.batch.jobs.model import ItemKey, Job, StoredItem, StoredResult
from cherrycove.tier.batch.jobs.recent_bodies import RecentBodies
from cherrycove.tier.batch.jobs.snapshot import job_of, read_snapshot, write_snapshot
from cherrycove.tier.protocol.batch_log_pb2 import (
    AcceptJob,
    BatchCommand,
    ItemFailures,
    ItemResult,
    JobSnapshot,
)
from cherrycove.tier.protocol.batch_pb2 import Item, SubmitRequest


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


class JobsState:
    """All jobs; a ``StateMachine`` of a replicated group.

    Every replica applies the same commands in the same order and so has the same jobs, results and bodies.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.stored_bytes = 0  # what all jobs count against the capacity
        self._recent_bodies = RecentBodies()
        self._observers: list[JobsObserver] = []

    def observe(self, observer: JobsObserver) -> None:
        """Notify ``observer`` of every change from now on."""
        self._observers.append(observer)

    def item(self, key: ItemKey) -> StoredItem | None:
        """None where the job or the item is unknown."""
        job = self.jobs.get(key.job_id)
        return job.items.get(key.item_id) if job is not None else None

    def body(self, key: ItemKey) -> bytes | None:
        """The body of an item; None where the item is unknown or its body was dropped."""
        item = self.item(key)
        if item is None or not item.encoded:
            return None
        return Item.FromString(item.encoded).body

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

    def snapshot(self) -> bytes:
        """All jobs, as one serialized ``BatchSnapshot``."""
        return write_snapshot(self.jobs.values(), self._recent_bodies)

    def restore(self, data: bytes) -> None:
        """Replace all jobs by those of a snapshot; ``DecodeError`` if ``data`` is not one."""
        self.jobs = {}  # the old jobs are released first, so that both never take memory at once
        self._recent_bodies = RecentBodies()
        recent: list[ItemKey] = []
        for chunk in read_snapshot(data):
            if isinstance(chunk, JobSnapshot):
                self.jobs[chunk.terms.job_id] = job_of(chunk)
            else:
                recent.append(ItemKey.of(chunk))
        for key in recent:
            self._recent_bodies.restore(key, self.jobs[key.job_id].items[key.item_id])
        self.stored_bytes = sum(job.size_bytes for job in self.jobs.values())
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
        job = Job(submission, command.received_unix_ms, items)
        self.jobs[job_id] = job
        self.stored_bytes += job.size_bytes
        for observer in self._observers:
            observer.job_accepted(job)
        return AcceptOutcome.ACCEPTED

    def _record(self, result: ItemResult) -> None:
        """The first result of an item counts; a later one changes nothing."""
        key = ItemKey.of(result.reference)
        job = self.jobs.get(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        if job is None or item is None or job.ended or item.has_result:
            return
        item.has_result = True
        stored = StoredResult(key.item_id, result.completed, result.text)
        job.results.append(stored)
        self.stored_bytes += stored.size_bytes - self._recent_bodies.add(key, item)
        for observer in self._observers:
            observer.result_recorded(job, key.item_id)

    def _record_failures(self, failures: ItemFailures) -> None:
        item = self.item(ItemKey.of(failures.reference))
        if item is not None:
            item.failed_attempts = max(item.failed_attempts, failures.failed_attempts)

    def _end(self, job_id: str) -> EndOutcome:
        job = self.jobs.get(job_id)
        if job is None:
            return EndOutcome.UNKNOWN
        if not job.ended:
            job.ended = True
            for observer in self._observers:
                observer.job_ended(job)
        return EndOutcome.ENDED

    def _forget(self, job_ids: Iterable[str]) -> None:
        forgotten = [job_id for job_id in job_ids if job_id in self.jobs and self.jobs[job_id].is_done]
        for job_id in forgotten:
            self.stored_bytes -= self.jobs.pop(job_id).size_bytes
        self._recent_bodies.keep_only(self.jobs)
        for observer in self._observers:
            observer.jobs_forgotten(forgotten)
