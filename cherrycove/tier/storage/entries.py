"""Entries of the replicated log."""

from __future__ import annotations

import struct
from enum import IntEnum

import attrs

ENTRY_HEADER = struct.Struct("<QQBI")  # index, epoch, kind, length of the payload in bytes
ENTRY_OVERHEAD_BYTES = ENTRY_HEADER.size


class EntryKind(IntEnum):
    """Type of an entry. The numbers are stored on disk."""

    COMMAND = 0  # opaque to replication, applied by the state machine
    NOOP = 1  # first entry that a primary appends in its epoch
    MEMBERS = 2  # the complete member list, in force from this entry on


@attrs.frozen(slots=True)
class Entry:
    """One entry of the replicated log."""

    index: int  # position in the log, from 1
    epoch: int  # epoch of the primary that appended the entry
    kind: EntryKind
    payload: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Size of the encoded entry in a segment."""
        return ENTRY_OVERHEAD_BYTES + len(self.payload)
