"""Losses of power and kills at every call of short histories, and second ones during the start behind.

What was reported as done is there, and nothing else is; each sync is needed for that.
"""

from __future__ import annotations

import ast
from collections.abc import Callable
from pathlib import Path

import pytest
from disk_model import SYNC_HELPERS, DiskState, RecordedDisk
from storage_crashes import (
    HISTORIES,
    IP,
    REPLICA,
    Run,
    check_failures,
    check_history,
)

from cherrycove.tier import storage
from cherrycove.tier.storage import block_packs, snapshot_state
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.identity import open_identity, renew_identity

FAILING = [
    "replaced entries",
    "snapshots in a row",
    "snapshot from the primary",
    "blocks rewritten",
]


@pytest.fixture(autouse=True)
def small_packs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Final blocks of the smallest state go into packs, and garbage of any size is rewritten."""
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)
    monkeypatch.setattr(block_packs, "GARBAGE_BYTES", 0)
    monkeypatch.setattr(block_packs, "MAX_PACKS", 2)


@pytest.mark.parametrize("name", HISTORIES)
def test_any_crash_leaves_what_was_reported(name: str, tmp_path: Path) -> None:
    check_history(name, tmp_path)


@pytest.mark.parametrize("name", FAILING)
def test_any_crash_after_a_full_disk_leaves_what_was_reported(name: str, tmp_path: Path) -> None:
    check_failures(name, tmp_path)


def given_up_disk(folder: Path) -> DiskState:
    """The disk of a member that lost its promise, and so must begin anew."""
    run = Run(folder)
    run.moments(HISTORIES["append"])
    state = DiskState.of(run.disk.state.after_kill())
    del state.names[f"{REPLICA}/promise"]
    return state


def check_new_identity(folder: Path, ignored_sync: str = "") -> None:
    """After a crash while a disk gets a new identity, it is the former one as it was, or an empty one."""
    before = given_up_disk(folder / "before")
    disk = RecordedDisk(folder / "disk", before.copy())
    disk.ignored_sync = ignored_sync
    with disk.recording():
        renew_identity(disk.root / REPLICA)
    found = {
        contents for state in disk.states for contents in (state.after_kill(), *state.after_power_loss())
    }
    for number, contents in enumerate(sorted(found, key=repr)):
        root = RecordedDisk(folder / str(number), DiskState.of(contents)).root
        member_id, fresh = open_identity(root / REPLICA, first_start=True, ip=IP)
        if member_id == f"first-{IP}":
            assert not fresh, "an address begins as an initial member a second time"
            kept = tuple(item for item in contents if not item[0].endswith(".tmp"))
            assert kept == before.after_kill(), "a member forgot what it held"
        else:
            assert [path.name for path in (root / REPLICA).iterdir()] == ["identity"]


def test_any_crash_while_a_disk_gets_a_new_identity(tmp_path: Path) -> None:
    check_new_identity(tmp_path)


# Each sync by the function that does it, and the check that fails when it is left out.
Check = Callable[[Path, str], object]


def history(name: str) -> Check:
    return lambda folder, ignored_sync: check_history(name, folder, ignored_sync)


def failures(name: str) -> Check:
    return lambda folder, ignored_sync: check_failures(name, folder, ignored_sync)


NEEDED_SYNCS: dict[str, Check] = {
    "make_directory > sync_directory": history("append"),
    "replace_file": history("append"),
    "replace_file > sync_directory": history("append"),
    "remove_files > sync_directory": check_new_identity,
    "open > sync_file": history("append"),
    "_write_slot": history("append"),
    "append": history("append"),
    "append > sync_directory": history("append"),
    "_truncate_failed_write": failures("snapshots in a row"),
    "_truncate_torn_tail": history("append"),
    "_truncate_torn_tail > sync_directory": history("append"),
    "recover > sync_directory": history("append"),
    "recover > sync_file": history("append"),
}
SYNCING_CALLS = ("fsync", "fdatasync")


@pytest.mark.parametrize("place", NEEDED_SYNCS)
def test_without_this_sync_a_crash_is_noticed(place: str, tmp_path: Path) -> None:
    with pytest.raises((AssertionError, DamagedStorageError)):
        NEEDED_SYNCS[place](tmp_path, place)


def called_name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def syncs_in_the_source() -> set[str]:
    """Places of all syncs of the storage package, as ``disk_model.sync_place`` names them."""
    places = set()
    for path in Path(storage.__path__[0]).glob("*.py"):
        for function in ast.walk(ast.parse(path.read_text())):
            if not isinstance(function, ast.FunctionDef) or function.name in SYNC_HELPERS:
                continue
            names = [called_name(node) for node in ast.walk(function) if isinstance(node, ast.Call)]
            places |= {f"{function.name} > {name}" for name in names if name in SYNC_HELPERS}
            places |= {function.name for name in names if name in SYNCING_CALLS}
    return places


def test_each_sync_of_the_source_is_among_those_left_out() -> None:
    assert syncs_in_the_source() == set(NEEDED_SYNCS)
