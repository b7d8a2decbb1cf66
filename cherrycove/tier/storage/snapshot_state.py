"""The state in a snapshot, as a sequence of blocks of which the final ones are stored once.

A state machine hands over the same ``StateBlock`` object in each snapshot for a part that does not change any
more. Such a block is compressed when it is made, kept in that form in memory and on disk, and written for the
first snapshot only (``block_packs``); so a snapshot costs what has changed since the one before.
"""

from __future__ import annotations

import struct
import zlib
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate

import attrs

from cherrycove.tier.storage.errors import DamagedStorageError

COMPRESSION_LEVEL = 1  # 3 ms for 100 KB of text on one core; level 6 takes half as long again for 3% less
MIN_PACKED_STATE_BYTES = (
    1024 * 1024
)  # of a state; below it a second file costs more syncs than it saves bytes
_BLOCK_HEADER = struct.Struct(
    "<BII"
)  # whether it is final, length as stored, length of its part of the state


@attrs.frozen(eq=False)
class StateBlock:
    """One part of a state. Equal only to itself: storage knows by the object what it has stored already."""

    content: bytes = attrs.field(repr=False)  # as stored; of a final block compressed (zlib)
    state_bytes: int  # length of the part of the state that the block stands for
    is_final: bool

    @classmethod
    def plain(cls, data: bytes) -> StateBlock:
        """A part that may be another one in the next snapshot."""
        return cls(data, len(data), is_final=False)

    @classmethod
    def final(cls, data: bytes) -> StateBlock:
        """A part that no later snapshot changes."""
        return cls(zlib.compress(data, COMPRESSION_LEVEL), len(data), is_final=True)

    def data(self) -> bytes:
        """The part of the state. Raises ``DamagedStorageError`` where the content is not that of a block."""
        return decode_content(self.content, self.state_bytes, is_final=self.is_final)


def decode_content(content: bytes, state_bytes: int, *, is_final: bool) -> bytes:
    """The part of a state that ``content`` of a block stands for; ``DamagedStorageError`` if it is none."""
    if not is_final:
        return content
    try:
        data = zlib.decompress(content, bufsize=max(state_bytes, 1))
    except zlib.error as error:
        raise DamagedStorageError(f"a block cannot be decompressed: {error}") from error
    if len(data) != state_bytes:
        raise DamagedStorageError(f"a block has {len(data)} bytes, not {state_bytes}")
    return data


def read_pieces(lengths: Sequence[int], read: Callable[[int], bytes], offset: int, size: int) -> bytes:
    """Return ``size`` bytes from ``offset`` on of pieces that follow one another, fewer at their end.

    ``lengths`` are those of the pieces; ``read`` returns the piece of a number, and is called for those
    that are needed.
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
    """A state as its blocks, in order. Compares, counts and slices like the bytes that they stand for."""

    def __init__(self, blocks: Iterable[StateBlock]) -> None:
        self.blocks = tuple(block for block in blocks if block.state_bytes)
        self._state_bytes = sum(block.state_bytes for block in self.blocks)

    @classmethod
    def of(cls, state: bytes | SnapshotState) -> SnapshotState:
        """``state`` itself, or as one plain block."""
        return state if isinstance(state, SnapshotState) else cls([StateBlock.plain(state)])

    def __len__(self) -> int:
        return self._state_bytes

    def __bytes__(self) -> bytes:
        return b"".join(block.data() for block in self.blocks)

    def __getitem__(self, part: slice) -> bytes:
        start, stop, step = part.indices(len(self))
        if step != 1:
            raise ValueError("a state is read from its start to its end")
        lengths = [block.state_bytes for block in self.blocks]
        return read_pieces(lengths, lambda number: self.blocks[number].data(), start, max(stop - start, 0))

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
        """Whether final blocks are stored and sent as they are. A small state is one run of bytes instead."""
        return len(self) >= MIN_PACKED_STATE_BYTES and any(block.is_final for block in self.blocks)

    @property
    def rewritten_bytes(self) -> int:
        """Length of the parts that each snapshot writes again."""
        if not self.uses_packs:
            return len(self)
        return sum(block.state_bytes for block in self.blocks if not block.is_final)

    # The encoded form, in which a state with final blocks is sent to another replica.

    @property
    def encoded_lengths(self) -> list[int]:
        """Length of each block in the encoded form."""
        return [_BLOCK_HEADER.size + len(block.content) for block in self.blocks]

    def read(self, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Return ``size`` bytes from ``offset`` on of the state, or of its encoded form; fewer at its end."""
        if not encoded:
            return self[offset : offset + size]
        return read_pieces(self.encoded_lengths, self._encoded_block, offset, size)

    def _encoded_block(self, number: int) -> bytes:
        block = self.blocks[number]
        return encode_block(block.content, block.state_bytes, is_final=block.is_final)

    @classmethod
    def decode(cls, encoded: bytes) -> SnapshotState:
        """The state of an encoded form; ``DamagedStorageError`` if it is none."""
        blocks: list[StateBlock] = []
        offset = 0
        while offset < len(encoded):
            if offset + _BLOCK_HEADER.size > len(encoded):
                raise DamagedStorageError("an encoded state ends early")
            is_final, length, state_bytes = _BLOCK_HEADER.unpack_from(encoded, offset)
            offset += _BLOCK_HEADER.size
            content = encoded[offset : offset + length]
            if len(content) < length or (not is_final and length != state_bytes):
                raise DamagedStorageError("an encoded state ends early")
            blocks.append(StateBlock(content, state_bytes, is_final=bool(is_final)))
            offset += length
        return cls(blocks)


def encode_block(content: bytes, state_bytes: int, *, is_final: bool) -> bytes:
    """One block in the encoded form of a state."""
    return _BLOCK_HEADER.pack(is_final, len(content), state_bytes) + content


def encoded_length(content_bytes: int) -> int:
    """Length of a block in the encoded form, with a content of ``content_bytes``."""
    return _BLOCK_HEADER.size + content_bytes
