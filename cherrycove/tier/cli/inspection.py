"""Inspects a replica's directory by recovering a copy of it; the directory itself is never changed."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import IDENTITY_FILE, open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.segments import list_segments


@attrs.frozen
class Segment:
    """Describes one file of the log as it was before the recovery."""

    file: str
    bytes: int


@attrs.frozen
class Inspection:
    """Describes a directory as its replica would find it at its next start."""

    member_id: str
    state: RecoveredState
    segments: list[Segment]
    torn_bytes: int  # at the end of the log, from a write that was never acknowledged
    damaged_hard_state_copies: int  # number of damaged copies; another one is valid


def inspect_replica(directory: Path) -> Inspection:
    """Recover a copy of ``directory`` as its replica would, and return what was found.

    Raises DamagedStorageError if the replica would find its storage damaged, and OSError if a file cannot be
    read or copied.
    """
    with tempfile.TemporaryDirectory(prefix="cherrycove-") as scratch:
        copy = Path(scratch) / "copy"
        shutil.copytree(directory, copy)
        identity = open_identity(copy, first_start=False, ip="")
        if identity.is_new:
            raise DamagedStorageError(f"{directory / IDENTITY_FILE}: not an identity")
        names = [segment.file_name for segment in list_segments(copy)]
        segments = [Segment(name, (copy / name).stat().st_size) for name in names]
        return _recover(copy, identity.member_id, segments)


def _recover(directory: Path, member_id: str, segments: list[Segment]) -> Inspection:
    storage = ReplicaStorage(directory)
    try:
        state = storage.recover()
    finally:
        storage.close()
    return Inspection(
        member_id=member_id,
        state=state,
        segments=segments,
        torn_bytes=_torn_bytes(directory, segments),
        damaged_hard_state_copies=storage.damaged_hard_state_copies,
    )


def _torn_bytes(directory: Path, segments: list[Segment]) -> int:
    """Return by how many bytes the recovery truncated the last of the ``segments``."""
    if not segments:
        return 0
    last = segments[-1]
    path = directory / last.file
    remaining_bytes = path.stat().st_size if path.exists() else 0
    return last.bytes - remaining_bytes
