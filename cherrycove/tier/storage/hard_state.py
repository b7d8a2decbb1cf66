"""The newest epoch that a replica has promised to, with its vote, in two slots that are written in turn.

A torn write harms only the slot that was being written; the other one holds the promise before it. Each slot
is stored twice, so that damage to one copy of a synced promise does not bring an older one back.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file, sync_file, write_all

HARD_STATE_FILE = "promise"
_SLOTS = 2
_COPIES = 2  # of each slot; the second ones stand behind all first ones
_SLOT_BYTES = 4096
_HEADER = struct.Struct("<IQQQH")  # CRC-32 of the rest, sequence, epoch, committed, bytes of the vote


@attrs.frozen
class HardState:
    """Nothing of an epoch below ``epoch`` is accepted, and in ``epoch`` only ``voted_for`` has this vote."""

    epoch: int = 0
    voted_for: str = ""  # member id; "" while the vote is free
    commit_index: int = 0  # the log on this disk is known to be committed up to here


@attrs.frozen
class _Slot:
    sequence: int
    hard_state: HardState


def _encode(slot: _Slot) -> bytes:
    vote = slot.hard_state.voted_for.encode()
    rest = (
        _HEADER.pack(0, slot.sequence, slot.hard_state.epoch, slot.hard_state.commit_index, len(vote))[4:]
        + vote
    )
    return (zlib.crc32(rest).to_bytes(4, "little") + rest).ljust(_SLOT_BYTES, b"\0")


def _decode(data: bytes) -> _Slot | None:
    if len(data) < _HEADER.size:
        return None
    checksum, sequence, epoch, committed, length = _HEADER.unpack_from(data)
    end = _HEADER.size + length
    if end > len(data) or zlib.crc32(data[4:end]) != checksum:
        return None
    vote = data[_HEADER.size : end].decode("utf-8", "replace")
    return _Slot(sequence, HardState(epoch, vote, committed))


class HardStateFile:
    """The promise on disk."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / HARD_STATE_FILE
        self._slot = _Slot(0, HardState())
        self._descriptor = -1
        self.damaged_copies = 0  # of the newest slot, found by ``open`` and written again

    @property
    def promise(self) -> HardState:
        return self._slot.hard_state

    def open(self, may_create: bool) -> HardState:
        """Read the newest promise; a missing file is damage unless ``may_create``."""
        if not self._path.exists():
            if not may_create:
                raise DamagedStorageError(f"{self._path} is missing")
            replace_file(self._path, _encode(self._slot) * (_SLOTS * _COPIES))
        sync_file(self._path)
        data = self._path.read_bytes()
        copies = [_decode(data[start : start + _SLOT_BYTES]) for start in range(0, len(data), _SLOT_BYTES)]
        valid = [slot for slot in copies if slot is not None]
        if not valid:
            raise DamagedStorageError(f"{self._path}: no valid slot")
        self._slot = max(valid, key=lambda slot: slot.sequence)
        self._descriptor = os.open(self._path, os.O_WRONLY)
        self.damaged_copies = _COPIES - valid.count(self._slot)
        if self.damaged_copies:
            self._write_slot(self._slot)
        return self._slot.hard_state

    def write(self, hard_state: HardState) -> None:
        """Store ``promise`` and sync it."""
        slot = _Slot(self._slot.sequence + 1, hard_state)
        self._write_slot(slot)
        self._slot = slot

    def _write_slot(self, slot: _Slot) -> None:
        data = _encode(slot)
        for copy in range(_COPIES):
            position = (slot.sequence % _SLOTS + copy * _SLOTS) * _SLOT_BYTES
            os.lseek(self._descriptor, position, os.SEEK_SET)
            write_all(self._descriptor, data)
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
