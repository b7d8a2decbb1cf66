"""The replicated state of batch jobs: what was accepted, and the results at their fixed positions.

A state machine driven by committed commands only. It holds no clock: ages and leases are soft state of the
primary (see ``store`` and ``leases``), which observes every change here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from io import BytesIO
from typing import Protocol

import attrs

from cherrycove.tier.batch.jobs.snapshot import read_snapshot
from cherrycove.tier.protocol.batch_log_pb2 import (
    AcceptJob,
    BatchCommand,
    BatchSnapshot,
    ItemFailures,
    ItemResult,
    JobSnapshot,
)
from cherrycove.tier.protocol.batch_pb2 import Item, ItemReference, SubmitRequest

RECENT_BODIES_BYTES = 8 * 1024 * 1024  # bodies of listed items kept for readers of an older list
RECENT_BODIES_COUNT = 4096
RECORD_OVERHEAD_BYTES = 400  # of one item or result beside its payload


class AcceptOutcome(Enum):
    """What applying the acceptance of a job did."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already accepted"  # the job was there already


class EndOutcome(Enum):
    """What applying the end of a job did."""

    ENDED = "ended"
    UNKNOWN = "unknown"


@attrs.frozen
class ItemKey:
    """One item of one job."""

    job_id: str
    item_id: str


@attrs.define
class StoredItem:
    """One item of a job as it is kept."""

    encoded: bytes  # serialized Item; empty once it was dropped
    has_result: bool = False  # has a result
    failed_attempts: int = 0  # answers of 500; never goes down


@attrs.frozen
class StoredResult:
    """One result; its position is its index in the job's list."""

    item_id: str
    completed: bool
    text: bytes


