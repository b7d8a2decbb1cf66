"""Storage of a replica: torn tails are truncated, damage is reported, and no wrong data is returned."""

from __future__ import annotations

import errno
import os
import shutil
import tracemalloc
from pathlib import Path

import pytest

from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshots import Snapshot


@pytest.fixture(autouse=True)
def no_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable syncs: they matter only after a loss of power (``test_storage_crashes.py``) and take time."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)
    monkeypatch.setattr(os, "fdatasync", lambda descriptor: None)


def entry(index: int, epoch: int = 1, payload: bytes = b"") -> Entry:
    return Entry(index, epoch, EntryKind.COMMAND, payload or b"command %d" % index)


def entries(first: int, last: int, epoch: int = 1) -> list[Entry]:
    return [entry(index, epoch) for index in range(first, last + 1)]


def new_storage(directory: Path, segment_bytes: int = 1024 * 1024, limit_bytes: int = 0) -> ReplicaStorage:
    directory.mkdir(exist_ok=True)
    storage = ReplicaStorage(directory, limit_bytes, segment_bytes)
    storage.recover()
    storage.write_hard_state(HardState(9, "someone"))
    return storage


def recover(directory: Path) -> RecoveredState:
    storage = ReplicaStorage(directory)
    try:
        return storage.recover()
    finally:
        storage.close()


def segments(directory: Path) -> list[Path]:
    return sorted(directory.glob("*.log"))


def test_entries_and_hard_state_are_recovered(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 3))
    storage.append(entries(4, 5))
    storage.write_hard_state(HardState(10, "first-10.0.0.1", 4))
    storage.close()
    recovered = recover(tmp_path)
    assert recovered.entries == entries(1, 5)
    assert recovered.hard_state == HardState(10, "first-10.0.0.1", 4)
    assert recovered.snapshot is None


def test_a_later_entry_replaces_the_one_at_its_index_and_all_after_it(tmp_path: Path) -> None:
    storage = new_storage(tmp_path, segment_bytes=60)
    storage.append(entries(1, 6))
    storage.append(entries(4, 5, epoch=2))
    storage.append(entries(6, 6, epoch=3))
    storage.close()
    assert len(segments(tmp_path)) > 1
    assert recover(tmp_path).entries == entries(1, 3) + entries(4, 5, epoch=2) + entries(6, 6, epoch=3)


def test_a_segment_truncated_at_any_byte_recovers_complete_frames_only(tmp_path: Path) -> None:
    whole = tmp_path / "whole"
    storage = new_storage(whole)
    for first in (1, 3, 5):
        storage.append(entries(first, first + 1))
    storage.close()
    path = segments(whole)[0]
    data = path.read_bytes()
    seen = set()
    for length in range(len(data) + 1):
        directory = tmp_path / "cut"
        shutil.copytree(whole, directory)
        (directory / path.name).write_bytes(data[:length])
        recovered = recover(directory)
        count = len(recovered.entries)
        assert recovered.entries == entries(1, count)
        assert count % 2 == 0
        seen.add(count)
        again = ReplicaStorage(directory)
        again.recover()
        again.append(entries(count + 1, count + 1))
        again.close()
        assert recover(directory).entries == entries(1, count + 1)
        shutil.rmtree(directory)
    assert seen == {0, 2, 4, 6}


def test_a_tail_of_zeros_or_garbage_is_truncated(tmp_path: Path) -> None:
    whole = tmp_path / "whole"
    storage = new_storage(whole)
    storage.append(entries(1, 2))
    storage.append(entries(3, 4))
    storage.close()
    path = segments(whole)[0]
    data = path.read_bytes()
    frame = len(data) // 2
    for start in range(frame, len(data)):
        for filler in (b"\0", b"\xff", b"C"):
            directory = tmp_path / "torn"
            shutil.copytree(whole, directory)
            torn = data[:start] + filler * (len(data) - start)
            (directory / path.name).write_bytes(torn)
            count = 4 if torn == data else 2
            assert recover(directory).entries == entries(1, count)
            shutil.rmtree(directory)


def test_a_flipped_bit_truncates_the_last_frame_and_is_damage_in_earlier_frames(tmp_path: Path) -> None:
    whole = tmp_path / "whole"
    storage = new_storage(whole)
    storage.append(entries(1, 2))
    storage.append(entries(3, 4))
    storage.close()
    path = segments(whole)[0]
    data = path.read_bytes()
    for position in range(len(data)):
        directory = tmp_path / "flipped"
        shutil.copytree(whole, directory)
        flipped = bytearray(data)
        flipped[position] ^= 1 << (position % 8)
        (directory / path.name).write_bytes(flipped)
        if position < len(data) // 2:
            with pytest.raises(DamagedStorageError):
                recover(directory)
        else:
            assert recover(directory).entries == entries(1, 2)
        shutil.rmtree(directory)


def test_a_bad_frame_in_an_older_segment_is_damage(tmp_path: Path) -> None:
    storage = new_storage(tmp_path, segment_bytes=10)
    storage.append(entries(1, 2))
    storage.append(entries(3, 4))
    storage.close()
    first = segments(tmp_path)[0]
    first.write_bytes(first.read_bytes()[:-1])
    with pytest.raises(DamagedStorageError):
        recover(tmp_path)


