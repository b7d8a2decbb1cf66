"""Tracks how long this process has known each job, and derives the deadlines that leasing needs.

An age is measured by the monotonic clock from the moment at which the job was applied here, which is never
before its client sent it. So whatever may happen only some time after the client sent the job may happen
late after a restart, but never early.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.batch.jobs.model import OpenJob
from cherrycove.tier.batch.leasing.lease_types import LeasableJob

DEFAULT_TARGET_S = 60.0  # completion target if the route has none
RETENTION_MARGIN_S = 0.25
NEVER = float("inf")


def target_s(job: OpenJob) -> float:
    """Return the time in seconds, counted from when ``job`` was sent, after which all its results are due."""
    return job.submission.completion_target_ms / 1000.0 or DEFAULT_TARGET_S


@attrs.define
class JobAges:
    """Holds the monotonic time in seconds at which each job was first seen."""

    _first_seen_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, job_id: str, now: float) -> None:
        """Record that the job is known at ``now``; a job that was already known keeps its age."""
        self._first_seen_s.setdefault(job_id, now)

    def keep_only(self, job_ids: Iterable[str]) -> None:
        """Drop all other jobs."""
        kept = set(job_ids)
        for job_id in [job_id for job_id in self._first_seen_s if job_id not in kept]:
            del self._first_seen_s[job_id]

    def first_seen_s(self, job_id: str, now: float) -> float:
        """Return the time at which a job was first seen; ``now`` if it is unknown."""
        return self._first_seen_s.get(job_id, now)

    def older_than(self, age_s: float, now: float) -> list[str]:
        """Return the ids of the jobs that have been known for longer than ``age_s``."""
        return [job_id for job_id, seen_s in self._first_seen_s.items() if now - seen_s > age_s]

    def leasable(self, job: OpenJob, now: float, unix_ms: float) -> LeasableJob:
        """Return what the lease table needs to know about ``job``.

        ``unix_ms``, the time of day, affects only the completion target, by which items are ordered. This
        clock may jump, so it must not decide when items are dead-lettered.
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
