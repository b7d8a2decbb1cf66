"""Reads the snapshot of all jobs one part at a time.

A snapshot is one serialized ``BatchSnapshot``. Read as a whole, it would stand in memory twice beside the
jobs that are made of it, which is more than a store with many jobs may use.
"""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import DecodeError

from cherrycove.tier.protocol.batch_log_pb2 import BatchSnapshot, JobSnapshot
from cherrycove.tier.protocol.batch_pb2 import ItemReference

_WIRE_TYPE_BITS = 3
_LENGTH_DELIMITED = 2  # wire type of messages and of bytes
_VARINT_BITS = 7
_VARINT_CONTINUED = 0x80


def read_snapshot(data: bytes) -> Iterator[JobSnapshot | ItemReference]:
    """The jobs of a serialized ``BatchSnapshot``, and the items named as listed last."""
    view = memoryview(data)
    offset = 0
    while offset < len(view):
        tag, offset = _varint(view, offset)
        length, offset = _varint(view, offset)
        if tag & (1 << _WIRE_TYPE_BITS) - 1 != _LENGTH_DELIMITED or offset + length > len(view):
            raise DecodeError("not a snapshot of jobs")
        yield _part(tag >> _WIRE_TYPE_BITS, view[offset : offset + length])
        offset += length


def _part(field: int, part: memoryview) -> JobSnapshot | ItemReference:
    if field == BatchSnapshot.JOBS_FIELD_NUMBER:
        return JobSnapshot.FromString(bytes(part))
    if field == BatchSnapshot.RECENTLY_LISTED_FIELD_NUMBER:
        return ItemReference.FromString(bytes(part))
    raise DecodeError(f"field {field} in a snapshot of jobs")


def _varint(view: memoryview, offset: int) -> tuple[int, int]:
    """A number of the wire format, and the offset behind it."""
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
