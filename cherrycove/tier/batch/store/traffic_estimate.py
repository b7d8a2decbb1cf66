"""Estimates the storage that a constant load of batch jobs takes at a store, for capacity planning."""

from __future__ import annotations

import attrs

from cherrycove.tier.batch.jobs.recent_bodies import MAX_RECENT_BYTES
from cherrycove.tier.batch.store.job_capacity import JobCapacity, JobsDemand
from cherrycove.tier.batch.store.periods import FORGET_MARGIN_S, MAINTENANCE_INTERVAL_S


@attrs.frozen(kw_only=True)
class BatchTraffic:
    """Describes a constant load of batch jobs. Sizes are in bytes per item."""

    jobs_per_s: float
    items: float  # items per job
    body_bytes: float
    result_bytes: float
    run_s: float  # time from the acceptance of a job to its last result
    compressed: float  # size of results after compression, as a fraction of the size before

    def demand(self, status_s: float) -> JobsDemand:
        """Return the demand of the jobs stored at one time if clients may read each for ``status_s``."""
        kept_s = status_s + FORGET_MARGIN_S + MAINTENANCE_INTERVAL_S
        items_per_s = self.jobs_per_s * self.items
        finished_s = max(kept_s - self.run_s, 0.0)
        open_items = items_per_s * self.run_s
        recent_bytes = min(items_per_s * kept_s * self.body_bytes, MAX_RECENT_BYTES)
        return JobsDemand(
            finished_bytes=items_per_s * finished_s * self.result_bytes * self.compressed,
            open_bytes=open_items * max(self.body_bytes, self.result_bytes) + recent_bytes,
            open_records=round(open_items),
        )


def bounds_in_use(capacity: JobCapacity, demand: JobsDemand) -> dict[str, float]:
    """Return the fraction of each limit of ``capacity`` that ``demand`` takes, by the name of the limit."""
    return {
        "disk": demand.disk_bytes / capacity.disk_bytes,
        "memory": demand.memory_bytes / capacity.memory_bytes,
        "link": demand.sent_bytes / capacity.sent_bytes,
    }
