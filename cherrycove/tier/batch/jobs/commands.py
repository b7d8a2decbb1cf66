"""Builds the replicated commands that change the state of batch jobs."""

from __future__ import annotations

from collections.abc import Sequence

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.protocol.batch_log_pb2 import BatchCommand, ItemResult
from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest


def accept_command(job: SubmitRequest, received_unix_ms: int) -> bytes:
    """Accepts a job. ``received_unix_ms`` is the time of day at the primary."""
    command = BatchCommand()
    command.accept.job.CopyFrom(job)
    command.accept.received_unix_ms = received_unix_ms
    return command.SerializeToString()


def end_command(job_id: str) -> bytes:
    """Ends a job: its items are not run any more."""
    command = BatchCommand()
    command.end.job_id = job_id
    return command.SerializeToString()


def forget_command(job_ids: Sequence[str]) -> bytes:
    """Drops those of the jobs that are done."""
    command = BatchCommand()
    command.forget.job_ids.extend(job_ids)
    return command.SerializeToString()


def failures_command(key: ItemKey, failed_attempts: int) -> bytes:
    """Records how many answers of status 500 an item has had; a lower count changes nothing."""
    command = BatchCommand()
    command.failures.reference.job_id = key.job_id
    command.failures.reference.item_id = key.item_id
    command.failures.failed_attempts = failed_attempts
    return command.SerializeToString()


def results_command(results: Sequence[ItemResult]) -> bytes:
    """Gives results their positions, in this order."""
    command = BatchCommand()
    command.results.results.extend(results)
    return command.SerializeToString()


def item_result(key: ItemKey, text: bytes, *, completed: bool) -> ItemResult:
    """One result as it is replicated.

    ``text`` of a completed item is the data of its events, of a dead-lettered item the reason.
    """
    reference = ItemReference(job_id=key.job_id, item_id=key.item_id)
    return ItemResult(reference=reference, completed=completed, text=text)
