"""How long this process has known each job, and what follows from it for leasing.

An age is counted by the monotonic clock from when the job was applied here, which is never before its client
sent it. What may happen only so long after that send so happens late after a restart, and never early.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.batch.jobs.model import OpenJob
from cherrycove.tier.batch.leasing.lease_types import LeasableJob

DEFAULT_TARGET_S = 60.0  # completion target where the route has none
RETENTION_MARGIN_S = 0.25
NEVER = float("inf")


def target_s(job: OpenJob) -> float:
    """In which time after it was sent all results of ``job`` are due."""
    return job.submission.completion_target_ms / 1000.0 or DEFAULT_TARGET_S


@attrs.define
class JobAges:
    """Monotonic seconds at which each job was first seen."""

    _first_seen_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, job_id: str, now: float) -> None:
        """The job is known ``now``; a job that was known before keeps its age."""
        self._first_seen_s.setdefault(job_id, now)

    def keep_only(self, job_ids: Iterable[str]) -> None:
        """Drop all other jobs."""
        kept = set(job_ids)
        for job_id in [job_id for job_id in self._first_seen_s if job_id not in kept]:
            del self._first_seen_s[job_id]

    def first_seen_s(self, job_id: str, now: float) -> float:
        """Since when a job is known; ``now`` where it is not."""
        return self._first_seen_s.get(job_id, now)

    def older_than(self, age_s: float, now: float) -> list[str]:
        """Ids of the jobs that are known for longer than ``age_s``."""
        return [job_id for job_id, seen_s in self._first_seen_s.items() if now - seen_s > age_s]

    def leasable(self, job: OpenJob, now: float, unix_ms: float) -> LeasableJob:
        """What leasing must know of ``job``.

        ``unix_ms``, the time of day, only affects the completion target, by which items are ordered:
        it may jump, and must not decide when items are given up.
        """
        first_seen_s = self.first_seen_s(job.job_id, now)
        elapsed_s = max((unix_ms - job.received_unix_ms) / 1000.0, now - first_seen_s)
        retention_s = job.submission.retention_ms / 1000.0
        return LeasableJob(
            job_id=job.job_id,
            route=job.submission.route,
            due_at_s=now + target_s(job) - elapsed_s,
            retained_until_s=first_seen_s + retention_s + RETENTION_MARGIN_S if retention_s else NEVER,
            item_ids=job.unfinished_item_ids(),
        )
