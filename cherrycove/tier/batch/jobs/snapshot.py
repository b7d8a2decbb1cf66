"""Writes and reads the snapshot of all jobs, one job at a time.

A snapshot is one serialized ``BatchSnapshot``. As one message it would be in memory twice beside the jobs,
which is more than a store with many jobs may use. Serialized messages that are joined are one message with
all their repeated fields (Protocol Buffers, "Encoding"), so a snapshot is written job by job and read field
by field.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from io import BytesIO

from google.protobuf.message import DecodeError

from cherrycove.tier.batch.jobs.model import ItemKey, Job, StoredItem, StoredResult
from cherrycove.tier.protocol.batch_log_pb2 import BatchSnapshot, JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference, SubmitRequest

_WIRE_TYPE_BITS = 3
_LENGTH_DELIMITED = 2  # wire type of messages and of bytes
_VARINT_BITS = 7
_VARINT_CONTINUED = 0x80


def write_snapshot(jobs: Iterable[Job], recent_bodies: Iterable[ItemKey]) -> bytes:
    """The snapshot of ``jobs``, and of the items with a result whose bodies are still kept."""
    written = BytesIO()
    for job in jobs:
        message = BatchSnapshot()
        _fill_job(message.jobs.add(), job)
        written.write(message.SerializeToString())
    recent = BatchSnapshot()
    for key in recent_bodies:
        recent.recently_listed.add(job_id=key.job_id, item_id=key.item_id)
    written.write(recent.SerializeToString())
    return written.getvalue()


def read_snapshot(data: bytes) -> Iterator[JobSnapshot | ItemReference]:
    """The jobs of a snapshot, and references to the items whose bodies are still kept, oldest first.

    Raises ``DecodeError`` where ``data`` is not a snapshot or ends early.
    """
    view = memoryview(data)
    offset = 0
    while offset < len(view):
        tag, offset = _read_varint(view, offset)
        length, offset = _read_varint(view, offset)
        if tag & (1 << _WIRE_TYPE_BITS) - 1 != _LENGTH_DELIMITED or offset + length > len(view):
            raise DecodeError("not a snapshot of jobs")
        yield _read_field(tag >> _WIRE_TYPE_BITS, view[offset : offset + length])
        offset += length


def job_of(message: JobSnapshot) -> Job:
    """The job that a message of a snapshot holds."""
    items = {
        item.item_id: StoredItem(item.encoded, failed_attempts=item.failed_attempts) for item in message.items
    }
    results = [StoredResult(entry.item_id, entry.completed, entry.text) for entry in message.results]
    for result in results:
        items[result.item_id].has_result = True
    submission = SubmitRequest()
    submission.CopyFrom(message.terms)  # a submessage would keep the whole message in memory
    return Job(submission, message.received_unix_ms, items, results, message.ended)


def _fill_job(message: JobSnapshot, job: Job) -> None:
    message.terms.CopyFrom(job.submission)
    message.received_unix_ms = job.received_unix_ms
    message.ended = job.ended
    for item_id, item in job.items.items():
        message.items.add(item_id=item_id, encoded=item.encoded, failed_attempts=item.failed_attempts)
    for result in job.results:
        message.results.add(item_id=result.item_id, completed=result.completed, text=result.text)


def _read_field(number: int, content: memoryview) -> JobSnapshot | ItemReference:
    if number == BatchSnapshot.JOBS_FIELD_NUMBER:
        return JobSnapshot.FromString(bytes(content))
    if number == BatchSnapshot.RECENTLY_LISTED_FIELD_NUMBER:
        return ItemReference.FromString(bytes(content))
    raise DecodeError(f"field {number} in a snapshot of jobs")


def _read_varint(view: memoryview, offset: int) -> tuple[int, int]:
    """A base 128 varint of the wire format, and the offset behind it."""
    number = 0
    shift = 0
    while True:
        if offset == len(view):
            raise DecodeError("a snapshot of jobs ends early")
        byte = view[offset]
        number |= (byte & _VARINT_CONTINUED - 1) << shift
        offset += 1
        shift += _VARINT_BITS
        if not byte & _VARINT_CONTINUED:
            return number, offset
