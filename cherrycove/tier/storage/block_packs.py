"""Pack files: the final blocks of the states of one replica, each stored once.

A snapshot names the blocks that it consists of; those that are not on the disk yet are written into a new
pack before it. Packs are never changed. One that the newest durable snapshot names no block of is removed.
"""

from __future__ import annotations

import re
import zlib
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import replace_file
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock

GARBAGE_FRACTION = 0.0625  # of the blocks in use that packs may hold beside them, before some are rewritten
GARBAGE_BYTES = 256 * 1024  # that are never rewritten
MAX_PACKS = 64  # beyond which small ones are joined: a start opens each
MAX_REWRITTEN_BYTES = 4 * 1024 * 1024  # of blocks in use, with one snapshot
_PACK_NAME = re.compile(r"blocks-(\d{16})")


@attrs.frozen
class BlockLocation:
    """Where the content of a block is stored. ``pack`` 0 is the snapshot file itself."""

    pack: int
    offset: int
    stored_bytes: int
    state_bytes: int
    checksum: int  # CRC-32 of the content

    @property
    def is_final(self) -> bool:
        """Whether the block is final, and its content compressed."""
        return self.pack > 0


@attrs.frozen
class PackPlan:
    """The blocks of a state that have to be written with its snapshot, in a new pack."""

    blocks: Sequence[StateBlock]

    @property
    def size_bytes(self) -> int:
        """Size of the pack."""
        return sum(len(block.content) for block in self.blocks)


def pack_path(directory: Path, number: int) -> Path:
    """Return the path of a pack."""
    return directory / f"blocks-{number:016d}"


def read_content(path: Path, location: BlockLocation) -> bytes:
    """Read the content of a block. Raises ``DamagedStorageError`` where it is not what was stored."""
    with path.open("rb") as file:
        file.seek(location.offset)
        content = file.read(location.stored_bytes)
    if len(content) != location.stored_bytes or zlib.crc32(content) != location.checksum:
        raise DamagedStorageError(f"{path}: wrong checksum of a block")
    return content


class BlockPacks:
    """The packs of one replica, and where each block that it knows is stored.

    ``ReplicaStorage`` owns it. One thread at a time uses it, but for ``size_bytes``. A number is used once:
    a write that failed may have left a file.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._locations: dict[StateBlock, BlockLocation] = {}
        self._sizes: dict[int, int] = {}  # bytes of each pack that may be in use
        self._last_number = 0
        self.size_bytes = 0  # of all packs; other threads may read it

    def location(self, block: StateBlock) -> BlockLocation:
        """Where a final block is stored that was recovered or written."""
        return self._locations[block]

    def recover(self, blocks: Iterable[tuple[StateBlock, BlockLocation]]) -> None:
        """Begin with the final blocks of the newest snapshot; all packs that it does not name are removed."""
        self._locations = dict(blocks)
        used = {location.pack for location in self._locations.values()}
        self._sizes = {number: pack_path(self._directory, number).stat().st_size for number in used}
        self.size_bytes = sum(self._sizes.values())
        self._last_number = max(_pack_numbers(self._directory), default=0)
        self._remove_unused(used)

    def plan(self, state: SnapshotState) -> PackPlan:
        """Which blocks of ``state`` are to be written: new ones, and those of packs with much garbage."""
        final = _final_blocks(state)
        stored = [self._locations[block] for block in final if block in self._locations]
        rewritten = self._packs_to_rewrite(stored)
        return PackPlan(
            [
                block
                for block in final
                if block not in self._locations or self._locations[block].pack in rewritten
            ]
        )

    def write(self, plan: PackPlan) -> None:
        """Store the blocks of ``plan`` durably. After an ``OSError`` none of them counts as stored."""
        if not plan.blocks:
            return
        self._last_number += 1
        number = self._last_number
        replace_file(pack_path(self._directory, number), *(block.content for block in plan.blocks))
        offset = 0
        for block in plan.blocks:
            checksum = zlib.crc32(block.content)
            self._locations[block] = BlockLocation(
                number, offset, len(block.content), block.state_bytes, checksum
            )
            offset += len(block.content)
        self._sizes[number] = offset
        self.size_bytes += offset

    def keep_only(self, state: SnapshotState) -> None:
        """Forget all blocks that are not in ``state``, whose snapshot is durable, and remove unused packs."""
        self._locations = {block: self._locations[block] for block in _final_blocks(state)}
        used = {location.pack for location in self._locations.values()}
        self._sizes = {number: size for number, size in self._sizes.items() if number in used}
        self.size_bytes = sum(self._sizes.values())
        self._remove_unused(used)

    def _packs_to_rewrite(self, stored: Sequence[BlockLocation]) -> set[int]:
        used = Counter[int]()
        for location in stored:
            used[location.pack] += location.stored_bytes
        excess = sum(self._sizes[number] - used[number] for number in used)
        excess -= max(int(sum(used.values()) * GARBAGE_FRACTION), GARBAGE_BYTES)
        chosen: set[int] = set()
        budget = MAX_REWRITTEN_BYTES
        for number in sorted(used, key=lambda number: used[number] / self._sizes[number]):
            if excess <= 0 or used[number] > budget:
                break
            chosen.add(number)
            excess -= self._sizes[number] - used[number]
            budget -= used[number]
        too_many = len(used) - len(chosen) - MAX_PACKS
        for number in sorted(set(used) - chosen, key=used.__getitem__):
            if too_many < 0 or used[number] > budget:
                break
            chosen.add(number)
            too_many -= 1
            budget -= used[number]
        return chosen

    def _remove_unused(self, used: set[int]) -> None:
        for number in _pack_numbers(self._directory):
            if number not in used:
                pack_path(self._directory, number).unlink(missing_ok=True)


def _final_blocks(state: SnapshotState) -> list[StateBlock]:
    return [block for block in state.blocks if block.is_final] if state.uses_packs else []


def _pack_numbers(directory: Path) -> list[int]:
    names = (_PACK_NAME.fullmatch(path.name) for path in directory.iterdir())
    return sorted(int(name[1]) for name in names if name)
