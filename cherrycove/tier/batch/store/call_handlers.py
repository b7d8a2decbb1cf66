"""Answers the batch calls of the proxies.

The primary answers from its state only while its lease is valid, and checks that again after every wait. A
submitted job, a result and the end of a job are acknowledged once the group has committed them.
"""

from __future__ import annotations

from result import Err, Ok, Result

from cherrycove.tier.batch.jobs.commands import accept_command, end_command, failures_command, item_result
from cherrycove.tier.batch.jobs.model import FinishedJob, ItemKey, StoredItem
from cherrycove.tier.batch.jobs.state import EndOutcome
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import LeaseCall
from cherrycove.tier.batch.store.capacity_forecast import seconds_until_capacity
from cherrycove.tier.batch.store.context import StoreContext
from cherrycove.tier.batch.store.job_capacity import SubmissionSize, demand_of
from cherrycove.tier.batch.store.proposals import PROPOSE_TIMEOUT_S, SingleFlightProposals
from cherrycove.tier.batch.store.replies import lease_reply, max_read_reply_bytes, read_reply
from cherrycove.tier.batch.store.result_waiters import ResultWaiters
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.protocol.reply_memory import SMALL_REPLY_BYTES, reserve_sent_reply
from cherrycove.tier.replication.interface import not_primary_failure

MAX_READ_WAIT_S = 2.0


