"""Writes and reads the snapshot of all jobs, one job at a time.

A snapshot is one serialized ``BatchSnapshot``. As a single message it would be in memory twice in addition to
the jobs, which is more than a store with many jobs may use. Concatenated serialized messages
form one message with all their repeated fields (Protocol Buffers, "Encoding"), so a snapshot is written job
by job and read field by field. A finished job is a separate block within its field, which all snapshots
share.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

import attrs
from google.protobuf.message import DecodeError

from cherrycove.tier.batch.jobs.model import FinishedJob, Job, job_from_message
from cherrycove.tier.batch.jobs.recent_bodies import RecentBodies
from cherrycove.tier.protocol.batch_log_pb2 import BatchSnapshot, JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock

MAX_PLAIN_BYTES = 256 * 1024  # size limit of a block that is not final; exceeded only by a larger job
_WIRE_TYPE_BITS = 3
_LENGTH_DELIMITED = 2  # wire type of messages and bytes
_VARINT_BITS = 7
_VARINT_CONTINUED = 0x80
_JOBS_TAG = bytes([BatchSnapshot.JOBS_FIELD_NUMBER << _WIRE_TYPE_BITS | _LENGTH_DELIMITED])


def write_snapshot(jobs: Iterable[Job], recent_bodies: RecentBodies) -> SnapshotState:
    """Build the snapshot of ``jobs``, with the kept bodies of items that have a result."""
    writer = _BlockWriter()
    bodies = recent_bodies.by_job()
    for job in jobs:
        # The bodies follow the job in the same field, so that the block of a finished job never changes.
        trailer = _serialize_trailer(job, bodies.get(job.job_id, {}))
        if isinstance(job, FinishedJob):
            writer.add_plain(_JOBS_TAG + _varint(job.block.state_bytes + len(trailer)))
            writer.add_final(job.block)
        else:
            content = job.to_message().SerializeToString()
            writer.add_plain(_JOBS_TAG + _varint(len(content) + len(trailer)) + content)
        writer.add_plain(trailer)
    recent = BatchSnapshot()
    for key in recent_bodies:
        recent.recently_listed.add(job_id=key.job_id, item_id=key.item_id)
    writer.add_plain(recent.SerializeToString())
    return writer.finish()


def _serialize_trailer(job: Job, bodies: Mapping[str, bytes]) -> bytes:
    """Serialize what follows a job: its finished items whose bodies are kept, and whether it was ended."""
    trailer = JobSnapshot(ended=job.ended)
    for item_id, encoded in bodies.items():
        trailer.items.add(item_id=item_id, encoded=encoded)
    return trailer.SerializeToString()


@attrs.frozen
class SnapshotField:
    """Holds one field of a snapshot: a job, or a reference to an item whose body is kept.

    ``block`` is the block of a finished job; None for all other fields.
    """

    message: JobSnapshot | ItemReference
    block: StateBlock | None = None


def read_snapshot(state: bytes | SnapshotState) -> Iterator[SnapshotField]:
    """Yield the jobs of a snapshot, then the items whose bodies are still kept, oldest first.

    Raises ``DecodeError`` if ``state`` is not a snapshot or is truncated.
    """
    reader = _BlockReader(SnapshotState.of(state))
    while not reader.is_at_end:
        tag = reader.read_varint()
        length = reader.read_varint()
        if tag & (1 << _WIRE_TYPE_BITS) - 1 != _LENGTH_DELIMITED:
            raise DecodeError(f"jobs snapshot has tag {tag}, which is not length-delimited")
        yield _read_field(reader, tag >> _WIRE_TYPE_BITS, length)


def job_from_field(field: SnapshotField) -> Job:
    """Build the job from a snapshot field that holds one."""
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
    job = job_from_message(message)
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
    raise DecodeError(f"jobs snapshot has unknown field number {number}")


class _BlockWriter:
    """Collects blocks, and merges data that is not final into blocks of about ``MAX_PLAIN_BYTES``."""

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
    """Reads a state from start to end with only one block decoded in memory at a time."""

    def __init__(self, state: SnapshotState) -> None:
        self._blocks = state.blocks
        self._block_index = 0  # block that is read next
        self._offset = 0  # position in that block
        self._data: bytes | None = None  # content of that block, decoded on first use

    @property
    def is_at_end(self) -> bool:
        return self._block_index == len(self._blocks)

    def take_final(self, max_bytes: int) -> StateBlock | None:
        """Consume and return the block that begins here, if it is final and at most ``max_bytes`` long.

        Returns None and consumes nothing otherwise.
        """
        if self.is_at_end or self._offset:
            return None
        block = self._blocks[self._block_index]
        if not block.is_final or block.state_bytes > max_bytes:
            return None
        self._advance(block.state_bytes)
        return block

    def read(self, size: int) -> bytes:
        parts: list[bytes] = []
        while size > 0:
            if self.is_at_end:
                raise DecodeError(f"jobs snapshot is truncated: {size} more bytes expected")
            if self._data is None:
                self._data = self._blocks[self._block_index].data()
            part = self._data[self._offset : self._offset + size]
            parts.append(part)
            size -= len(part)
            self._advance(len(part))
        return b"".join(parts)

    def read_varint(self) -> int:
        """Read a base 128 varint of the wire format."""
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
        if self._offset == self._blocks[self._block_index].state_bytes:
            self._block_index += 1
            self._offset = 0
            self._data = None


def _varint(number: int) -> bytes:
    encoded = bytearray()
    while number >= _VARINT_CONTINUED:
        encoded.append(number & _VARINT_CONTINUED - 1 | _VARINT_CONTINUED)
        number >>= _VARINT_BITS
    encoded.append(number)
    return bytes(encoded)
