"""Assembles a store's batch service: the call handlers, the leases and the periodic work."""

from __future__ import annotations

import time
from collections.abc import Callable

from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.leasing.lease_types import LeaseTimes
from cherrycove.tier.batch.store.call_handlers import BatchCallHandlers
from cherrycove.tier.batch.store.context import StoreContext
from cherrycove.tier.batch.store.epoch_leases import Clocks, EpochLeases
from cherrycove.tier.batch.store.job_capacity import JobCapacity
from cherrycove.tier.batch.store.maintenance import BatchMaintenance
from cherrycove.tier.batch.store.proposals import ResultRecorder
from cherrycove.tier.batch.store.result_waiters import ResultWaiters
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.settings import Settings


class BatchStoreService:
    """Runs the batch service of one store, which answers calls only while it is the confirmed primary.

    The replicated ``JobsState`` is owned and changed by the group; the service observes it. A crash loses
    only soft state: leases, ages of jobs and waiting reads.
    """

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: JobsState,
        server: CallRegistry,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        times: LeaseTimes | None = None,
        cluster_view: ClusterView | None = None,
    ) -> None:
        """Register the batch calls at ``server``. ``clock`` and ``wall_clock`` return seconds."""
        clocks = Clocks(clock, wall_clock)
        context = StoreContext(
            group=group,
            state=state,
            leases=EpochLeases(group, state, times or LeaseTimes(), clocks, settings.bounds.status_s),
            capacity=JobCapacity.of(settings.limits, settings.bounds.catch_up_s),
            recorder=ResultRecorder(group),
            clocks=clocks,
        )
        waiters = ResultWaiters()
        state.observe(waiters)
        group.on_change(waiters.wake_all)
        self._handlers = BatchCallHandlers(context, waiters)
        self._handlers.register_at(server)
        self._maintenance = BatchMaintenance(context, cluster_view or ClusterView())

    async def start(self) -> None:
        """Start the periodic work."""
        await self._maintenance.start()

    async def stop(self) -> None:
        """Stop the periodic work."""
        await self._maintenance.stop()

    async def maintain_once(self) -> None:
        """Do the periodic work once, now."""
        await self._maintenance.run_once()
