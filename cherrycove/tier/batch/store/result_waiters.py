"""Wakes up reads that wait for the next result of a job."""

from __future__ import annotations

import asyncio

from cherrycove.tier.batch.jobs.model import Job
from cherrycove.tier.batch.jobs.state import JobsObserver


class ResultWaiters(JobsObserver):
    """Holds the waiting reads by job."""

    def __init__(self) -> None:
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Return at the next change of ``job_id`` or after ``timeout_s`` seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(job_id, set())
        waiters.add(future)
        try:
            await asyncio.wait((future,), timeout=timeout_s)
        finally:
            waiters.discard(future)
            if not waiters and self._waiters.get(job_id) is waiters:
                del self._waiters[job_id]

    def wake(self, job_id: str) -> None:
        """Wake up the reads of one job."""
        for future in self._waiters.get(job_id, ()):
            if not future.done():
                future.set_result(None)

    def wake_all(self) -> None:
        """Wake up all reads, for example when this store is no longer the primary."""
        for job_id in list(self._waiters):
            self.wake(job_id)

    def result_recorded(self, job: Job, item_id: str) -> None:  # noqa: ARG002 - required by JobsObserver
        """Wake up the job's reads, which can return the result."""
        self.wake(job.job_id)

    def job_ended(self, job: Job) -> None:
        """Wake up the job's reads, since no further result will arrive."""
        self.wake(job.job_id)
