"""What a steady traffic of batch jobs takes at a store, worked out beforehand."""

from __future__ import annotations

import attrs

from cherrycove.tier.batch.jobs.recent_bodies import MAX_RECENT_BYTES
from cherrycove.tier.batch.store.job_capacity import JobCapacity, JobsDemand
from cherrycove.tier.batch.store.periods import FORGET_MARGIN_S, MAINTENANCE_INTERVAL_S


@attrs.frozen(kw_only=True)
class BatchTraffic:
    """A steady traffic. Sizes in bytes, of one item."""

    jobs_per_s: float
    items: float  # of one job
    body_bytes: float
    result_bytes: float
    run_s: float  # from the acceptance of a job to the last of its results
    compressed: float  # size of results after compression, as a fraction of that before

    def demand(self, status_s: float) -> JobsDemand:
        """What all jobs take that are kept at a time, ``status_s`` after each was sent."""
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
    """The fraction of each bound of ``capacity`` that ``demand`` takes, by the name of the bound."""
    return {
        "disk": demand.disk_bytes / capacity.disk_bytes,
        "memory": demand.memory_bytes / capacity.memory_bytes,
        "link": demand.sent_bytes / capacity.sent_bytes,
    }
