"""Runs the items that are leased to this proxy, each from its lease until its outcome was accepted."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import attrs

from cherrycove.tier.batch.execution import ItemExecutor, ItemOutcome, ItemState
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.worker.lease_status import LeaseStatus
from cherrycove.tier.batch.worker.reports import ReportSender
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.batch_pb2 import LeasedItem

_log = logging.getLogger(__name__)


@attrs.define(eq=False)
class ItemRun:
    """Holds one leased item. ``execution`` runs it; ``task`` awaits the execution and reports the outcome."""

    key: ItemKey
    item: LeasedItem
    failed_attempts: int  # responses of status 500 so far
    revoked: bool = False
    outcome: ItemOutcome | None = None
    execution: asyncio.Task[ItemOutcome] | None = None
    task: asyncio.Task[None] | None = None

    @property
    def unreported_bytes(self) -> int:
        """Return the size of the text that is not reported yet."""
        return len(self.outcome.text) if self.outcome is not None else 0

    def cancel_execution(self) -> None:
        """Cancel the execution if the item still runs; the outcome is then RETURNED."""
        if self.outcome is None and self.execution is not None:
            self.execution.cancel()


class ItemRuns:
    """Runs leased items and owns both tasks of each."""

    def __init__(
        self,
        executor: ItemExecutor,
        reports: ReportSender,
        lease: LeaseStatus,
        cluster_view: ClusterView,
        *,
        clock: Callable[[], float],
        max_lease_age_s: float,
        on_finished: Callable[[], None],
    ) -> None:
        """Nothing is sent to a broker under a lease that was renewed more than ``max_lease_age_s`` ago.

        ``on_finished`` is called when an item got a result while further items are waiting at the stores.
        """
        self._executor = executor
        self._reports = reports
        self._lease = lease
        self._cluster_view = cluster_view
        self._clock = clock
        self._max_lease_age_s = max_lease_age_s
        self._on_finished = on_finished
        self._runs: dict[ItemKey, ItemRun] = {}

    def active(self) -> Sequence[ItemRun]:
        """Return all items that are leased to this proxy, including those with an unreported outcome."""
        return list(self._runs.values())

    def unreported_bytes(self) -> int:
        """Return the total size of the texts that are not reported yet."""
        return sum(run.unreported_bytes for run in self._runs.values())

    def begin(self, item: LeasedItem) -> None:
        """Start to run a leased item, unless it already runs."""
        key = ItemKey(item.job_id, item.item.item_id)
        if key in self._runs:
            return
        run = ItemRun(key, item, item.failed_attempts)
        self._runs[key] = run
        run.execution = asyncio.create_task(
            self._executor.run_item(
                item, lambda: self._may_send(run), lambda failed: self._record_failures(run, failed)
            )
        )
        run.task = asyncio.create_task(self._await_and_report(run, run.execution))

    def revoke(self, key: ItemKey) -> None:
        """Stop an item whose lease has ended or that already has a result."""
        run = self._runs.get(key)
        if run is not None:
            run.revoked = True
            run.cancel_execution()

    async def wait(self, timeout_s: float) -> None:
        """Wait until all current runs have ended, but at most ``timeout_s`` seconds."""
        tasks = self.tasks()
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def cancel_executions(self) -> None:
        """Cancel all items that still run, so that they are returned."""
        for run in self._runs.values():
            run.cancel_execution()

    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks that report the outcomes, so that the caller can cancel them at shutdown."""
        return [run.task for run in self._runs.values() if run.task is not None]

    def _may_send(self, run: ItemRun) -> bool:
        """Return whether the item may still be sent: its lease is fresh and its route is configured."""
        fresh = self._lease.is_fresh(self._clock(), self._max_lease_age_s)
        return fresh and not run.revoked and self._is_route_configured(run)

    def _is_route_configured(self, run: ItemRun) -> bool:
        configuration = self._cluster_view.configuration
        route = configuration.route(run.item.route) if configuration is not None else None
        return route is not None and route.is_batch

    async def _await_and_report(self, run: ItemRun, execution: asyncio.Task[ItemOutcome]) -> None:
        """Await the execution of an item, and report its outcome until it is accepted."""
        try:
            outcome = run.outcome = await self._await_outcome(run, execution)
            returned = outcome.state is ItemState.RETURNED
            if not returned and self._lease.waiting:
                self._on_finished()
            if not (run.revoked and returned):
                removed = self._cluster_view.configuration is not None and not self._is_route_configured(run)
                await self._reports.send_outcome(run.key, outcome, route_removed=removed)
        finally:
            self._runs.pop(run.key, None)

    async def _await_outcome(self, run: ItemRun, execution: asyncio.Task[ItemOutcome]) -> ItemOutcome:
        """Return the outcome of the execution; RETURNED if it was cancelled or raised an exception."""
        await asyncio.wait((execution,))
        returned = ItemOutcome(ItemState.RETURNED, failed_attempts=run.failed_attempts)
        if execution.cancelled():
            return returned
        error = execution.exception()
        if error is not None:
            _log.error("batch_item_failed", exc_info=error, extra={"item": run.key.item_id})
            return returned
        return execution.result()

    async def _record_failures(self, run: ItemRun, failed_attempts: int) -> None:
        run.failed_attempts = failed_attempts
        await self._reports.send_failures(run.key, failed_attempts)
