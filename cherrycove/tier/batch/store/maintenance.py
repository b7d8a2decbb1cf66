"""Runs the primary's periodic work: expire leases, dead-letter items and forget old jobs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from cherrycove.tier.batch.execution import ROUTE_REMOVED
from cherrycove.tier.batch.jobs.commands import forget_command, item_result
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.store.context import StoreContext
from cherrycove.tier.batch.store.job_capacity import demand_of
from cherrycove.tier.batch.store.periods import MAINTENANCE_INTERVAL_S
from cherrycove.tier.batch.store.proposals import PROPOSE_TIMEOUT_S
from cherrycove.tier.batch.store.removed_routes import jobs_of_removed_routes
from cherrycove.tier.distribution.cluster_view import ClusterView

_log = logging.getLogger(__name__)

EXPIRED = "expired"  # dead-letter reason of items past their retention time
MAX_DEAD_LETTERED = 64  # limit of items per run, for each reason


class BatchMaintenance:
    """Owns the task of the periodic work, which runs only while this store is the confirmed primary."""

    def __init__(self, context: StoreContext, cluster_view: ClusterView) -> None:
        self._group = context.group
        self._state = context.state
        self._leases = context.leases
        self._capacity = context.capacity
        self._recorder = context.recorder
        self._clocks = context.clocks
        self._cluster_view = cluster_view
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic work."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic work, if it was started."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def run_once(self) -> None:
        """Free expired leases, dead-letter items past their retention or without a route, forget old jobs."""
        table = self._leases.ensure_table()
        if table is None:
            return
        now = self._clocks.now()
        table.expire(now)
        await self._dead_letter(table.past_retention(now), EXPIRED)
        await self._dead_letter_removed_routes(table, now)
        await self.forget_old_jobs(now)

    async def forget_old_jobs(self, now: float) -> None:
        """Forget old jobs that were ended and, if the store is filling up, also those that are complete."""
        old = self._leases.jobs_past_status_period(now)
        forget_early = self._capacity.should_forget_early(demand_of(self._state))
        forgotten = [job.job_id for job in old if job.ended or (forget_early and job.is_done)]
        if forgotten and self._group.is_confirmed_primary():
            await self._group.propose(forget_command(forgotten), PROPOSE_TIMEOUT_S)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                await self.run_once()
            except Exception:  # noqa: BLE001 - one failed run must not end the periodic work
                _log.exception("batch_maintenance_failed")

    async def _dead_letter_removed_routes(self, table: LeaseTable, now: float) -> None:
        removed = jobs_of_removed_routes(self._state.jobs.values(), self._cluster_view.configuration)
        waiting = [key for job_id in removed for key in table.waiting_items(job_id, now)]
        await self._dead_letter(waiting, ROUTE_REMOVED)

    async def _dead_letter(self, keys: Sequence[ItemKey], reason: str) -> None:
        results = [item_result(key, reason.encode(), completed=False) for key in keys[:MAX_DEAD_LETTERED]]
        await asyncio.gather(*(self._recorder.record(result) for result in results))