def test_a_missing_segment_or_hard_state_file_is_damage(tmp_path: Path) -> None:
    storage = new_storage(tmp_path, segment_bytes=10)
    for first in (1, 3, 5):
        storage.append(entries(first, first + 1))
    storage.close()
    segments(tmp_path)[1].unlink()
    with pytest.raises(DamagedStorageError):
        recover(tmp_path)
    (tmp_path / "promise").unlink()
    with pytest.raises(DamagedStorageError):
        recover(tmp_path)


def test_a_damaged_newest_hard_state_leaves_the_previous_one(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.write_hard_state(HardState(11, "a"))
    storage.write_hard_state(HardState(12, "b"))
    storage.close()
    path = tmp_path / "promise"
    data = bytearray(path.read_bytes())
    first, second = bytes(data).index(b"b\0"), bytes(data).rindex(b"b\0")
    assert first != second
    data[first] ^= 1
    data[second] ^= 1
    path.write_bytes(data)
    assert recover(tmp_path).hard_state == HardState(11, "a")


def test_a_snapshot_replaces_the_log_before_it(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 6))
    snapshot = Snapshot(4, 1, b"members", b"state" * 100)
    storage.save_snapshot(snapshot, entries(5, 6))
    assert storage.read_state(4, 5, 10) == b"statestate"
    assert storage.read_state(3, 0, 10) == b""
    storage.append(entries(7, 7))
    storage.close()
    recovered = recover(tmp_path)
    assert recovered.snapshot == snapshot
    assert recovered.entries == entries(5, 7)
    assert len(segments(tmp_path)) == 1


def test_stale_segments_that_reappear_after_a_newer_snapshot_are_ignored(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 9))
    kept = {path.name: path.read_bytes() for path in segments(tmp_path)}
    storage.append(entries(3, 4, epoch=2))
    storage.save_snapshot(Snapshot(4, 2, b"", b"state"), [])
    storage.append(entries(5, 5, epoch=2))
    storage.close()
    for name, data in kept.items():
        (tmp_path / name).write_bytes(data)
    assert recover(tmp_path).entries == entries(5, 5, epoch=2)


def test_an_incomplete_snapshot_leaves_the_older_state(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 6))
    storage.save_snapshot(Snapshot(2, 1, b"", b"older"), entries(3, 6))
    storage.close()
    (tmp_path / "snapshot-0000000000000005.tmp").write_bytes(b"half")
    recovered = recover(tmp_path)
    assert recovered.snapshot == Snapshot(2, 1, b"", b"older")
    assert recovered.entries == entries(3, 6)
    assert not list(tmp_path.glob("*.tmp"))


def test_a_damaged_snapshot_is_reported(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 2))
    storage.save_snapshot(Snapshot(2, 1, b"members", b"state"), [])
    storage.close()
    path = next(tmp_path.glob("snapshot-*"))
    data = path.read_bytes()
    for position in range(len(data)):
        flipped = bytearray(data)
        flipped[position] ^= 4
        path.write_bytes(flipped)
        with pytest.raises(DamagedStorageError):
            recover(tmp_path)


def test_a_snapshot_is_read_without_a_second_copy_of_its_state(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    state = os.urandom(1024) * 4096
    storage.save_snapshot(Snapshot(2, 1, b"members", state), [])
    storage.close()
    tracemalloc.start()
    try:
        recovered = recover(tmp_path)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert recovered.snapshot is not None
    assert recovered.snapshot.state == state
    assert peak < 1.1 * len(state)


def test_a_full_disk_rejects_writes_until_a_snapshot_frees_space(tmp_path: Path) -> None:
    storage = new_storage(tmp_path, limit_bytes=64 * 1024 + 2000)
    storage.append([entry(1, payload=b"x" * 1500)])
    with pytest.raises(OSError, match=os.strerror(errno.ENOSPC)):
        storage.append([entry(2, payload=b"y" * 1500)])
    storage.save_snapshot(Snapshot(1, 1, b"", b"small"), [])
    storage.append([entry(2, payload=b"z" * 1500)])
    storage.close()
    assert recover(tmp_path).entries == [entry(2, payload=b"z" * 1500)]


def test_a_partially_failed_write_has_no_effect(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    storage = new_storage(tmp_path)
    storage.append(entries(1, 2))
    write = os.write

    def half(descriptor: int, data: bytes) -> int:
        write(descriptor, bytes(data)[: len(data) // 2])
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "write", half)
    with pytest.raises(OSError, match="full"):
        storage.append(entries(3, 4))
    monkeypatch.setattr(os, "write", write)
    storage.append([entry(3)])
    storage.append(entries(4, 5))
    storage.close()
    assert recover(tmp_path).entries == entries(1, 5)


def test_an_identity_is_kept_and_a_wiped_disk_gets_a_new_one(tmp_path: Path) -> None:
    directory = tmp_path / "disk"
    assert open_identity(directory, first_start=True, ip="10.0.0.1") == ("first-10.0.0.1", True)
    assert open_identity(directory, first_start=False, ip="10.0.0.1") == ("first-10.0.0.1", False)
    shutil.rmtree(directory)
    member_id, fresh = open_identity(directory, first_start=False, ip="10.0.0.1")
    assert fresh
    assert member_id != "first-10.0.0.1"
    assert open_identity(directory, first_start=True, ip="10.0.0.1") == (member_id, False)


def test_files_without_an_identity_are_deleted(tmp_path: Path) -> None:
    new_storage(tmp_path).close()
    member_id, fresh = open_identity(tmp_path, first_start=True, ip="10.0.0.1")
    assert fresh
    assert member_id != "first-10.0.0.1"
    assert [path.name for path in tmp_path.iterdir()] == ["identity"]
