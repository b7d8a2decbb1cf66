"""Holds the unfinished items of all jobs: which of them wait, and the order in which jobs are served."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.lease_types import LeasableJob


@attrs.define
class QueuedJob:
    """Holds one job with its unfinished items, each of which is either waiting or leased."""

    job: LeasableJob
    available_from_s: float
    waiting: dict[str, None]  # ids of items that are not leased, in order
    leased: dict[str, str] = attrs.field(factory=dict)  # item id -> incarnation of the lease holder
    granted_at_s: dict[str, float] = attrs.field(factory=dict)  # item id -> time of its grant in this epoch

    def unfinished(self) -> list[ItemKey]:
        """Return all items without a result."""
        return [ItemKey(self.job.job_id, item_id) for item_id in (*self.waiting, *self.leased)]


class JobQueue:
    """Holds jobs by id, and orders those with waiting items by earliest completion target."""

    def __init__(self) -> None:
        self.waiting_count = 0  # items that are not leased
        self._jobs: dict[str, QueuedJob] = {}
        self._order: list[tuple[float, str]] = []  # sorted (due time, job id) of jobs with waiting items

    def __getitem__(self, job_id: str) -> QueuedJob:
        """Return the job. Raises ``KeyError`` if it is unknown."""
        return self._jobs[job_id]

    def get(self, job_id: str) -> QueuedJob | None:
        """Return the job; None if it is unknown or finished."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterable[QueuedJob]:
        """Return all jobs in the order of their arrival."""
        return self._jobs.values()

    def add(self, job: LeasableJob, available_from_s: float) -> None:
        """Queue the items of a job; its items are offered from ``available_from_s`` on."""
        queued = QueuedJob(job, available_from_s, dict.fromkeys(job.item_ids))
        self._jobs[job.job_id] = queued
        self.waiting_count += len(queued.waiting)
        if queued.waiting:
            insort(self._order, (job.due_at_s, job.job_id))

    def remove(self, job_id: str) -> None:
        """Drop a job that has no waiting items."""
        del self._jobs[job_id]

    def take(self, queued: QueuedJob, item_id: str) -> bool:
        """Remove an item from the waiting ones. Returns whether it was waiting."""
        if item_id not in queued.waiting:
            return False
        del queued.waiting[item_id]
        self.waiting_count -= 1
        if not queued.waiting:
            self._order.remove((queued.job.due_at_s, queued.job.job_id))
        return True

    def put_back(self, queued: QueuedJob, item_id: str) -> None:
        """Return an item to the waiting ones, behind the other items of its job."""
        if not queued.waiting:
            insort(self._order, (queued.job.due_at_s, queued.job.job_id))
        queued.waiting[item_id] = None
        self.waiting_count += 1

    def offers(
        self, due_from_s: float, routes: frozenset[str], now: float
    ) -> tuple[Iterator[ItemKey], Iterator[ItemKey]]:
        """Return iterators over the waiting items of ``routes``, in order.

        The first covers items due at ``due_from_s`` or later, the second those due before. The order of the
        jobs is fixed at the call; items may be taken while the iterators are read.
        """
        start = bisect_left(self._order, (due_from_s, ""))
        later = self._waiting_items(self._order[start:], routes, now)
        earlier = self._waiting_items(self._order[:start], routes, now)
        return later, earlier

    def _waiting_items(
        self, order: Iterable[tuple[float, str]], routes: frozenset[str], now: float
    ) -> Iterator[ItemKey]:
        for _, job_id in order:
            queued = self._jobs[job_id]
            if queued.available_from_s > now or queued.job.route not in routes:
                continue
            for item_id in list(queued.waiting):
                yield ItemKey(job_id, item_id)
