"""Snapshots whose final blocks are in packs: writing, retention, removal, verification and sending."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

import pytest

from cherrycove.tier.storage import block_packs, snapshot_state
from cherrycove.tier.storage.block_packs import MAX_REWRITTEN_BYTES
from cherrycove.tier.storage.errors import DamagedStorageError, DiskLimitError
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import ReplicaStorage
from cherrycove.tier.storage.snapshot_state import MIN_PACKED_STATE_BYTES, SnapshotState, StateBlock
from cherrycove.tier.storage.snapshots import Snapshot

BLOCK_BYTES = 40_000


@pytest.fixture(autouse=True)
def no_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable syncs, which matter only after a power failure (``test_storage_crashes.py``) and cost time."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)


def new_storage(directory: Path, limit_bytes: int = 0) -> ReplicaStorage:
    directory.mkdir(exist_ok=True)
    storage = ReplicaStorage(directory, limit_bytes)
    storage.recover()
    storage.write_hard_state(HardState(1, "someone"))
    return storage


def final_blocks(count: int, seed: int = 1, size: int = BLOCK_BYTES) -> list[StateBlock]:
    random = Random(seed)
    return [StateBlock.final(random.randbytes(size)) for _ in range(count)]


def state_of(final: list[StateBlock], plain: bytes = b"") -> SnapshotState:
    filler = StateBlock.plain(plain or bytes(MIN_PACKED_STATE_BYTES))
    return SnapshotState([filler, *final, StateBlock.plain(b"end")])


def save(storage: ReplicaStorage, index: int, state: SnapshotState) -> None:
    storage.save_snapshot(Snapshot(index, 1, b"members", state), [])


def packs(directory: Path) -> dict[str, int]:
    return {path.name: path.stat().st_size for path in sorted(directory.glob("blocks-*"))}


def test_a_final_block_is_written_with_its_first_snapshot_only(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    blocks = final_blocks(4)
    save(storage, 1, state_of(blocks[:2]))
    first = packs(tmp_path)
    save(storage, 2, state_of(blocks[:3], b"x" * MIN_PACKED_STATE_BYTES))
    second = packs(tmp_path)
    assert first.items() < second.items() and len(second) == 2
    assert sum(second.values()) == sum(len(block.content) for block in blocks[:3])
    assert (
        storage.size_bytes == sum(second.values()) + (tmp_path / "snapshot-0000000000000002").stat().st_size
    )
    save(storage, 3, state_of(blocks[3:]))
    assert sum(packs(tmp_path).values()) == len(blocks[3].content)
    storage.close()


def test_recovery_finds_the_blocks_and_does_not_write_them_again(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    state = state_of(final_blocks(3))
    save(storage, 1, state)
    storage.close()
    (tmp_path / "blocks-0000000000000077").write_bytes(b"left by a snapshot that was not finished")
    again = ReplicaStorage(tmp_path)
    found = again.recover().snapshot
    assert found is not None and found.state == state
    before = packs(tmp_path)
    assert "blocks-0000000000000077" not in before
    save(again, 2, SnapshotState([*found.state.blocks, *final_blocks(1, seed=2)]))
    assert before.items() < packs(tmp_path).items()
    assert "blocks-0000000000000077" not in packs(tmp_path), "a pack number was reused"
    again.close()


def test_a_small_state_is_stored_without_packs(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    state = SnapshotState(final_blocks(2, size=1000))
    save(storage, 1, state)
    assert packs(tmp_path) == {}
    assert storage.read_state(1, 990, 20) == bytes(state)[990:1010]
    storage.close()
    found = ReplicaStorage(tmp_path).recover().snapshot
    assert found is not None and found.state == state


@pytest.mark.parametrize("damage", ["flipped", "short", "missing"])
def test_a_damaged_pack_raises_an_error_and_is_not_sent(damage: str, tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    blocks = final_blocks(3)
    state = state_of(blocks)
    save(storage, 1, state)
    pack = tmp_path / next(iter(packs(tmp_path)))
    if damage == "missing":
        pack.unlink()
    else:
        data = pack.read_bytes()
        pack.write_bytes(data[:-1] + bytes([data[-1] ^ 1]) if damage == "flipped" else data[:-1])
    start = MIN_PACKED_STATE_BYTES
    assert storage.read_state(1, 0, 100) == bytes(100)
    assert storage.read_state(1, start + 2 * BLOCK_BYTES, 100) == b""
    encoded_bytes = sum(state.encoded_lengths)
    assert storage.read_state(1, 0, encoded_bytes, encoded=True) == b""
    storage.close()
    with pytest.raises(DamagedStorageError):
        ReplicaStorage(tmp_path).recover()


def test_a_state_is_read_from_any_position_in_either_form(tmp_path: Path) -> None:
    storage = new_storage(tmp_path)
    state = state_of(final_blocks(4))
    save(storage, 5, state)
    whole = bytes(state)
    encoded = storage.read_state(5, 0, 1 << 30, encoded=True)
    assert len(encoded) == sum(state.encoded_lengths) < len(whole) + 200
    random = Random(4)
    for _ in range(200):
        offset, size = (
            random.randrange(len(whole) + 10),
            random.choice((0, 1, 7, BLOCK_BYTES, 3 * BLOCK_BYTES)),
        )
        assert (
            storage.read_state(5, offset, size) == whole[offset : offset + size] == state.read(offset, size)
        )
        part = encoded[offset : offset + size]
        assert storage.read_state(5, offset, size, encoded=True) == part
        assert state.read(offset, size, encoded=True) == part
    assert storage.read_state(4, 0, 10) == b""
    decoded = SnapshotState.decode(encoded)
    assert decoded == state
    assert [block.is_final for block in decoded.blocks] == [block.is_final for block in state.blocks]
    storage.close()


def test_a_truncated_encoded_state_is_rejected() -> None:
    state = SnapshotState([StateBlock.plain(b"plain"), *final_blocks(2, size=20)])
    encoded = state.read(0, 1 << 20, encoded=True)
    ends = {0}
    for length in state.encoded_lengths:
        ends.add(max(ends) + length)
    for size in range(len(encoded)):
        if size in ends:
            assert len(SnapshotState.decode(encoded[:size])) < len(state)
            continue
        with pytest.raises(DamagedStorageError):
            SnapshotState.decode(encoded[:size])
    wrong = StateBlock(b"not compressed", 5, is_final=True)
    with pytest.raises(DamagedStorageError):
        wrong.data()
    longer = StateBlock(final_blocks(1, size=20)[0].content, 19, is_final=True)
    with pytest.raises(DamagedStorageError):
        longer.data()


def test_unused_blocks_in_packs_and_the_bytes_rewritten_by_one_snapshot_are_bounded(tmp_path: Path) -> None:
    """Blocks are dropped oldest first, like those of jobs, except for some that stay much longer."""
    storage = new_storage(tmp_path)
    random = Random(5)
    blocks: list[StateBlock] = []
    for index in range(1, 200):
        blocks += final_blocks(random.randrange(4), seed=index)
        if len(blocks) > 60:
            blocks = [block for number, block in enumerate(blocks) if number > 5 or random.random() < 0.3]
        before = set(packs(tmp_path))
        save(storage, index, state_of(list(blocks)))
        after = packs(tmp_path)
        in_use = sum(len(block.content) for block in blocks)
        written = sum(size for name, size in after.items() if name not in before)
        assert written <= MAX_REWRITTEN_BYTES + 4 * (BLOCK_BYTES + 100)
        bound = max(in_use * block_packs.GARBAGE_FRACTION, block_packs.GARBAGE_BYTES)
        assert sum(after.values()) <= in_use + bound + 4 * BLOCK_BYTES
        assert len(after) <= block_packs.MAX_PACKS + 1
    storage.close()


def test_a_snapshot_that_exceeds_the_limit_is_rejected_before_anything_is_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)
    storage = new_storage(tmp_path, limit_bytes=64 * 1024 + 3 * BLOCK_BYTES)
    blocks = final_blocks(3)
    save(storage, 1, SnapshotState(blocks[:1]))
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with pytest.raises(DiskLimitError):
        save(storage, 2, SnapshotState(blocks))
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    save(storage, 2, SnapshotState(blocks[:2]))
    storage.close()