class BatchCallHandlers:
    """Handles each batch call. Every failure except INVALID and NOT_FOUND may be retried."""

    def __init__(self, context: StoreContext, waiters: ResultWaiters) -> None:
        self._group = context.group
        self._state = context.state
        self._leases = context.leases
        self._capacity = context.capacity
        self._recorder = context.recorder
        self._clocks = context.clocks
        self._waiters = waiters
        self._submissions = SingleFlightProposals(context.group)
        self._pending = SubmissionSize()  # of jobs that are proposed and not in the state yet

    def register_at(self, server: CallRegistry) -> None:
        """Register all batch calls at ``server``."""
        server.register(batch_methods.SUBMIT, self.submit)
        server.register(batch_methods.READ, self.read)
        server.register(batch_methods.BODY, self.body)
        server.register(batch_methods.END, self.end)
        server.register(batch_methods.LEASE, self.lease)
        server.register(batch_methods.REPORT, self.report)

    async def submit(self, request: pb.SubmitRequest) -> Result[pb.SubmitReply, Failure]:
        """Accept a job unless it was accepted before. OVERLOADED if the store has no capacity for it."""
        # Without this epoch's table the items of the new job would count as those of an earlier epoch.
        if self._leases.ensure_table() is None:
            return self._not_primary()
        if request.job_id in self._state.jobs:
            return Ok(pb.SubmitReply())
        if len({item.item_id for item in request.items}) != len(request.items):
            return Err(Failure(ErrorKind.INVALID, "two items have the same id"))
        size = SubmissionSize.of(request)
        if not self._submissions.is_pending(request.job_id):
            excess_bytes = self._capacity.excess_bytes(demand_of(self._state, self._pending + size))
            if excess_bytes:
                return self._over_capacity(excess_bytes)
        received_unix_ms = int(self._clocks.unix_s() * 1000)
        self._pending += size
        try:
            outcome = await self._submissions.propose(
                request.job_id, lambda: accept_command(request, received_unix_ms)
            )
        finally:
            self._pending -= size
        return outcome if isinstance(outcome, Err) else Ok(pb.SubmitReply())

    async def read(self, request: pb.ReadRequest) -> Result[pb.ReadReply, Failure]:
        """Return results from the cursor on. Waits for the next one for as long as the request allows."""
        deadline = self._clocks.now() + min(request.wait_ms / 1000.0, MAX_READ_WAIT_S)
        reserved_bytes = SMALL_REPLY_BYTES
        while True:
            if not self._group.is_confirmed_primary():
                return self._not_primary()
            job = self._state.jobs.get(request.job_id)
            if job is None:
                return _unknown_job()
            remaining_s = deadline - self._clocks.now()
            if request.cursor < job.result_count or job.is_done or remaining_s <= 0:
                reply_bytes = max_read_reply_bytes(job, request.cursor)
                if reply_bytes <= reserved_bytes:
                    return Ok(read_reply(job, request.cursor))
                await reserve_sent_reply(reply_bytes)
                reserved_bytes = reply_bytes
                continue
            await self._waiters.wait(request.job_id, remaining_s)

    async def body(self, request: pb.BodyRequest) -> Result[pb.BodyReply, Failure]:
        """Return an item's body. NOT_FOUND if the item is unknown or its body was dropped."""
        if not self._group.is_confirmed_primary():
            return self._not_primary()
        key = ItemKey(request.job_id, request.item_id)
        await reserve_sent_reply(len(self._state.encoded_item(key) or b""))
        if not self._group.is_confirmed_primary():
            return self._not_primary()
        body = self._state.body(key)
        if body is None:
            return Err(Failure(ErrorKind.NOT_FOUND, "no such item, or it is listed"))
        return Ok(pb.BodyReply(body=body))

    async def end(self, request: pb.EndRequest) -> Result[pb.EndReply, Failure]:
        """End a job. The call is idempotent."""
        if not self._group.is_confirmed_primary():
            return self._not_primary()
        job = self._state.jobs.get(request.job_id)
        if job is None:
            return _unknown_job()
        if job.ended:
            return Ok(pb.EndReply())
        outcome = await self._group.propose(end_command(request.job_id), PROPOSE_TIMEOUT_S)
        if isinstance(outcome, Err):
            return outcome
        return _unknown_job() if outcome.ok_value is EndOutcome.UNKNOWN else Ok(pb.EndReply())

    async def lease(self, request: pb.LeaseRequest) -> Result[pb.LeaseReply, Failure]:
        """Renew the leases of a proxy and grant it further items."""
        table = self._leases.ensure_table()
        if table is None:
            return self._not_primary()
        now = self._clocks.now()
        call = LeaseCall(
            proxy=request.proxy,
            incarnation=request.incarnation,
            sequence=request.sequence,
            running=[ItemKey.of(entry) for entry in request.running],
            capacity=request.capacity,
            routes=frozenset(request.routes),
            broker_slots=request.broker_slots,
            live_requests=request.live_requests,
            usable_brokers={broker.instance_id: broker.slots for broker in request.brokers},
        )
        decision = table.exchange(call, now)
        return Ok(lease_reply(decision, self._state, table.epoch, table.lease_s, now))

    async def report(self, request: pb.ReportRequest) -> Result[pb.ReportReply, Failure]:
        """Record the outcome of an item or its failed attempts so far."""
        table = self._leases.ensure_table()
        if table is None:
            return self._not_primary()
        key = ItemKey.of(request.reference)
        job = self._state.jobs.get(key.job_id)
        if isinstance(job, FinishedJob):
            return Ok(pb.ReportReply())
        item = job.items.get(key.item_id) if job is not None else None
        if item is None:
            return _unknown_job()
        if item.has_result:
            return Ok(pb.ReportReply())
        return await self._record_report(request, key, item, table)

    async def _record_report(
        self, request: pb.ReportRequest, key: ItemKey, item: StoredItem, table: LeaseTable
    ) -> Result[pb.ReportReply, Failure]:
        match request.WhichOneof("outcome"):
            case "completed_text":
                return await self._record(key, request.completed_text, completed=True)
            case "dead_letter_reason":
                return await self._record(key, request.dead_letter_reason.encode(), completed=False)
            case "failures_so_far":
                return await self._record_failures(key, item, request.failures_so_far)
            case "failed_attempts":
                reply = await self._record_failures(key, item, request.failed_attempts)
                if isinstance(reply, Ok):
                    table.release(request.incarnation, key, request.failed_attempts)
                return reply
        return Err(Failure(ErrorKind.INVALID, "a report without an outcome"))

    async def _record(self, key: ItemKey, text: bytes, *, completed: bool) -> Result[pb.ReportReply, Failure]:
        outcome = await self._recorder.record(item_result(key, text, completed=completed))
        return outcome if isinstance(outcome, Err) else Ok(pb.ReportReply())

    async def _record_failures(
        self, key: ItemKey, item: StoredItem, failed_attempts: int
    ) -> Result[pb.ReportReply, Failure]:
        """Replicate the count, so that the next lease holder or primary does not start at zero."""
        if failed_attempts > item.failed_attempts:
            outcome = await self._group.propose(failures_command(key, failed_attempts), PROPOSE_TIMEOUT_S)
            if isinstance(outcome, Err):
                return outcome
        return Ok(pb.ReportReply())

    def _over_capacity(self, excess_bytes: float) -> Err[Failure]:
        capacity_releases = self._leases.capacity_releases(self._clocks.now())
        retry_after_s = seconds_until_capacity(excess_bytes, capacity_releases)
        return Err(
            Failure(ErrorKind.OVERLOADED, "no room for further jobs", advised_retry_after_s=retry_after_s)
        )

    def _not_primary(self) -> Err[Failure]:
        return Err(not_primary_failure(self._group, "this store does not lead"))


def _unknown_job() -> Err[Failure]:
    return Err(Failure(ErrorKind.NOT_FOUND, "no such batch job"))
