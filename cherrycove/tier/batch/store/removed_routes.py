"""Finds jobs that can no longer be run because their route was removed from the configuration."""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.tier.batch.jobs.model import Job, OpenJob
from cherrycove.tier.configuration import Configuration


def jobs_of_removed_routes(jobs: Iterable[Job], configuration: Configuration | None) -> list[str]:
    """Return the ids of unfinished jobs whose route is not in ``configuration``.

    Jobs that were submitted under a newer or an unknown configuration version are left out: their route may
    have been added since.
    """
    if configuration is None:
        return []
    routes = {route.name for route in configuration.routes if route.is_batch}
    return [
        job.job_id for job in jobs
        if isinstance(job, OpenJob)
        and 0 < job.submission.configuration_version <= configuration.version
        and job.submission.route not in routes
    ]  # fmt: skip
