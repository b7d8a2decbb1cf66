"""Leases batch items from the stores and runs them in a proxy."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import attrs
from result import Err

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.execution import ItemExecutor
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.lease_types import RENEWAL_INTERVAL_S
from cherrycove.tier.batch.worker.item_runs import ItemRuns
from cherrycove.tier.batch.worker.lease_status import LeaseStatus
from cherrycove.tier.batch.worker.reports import ReportSender
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.settings import Bounds, Settings

_log = logging.getLogger(__name__)

IDLE_INTERVAL_S = 2 * RENEWAL_INTERVAL_S
MIN_INTERVAL_S = 0.1  # shortest pause between two lease requests, however many items finish
LEASE_BUDGET_S = 0.9
SEND_FRACTION_OF_CANCEL = 0.5
MAX_CAPACITY = 256  # most items requested at once
MAX_UNREPORTED_BYTES = 16 * 1024 * 1024  # no items are leased while unreported texts exceed this size
STOP_FRACTION_OF_GRACE = 0.5
REPORT_FRACTION_OF_GRACE = 0.25


@attrs.frozen
class WorkerTimes:
    """Holds the durations of a worker, in seconds, as derived from the bounds of the deployment."""

    max_lease_age_s: float  # nothing is sent to a broker if the lease was renewed longer ago than this
    stop_s: float  # time for running items to finish at a graceful shutdown
    report_s: float  # time after that for reporting the items that are returned unfinished

    @classmethod
    def of(cls, bounds: Bounds) -> WorkerTimes:
        """Derive the durations as fractions of cancelMs and of the grace period."""
        return cls(
            max_lease_age_s=bounds.cancel_ms * SEND_FRACTION_OF_CANCEL / 1000.0,
            stop_s=bounds.grace_period_s * STOP_FRACTION_OF_GRACE,
            report_s=bounds.grace_period_s * REPORT_FRACTION_OF_GRACE,
        )


class BatchWorker:
    """Leases and runs batch items in one proxy.

    It owns the task of the lease loop, which exchanges leases several times a second. If the stores do not
    answer, running items continue, but nothing more is sent to brokers once the leases are no longer fresh.
    """

    def __init__(
        self,
        settings: Settings,
        client: BatchClient,
        executor: ItemExecutor,
        cluster_view: ClusterView,
        incarnation: str,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``incarnation`` identifies this process; ``clock`` returns monotonic seconds."""
        self._proxy = settings.node_name
        self._client = client
        self._executor = executor
        self._cluster_view = cluster_view
        self._incarnation = incarnation
        self._clock = clock
        self._times = WorkerTimes.of(settings.bounds)
        self._lease = LeaseStatus()
        self._sequence = 0
        self._stopping = False
        self._wake = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._runs = self._create_runs()

    def _create_runs(self) -> ItemRuns:
        reports = ReportSender(self._client, self._proxy, self._incarnation, lambda: self._lease.epoch)
        return ItemRuns(
            self._executor,
            reports,
            self._lease,
            self._cluster_view,
            clock=self._clock,
            max_lease_age_s=self._times.max_lease_age_s,
            on_finished=self._wake.set,
        )

    @property
    def running(self) -> int:
        """Return how many items are leased to this proxy, including those with an unreported outcome."""
        return len(self._runs.active())

    async def start(self) -> None:
        """Start to lease and run items."""
        self._loop_task = asyncio.create_task(self._lease_loop())

    async def stop(self) -> None:
        """Stop leasing, let items finish for a part of the grace period, and return the unfinished ones."""
        self._stopping = True
        self._wake.set()
        await self._runs.wait(self._times.stop_s)
        self._runs.cancel_executions()
        await self._runs.wait(self._times.report_s)
        tasks = self._runs.tasks()
        if self._loop_task is not None:
            tasks.append(self._loop_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _lease_loop(self) -> None:
        while True:
            try:
                await self._exchange_leases()
            except Exception:  # noqa: BLE001 - one failed exchange must not end the batch work
                _log.exception("batch_exchange_failed")
            await asyncio.sleep(MIN_INTERVAL_S)
            await self._pause()

    async def _pause(self) -> None:
        """Wait until the next exchange is due or further items can be leased."""
        busy = self._runs.active() or self._lease.waiting
        try:
            async with asyncio.timeout(RENEWAL_INTERVAL_S if busy else IDLE_INTERVAL_S):
                await self._wake.wait()  # asyncio.wait_for can lose a cancellation in Python 3.11
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _exchange_leases(self) -> None:
        self._sequence += 1
        sent_at_s = self._clock()
        outcome = await self._client.lease(self._request(), LEASE_BUDGET_S)
        if isinstance(outcome, Err):
            return
        reply = outcome.ok_value
        self._lease.renew(reply, sent_at_s)
        for reference in reply.revoked:
            self._runs.revoke(ItemKey.of(reference))
        for item in reply.items:
            if not self._stopping:
                self._runs.begin(item)

    def _request(self) -> pb.LeaseRequest:
        load = self._executor.load()
        request = pb.LeaseRequest(
            proxy=self._proxy,
            incarnation=self._incarnation,
            sequence=self._sequence,
            capacity=self._capacity(),
            routes=self._batch_routes(),
            broker_slots=load.broker_slots,
            live_requests=load.live_requests,
        )
        for instance_id, slots in load.usable_brokers.items():
            request.brokers.add(instance_id=instance_id, slots=slots)
        for run in self._runs.active():
            if not run.revoked:
                request.running.add(job_id=run.key.job_id, item_id=run.key.item_id)
        return request

    def _capacity(self) -> int:
        if self._stopping or self._runs.unreported_bytes() > MAX_UNREPORTED_BYTES:
            return 0
        return max(0, min(self._executor.free_slots(), MAX_CAPACITY))

    def _batch_routes(self) -> list[str]:
        configuration = self._cluster_view.configuration
        if configuration is None:
            return []
        return [route.name for route in configuration.routes if route.is_batch]
