"""How long this process has known each job.

Counted by the steady clock from when the job was applied here, which is never before its client sent it:
whatever may happen only so long after that send happens late after a restart, and never early.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.batch.jobs.model import Job
from cherrycove.tier.batch.leasing.lease_table import LeasableJob

NO_TARGET_S = 60.0  # stands in for a completion target where the route has none
RETENTION_MARGIN_S = 0.25
NEVER = float("inf")


@attrs.define
class JobAges:
    """Monotonic seconds at which each job was first seen."""

    _seen: dict[str, float] = attrs.field(factory=dict)

    def see(self, job_id: str, now: float) -> None:
        self._seen.setdefault(job_id, now)

    def keep_only(self, job_ids: Iterable[str]) -> None:
        """Drop all other jobs."""
        kept = set(job_ids)
        for job_id in [job_id for job_id in self._seen if job_id not in kept]:
            del self._seen[job_id]

    def older_than(self, age_s: float, now: float) -> list[str]:
        """Jobs known for longer than ``age_s``."""
        return [job_id for job_id, seen in self._seen.items() if now - seen > age_s]

    def terms(self, job: Job, now: float, unix_ms: float) -> LeasableJob:
        """What leasing must know of ``job``. The time of day serves only to order the items."""
        seen = self._seen.get(job.job_id, now)
        target_s = job.submission.completion_target_ms / 1000.0 or NO_TARGET_S
        elapsed_s = max((unix_ms - job.received_unix_ms) / 1000.0, now - seen)
        retention_s = job.submission.retention_ms / 1000.0
        retained_until = seen + retention_s + RETENTION_MARGIN_S if retention_s else NEVER
        due = now + target_s - elapsed_s
        return LeasableJob(job.job_id, job.submission.route, due, retained_until, job.unfinished_item_ids())
