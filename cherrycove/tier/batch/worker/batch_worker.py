"""Runs batch items in a proxy: leases them from the stores, executes them, reports how they ended.

One loop exchanges leases several times a second. Items run as tasks of the executor; an outcome is reported
again and again until the primary of the stores took it or no longer knows the job.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import attrs
from result import Err, Ok

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.execution import ROUTE_REMOVED, ItemExecutor, ItemOutcome, ItemState
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.lease_types import RENEWAL_INTERVAL_S
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.settings import Settings

_log = logging.getLogger(__name__)

IDLE_INTERVAL_S = 2 * RENEWAL_INTERVAL_S
SHORTEST_INTERVAL_S = 0.1  # between two lease requests, however much finishes
EXCHANGE_BUDGET_S = 0.9
REPORT_BUDGET_S = 1.5
FIRST_REPORT_PAUSE_S = 0.05
LONGEST_REPORT_PAUSE_S = 0.5
SEND_SHARE_OF_CANCEL = 0.5  # of cancelMs: nothing is sent on a lease older than this
MAX_CAPACITY = 256  # items asked for at once
MAX_UNREPORTED_BYTES = 16 * 1024 * 1024  # texts that wait for the stores; over this no more work is taken
STOP_SHARE_OF_GRACE = 0.5  # of gracePeriodS: running items may finish so long
REPORT_SHARE_OF_GRACE = 0.25  # and then what was given back may be reported so long


@attrs.define(eq=False)
class _Run:
    """One leased item, from its lease until its outcome was taken."""

    key: ItemKey
    item: pb.LeasedItem
    failed_attempts: int  # answers of 500 so far
    revoked: bool = False
    outcome: ItemOutcome | None = None
    execution: asyncio.Task[ItemOutcome] | None = None
    task: asyncio.Task[None] | None = None

    @property
    def unreported_bytes(self) -> int:
        return len(self.outcome.text) if self.outcome is not None else 0


class BatchWorker:
    """The batch work of one proxy."""

    def __init__(
        self,
        settings: Settings,
        client: BatchClient,
        executor: ItemExecutor,
        views: ClusterView,
        incarnation: str,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._proxy = settings.node_name
        self._client = client
        self._executor = executor
        self._views = views
        self._incarnation = incarnation
        self._clock = clock
        self._send_bound_s = settings.bounds.cancel_ms * SEND_SHARE_OF_CANCEL / 1000.0
        self._stop_time_s = settings.bounds.grace_period_s * STOP_SHARE_OF_GRACE
        self._last_reports_s = settings.bounds.grace_period_s * REPORT_SHARE_OF_GRACE
        self._runs: dict[ItemKey, _Run] = {}
        self._sequence = 0
        self._epoch = 0
        self._lease_s = 0.0
        self._renewed_at = float("-inf")  # when the last answered lease request was sent
        self._waiting = 0
        self._stopping = False
        self._wake = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Items leased to this proxy, those with an unreported outcome included."""
        return len(self._runs)

    async def start(self) -> None:
        """Begin to lease and run items."""
        self._loop_task = asyncio.create_task(self._loop())

    async def stop(self) -> None:
        """Lease nothing more, let items finish for a part of the grace period, and give the rest back."""
        self._stopping = True
        self._wake.set()
        await self._wait_for_runs(self._stop_time_s)
        for run in self._runs.values():
            if run.execution is not None and run.outcome is None:
                run.execution.cancel()
        await self._wait_for_runs(self._last_reports_s)
        tasks = [run.task for run in self._runs.values() if run.task is not None]
        if self._loop_task is not None:
            tasks.append(self._loop_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_for_runs(self, timeout_s: float) -> None:
        tasks = [run.task for run in self._runs.values() if run.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    # Leases

    async def _loop(self) -> None:
        while True:
            try:
                await self._exchange()
            except Exception:  # a fault in one exchange must not end the work
                _log.exception("batch_exchange_failed")
            await asyncio.sleep(SHORTEST_INTERVAL_S)
            await self._pause()

    async def _pause(self) -> None:
        interval_s = RENEWAL_INTERVAL_S if self._runs or self._waiting else IDLE_INTERVAL_S
        try:
            async with asyncio.timeout(interval_s):  # wait_for can lose a cancellation
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _exchange(self) -> None:
        self._sequence += 1
        sent_at = self._clock()
        answer = await self._client.lease(self._request(), EXCHANGE_BUDGET_S)
        if isinstance(answer, Err):
            return
        reply = answer.ok_value
        self._renewed_at = sent_at
        self._lease_s = reply.lease_ms / 1000.0
        self._epoch = reply.epoch
        self._waiting = reply.waiting
        for reference in reply.revoked:
            self._revoke(ItemKey(reference.job_id, reference.item_id))
        for item in reply.items:
            self._begin(item)

    def _request(self) -> pb.LeaseRequest:
        request = pb.LeaseRequest(
            proxy=self._proxy,
            incarnation=self._incarnation,
            sequence=self._sequence,
            capacity=self._capacity(),
            routes=self._batch_routes(),
        )
        for key, run in self._runs.items():
            if not run.revoked:
                request.running.add(job_id=key.job_id, item_id=key.item_id)
        return request

    def _capacity(self) -> int:
        if self._stopping:
            return 0
        if sum(run.unreported_bytes for run in self._runs.values()) > MAX_UNREPORTED_BYTES:
            return 0
        return max(0, min(self._executor.free_slots(), MAX_CAPACITY))

    def _batch_routes(self) -> list[str]:
        configuration = self._views.configuration
        if configuration is None:
            return []
        return [route.name for route in configuration.routes if route.route_kind == "batch"]

    def _revoke(self, key: ItemKey) -> None:
        run = self._runs.get(key)
        if run is None:
            return
        run.revoked = True
        if run.outcome is None and run.execution is not None:
            run.execution.cancel()

    # One item

    def _begin(self, item: pb.LeasedItem) -> None:
        key = ItemKey(item.job_id, item.item.item_id)
        if key in self._runs or self._stopping:
            return
        run = _Run(key, item, item.failed_attempts)
        self._runs[key] = run
        run.execution = asyncio.create_task(
            self._executor.run_item(
                item, lambda: self._may_send(run), lambda failed: self._record_failures(run, failed)
            )
        )
        run.task = asyncio.create_task(self._follow(run))

    def _may_send(self, run: _Run) -> bool:
        """Whether the item may still go to a broker: under a fresh lease, on a route in force."""
        bound_s = min(self._send_bound_s, self._lease_s)
        fresh = self._clock() - self._renewed_at < bound_s
        return fresh and not run.revoked and self._route_in_force(run)

    def _route_in_force(self, run: _Run) -> bool:
        configuration = self._views.configuration
        route = configuration.route(run.item.route) if configuration is not None else None
        return route is not None and route.route_kind == "batch"

    async def _follow(self, run: _Run) -> None:
        """Await the execution of an item, and report its outcome until it is taken."""
        try:
            run.outcome = await self._outcome(run)
            if run.outcome.state is not ItemState.RETURNED and self._waiting:
                self._wake.set()
            if not (run.revoked and run.outcome.state is ItemState.RETURNED):
                await self._report(self._outcome_report(run, run.outcome))
        finally:
            self._runs.pop(run.key, None)

    async def _outcome(self, run: _Run) -> ItemOutcome:
        assert run.execution is not None
        await asyncio.wait((run.execution,))
        returned = ItemOutcome(ItemState.RETURNED, failed_attempts=run.failed_attempts)
        if run.execution.cancelled():
            return returned
        error = run.execution.exception()
        if error is not None:
            _log.error("batch_item_failed", exc_info=error, extra={"item": run.key.item_id})
            return returned
        return run.execution.result()

    async def _record_failures(self, run: _Run, failed_attempts: int) -> None:
        run.failed_attempts = failed_attempts
        request = self._report_of(run)
        request.failures_so_far = failed_attempts
        await self._report(request)

    async def _report(self, request: pb.ReportRequest) -> None:
        """Until it is taken, or the job is no longer known."""
        pause_s = FIRST_REPORT_PAUSE_S
        while True:
            request.epoch = self._epoch
            answer = await self._client.report(request, REPORT_BUDGET_S)
            if isinstance(answer, Ok) or answer.err_value.kind in (ErrorKind.NOT_FOUND, ErrorKind.INVALID):
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_REPORT_PAUSE_S)

    def _report_of(self, run: _Run) -> pb.ReportRequest:
        request = pb.ReportRequest(proxy=self._proxy, incarnation=self._incarnation)
        request.reference.job_id = run.key.job_id
        request.reference.item_id = run.key.item_id
        return request

    def _outcome_report(self, run: _Run, outcome: ItemOutcome) -> pb.ReportRequest:
        request = self._report_of(run)
        if outcome.state is ItemState.COMPLETED:
            request.completed_text = outcome.text
        elif outcome.state is ItemState.DEAD_LETTERED:
            request.dead_letter_reason = outcome.reason
        elif self._views.configuration is not None and not self._route_in_force(run):
            request.dead_letter_reason = ROUTE_REMOVED
        else:
            request.failed_attempts = outcome.failed_attempts
        return request
