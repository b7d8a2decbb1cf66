"""Corruption anywhere on a replica's disk is detected by checksum, never served, and reported by
``storage verify``.
"""

from __future__ import annotations

import json
import os
import shutil
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from cherrycove.tier.cli import create_application
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.hard_state import HARD_STATE_FILE, HardState
from cherrycove.tier.storage.identity import IDENTITY_FILE, open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshots import BLOCK_BYTES, Snapshot

IP = "10.0.0.1"
MEMBER = f"first-{IP}"
OLDER, NEWEST = HardState(4, "first-10.0.0.2"), HardState(5, MEMBER)
SNAPSHOT = Snapshot(3, 4, b"members", b"state at 3")


@pytest.fixture(autouse=True)
def no_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable syncs, which matter only after a power failure (``test_storage_crashes.py``) and cost time."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)
    monkeypatch.setattr(os, "fdatasync", lambda descriptor: None)


def entries(first: int, last: int) -> list[Entry]:
    return [Entry(index, 4, EntryKind.COMMAND, b"%d" % index) for index in range(first, last + 1)]


@pytest.fixture
def disk(tmp_path: Path) -> Path:
    """Directory of a replica that has a snapshot and two log frames after it."""
    directory = tmp_path / "disk"
    open_identity(directory, first_start=True, ip=IP)
    storage = ReplicaStorage(directory)
    storage.recover()
    storage.write_hard_state(OLDER)
    storage.append(entries(1, 4))
    storage.save_snapshot(SNAPSHOT, entries(4, 4))
    storage.append(entries(5, 6))
    storage.write_hard_state(NEWEST)
    storage.close()
    return directory


def recover(directory: Path) -> RecoveredState:
    storage = ReplicaStorage(directory)
    try:
        return storage.recover()
    finally:
        storage.close()


def with_flipped_bits(path: Path, offsets: Iterable[int] = ()) -> Iterator[int]:
    """Rewrite the file with one bit flipped, in each of its bytes or of those at ``offsets`` in turn."""
    data = path.read_bytes()
    for offset in offsets or range(len(data)):
        flipped = bytearray(data)
        flipped[offset] ^= 1 << offset % 8
        path.write_bytes(flipped)
        yield offset


def only(directory: Path, pattern: str) -> Path:
    (path,) = directory.glob(pattern)
    return path


def test_an_identity_with_a_flipped_bit_is_rejected(disk: Path) -> None:
    path = disk / IDENTITY_FILE
    for _ in with_flipped_bits(path):
        flipped = path.read_bytes()
        copy = disk.parent / "copy"
        copy.mkdir()
        (copy / IDENTITY_FILE).write_bytes(flipped)
        member_id, is_new = open_identity(copy, first_start=True, ip=IP)
        assert is_new
        assert member_id != MEMBER
        shutil.rmtree(copy)


def test_a_flipped_bit_in_the_hard_state_never_restores_an_older_one(disk: Path) -> None:
    path = disk / HARD_STATE_FILE
    written = path.read_bytes()
    used = {offset for offset in range(len(written)) if written[offset]}
    following = {offset + 1 for offset in used if offset + 1 < len(written)}
    for _ in with_flipped_bits(path, sorted(used | following)):
        assert recover(disk).hard_state == NEWEST


def test_a_damaged_copy_of_the_hard_state_is_rewritten(disk: Path) -> None:
    path = disk / HARD_STATE_FILE
    written = path.read_bytes()
    offset = written.index(MEMBER.encode())
    path.write_bytes(written[:offset] + b"x" + written[offset + 1 :])
    assert recover(disk).hard_state == NEWEST
    assert path.read_bytes() == written


def test_a_snapshot_with_a_flipped_bit_raises_an_error(disk: Path) -> None:
    for _ in with_flipped_bits(only(disk, "snapshot-*")):
        with pytest.raises(DamagedStorageError):
            recover(disk)


def test_a_log_with_a_flipped_bit_raises_an_error_or_loses_only_its_last_frame(disk: Path) -> None:
    path = only(disk, "*.log")
    whole = path.read_bytes()
    last_frame = whole.rindex(b"CvF1")
    for offset in with_flipped_bits(path):
        if offset < last_frame:
            with pytest.raises(DamagedStorageError):
                recover(disk)
        else:
            assert recover(disk) == RecoveredState(NEWEST, SNAPSHOT, entries(4, 4))


def test_a_log_that_lost_committed_entries_raises_an_error(disk: Path) -> None:
    storage = ReplicaStorage(disk)
    storage.recover()
    storage.write_hard_state(HardState(5, MEMBER, commit_index=6))
    storage.close()
    path = only(disk, "*.log")
    whole = path.read_bytes()
    path.write_bytes(whole[:-1] + bytes([whole[-1] ^ 1]))
    with pytest.raises(
        DamagedStorageError, match="log ends at entry 4, but entries up to 6 are known to be committed"
    ):
        recover(disk)
    path.unlink()
    with pytest.raises(
        DamagedStorageError, match="log ends at entry 3, but entries up to 6 are known to be committed"
    ):
        recover(disk)


def test_a_log_with_a_missing_snapshot_raises_an_error(disk: Path) -> None:
    only(disk, "snapshot-*").unlink()
    with pytest.raises(DamagedStorageError, match="entries 1 to 3 are missing"):
        recover(disk)


