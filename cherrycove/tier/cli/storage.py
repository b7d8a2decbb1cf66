"""``storage``: what a replica's directory holds, and whether the replica could start from it."""

from __future__ import annotations

from pathlib import Path

import attrs
from cleo.helpers import argument

from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.cli.documents import to_json_object
from cherrycove.tier.cli.inspection import Inspection, Segment, inspect_replica
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import IDENTITY_FILE

DIRECTORY_ARGUMENT = argument("directory", "Folder of one replica (dataDirectory/keeper or .../store).")


@attrs.frozen
class InspectionDocument:
    """What ``storage inspect`` prints."""

    member_id: str
    epoch: int
    voted_for: str
    committed: int  # commit index
    snapshot_index: int  # 0: no snapshot
    snapshot_bytes: int
    entries: int  # after the snapshot
    last_index: int
    torn_bytes: int
    segments: list[Segment]

    @staticmethod
    def of(inspection: Inspection) -> InspectionDocument:
        """Return the document of an inspection."""
        state = inspection.state
        snapshot_index = state.snapshot.index if state.snapshot is not None else 0
        return InspectionDocument(
            member_id=inspection.member_id,
            epoch=state.hard_state.epoch,
            voted_for=state.hard_state.voted_for,
            committed=state.hard_state.commit_index,
            snapshot_index=snapshot_index,
            snapshot_bytes=state.snapshot.size_bytes if state.snapshot is not None else 0,
            entries=len(state.entries),
            last_index=state.entries[-1].index if state.entries else snapshot_index,
            torn_bytes=inspection.torn_bytes,
            segments=inspection.segments,
        )


@attrs.frozen
class VerificationDocument:
    """What ``storage verify`` prints about a directory from which the replica could start."""

    directory: str
    whole: bool
    torn_bytes: int


@attrs.frozen
class DamagedCopyDocument(VerificationDocument):
    """The same where one copy of the hard state is damaged; the next start writes it again."""

    damaged_promise_copies: int


class StorageCommand(TierCommand):
    """A command about one replica's directory."""

    arguments = [DIRECTORY_ARGUMENT]

    def inspect_directory(self) -> Inspection:
        """Return what the directory holds; raises CommandError where it is damaged or holds no replica."""
        path = Path(self.argument("directory"))
        if not (path / IDENTITY_FILE).is_file():
            raise CommandError(ExitCode.INVALID, Problem("holds no replica", str(path), IDENTITY_FILE))
        try:
            return inspect_replica(path)
        except (DamagedStorageError, OSError) as error:
            raise CommandError(ExitCode.FAILED, Problem(str(error), str(path))) from error


class StorageInspectCommand(StorageCommand):
    """Shows the hard state, the snapshot and the log of a replica."""

    name = "storage inspect"
    description = "Shows what a replica's folder holds."

    def perform(self) -> Outcome:
        """Return what the directory holds; raises CommandError where it is damaged."""
        document = InspectionDocument.of(self.inspect_directory())
        values = to_json_object(document)
        lines = [f"{name}: {value}" for name, value in values.items() if name != "segments"]
        lines += [f"segment {segment.file}: {segment.bytes} bytes" for segment in document.segments]
        return Outcome(document, lines)


class StorageVerifyCommand(StorageCommand):
    """Checks every byte that a replica reads at its start."""

    name = "storage verify"
    description = "Tells whether a replica could start from its folder; 0 if so."

    def perform(self) -> Outcome:
        """Return what a start would repair; raises CommandError where the replica could not start."""
        inspection = self.inspect_directory()
        path = self.argument("directory")
        torn_bytes = inspection.torn_bytes
        lines = [f"{path}: whole; {torn_bytes} bytes of an unfinished write"]
        damaged_copies = inspection.damaged_hard_state_copies
        if not damaged_copies:
            return Outcome(VerificationDocument(path, whole=True, torn_bytes=torn_bytes), lines)
        lines.append(f"{path}: one of two copies of the promise is damaged; a start writes it again")
        document = DamagedCopyDocument(
            path, whole=True, torn_bytes=torn_bytes, damaged_promise_copies=damaged_copies
        )
        return Outcome(document, lines)
