"""Builds the store's replies from the state of the jobs and the lease decisions."""

from __future__ import annotations

from cherrycove.tier.batch.jobs.model import Job, OpenJob
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.leasing.lease_types import Grant, LeaseDecision
from cherrycove.tier.protocol import batch_pb2 as pb

MAX_READ_BYTES = 768 * 1024  # total text in one read; the client gets the rest at the next cursor
MAX_RETAINED_S = 1e6  # represents "unlimited" in messages


def read_reply(job: Job, cursor: int) -> pb.ReadReply:
    """Build a reply with as many results from ``cursor`` on as fit, but at least one if there is any."""
    reply = pb.ReadReply(total=job.total)
    text_bytes = 0
    results = job.results[cursor:] if cursor < job.result_count else []
    for result in results:
        text_bytes += len(result.text)
        if reply.results and text_bytes > MAX_READ_BYTES:
            break
        reply.results.add(item_id=result.item_id, completed=result.completed, text=result.text)
    return reply


def max_read_reply_bytes(job: Job, cursor: int) -> int:
    """Return an upper bound of the text in ``read_reply``; a single longer result exceeds it."""
    if isinstance(job, OpenJob):
        text_bytes = sum(len(result.text) for result in job.results[cursor:])
    else:
        text_bytes = job.block.state_bytes
    return min(text_bytes, MAX_READ_BYTES)


def lease_reply(
    decision: LeaseDecision, state: JobsState, epoch: int, lease_s: float, now: float
) -> pb.LeaseReply:
    """Build the reply to a lease request, including the granted items."""
    reply = pb.LeaseReply(epoch=epoch, lease_ms=int(lease_s * 1000), waiting=decision.waiting)
    for key in decision.revoked:
        reply.revoked.add(job_id=key.job_id, item_id=key.item_id)
    for grant in decision.granted:
        job = state.open_job(grant.key.job_id)
        if job is not None:
            _write_grant(reply.items.add(), job, grant, now)
    return reply


def _write_grant(leased: pb.LeasedItem, job: OpenJob, grant: Grant, now: float) -> None:
    leased.job_id = job.job_id
    item = job.items[grant.key.item_id]
    leased.item.MergeFromString(item.encoded)
    leased.route = job.submission.route
    leased.host = job.submission.host
    leased.due_in_ms = int((grant.due_at_s - now) * 1000)
    leased.retained_ms = int(min(grant.retained_until_s - now, MAX_RETAINED_S) * 1000)
    leased.failed_attempts = max(item.failed_attempts, grant.failed_attempts)
    leased.max_attempts = job.submission.max_attempts
    leased.broker = grant.broker
