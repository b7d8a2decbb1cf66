"""The hard state of a replica: epoch, vote and commit index.

"Hard state" is the usual name of Raft's persistent state other than the log (Ongaro and Ousterhout, "In
Search of an Understandable Consensus Algorithm", section 5.1). The file has two slots that are written
alternately, so that a torn write damages only the slot being written while the other one holds the previous
state. Each slot is stored twice, so that damage to one copy of a synced state does not restore an older one.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file, sync_file, write_all

HARD_STATE_FILE = "promise"  # kept for compatibility with existing disks
_SLOTS = 2
_COPIES = 2  # copies of each slot; the second copies of all slots follow the first ones
_SLOT_BYTES = 4096
_HEADER = struct.Struct("<IQQQH")  # CRC-32 of the rest, sequence, epoch, commit index, length of the vote
_CHECKED_FROM = 4  # the checksum covers the slot from this byte to the end of the vote


@attrs.frozen
class HardState:
    """State that a replica must persist: it rejects lower epochs and votes at most once in an epoch."""

    epoch: int = 0
    voted_for: str = ""  # member id; "" if the replica has not voted in this epoch
    commit_index: int = 0  # index up to which the log on this disk is known to be committed


@attrs.frozen
class _Slot:
    sequence: int  # number of the write; the slot with the highest number is current
    hard_state: HardState


class HardStateFile:
    """Reads and writes the hard state on disk. ``open`` must be called first."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / HARD_STATE_FILE
        self._slot = _Slot(0, HardState())
        self._descriptor = -1
        self.damaged_copies = 0  # copies of the newest slot that ``open`` found damaged and rewrote

    def open(self, *, may_create: bool) -> HardState:
        """Read the newest state.

        Creates the file if it is missing and ``may_create`` is set. Raises ``DamagedStorageError`` if it is
        missing otherwise, or if no slot is valid.
        """
        if not self._path.exists():
            if not may_create:
                raise DamagedStorageError(f"{self._path}: hard state file is missing")
            replace_file(self._path, _encode(self._slot) * (_SLOTS * _COPIES))
        sync_file(self._path)
        valid = _valid_slots(self._path.read_bytes())
        if not valid:
            raise DamagedStorageError(f"{self._path}: hard state file has no valid slot")
        self._slot = max(valid, key=lambda slot: slot.sequence)
        self._descriptor = os.open(self._path, os.O_WRONLY)
        self.damaged_copies = _COPIES - valid.count(self._slot)
        if self.damaged_copies:
            self._write_slot(self._slot)
        return self._slot.hard_state

    def write(self, hard_state: HardState) -> None:
        """Store ``hard_state`` durably. If this raises ``OSError``, the caller must retry it."""
        slot = _Slot(self._slot.sequence + 1, hard_state)
        self._write_slot(slot)
        self._slot = slot

    def close(self) -> None:
        """Close the file; does nothing if it is not open."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _write_slot(self, slot: _Slot) -> None:
        data = _encode(slot)
        for copy in range(_COPIES):
            offset = (slot.sequence % _SLOTS + copy * _SLOTS) * _SLOT_BYTES
            os.lseek(self._descriptor, offset, os.SEEK_SET)
            write_all(self._descriptor, data)
        os.fdatasync(self._descriptor)


def _encode(slot: _Slot) -> bytes:
    hard_state = slot.hard_state
    vote = hard_state.voted_for.encode()
    header = _HEADER.pack(0, slot.sequence, hard_state.epoch, hard_state.commit_index, len(vote))
    checked = header[_CHECKED_FROM:] + vote
    return (zlib.crc32(checked).to_bytes(4, "little") + checked).ljust(_SLOT_BYTES, b"\0")


def _valid_slots(data: bytes) -> list[_Slot]:
    slots = [_decode(data[start : start + _SLOT_BYTES]) for start in range(0, len(data), _SLOT_BYTES)]
    return [slot for slot in slots if slot is not None]


def _decode(data: bytes) -> _Slot | None:
    if len(data) < _HEADER.size:
        return None
    checksum, sequence, epoch, commit_index, vote_length = _HEADER.unpack_from(data)
    end = _HEADER.size + vote_length
    if end > len(data) or zlib.crc32(data[_CHECKED_FROM:end]) != checksum:
        return None
    voted_for = data[_HEADER.size : end].decode("utf-8", "replace")
    return _Slot(sequence, HardState(epoch, voted_for, commit_index))
