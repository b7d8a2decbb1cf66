"""Serves batch jobs at the stores: the calls of the proxies, answered by the confirmed primary alone.

The primary answers from its state only while its lease holds, and asks again after every wait. A job, a
result and an end are acknowledged once the group has committed them. The primary also gives up items past
their retention, and forgets old jobs.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Sequence

from result import Err, Ok, Result

from cherrycove.tier.batch.execution import ROUTE_REMOVED
from cherrycove.tier.batch.jobs.commands import (
    accept_command,
    end_command,
    failures_command,
    forget_command,
    item_result,
)
from cherrycove.tier.batch.jobs.model import ItemKey, Job, StoredItem
from cherrycove.tier.batch.jobs.state import EndOutcome, JobsState
from cherrycove.tier.batch.leasing.job_ages import JobAges
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import LeasableJob, LeaseCall, LeaseTimes
from cherrycove.tier.batch.store.proposals import PROPOSE_TIMEOUT_S, ResultRecorder, SingleFlightProposals
from cherrycove.tier.batch.store.removed_routes import jobs_of_removed_routes
from cherrycove.tier.batch.store.replies import lease_reply, read_reply
from cherrycove.tier.batch.store.result_waiters import ResultWaiters
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.settings import Settings

_log = logging.getLogger(__name__)

MAX_READ_WAIT_S = 2.0
MEMORY_FRACTION = 0.2  # of the process, for jobs; a snapshot that is taken or read holds them once more
DISK_FRACTION = 0.25  # of the disk, for jobs; it holds two snapshots and the log
MEGABYTE = 1024 * 1024
MAINTENANCE_INTERVAL_S = 0.5
FORGET_MARGIN_S = 30.0  # past statusS
CROWDED_FRACTION = 0.25  # of the room for jobs, above which complete jobs that nobody ended are forgotten too
EXPIRED = "expired"
GIVEN_UP_AT_ONCE = 64  # items in one round of maintenance, for each reason


class BatchStoreService:
    """The batch plane of one store; registers its calls at ``server``."""

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
        views: ClusterView | None = None,
    ) -> None:
        self._settings = settings
        self._group = group
        self._state = state
        self._clock = clock
        self._wall_clock = wall_clock
        self._times = times or LeaseTimes()
        self._views = views or ClusterView()
        self._table: LeaseTable | None = None
        self._ages = JobAges()
        self._signals = ResultWaiters()
        self._recorder = ResultRecorder(group)
        self._submits = SingleFlightProposals(group)
        self._maintenance: asyncio.Task[None] | None = None
        self.state_restored()
        state.observe(self)
        group.on_change(self._signals.signal_all)
        server.register(batch_methods.SUBMIT, self._submit)
        server.register(batch_methods.READ, self._read)
        server.register(batch_methods.BODY, self._body)
        server.register(batch_methods.END, self._end)
        server.register(batch_methods.LEASE, self._lease)
        server.register(batch_methods.REPORT, self._report)

    async def start(self) -> None:
        """Begin the periodic work of a primary."""
        self._maintenance = asyncio.create_task(self._maintain())

    async def stop(self) -> None:
        if self._maintenance is not None:
            self._maintenance.cancel()
            await asyncio.gather(self._maintenance, return_exceptions=True)
            self._maintenance = None

    # Observer of the jobs

    def job_accepted(self, job: Job) -> None:
        self._ages.add(job.job_id, self._clock())
        if self._table is not None:
            self._table.add_job(self._terms(job), from_earlier_epoch=False)

    def result_recorded(self, job: Job, item_id: str) -> None:
        if self._table is not None:
            self._table.resolve(ItemKey(job.job_id, item_id), self._clock())
        self._signals.signal(job.job_id)

    def job_ended(self, job: Job) -> None:
        if self._table is not None:
            self._table.remove_job(job.job_id)
        self._signals.signal(job.job_id)

    def jobs_forgotten(self, job_ids: Iterable[str]) -> None:
        if self._table is not None:
            for job_id in job_ids:
                self._table.remove_job(job_id)
        self._ages.keep_only(self._state.jobs)

    def state_restored(self) -> None:
        now = self._clock()
        self._ages.keep_only(self._state.jobs)
        for job_id in self._state.jobs:
            self._ages.add(job_id, now)
        self._table = None

    # Calls

    async def _submit(self, request: pb.SubmitRequest) -> Result[pb.SubmitReply, Failure]:
        if self._current_table() is None:  # the leases of this term begin before the job comes
            return self._not_primary()
        if request.job_id in self._state.jobs:
            return Ok(pb.SubmitReply())
        if len({item.item_id for item in request.items}) != len(request.items):
            return Err(Failure(ErrorKind.INVALID, "two items have the same id"))
        if self._state.stored_bytes + request.ByteSize() > self._room_bytes():
            return Err(Failure(ErrorKind.OVERLOADED, "no room for further jobs"))
        received_unix_ms = int(self._wall_clock() * 1000)
        outcome = await self._submits.propose(
            request.job_id, lambda: accept_command(request, received_unix_ms)
        )
        return Err(outcome.err_value) if isinstance(outcome, Err) else Ok(pb.SubmitReply())

    async def _read(self, request: pb.ReadRequest) -> Result[pb.ReadReply, Failure]:
        deadline = self._clock() + min(request.wait_ms / 1000.0, MAX_READ_WAIT_S)
        while True:
            if not self._group.is_confirmed_primary():
                return self._not_primary()
            job = self._state.jobs.get(request.job_id)
            if job is None:
                return _unknown_job()
            remaining = deadline - self._clock()
            if request.cursor < len(job.results) or job.is_done or remaining <= 0:
                return Ok(read_reply(job, request.cursor))
            await self._signals.wait(request.job_id, remaining)

    async def _body(self, request: pb.BodyRequest) -> Result[pb.BodyReply, Failure]:
        if not self._group.is_confirmed_primary():
            return self._not_primary()
        body = self._state.body(ItemKey(request.job_id, request.item_id))
        if body is None:
            return Err(Failure(ErrorKind.NOT_FOUND, "no such item, or it is listed"))
        return Ok(pb.BodyReply(body=body))

    async def _end(self, request: pb.EndRequest) -> Result[pb.EndReply, Failure]:
        if not self._group.is_confirmed_primary():
            return self._not_primary()
        job = self._state.jobs.get(request.job_id)
        if job is None:
            return _unknown_job()
        if job.ended:
            return Ok(pb.EndReply())
        outcome = await self._group.propose(end_command(request.job_id), PROPOSE_TIMEOUT_S)
        if isinstance(outcome, Err):
            return Err(outcome.err_value)
        return _unknown_job() if outcome.ok_value is EndOutcome.UNKNOWN else Ok(pb.EndReply())

    async def _lease(self, request: pb.LeaseRequest) -> Result[pb.LeaseReply, Failure]:
        table = self._current_table()
        if table is None:
            return self._not_primary()
        now = self._clock()
        running = [ItemKey(entry.job_id, entry.item_id) for entry in request.running]
        call = LeaseCall(
            request.proxy,
            request.incarnation,
            request.sequence,
            running,
            request.capacity,
            frozenset(request.routes),
        )
        decision = table.exchange(call, now)
        return Ok(lease_reply(decision, self._state, table.epoch, self._times.lease_s, now))

    async def _report(self, request: pb.ReportRequest) -> Result[pb.ReportReply, Failure]:
        table = self._current_table()
        if table is None:
            return self._not_primary()
        key = ItemKey(request.reference.job_id, request.reference.item_id)
        job = self._state.jobs.get(key.job_id)
        item = job.items.get(key.item_id) if job is not None else None
        if job is None or item is None:
            return _unknown_job()
        if job.ended or item.has_result:
            return Ok(pb.ReportReply())
        outcome = request.WhichOneof("outcome")
        if outcome == "failures_so_far":
            return await self._record_failures(key, item, request.failures_so_far)
        if outcome == "failed_attempts":
            reply = await self._record_failures(key, item, request.failed_attempts)
            if isinstance(reply, Ok):
                table.release(request.incarnation, key, request.failed_attempts)
            return reply
        if outcome is None:
            return Err(Failure(ErrorKind.INVALID, "a report without an outcome"))
        completed = outcome == "completed_text"
        text = request.completed_text if completed else request.dead_letter_reason.encode()
        recorded = await self._recorder.record(item_result(key, text, completed=completed))
        return Err(recorded.err_value) if isinstance(recorded, Err) else Ok(pb.ReportReply())

    async def _record_failures(
        self, key: ItemKey, item: StoredItem, failed_attempts: int
    ) -> Result[pb.ReportReply, Failure]:
        """Counts outlive every process: a new holder or primary must not begin at nothing."""
        if failed_attempts > item.failed_attempts:
            command = failures_command(key, failed_attempts)
            outcome = await self._group.propose(command, PROPOSE_TIMEOUT_S)
            if isinstance(outcome, Err):
                return Err(outcome.err_value)
        return Ok(pb.ReportReply())

    # Parts of the calls

    def _not_primary(self) -> Err[Failure]:
        primary = self._group.primary
        hint = primary.address if primary is not None else ""
        return Err(Failure(ErrorKind.NOT_PRIMARY, "this store does not lead", hint))

    def _room_bytes(self) -> float:
        limits = self._settings.limits
        memory = limits.memory_mb * MEMORY_FRACTION * MEGABYTE
        return min(memory, limits.disk_mb * DISK_FRACTION * MEGABYTE) if limits.disk_mb else memory

    def _terms(self, job: Job) -> LeasableJob:
        return self._ages.leasable(job, self._clock(), self._wall_clock() * 1000.0)

    def _current_table(self) -> LeaseTable | None:
        """The leases of this term, begun anew when it is first seen; None while this store does not lead."""
        if not self._group.is_confirmed_primary():
            return None
        if self._table is None or self._table.epoch != self._group.epoch:
            self._table = LeaseTable(self._group.epoch, self._clock(), self._times)
            for job in self._state.jobs.values():
                if not job.is_done:
                    self._table.add_job(self._terms(job), from_earlier_epoch=True)
            _log.info("batch_leases_begun", extra={"epoch": self._table.epoch, "jobs": len(self._state.jobs)})
        return self._table

    # Periodic work

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                await self.maintain_once()
            except Exception:  # a fault here must not end the periodic work
                _log.exception("batch_maintenance_failed")

    async def maintain_once(self) -> None:
        """Free leases that ran out, give up items that are past their retention or have no route any more,
        forget old jobs."""
        table = self._current_table()
        if table is None:
            return
        now = self._clock()
        table.expire(now)
        await self._give_up(table.past_retention(now), EXPIRED)
        removed = jobs_of_removed_routes(self._state.jobs.values(), self._views.configuration)
        await self._give_up([key for job in removed for key in table.waiting_items(job, now)], ROUTE_REMOVED)
        await self._forget_old(now)

    async def _give_up(self, keys: Sequence[ItemKey], reason: str) -> None:
        results = [item_result(key, reason.encode(), completed=False) for key in keys[:GIVEN_UP_AT_ONCE]]
        await asyncio.gather(*(self._recorder.record(result) for result in results))

    async def _forget_old(self, now: float) -> None:
        old = self._ages.older_than(self._settings.bounds.status_s + FORGET_MARGIN_S, now)
        crowded = self._state.stored_bytes > self._room_bytes() * CROWDED_FRACTION
        jobs = [self._state.jobs[job_id] for job_id in old if job_id in self._state.jobs]
        forgotten = [job.job_id for job in jobs if job.ended or (crowded and job.is_done)]
        if forgotten and self._group.is_confirmed_primary():
            await self._group.propose(forget_command(forgotten), PROPOSE_TIMEOUT_S)


def _unknown_job() -> Err[Failure]:
    return Err(Failure(ErrorKind.NOT_FOUND, "no such batch job"))
