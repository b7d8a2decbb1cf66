"""Records the history of batch jobs as clients and model servers saw it, and checks its invariants."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import attrs

from cherrycove.tier.protocol.batch_log_pb2 import BatchCommand, BatchSnapshot
from cherrycove.tier.protocol.batch_pb2 import ReadReply, SubmitRequest
from cherrycove.tier.simulation.control.history import History
from cherrycove.tier.simulation.control.machine_disk import MachineDisk
from cherrycove.tier.storage.entries import EntryKind

CANCEL_S = 3.0  # no item of a job starts later than this after the end of the job was acknowledged


@lru_cache(maxsize=4096)
def _job_in(payload: bytes) -> str:
    """Return the id of the job that a command of the stores' log accepts; "" if it accepts none."""
    command = BatchCommand.FromString(payload)
    return command.accept.job.job_id if command.WhichOneof("command") == "accept" else ""


@lru_cache(maxsize=256)
def _jobs_in(state: bytes) -> frozenset[str]:
    return frozenset(job.terms.job_id for job in BatchSnapshot.FromString(state).jobs)


def holds_job(disk: MachineDisk, job_id: str) -> bool:
    """Return whether the job is synced on ``disk``, in the log or in the snapshot."""
    if disk.snapshot is not None and job_id in _jobs_in(bytes(disk.snapshot.state)):
        return True
    entries = reversed(disk.entries)
    return any(entry.kind is EntryKind.COMMAND and _job_in(entry.payload) == job_id for entry in entries)


@attrs.frozen
class SeenResult:
    """Holds the result of an item as a client read it."""

    item_id: str
    completed: bool
    text: bytes


@attrs.define
class JobRecord:
    """Records one job from its first submission on."""

    request: SubmitRequest
    submissions: int = 0  # number of attempts
    rejections: int = 0
    acknowledged_at: float | None = None
    ended_at: float | None = None
    started: bool = False
    results: dict[int, SeenResult] = attrs.field(factory=dict)  # by position
    texts: set[bytes] = attrs.field(factory=set)  # all results computed for its items


class JobHistory:
    """Records and checks all jobs of one world, by id; raises ``InvariantBrokenError`` on a violation."""

    def __init__(self, history: History) -> None:
        self._history = history
        self.jobs: dict[str, JobRecord] = {}

    def open(self, request: SubmitRequest) -> None:
        """Record a job before its first submission."""
        self.jobs[request.job_id] = JobRecord(request)

    def acknowledged(self) -> list[JobRecord]:
        """Return the jobs whose submission was acknowledged."""
        return [job for job in self.jobs.values() if job.acknowledged_at is not None]

    # Replies as a proxy sends them

    def accepted(
        self, process_name: str, job_id: str, now: float, holders: Iterable[str], required: int
    ) -> None:
        """Check the acknowledgement of a job as ``process_name`` sends it.

        ``holders`` are the machines that have synced the job; at least ``required`` must have.
        """
        names = sorted(holders)
        job = self.jobs[job_id]
        if job.acknowledged_at is None:
            job.acknowledged_at = now
            self._history.note(f"{process_name} 202 {job_id} on {names}")
        if len(names) < required:
            self._history.fail(f"{process_name} accepted {job_id} synced on {names}, needs {required} disks")

    def rejected(self, job_id: str) -> None:
        """Check a rejected submission, which must have had no effect."""
        job = self.jobs[job_id]
        job.rejections += 1
        self._check_rejections(job_id, job)

    def unknown(self, process_name: str, job_id: str, what: str, sent_at: float) -> None:
        """Check a 404 response of ``process_name`` to the call ``what`` sent at ``sent_at``."""
        acknowledged_at = self.jobs[job_id].acknowledged_at
        if acknowledged_at is not None and acknowledged_at < sent_at:
            self._history.fail(
                f"{process_name} answered a call to {what} with 404 for the acknowledged {job_id}"
            )

    def ended(self, job_id: str, now: float) -> None:
        """Record the acknowledged end of a job."""
        job = self.jobs[job_id]
        job.ended_at = now if job.ended_at is None else job.ended_at

    def read(self, process_name: str, job_id: str, cursor: int, reply: ReadReply) -> None:
        """Check the results from position ``cursor`` on as ``process_name`` sends them."""
        job = self.jobs[job_id]
        if reply.total != len(job.request.items):
            self._history.fail(f"{process_name} returned a total of {reply.total} items for {job_id}")
        for position, entry in enumerate(reply.results, cursor):
            seen = SeenResult(entry.item_id, entry.completed, entry.text)
            known = job.results.setdefault(position, seen)
            if known != seen:
                self._history.fail(
                    f"{process_name} returned {seen} at position {position} of {job_id}, before: {known}"
                )
            if seen.completed and seen.text not in job.texts:
                self._history.fail(
                    f"{process_name} returned a text at {position} of {job_id} that was never computed"
                )
        names = [seen.item_id for seen in job.results.values()]
        if len(set(names)) != len(names):
            self._history.fail(f"an item of {job_id} has two positions in the results")

    # Runs as they reach a model server

    def started(self, process_name: str, job_id: str, now: float) -> None:
        """Check that ``process_name`` may start an item of a job."""
        job = self.jobs[job_id]
        job.started = True
        self._check_rejections(job_id, job)
        if job.ended_at is not None and now - job.ended_at > CANCEL_S:
            self._history.fail(
                f"{process_name} starts an item of {job_id}, {now - job.ended_at:.2f} s after its end"
            )

    def _check_rejections(self, job_id: str, job: JobRecord) -> None:
        if job.started and job.submissions == job.rejections:
            self._history.fail(f"{job_id} is running, though every submission was rejected")
