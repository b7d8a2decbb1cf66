"""Maintains the lease table of the epoch in which this store is the primary."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey, Job, OpenJob
from cherrycove.tier.batch.jobs.state import JobsObserver, JobsState
from cherrycove.tier.batch.leasing.job_ages import JobAges, target_s
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import LeasableJob, LeaseTimes
from cherrycove.tier.batch.store.capacity_forecast import CapacityRelease
from cherrycove.tier.batch.store.job_capacity import OPEN_COPIES, mean_result_bytes
from cherrycove.tier.batch.store.periods import FORGET_MARGIN_S, MAINTENANCE_INTERVAL_S
from cherrycove.tier.replication.interface import Group

_log = logging.getLogger(__name__)


@attrs.frozen
class Clocks:
    """Provides the store's time sources."""

    now: Callable[[], float] = time.monotonic  # monotonic seconds
    unix_s: Callable[[], float] = time.time  # time of day


class EpochLeases(JobsObserver):
    """Updates the lease table as jobs change, and creates a new one in each epoch of this store.

    Leases and ages are soft state: they are lost with the process and rebuilt from the replicated jobs.
    """

    def __init__(
        self, group: Group, state: JobsState, times: LeaseTimes, clocks: Clocks, status_s: float
    ) -> None:
        """``status_s`` is how long after submitting a job clients may ask for its status."""
        self._group = group
        self._state = state
        self._times = times
        self._clocks = clocks
        self._forget_after_s = status_s + FORGET_MARGIN_S
        self._table: LeaseTable | None = None
        self._ages = JobAges()
        self.state_restored()
        state.observe(self)

    def ensure_table(self) -> LeaseTable | None:
        """Return the table of the current epoch, creating it if needed; None if not the confirmed primary."""
        if not self._group.is_confirmed_primary():
            return None
        if self._table is None or self._table.epoch != self._group.epoch:
            self._table = self._new_table()
        return self._table

    def jobs_past_status_period(self, now: float) -> list[Job]:
        """Return the jobs that this process has known for longer than clients may ask for their status."""
        jobs = self._state.jobs
        return [jobs[job_id] for job_id in self._ages.older_than(self._forget_after_s, now) if job_id in jobs]

    def capacity_releases(self, now: float) -> list[CapacityRelease]:
        """Predict when the known jobs release capacity.

        Open jobs release a part when they finish; finished jobs release all of it when they are forgotten.
        """
        result_bytes = mean_result_bytes(self._state)
        return [self._capacity_release(job, now, result_bytes) for job in self._state.jobs.values()]

    def _capacity_release(self, job: Job, now: float, result_bytes: float) -> CapacityRelease:
        if isinstance(job, OpenJob):
            due_at_s = self._ages.first_seen_s(job.job_id, now) + target_s(job)
            return CapacityRelease(max(due_at_s - now, 0.0), job.total * result_bytes * (OPEN_COPIES - 1.0))
        forget_in_s = self._ages.first_seen_s(job.job_id, now) + self._forget_after_s - now
        return CapacityRelease(max(forget_in_s, 0.0) + MAINTENANCE_INTERVAL_S, job.size_bytes)

    # JobsObserver

    def job_accepted(self, job: Job) -> None:
        """Offer the items of a new job."""
        self._ages.add(job.job_id, self._clocks.now())
        if self._table is not None and isinstance(job, OpenJob):
            self._table.add_job(self._leasable(job), from_earlier_epoch=False)

    def result_recorded(self, job: Job, item_id: str) -> None:
        """Remove the item from the lease table, since it needs no further run."""
        if self._table is not None:
            self._table.resolve(ItemKey(job.job_id, item_id), self._clocks.now())

    def job_ended(self, job: Job) -> None:
        """End the leases of the job's items."""
        if self._table is not None:
            self._table.remove_job(job.job_id)

    def jobs_forgotten(self, job_ids: Iterable[str]) -> None:
        """End the leases of the jobs' items and drop the ages of the jobs."""
        if self._table is not None:
            for job_id in job_ids:
                self._table.remove_job(job_id)
        self._ages.keep_only(self._state.jobs)

    def state_restored(self) -> None:
        """Discard the table, so that the next one is built from the jobs of the snapshot."""
        now = self._clocks.now()
        self._ages.keep_only(self._state.jobs)
        for job_id in self._state.jobs:
            self._ages.add(job_id, now)
        self._table = None

    def _new_table(self) -> LeaseTable:
        table = LeaseTable(self._group.epoch, self._clocks.now(), self._times)
        for job in self._state.jobs.values():
            if isinstance(job, OpenJob):
                table.add_job(self._leasable(job), from_earlier_epoch=True)
        _log.info("batch_leases_begun", extra={"epoch": table.epoch, "jobs": len(self._state.jobs)})
        return table

    def _leasable(self, job: OpenJob) -> LeasableJob:
        return self._ages.leasable(job, self._clocks.now(), self._clocks.unix_s() * 1000.0)
