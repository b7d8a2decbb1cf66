"""Power failures and kills at every system call of short histories, and again during the following start.

Exactly the writes that were reported as done must survive; the tests also show that each sync is required.
"""

from __future__ import annotations

import ast
from collections.abc import Callable
from pathlib import Path

import pytest
from disk_model import SYNC_HELPERS, ModelDisk, RecordedDisk
from storage_crashes import (
    HISTORIES,
    IP,
    REPLICA,
    RecordedRun,
    check_failures,
    check_history,
)

from cherrycove.tier import storage
from cherrycove.tier.storage import block_packs, snapshot_state
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import open_identity, renew_identity

HISTORIES_ON_A_FULL_DISK = [
    "replaced entries",
    "snapshots in a row",
    "snapshot from the primary",
    "blocks rewritten",
]


@pytest.fixture(autouse=True)
def small_packs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use packs for states of any size, and rewrite packs for unused blocks of any size."""
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)
    monkeypatch.setattr(block_packs, "GARBAGE_BYTES", 0)
    monkeypatch.setattr(block_packs, "MAX_PACKS", 2)


@pytest.mark.parametrize("name", HISTORIES)
def test_any_crash_preserves_reported_writes(name: str, tmp_path: Path) -> None:
    check_history(name, tmp_path)


@pytest.mark.parametrize("name", HISTORIES_ON_A_FULL_DISK)
def test_any_crash_after_a_full_disk_preserves_reported_writes(name: str, tmp_path: Path) -> None:
    check_failures(name, tmp_path)


def disk_without_hard_state(directory: Path) -> ModelDisk:
    """The disk of a member that lost its hard state, and must therefore get a new identity."""
    run = RecordedRun(directory)
    run.crash_points(HISTORIES["append"])
    state = ModelDisk.of(run.disk.state.after_kill())
    del state.names[f"{REPLICA}/promise"]
    return state


def check_new_identity(directory: Path, skipped_sync: str = "") -> None:
    """A crash during the renewal of an identity leaves the disk unchanged, or empty with a new identity."""
    before = disk_without_hard_state(directory / "before")
    disk = RecordedDisk(directory / "disk", before.copy())
    disk.skipped_sync = skipped_sync
    with disk.recording():
        renew_identity(disk.root / REPLICA)
    found = {
        contents for state in disk.states for contents in (state.after_kill(), *state.after_power_loss())
    }
    for number, contents in enumerate(sorted(found, key=repr)):
        root = RecordedDisk(directory / str(number), ModelDisk.of(contents)).root
        member_id, is_new = open_identity(root / REPLICA, first_start=True, ip=IP)
        if member_id == f"first-{IP}":
            assert not is_new, "an initial member was created a second time at the same address"
            kept = tuple(item for item in contents if not item[0].endswith(".tmp"))
            assert kept == before.after_kill(), "a member lost data"
        else:
            assert [path.name for path in (root / REPLICA).iterdir()] == ["identity"]


def test_any_crash_while_a_disk_gets_a_new_identity(tmp_path: Path) -> None:
    check_new_identity(tmp_path)


# Maps each sync, named by the function that makes it, to a check that fails if the sync is skipped.
Check = Callable[[Path, str], object]


def history(name: str) -> Check:
    return lambda directory, skipped_sync: check_history(name, directory, skipped_sync)


def full_disk(name: str) -> Check:
    return lambda directory, skipped_sync: check_failures(name, directory, skipped_sync)


NEEDED_SYNCS: dict[str, Check] = {
    "make_directory > sync_directory": history("append"),
    "replace_file": history("append"),
    "replace_file > sync_directory": history("append"),
    "remove_files > sync_directory": check_new_identity,
    "open > sync_file": history("append"),
    "_write_slot": history("append"),
    "append": history("append"),
    "append > sync_directory": history("append"),
    "_truncate_failed_write": full_disk("snapshots in a row"),
    "_truncate_torn_tail": history("append"),
    "_truncate_torn_tail > sync_directory": history("append"),
    "recover > sync_directory": history("append"),
    "recover > sync_file": history("append"),
}
SYNCING_CALLS = ("fsync", "fdatasync")


@pytest.mark.parametrize("location", NEEDED_SYNCS)
def test_skipping_a_sync_fails_a_crash_check(location: str, tmp_path: Path) -> None:
    with pytest.raises((AssertionError, DamagedStorageError)):
        NEEDED_SYNCS[location](tmp_path, location)


def called_name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def syncs_in_the_source() -> set[str]:
    """Locations of all syncs in the storage package, in the format of ``disk_model.sync_location``."""
    locations = set()
    for path in Path(storage.__path__[0]).glob("*.py"):
        for function in ast.walk(ast.parse(path.read_text())):
            if not isinstance(function, ast.FunctionDef) or function.name in SYNC_HELPERS:
                continue
            names = [called_name(node) for node in ast.walk(function) if isinstance(node, ast.Call)]
            locations |= {f"{function.name} > {name}" for name in names if name in SYNC_HELPERS}
            locations |= {function.name for name in names if name in SYNCING_CALLS}
    return locations


def test_every_sync_in_the_source_has_a_skip_test() -> None:
    assert syncs_in_the_source() == set(NEEDED_SYNCS)
