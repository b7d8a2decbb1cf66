"""The hard state of a replica: epoch, vote and commit index.

The name is that of Raft's persistent state besides the log (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", section 5.1). The file has two slots that are written in turn, so that a
torn write damages only the slot being written while the other one holds the state before. Each slot is stored
twice, so that damage to one copy of a synced state does not bring an older state back.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file, sync_file, write_all

HARD_STATE_FILE = "promise"  # the name that existing disks have
_SLOTS = 2
_COPIES = 2  # of each slot; the second copies follow all first ones
_SLOT_BYTES = 4096
_HEADER = struct.Struct("<IQQQH")  # CRC-32 of the rest, sequence, epoch, commit index, length of the vote
_CHECKED_FROM = 4  # the checksum covers the slot from this byte to the end of the vote


@attrs.frozen
class HardState:
    """What a replica must not forget: it accepts nothing of a lower epoch and votes once in an epoch."""

    epoch: int = 0
    voted_for: str = ""  # member id; "": no vote was given in this epoch
    commit_index: int = 0  # the log on this disk is known to be committed up to here


@attrs.frozen
class _Slot:
    sequence: int  # number of the write; the highest one counts
    hard_state: HardState


class HardStateFile:
    """The hard state on disk. ``open`` comes first."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / HARD_STATE_FILE
        self._slot = _Slot(0, HardState())
        self._descriptor = -1
        self.damaged_copies = 0  # of the newest slot, found by ``open`` and written again

    def open(self, *, may_create: bool) -> HardState:
        """Read the newest state.

        Raises ``DamagedStorageError`` if no slot is valid, or if the file is missing and not ``may_create``.
        """
        if not self._path.exists():
            if not may_create:
                raise DamagedStorageError(f"{self._path} is missing")
            replace_file(self._path, _encode(self._slot) * (_SLOTS * _COPIES))
        sync_file(self._path)
        valid = _valid_slots(self._path.read_bytes())
        if not valid:
            raise DamagedStorageError(f"{self._path}: no valid slot")
        self._slot = max(valid, key=lambda slot: slot.sequence)
        self._descriptor = os.open(self._path, os.O_WRONLY)
        self.damaged_copies = _COPIES - valid.count(self._slot)
        if self.damaged_copies:
            self._write_slot(self._slot)
        return self._slot.hard_state

    def write(self, hard_state: HardState) -> None:
        """Store ``hard_state`` durably. After an ``OSError`` it is to be attempted again."""
        slot = _Slot(self._slot.sequence + 1, hard_state)
        self._write_slot(slot)
        self._slot = slot

    def close(self) -> None:
        """Close the file."""
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
