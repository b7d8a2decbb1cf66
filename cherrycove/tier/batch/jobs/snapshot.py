"""Writes and reads the snapshot of all jobs, one job at a time.

A snapshot is one serialized ``BatchSnapshot``. As one message it would be in memory twice beside the jobs,
which is more than a store with many jobs may use. Serialized messages that are joined are one message with
all their repeated fields (Protocol Buffers, "Encoding"), so a snapshot is written job by job and read field
by field. A finished job is a block of its own within its field, the same one in each snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

import attrs
from google.protobuf.message import DecodeError

from cherrycove.tier.batch.jobs.model import FinishedJob, Job, job_of_message
from cherrycove.tier.batch.jobs.recent_bodies import RecentBodies
from cherrycove.tier.protocol.batch_log_pb2 import BatchSnapshot, JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock

MAX_PLAIN_BYTES = 256 * 1024  # of a block that is not final, unless one job is larger
_WIRE_TYPE_BITS = 3
_LENGTH_DELIMITED = 2  # wire type of messages and of bytes
_VARINT_BITS = 7
_VARINT_CONTINUED = 0x80
_JOBS_TAG = bytes([BatchSnapshot.JOBS_FIELD_NUMBER << _WIRE_TYPE_BITS | _LENGTH_DELIMITED])


def write_snapshot(jobs: Iterable[Job], recent_bodies: RecentBodies) -> SnapshotState:
    """The snapshot of ``jobs``, and of the bodies that are kept of items with a result."""
    writer = _BlockWriter()
    bodies = recent_bodies.by_job()
    for job in jobs:
        # Joined to the job itself, so that a block of a finished one stays as it is.
        rest = _serialize_rest(job, bodies.get(job.job_id, {}))
        if isinstance(job, FinishedJob):
            writer.add_plain(_JOBS_TAG + _varint(job.block.state_bytes + len(rest)))
            writer.add_final(job.block)
        else:
            content = job.to_message().SerializeToString()
            writer.add_plain(_JOBS_TAG + _varint(len(content) + len(rest)) + content)
        writer.add_plain(rest)
    recent = BatchSnapshot()
    for key in recent_bodies:
        recent.recently_listed.add(job_id=key.job_id, item_id=key.item_id)
    writer.add_plain(recent.SerializeToString())
    return writer.finish()


def _serialize_rest(job: Job, bodies: Mapping[str, bytes]) -> bytes:
    """What stands behind a job: its listed items whose bodies are kept, and whether its client ended it."""
    rest = JobSnapshot(ended=job.ended)
    for item_id, encoded in bodies.items():
        rest.items.add(item_id=item_id, encoded=encoded)
    return rest.SerializeToString()


@attrs.frozen
class SnapshotField:
    """One job or recently listed item of a snapshot; ``block`` is that of a finished job, if it has one."""

    message: JobSnapshot | ItemReference
    block: StateBlock | None = None


def read_snapshot(state: bytes | SnapshotState) -> Iterator[SnapshotField]:
    """The jobs of a snapshot, then the items whose bodies are still kept, oldest first.

    Raises ``DecodeError`` where ``state`` is not a snapshot or ends early.
    """
    reader = _BlockReader(SnapshotState.of(state))
    while not reader.is_at_end:
        tag = reader.read_varint()
        length = reader.read_varint()
        if tag & (1 << _WIRE_TYPE_BITS) - 1 != _LENGTH_DELIMITED:
            raise DecodeError("not a snapshot of jobs")
        yield _read_field(reader, tag >> _WIRE_TYPE_BITS, length)


def job_of(field: SnapshotField) -> Job:
    """The job of a field that holds one."""
    message = field.message
    assert isinstance(message, JobSnapshot)
    if field.block is not None:
        return FinishedJob(
            message.terms.job_id,
            message.received_unix_ms,
            len({item.item_id for item in message.items}),
            len(message.results),
            ended=message.ended,
            block=field.block,
        )
    job = job_of_message(message)
    is_done = message.ended or job.has_all_results
    return job.finished(ended=message.ended) if is_done else job


def _read_field(reader: _BlockReader, number: int, length: int) -> SnapshotField:
    if number == BatchSnapshot.JOBS_FIELD_NUMBER:
        block = reader.take_final(length)
        if block is None:
            return SnapshotField(JobSnapshot.FromString(reader.read(length)))
        data = block.data() + reader.read(length - block.state_bytes)
        return SnapshotField(JobSnapshot.FromString(data), block)
    if number == BatchSnapshot.RECENTLY_LISTED_FIELD_NUMBER:
        return SnapshotField(ItemReference.FromString(reader.read(length)))
    raise DecodeError(f"field {number} in a snapshot of jobs")


class _BlockWriter:
    """Joins what is not final to blocks of moderate size."""

    def __init__(self) -> None:
        self._blocks: list[StateBlock] = []
        self._plain: list[bytes] = []
        self._plain_bytes = 0

    def add_plain(self, data: bytes) -> None:
        self._plain.append(data)
        self._plain_bytes += len(data)
        if self._plain_bytes > MAX_PLAIN_BYTES:
            self._close_plain()

    def add_final(self, block: StateBlock) -> None:
        self._close_plain()
        self._blocks.append(block)

    def finish(self) -> SnapshotState:
        self._close_plain()
        return SnapshotState(self._blocks)

    def _close_plain(self) -> None:
        self._blocks.append(StateBlock.plain(b"".join(self._plain)))
        self._plain = []
        self._plain_bytes = 0


class _BlockReader:
    """Reads a state from its start to its end, one block in memory at a time."""

    def __init__(self, state: SnapshotState) -> None:
        self._blocks = state.blocks
        self._number = 0  # of the block that is read
        self._offset = 0  # in that block
        self._data: bytes | None = None  # of that block, once it is needed

    @property
    def is_at_end(self) -> bool:
        return self._number == len(self._blocks)

    def take_final(self, most_bytes: int) -> StateBlock | None:
        """Pass the block that begins here, if it is final and not longer than ``most_bytes``."""
        if self.is_at_end or self._offset:
            return None
        block = self._blocks[self._number]
        if not block.is_final or block.state_bytes > most_bytes:
            return None
        self._advance(block.state_bytes)
        return block

    def read(self, size: int) -> bytes:
        parts: list[bytes] = []
        while size > 0:
            if self.is_at_end:
                raise DecodeError("a snapshot of jobs ends early")
            if self._data is None:
                self._data = self._blocks[self._number].data()
            part = self._data[self._offset : self._offset + size]
            parts.append(part)
            size -= len(part)
            self._advance(len(part))
        return b"".join(parts)

    def read_varint(self) -> int:
        """A base 128 varint of the wire format."""
        number = 0
        shift = 0
        while True:
            (byte,) = self.read(1)
            number |= (byte & _VARINT_CONTINUED - 1) << shift
            shift += _VARINT_BITS
            if not byte & _VARINT_CONTINUED:
                return number

    def _advance(self, size: int) -> None:
        self._offset += size
        if self._offset == self._blocks[self._number].state_bytes:
            self._number += 1
            self._offset = 0
            self._data = None


def _varint(number: int) -> bytes:
    encoded = bytearray()
    while number >= _VARINT_CONTINUED:
        encoded.append(number & _VARINT_CONTINUED - 1 | _VARINT_CONTINUED)
        number >>= _VARINT_BITS
    encoded.append(number)
    return bytes(encoded)
