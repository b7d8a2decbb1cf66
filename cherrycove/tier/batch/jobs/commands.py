"""Builds the replicated commands that change the state of batch jobs."""

from __future__ import annotations

from collections.abc import Sequence

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.protocol.batch_log_pb2 import BatchCommand, ItemResult
from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest


def accept_command(job: SubmitRequest, received_unix_ms: int) -> bytes:
    """Build the command that accepts a job. ``received_unix_ms`` is the primary's time of day."""
    command = BatchCommand()
    command.accept.job.CopyFrom(job)
    command.accept.received_unix_ms = received_unix_ms
    return command.SerializeToString()


def end_command(job_id: str) -> bytes:
    """Build the command that ends a job, so that its remaining items are not run."""
    command = BatchCommand()
    command.end.job_id = job_id
    return command.SerializeToString()


def forget_command(job_ids: Sequence[str]) -> bytes:
    """Build the command that removes those of the given jobs that are done."""
    command = BatchCommand()
    command.forget.job_ids.extend(job_ids)
    return command.SerializeToString()


def failures_command(key: ItemKey, failed_attempts: int) -> bytes:
    """Build the command that records an item's responses of status 500; a lower count has no effect."""
    command = BatchCommand()
    command.failures.reference.job_id = key.job_id
    command.failures.reference.item_id = key.item_id
    command.failures.failed_attempts = failed_attempts
    return command.SerializeToString()


def results_command(results: Sequence[ItemResult]) -> bytes:
    """Build the command that appends results to their jobs, in this order."""
    command = BatchCommand()
    command.results.results.extend(results)
    return command.SerializeToString()


def item_result(key: ItemKey, text: bytes, *, completed: bool) -> ItemResult:
    """Build the replicated form of one result.

    ``text`` is the event data of a completed item, or the dead-letter reason.
    """
    reference = ItemReference(job_id=key.job_id, item_id=key.item_id)
    return ItemResult(reference=reference, completed=completed, text=text)
