"""The state in a snapshot, as a sequence of blocks; final blocks are stored only once.

For a part that will not change any more, a state machine passes the same ``StateBlock`` object with each
snapshot. Such a block is compressed when it is created, kept compressed in memory and on disk, and written
with the first snapshot only (``block_packs``), so the cost of a snapshot depends on what has changed since
the previous one.
"""

from __future__ import annotations

import struct
import zlib
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError

# zlib level 1 takes 3 ms for 100 KB of text on one core; level 6 takes 1.5 times as long and saves 3%.
COMPRESSION_LEVEL = 1
# Smaller states are stored in the snapshot file alone: a pack would cost more in syncs than it saves in
# bytes.
MIN_PACKED_STATE_BYTES = 1024 * 1024
# Whether the block is final, its length as stored, and the length of its part of the state.
_BLOCK_HEADER = struct.Struct("<BII")


@attrs.frozen(eq=False)
class StateBlock:
    """One part of a state.

    Blocks are compared by identity: storage recognizes blocks that it has already stored by the object.
    """

    content: bytes = attrs.field(repr=False)  # as stored: compressed (zlib) if the block is final
    state_bytes: int  # uncompressed length
    is_final: bool

    @classmethod
    def plain(cls, data: bytes) -> StateBlock:
        """Create a block for a part of the state that may change before the next snapshot."""
        return cls(data, len(data), is_final=False)

    @classmethod
    def final(cls, data: bytes) -> StateBlock:
        """Create a block for a part of the state that never changes again."""
        return cls(zlib.compress(data, COMPRESSION_LEVEL), len(data), is_final=True)

    def data(self) -> bytes:
        """Return the uncompressed data. Raises ``DamagedStorageError`` if the content is invalid."""
        return decode_content(self.content, self.state_bytes, is_final=self.is_final)


def decode_content(content: bytes, state_bytes: int, *, is_final: bool) -> bytes:
    """Return the uncompressed data of a block. Raises ``DamagedStorageError`` if ``content`` is invalid."""
    if not is_final:
        return content
    try:
        data = zlib.decompress(content, bufsize=max(state_bytes, 1))
    except zlib.error as error:
        raise DamagedStorageError(f"block cannot be decompressed: {error}") from error
    if len(data) != state_bytes:
        raise DamagedStorageError(f"block has {len(data)} bytes after decompression, expected {state_bytes}")
    return data


def read_range(lengths: Sequence[int], read: Callable[[int], bytes], offset: int, size: int) -> bytes:
    """Return ``size`` bytes at ``offset`` of the concatenation of several blocks, fewer at its end.

    ``lengths`` are the lengths of the blocks; ``read`` returns the block with a given number, and is called
    only for the blocks within the range.
    """
    ends = list(accumulate(lengths))
    number = bisect_right(ends, offset)
    parts: list[bytes] = []
    end = offset + size
    while number < len(ends) and ends[number] - lengths[number] < end:
        start = ends[number] - lengths[number]
        parts.append(read(number)[max(offset - start, 0) : end - start])
        number += 1
    return b"".join(parts)


class SnapshotState:
    """A state as a sequence of blocks. Comparison, length and slicing are those of its uncompressed bytes."""

    def __init__(self, blocks: Iterable[StateBlock]) -> None:
        self.blocks = tuple(block for block in blocks if block.state_bytes)
        self._state_bytes = sum(block.state_bytes for block in self.blocks)

    @classmethod
    def of(cls, state: bytes | SnapshotState) -> SnapshotState:
        """Return ``state`` itself, or bytes wrapped in one plain block."""
        return state if isinstance(state, SnapshotState) else cls([StateBlock.plain(state)])

    def __len__(self) -> int:
        return self._state_bytes

    def __bytes__(self) -> bytes:
        return b"".join(block.data() for block in self.blocks)

    def __getitem__(self, part: slice) -> bytes:
        start, stop, step = part.indices(len(self))
        if step != 1:
            raise ValueError("slices of a state must have step 1")
        lengths = [block.state_bytes for block in self.blocks]
        return read_range(lengths, lambda number: self.blocks[number].data(), start, max(stop - start, 0))

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, SnapshotState | bytes):
            return NotImplemented
        return len(self) == len(other) and bytes(self) == bytes(other)

    def __hash__(self) -> int:
        return hash(bytes(self))

    def __repr__(self) -> str:
        return f"SnapshotState({len(self)} bytes in {len(self.blocks)} blocks)"

    @property
    def uses_packs(self) -> bool:
        """Whether final blocks are stored in packs and sent compressed; small states are plain bytes."""
        return len(self) >= MIN_PACKED_STATE_BYTES and any(block.is_final for block in self.blocks)

    @property
    def rewritten_bytes(self) -> int:
        """Uncompressed size of the parts that every snapshot writes anew."""
        if not self.uses_packs:
            return len(self)
        return sum(block.state_bytes for block in self.blocks if not block.is_final)

    # The encoded form keeps final blocks compressed; it is sent to other replicas.

    @property
    def encoded_lengths(self) -> list[int]:
        """Length of each block in the encoded form."""
        return [_BLOCK_HEADER.size + len(block.content) for block in self.blocks]

    def read(self, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Return ``size`` bytes at ``offset`` of the state, or of its encoded form; fewer at the end."""
        if not encoded:
            return self[offset : offset + size]
        return read_range(self.encoded_lengths, self._encoded_block, offset, size)

    def _encoded_block(self, number: int) -> bytes:
        block = self.blocks[number]
        return encode_block(block.content, block.state_bytes, is_final=block.is_final)

    @classmethod
    def decode(cls, encoded: bytes) -> SnapshotState:
        """Decode the encoded form. Raises ``DamagedStorageError`` if it is truncated or invalid."""
        blocks: list[StateBlock] = []
        offset = 0
        while offset < len(encoded):
            if offset + _BLOCK_HEADER.size > len(encoded):
                raise DamagedStorageError(f"encoded state truncated in the block header at byte {offset}")
            is_final, length, state_bytes = _BLOCK_HEADER.unpack_from(encoded, offset)
            offset += _BLOCK_HEADER.size
            content = encoded[offset : offset + length]
            if len(content) < length or (not is_final and length != state_bytes):
                raise DamagedStorageError(f"encoded state truncated or invalid in the block at byte {offset}")
            blocks.append(StateBlock(content, state_bytes, is_final=bool(is_final)))
            offset += length
        return cls(blocks)


def encode_block(content: bytes, state_bytes: int, *, is_final: bool) -> bytes:
    """Return one block in the encoded form of a state."""
    return _BLOCK_HEADER.pack(is_final, len(content), state_bytes) + content


def encoded_length(content_bytes: int) -> int:
    """Return the length of a block in the encoded form if its content has ``content_bytes``."""
    return _BLOCK_HEADER.size + content_bytes