@attrs.define
class Job:
    """One batch job. ``submission`` is the request that brought it, without the items."""

    submission: SubmitRequest
    received_unix_ms: int
    items: dict[str, StoredItem]
    results: list[StoredResult] = attrs.field(factory=list)
    ended: bool = False

    @property
    def job_id(self) -> str:
        return self.submission.job_id

    @property
    def total(self) -> int:
        return len(self.items)

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be run."""
        return self.ended or len(self.results) == len(self.items)

    def unfinished_item_ids(self) -> list[str]:
        """Ids of the items without a result."""
        return [item_id for item_id, item in self.items.items() if not item.has_result]


class JobsObserver(Protocol):
    """Hears of every change after it was applied."""

    def job_accepted(self, job: Job) -> None: ...

    def result_recorded(self, job: Job, item_id: str) -> None: ...

    def job_ended(self, job: Job) -> None: ...

    def jobs_forgotten(self, job_ids: Iterable[str]) -> None: ...

    def state_restored(self) -> None: ...


class JobsState:
    """All jobs; a ``StateMachine`` of a replicated group."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.stored_bytes = 0
        self._recent: deque[ItemKey] = deque()
        self._recent_bytes = 0
        self._observers: list[JobsObserver] = []

    def observe(self, observer: JobsObserver) -> None:
        """Tell ``observer`` of every change from now on."""
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

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command; see ``AcceptOutcome`` and ``EndOutcome`` for what is returned."""
        message = BatchCommand.FromString(command)
        kind = message.WhichOneof("command")
        if kind == "accept":
            return self._accept(message.accept)
        if kind == "results":
            for result in message.results.results:
                self._record(result)
        elif kind == "end":
            return self._end(message.end.job_id)
        elif kind == "forget":
            self._forget(message.forget.job_ids)
        elif kind == "failures":
            self._count_failures(message.failures)
        return None

    def snapshot(self) -> bytes:
        """All jobs, serialized: one job at a time, since serialized messages joined are one message with all
        their repeated fields, and a whole message would hold everything once more in memory."""
        written = BytesIO()
        for job in self.jobs.values():
            message = BatchSnapshot()
            _write_job(message.jobs.add(), job)
            written.write(message.SerializeToString())
        recent = BatchSnapshot()
        for key in self._recent:
            recent.recently_listed.add(job_id=key.job_id, item_id=key.item_id)
        written.write(recent.SerializeToString())
        return written.getvalue()

    def restore(self, data: bytes) -> None:
        """Replace all jobs by those of a snapshot."""
        self.jobs = {}  # the former ones go before the new ones come
        self._recent = deque()
        for part in read_snapshot(data):
            if isinstance(part, JobSnapshot):
                self.jobs[part.terms.job_id] = _read_job(part)
            else:
                self._recent.append(_key(part))
        self.stored_bytes = sum(_job_bytes(job) for job in self.jobs.values())
        self._recent_bytes = sum(self._encoded_size(key) for key in self._recent)
        for observer in self._observers:
            observer.state_restored()

    # Commands

    def _accept(self, command: AcceptJob) -> AcceptOutcome:
        job_id = command.job.job_id
        if job_id in self.jobs:
            return AcceptOutcome.ALREADY_ACCEPTED
        items = {item.item_id: StoredItem(item.SerializeToString()) for item in command.job.items}
        del command.job.items[:]
        terms = SubmitRequest()
        terms.CopyFrom(command.job)  # a part of the command would keep all of the command in memory
        job = Job(terms, command.received_unix_ms, items)
        self.jobs[job_id] = job
        self.stored_bytes += _job_bytes(job)
        for observer in self._observers:
            observer.job_accepted(job)
        return AcceptOutcome.ACCEPTED

    def _record(self, result: ItemResult) -> None:
        key = _key(result.reference)
        job = self.jobs.get(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        if job is None or item is None or job.ended or item.has_result:
            return
        item.has_result = True
        job.results.append(StoredResult(key.item_id, result.completed, result.text))
        self.stored_bytes += len(result.text) + RECORD_OVERHEAD_BYTES
        self._keep_recent(key, item)
        for observer in self._observers:
            observer.result_recorded(job, key.item_id)

    def _count_failures(self, failures: ItemFailures) -> None:
        item = self.item(_key(failures.reference))
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
        gone = [job_id for job_id in job_ids if job_id in self.jobs and self.jobs[job_id].is_done]
        for job_id in gone:
            self.stored_bytes -= _job_bytes(self.jobs.pop(job_id))
        self._recent = deque(key for key in self._recent if key.job_id in self.jobs)
        self._recent_bytes = sum(self._encoded_size(key) for key in self._recent)
        for observer in self._observers:
            observer.jobs_forgotten(gone)

    # Bodies of listed items

    def _keep_recent(self, key: ItemKey, item: StoredItem) -> None:
        """Keep the body of an item that was just listed, and drop the oldest such bodies over the bound."""
        self._recent.append(key)
        self._recent_bytes += len(item.encoded)
        while self._recent_bytes > RECENT_BODIES_BYTES or len(self._recent) > RECENT_BODIES_COUNT:
            self._drop_body(self._recent.popleft())

    def _drop_body(self, key: ItemKey) -> None:
        item = self.jobs[key.job_id].items[key.item_id]
        self._recent_bytes -= len(item.encoded)
        self.stored_bytes -= len(item.encoded)
        item.encoded = b""

    def _encoded_size(self, key: ItemKey) -> int:
        return len(self.jobs[key.job_id].items[key.item_id].encoded)


def _key(reference: ItemReference) -> ItemKey:
    return ItemKey(reference.job_id, reference.item_id)


def _job_bytes(job: Job) -> int:
    items = sum(len(item.encoded) + RECORD_OVERHEAD_BYTES for item in job.items.values())
    return items + sum(len(result.text) + RECORD_OVERHEAD_BYTES for result in job.results)


def _write_job(message: JobSnapshot, job: Job) -> None:
    message.terms.CopyFrom(job.submission)
    message.received_unix_ms = job.received_unix_ms
    message.ended = job.ended
    for item_id, item in job.items.items():
        message.items.add(item_id=item_id, encoded=item.encoded, failed_attempts=item.failed_attempts)
    for result in job.results:
        message.results.add(item_id=result.item_id, completed=result.completed, text=result.text)


def _read_job(message: JobSnapshot) -> Job:
    items = {
        item.item_id: StoredItem(item.encoded, failed_attempts=item.failed_attempts) for item in message.items
    }
    results = [StoredResult(entry.item_id, entry.completed, entry.text) for entry in message.results]
    for result in results:
        items[result.item_id].has_result = True
    terms = SubmitRequest()
    terms.CopyFrom(message.terms)
    return Job(terms, message.received_unix_ms, items, results, message.ended)
