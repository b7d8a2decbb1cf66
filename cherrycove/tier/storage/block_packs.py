"""Pack files, which store each final block of a replica's snapshots once.

A snapshot refers to the blocks that it consists of; those that are not on disk yet are written to a new pack
before the snapshot. Packs are immutable. A pack is removed once the newest durable snapshot refers to none of
its blocks.
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

# Unused blocks in packs are tolerated up to the larger of these limits; above it some packs are rewritten.
GARBAGE_FRACTION = 0.0625  # fraction of the size of the blocks in use
GARBAGE_BYTES = 256 * 1024
MAX_PACKS = 64  # above this number small packs are merged, since recovery opens each pack
MAX_REWRITTEN_BYTES = 4 * 1024 * 1024  # limit on the blocks in use that one snapshot rewrites
_PACK_NAME = re.compile(r"blocks-(\d{16})")


@attrs.frozen
class BlockLocation:
    """Location of the stored content of a block. ``pack`` 0 stands for the snapshot file itself."""

    pack: int
    offset: int
    stored_bytes: int
    state_bytes: int
    checksum: int  # CRC-32 of the content

    @property
    def is_final(self) -> bool:
        """Whether the block is final; the content of a final block is compressed."""
        return self.pack > 0


@attrs.frozen
class PackPlan:
    """Blocks of a state that must be written to a new pack together with its snapshot."""

    blocks: Sequence[StateBlock]

    @property
    def size_bytes(self) -> int:
        """Size of the new pack."""
        return sum(len(block.content) for block in self.blocks)


def pack_path(directory: Path, number: int) -> Path:
    """Return the path of a pack."""
    return directory / f"blocks-{number:016d}"


def read_content(path: Path, location: BlockLocation) -> bytes:
    """Read the content of a block. Raises ``DamagedStorageError`` if its length or checksum is wrong."""
    with path.open("rb") as file:
        file.seek(location.offset)
        content = file.read(location.stored_bytes)
    if len(content) != location.stored_bytes or zlib.crc32(content) != location.checksum:
        raise DamagedStorageError(f"{path}: wrong checksum of the block at byte {location.offset}")
    return content


class BlockPacks:
    """Manages the packs of one replica and the locations of the final blocks in them.

    Owned by ``ReplicaStorage``. Only one thread at a time may use it, except for reading ``size_bytes``. A
    pack number is never reused, since a failed write may have left a file.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._locations: dict[StateBlock, BlockLocation] = {}
        self._sizes: dict[int, int] = {}  # size in bytes of each referenced pack, by its number
        self._last_number = 0
        self.size_bytes = 0  # total size of the packs; may be read by other threads

    def location(self, block: StateBlock) -> BlockLocation:
        """Return where a final block that was recovered or written is stored."""
        return self._locations[block]

    def recover(self, blocks: Iterable[tuple[StateBlock, BlockLocation]]) -> None:
        """Register the final blocks of the newest snapshot, and remove packs that it does not refer to."""
        self._locations = dict(blocks)
        used = {location.pack for location in self._locations.values()}
        self._sizes = {number: pack_path(self._directory, number).stat().st_size for number in used}
        self.size_bytes = sum(self._sizes.values())
        self._last_number = max(_pack_numbers(self._directory), default=0)
        self._remove_unused(used)

    def plan(self, state: SnapshotState) -> PackPlan:
        """Return the blocks of ``state`` to write: new ones, and those of packs that are to be rewritten."""
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
        """Store the blocks of ``plan`` durably. If this raises ``OSError``, none of them counts as stored."""
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

    def retain_only(self, state: SnapshotState) -> None:
        """Drop all blocks that are not in ``state``, whose snapshot is durable, and remove unused packs."""
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
