"""``storage``: what a replica's folder holds, and whether it is whole. The folder itself is never changed."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from typing import Any

import attrs
from cleo.helpers import argument

from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import IDENTITY_FILE, open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.segments import list_segments

DIRECTORY_ARGUMENT = argument("directory", "Folder of one replica (dataDirectory/keeper or .../store).")


@attrs.frozen
class Inspection:
    """A folder as its replica would find it at its next start."""

    member_id: str
    state: RecoveredState
    segments: list[tuple[str, int]]  # name, bytes
    torn_bytes: int  # at the end of the log, from a write that was never acknowledged
    damaged_hard_state_copies: int  # another copy is whole


def inspect_replica(directory: Path) -> Inspection:
    """Recover a copy of ``directory``, just as its replica would; DamagedStorageError where that fails."""
    with tempfile.TemporaryDirectory(prefix="cherrycove-") as scratch:
        copy = Path(scratch) / "copy"
        shutil.copytree(directory, copy)
        identity = open_identity(copy, first_start=False, ip="")
        if identity.is_new:
            raise DamagedStorageError(f"{directory / IDENTITY_FILE}: not an identity")
        segments = [(name.file_name, (copy / name.file_name).stat().st_size) for name in list_segments(copy)]
        return _recover(copy, identity.member_id, segments)


def _recover(copy: Path, member_id: str, segments: list[tuple[str, int]]) -> Inspection:
    storage = ReplicaStorage(copy)
    try:
        state = storage.recover()
    finally:
        storage.close()
    kept = [copy / name for name, _ in segments]
    present = {path.name: path.stat().st_size for path in kept if path.exists()}
    torn_bytes = sum(size - present.get(name, 0) for name, size in segments[-1:])
    return Inspection(member_id, state, segments, torn_bytes, storage.damaged_hard_state_copies)


class StorageCommand(TierCommand):
    """A command about one replica's folder."""

    arguments = [DIRECTORY_ARGUMENT]

    def inspect_directory(self) -> Inspection:
        """What the folder holds; ends the command where it is damaged or holds no replica."""
        path = Path(self.argument("directory"))
        if not (path / IDENTITY_FILE).is_file():
            raise CommandError(ExitCode.INVALID, Problem("holds no replica", str(path), IDENTITY_FILE))
        try:
            return inspect_replica(path)
        except DamagedStorageError as error:
            raise CommandError(ExitCode.FAILED, Problem(str(error), str(path))) from error
        except OSError as error:
            raise CommandError(ExitCode.FAILED, Problem(str(error), str(path))) from error


class StorageInspectCommand(StorageCommand):
    name = "storage inspect"
    description = "Shows what a replica's folder holds."

    def perform(self) -> Outcome:
        document = _document(self.inspect_directory())
        lines = [f"{name}: {value}" for name, value in document.items() if name != "segments"]
        lines += [f"segment {segment['file']}: {segment['bytes']} bytes" for segment in document["segments"]]
        return Outcome(document, lines)


class StorageVerifyCommand(StorageCommand):
    name = "storage verify"
    description = "Tells whether a replica could start from its folder; 0 if so."

    def perform(self) -> Outcome:
        inspection = self.inspect_directory()
        path = self.argument("directory")
        damaged = inspection.damaged_hard_state_copies
        document: dict[str, Any] = {"directory": path, "whole": True, "tornBytes": inspection.torn_bytes}
        lines = [f"{path}: whole; {inspection.torn_bytes} bytes of an unfinished write"]
        if damaged:
            document["damagedPromiseCopies"] = damaged
            lines.append(f"{path}: one of two copies of the promise is damaged; a start writes it again")
        return Outcome(document, lines)


def _document(inspection: Inspection) -> dict[str, Any]:
    state = inspection.state
    snapshot_index = state.snapshot.index if state.snapshot is not None else 0
    return {
        "memberId": inspection.member_id,
        "epoch": state.hard_state.epoch,
        "votedFor": state.hard_state.voted_for,
        "committed": state.hard_state.commit_index,
        "snapshotIndex": snapshot_index,
        "snapshotBytes": state.snapshot.size_bytes if state.snapshot is not None else 0,
        "entries": len(state.entries),
        "lastIndex": state.entries[-1].index if state.entries else snapshot_index,
        "tornBytes": inspection.torn_bytes,
        "segments": [{"file": name, "bytes": size} for name, size in inspection.segments],
    }