def test_the_newer_of_two_snapshots_is_used_and_a_damaged_one_is_not_skipped(disk: Path) -> None:
    older = only(disk, "snapshot-*").read_bytes()
    storage = ReplicaStorage(disk)
    storage.recover()
    newer = Snapshot(5, 4, b"members", b"state at 5")
    storage.save_snapshot(newer, entries(6, 6))
    storage.close()
    older_path = disk / "snapshot-0000000000000003"
    older_path.write_bytes(older)
    assert recover(disk) == RecoveredState(NEWEST, newer, entries(6, 6))
    assert not older_path.exists()
    older_path.write_bytes(older)
    newer_path = disk / "snapshot-0000000000000005"
    newer_path.write_bytes(newer_path.read_bytes()[:-1] + b"6")
    with pytest.raises(DamagedStorageError):
        recover(disk)


def test_state_that_is_corrupted_after_the_start_is_not_sent_to_another_replica(disk: Path) -> None:
    state = bytes(range(256)) * (BLOCK_BYTES // 256) + b"the last block"
    storage = ReplicaStorage(disk)
    storage.recover()
    storage.save_snapshot(Snapshot(6, 4, b"members", state), [])
    whole = storage.read_state(6, 0, BLOCK_BYTES) + storage.read_state(6, BLOCK_BYTES, BLOCK_BYTES)
    assert whole == state
    assert storage.read_state(6, BLOCK_BYTES - 3, 10) == state[BLOCK_BYTES - 3 : BLOCK_BYTES + 7]
    assert storage.read_state(6, len(state), 10) == b""
    path = only(disk, "snapshot-*")
    data = path.read_bytes()
    path.write_bytes(data[:-1] + b"c")
    assert storage.read_state(6, 0, BLOCK_BYTES) == state[:BLOCK_BYTES]
    assert storage.read_state(6, BLOCK_BYTES, BLOCK_BYTES) == b""
    assert storage.read_state(6, BLOCK_BYTES - 3, 10) == b""
    storage.close()


def test_a_snapshot_is_valid_even_if_the_files_it_replaces_cannot_be_removed(
    disk: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(path: Path, missing_ok: bool = False) -> None:
        raise OSError("no")

    storage = ReplicaStorage(disk)
    storage.recover()
    newer = Snapshot(5, 4, b"members", b"state at 5")
    with monkeypatch.context() as patched:
        patched.setattr(Path, "unlink", refuse)
        storage.save_snapshot(newer, entries(6, 6))
    assert storage.read_state(5, 0, 100) == newer.state
    assert len(list(disk.glob("snapshot-*"))) == 2
    newest = Snapshot(6, 4, b"members", b"state at 6")
    storage.save_snapshot(newest, [])
    storage.close()
    assert len(list(disk.glob("snapshot-*"))) == 1
    assert recover(disk) == RecoveredState(NEWEST, newest, [])


# The command ``storage verify``.


def flip(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 1
    path.write_bytes(data)


def damage_identity(disk: Path) -> None:
    flip(disk / IDENTITY_FILE, 3)


def empty_identity(disk: Path) -> None:
    (disk / IDENTITY_FILE).write_bytes(b"")


def damage_all_slots(disk: Path) -> None:
    (disk / HARD_STATE_FILE).write_bytes(b"\1" * 16384)


def remove_hard_state(disk: Path) -> None:
    (disk / HARD_STATE_FILE).unlink()


def damage_snapshot(disk: Path) -> None:
    flip(only(disk, "snapshot-*"), -1)


def truncate_snapshot(disk: Path) -> None:
    path = only(disk, "snapshot-*")
    path.write_bytes(path.read_bytes()[:-1])


def damage_log(disk: Path) -> None:
    flip(only(disk, "*.log"), 20)


def remove_snapshot(disk: Path) -> None:
    only(disk, "snapshot-*").unlink()


def replace_by_older_hard_state(disk: Path) -> None:
    (disk / HARD_STATE_FILE).unlink()
    new_disk = disk.parent / "fresh"
    new_disk.mkdir()
    recover(new_disk)
    shutil.copy(new_disk / HARD_STATE_FILE, disk / HARD_STATE_FILE)


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (damage_identity, "identity: not an identity"),
        (empty_identity, "identity: not an identity"),
        (damage_all_slots, "promise: hard state file has no valid slot"),
        (remove_hard_state, "promise: hard state file is missing"),
        (damage_snapshot, "snapshot-0000000000000003: wrong checksum of the snapshot"),
        (truncate_snapshot, "snapshot-0000000000000003: snapshot file is truncated or has an unknown format"),
        (damage_log, "0000000002-0000000000000004.log: invalid frame at byte 0"),
        (remove_snapshot, "entries 1 to 3 are missing"),
        (replace_by_older_hard_state, "log has an entry of epoch 4, above epoch 0 of the hard state"),
    ],
)
def test_verify_reports_each_kind_of_damage(disk: Path, damage: Callable[[Path], None], message: str) -> None:
    damage(disk)
    before = {path.name: path.read_bytes() for path in disk.iterdir()}
    tester = CommandTester(create_application().find("storage verify"))
    assert tester.execute(str(disk)) == 1
    assert message in tester.io.fetch_error()
    assert {path.name: path.read_bytes() for path in disk.iterdir()} == before


def test_verify_reports_a_damaged_copy_of_the_hard_state(disk: Path) -> None:
    path = disk / HARD_STATE_FILE
    flip(path, path.read_bytes().index(MEMBER.encode()))
    tester = CommandTester(create_application().find("storage verify"))
    assert tester.execute(str(disk)) == 0
    assert "one of two copies of the hard state is damaged" in tester.io.fetch_output()


def test_verify_counts_the_bytes_of_a_torn_write(disk: Path) -> None:
    path = only(disk, "*.log")
    path.write_bytes(path.read_bytes() + b"CvF1 torn")
    tester = CommandTester(create_application().find("storage verify"))
    assert tester.execute(f"{disk} --json") == 0
    assert json.loads(tester.io.fetch_output())["tornBytes"] == 9
