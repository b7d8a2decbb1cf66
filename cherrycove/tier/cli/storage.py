"""The ``storage`` commands, which show the contents of a replica's directory and verify it."""

from __future__ import annotations

from pathlib import Path

import attrs
from cleo.helpers import argument

from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.cli.documents import to_json_object
from cherrycove.tier.cli.inspection import Inspection, Segment, inspect_replica
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import IDENTITY_FILE

DIRECTORY_ARGUMENT = argument("directory", "Directory of one replica (dataDirectory/keeper or .../store).")


@attrs.frozen
class InspectionDocument:
    """The document that ``storage inspect`` prints."""

    member_id: str
    epoch: int
    voted_for: str
    committed: int  # commit index
    snapshot_index: int  # 0 without a snapshot
    snapshot_bytes: int
    entries: int  # number of log entries after the snapshot
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
    """The document that ``storage verify`` prints for a directory from which the replica could start."""

    directory: str
    whole: bool
    torn_bytes: int


@attrs.frozen
class DamagedCopyDocument(VerificationDocument):
    """The document that ``storage verify`` prints if one copy of the hard state is damaged.

    The replica could start; its next start rewrites the copy.
    """

    damaged_promise_copies: int


class StorageCommand(TierCommand):
    """Base class of the commands that read one replica's directory."""

    arguments = [DIRECTORY_ARGUMENT]

    def inspect_directory(self) -> Inspection:
        """Return the contents of the directory; raises CommandError if it is damaged or not a replica's."""
        path = Path(self.argument("directory"))
        if not (path / IDENTITY_FILE).is_file():
            raise CommandError(
                ExitCode.INVALID,
                Problem("not found; this is not a replica directory", str(path), IDENTITY_FILE),
            )
        try:
            return inspect_replica(path)
        except (DamagedStorageError, OSError) as error:
            raise CommandError(ExitCode.FAILED, Problem(str(error), str(path))) from error


class StorageInspectCommand(StorageCommand):
    """Shows the hard state, the snapshot and the log of a replica."""

    name = "storage inspect"
    description = "Shows the hard state, the snapshot and the log in a replica's directory."

    def perform(self) -> Outcome:
        """Return the contents of the directory; raises CommandError if it is damaged."""
        document = InspectionDocument.of(self.inspect_directory())
        values = to_json_object(document)
        lines = [f"{name}: {value}" for name, value in values.items() if name != "segments"]
        lines += [f"segment {segment.file}: {segment.bytes} bytes" for segment in document.segments]
        return Outcome(document, lines)


class StorageVerifyCommand(StorageCommand):
    """Checks every byte that a replica reads at its start."""

    name = "storage verify"
    description = "Checks whether a replica could start from its directory; exits with 0 if so."

    def perform(self) -> Outcome:
        """Return what a start would repair; raises CommandError if the replica could not start."""
        inspection = self.inspect_directory()
        path = self.argument("directory")
        torn_bytes = inspection.torn_bytes
        lines = [f"{path}: intact; {torn_bytes} bytes of a torn write at the end of the log"]
        damaged_copies = inspection.damaged_hard_state_copies
        if not damaged_copies:
            return Outcome(VerificationDocument(path, whole=True, torn_bytes=torn_bytes), lines)
        lines.append(f"{path}: one of two copies of the hard state is damaged; the next start rewrites it")
        document = DamagedCopyDocument(
            path, whole=True, torn_bytes=torn_bytes, damaged_promise_copies=damaged_copies
        )
        return Outcome(document, lines)
