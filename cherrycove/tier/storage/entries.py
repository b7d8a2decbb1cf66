"""Entries of the replicated log."""

from __future__ import annotations

import struct
from enum import IntEnum

import attrs

ENTRY_HEADER = struct.Struct("<QQBI")  # index, epoch, kind, length of the payload in bytes
ENTRY_OVERHEAD_BYTES = ENTRY_HEADER.size


class EntryKind(IntEnum):
    """What an entry is for. The numbers are stored on disk."""

    COMMAND = 0  # opaque to replication; applied by the state machine
    NOOP = 1  # first entry of a primary's epoch
    MEMBERS = 2  # the complete member list that is in force from this entry on


@attrs.frozen(slots=True)
class Entry:
    """One position of the replicated log."""

    index: int  # from 1
    epoch: int  # of the primary that appended it
    kind: EntryKind
    payload: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Bytes that the entry takes in a segment."""
        return ENTRY_OVERHEAD_BYTES + len(self.payload)
