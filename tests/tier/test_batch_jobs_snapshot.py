"""Tests that a snapshot of the jobs is read completely, field by field, with little additional memory."""

from __future__ import annotations

import tracemalloc

import pytest
from google.protobuf.message import DecodeError

from cherrycove.tier.batch.jobs.snapshot import read_snapshot
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.protocol.batch_log_pb2 import BatchCommand, BatchSnapshot, JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference

BODY_BYTES = 20_000
JOBS = 20
ITEMS = 10


def accept_command(job_number: int, body_bytes: int) -> bytes:
    command = BatchCommand()
    command.accept.job.job_id = f"job-{job_number}"
    for number in range(ITEMS):
        body = bytes([job_number]) * body_bytes
        command.accept.job.items.add(item_id=f"item-{job_number}-{number}", body=body)
    return command.SerializeToString()


def result_command(job_number: int) -> bytes:
    command = BatchCommand()
    result = command.results.results.add(completed=True, text=b"text")
    result.reference.job_id, result.reference.item_id = f"job-{job_number}", f"item-{job_number}-0"
    return command.SerializeToString()


def state_of(jobs: int, body_bytes: int) -> JobsState:
    state = JobsState()
    for number in range(1, jobs + 1):
        state.apply(2 * number, accept_command(number, body_bytes))
        state.apply(2 * number + 1, result_command(number))
    return state


def test_fields_read_equal_those_of_the_whole_message() -> None:
    data = state_of(3, 300).snapshot()
    whole = BatchSnapshot.FromString(bytes(data))
    messages = [field.message for field in read_snapshot(data)]
    assert [message for message in messages if isinstance(message, JobSnapshot)] == list(whole.jobs)
    assert [message for message in messages if isinstance(message, ItemReference)] == list(
        whole.recently_listed
    )
    assert len(messages) == 6


def test_a_truncated_snapshot_is_refused() -> None:
    data = state_of(1, 3).snapshot()
    first_part = BatchSnapshot(jobs=BatchSnapshot.FromString(bytes(data)).jobs).SerializeToString()
    for length in set(range(len(data))) - {0, len(first_part)}:
        with pytest.raises(DecodeError):
            list(read_snapshot(data[:length]))


@pytest.mark.parametrize("data", [b"\x08\x01", b"\x1a\x00", b"\x0a\x02\xff"])
def test_data_that_is_not_a_snapshot_is_refused(data: bytes) -> None:
    with pytest.raises(DecodeError):
        list(read_snapshot(data))


def test_a_restore_takes_little_memory_beyond_the_state_that_it_replaces() -> None:
    tracemalloc.start()
    try:
        state = state_of(JOBS, BODY_BYTES)
        data = state.snapshot()
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        state.restore(data)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(data) > JOBS * ITEMS * BODY_BYTES
    assert peak - held < len(data) / JOBS * 2
    assert state.snapshot() == data
