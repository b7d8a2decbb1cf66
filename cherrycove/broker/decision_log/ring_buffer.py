"""A ring buffer of records that drops the oldest first, with hash chains and time marks as indexes.

Positions grow with each record; a record's offset is its position modulo the buffer's size. Two arrays hold
the position of the newest record of each hash bucket (by id and by volume), and each record holds the
positions of the next older records in its two chains. A chain runs from new to old, so the first overwritten
position ends a walk, and nothing is ever deleted from the index.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterator

from cherrycove.broker.decision_log.codec import ENDED_OFFSET, HEADER, LINKS, LINKS_OFFSET, U32_MASK, whole_ms

MARK_INTERVAL = 64  # records between two time marks
MIN_CAPACITY = 4096  # bytes
BYTES_PER_BUCKET = 96  # bytes of capacity for each bucket of an index
OBJECT_OVERHEAD = 1024  # bytes of the objects around the arrays


class RingBuffer:
    """A ring buffer of ``capacity`` bytes in all, indexes and marks included.

    Raises:
        ValueError: the capacity is below ``MIN_CAPACITY``.
    """

    def __init__(self, capacity: int) -> None:
        if capacity < MIN_CAPACITY:
            raise ValueError(f"a ring buffer needs at least {MIN_CAPACITY} bytes, got {capacity}")
        buckets = 1 << max((capacity // BYTES_PER_BUCKET).bit_length() - 1, 4)
        self._mask = buckets - 1
        self._ids, self._volumes = array("I", bytes(4 * buckets)), array("I", bytes(4 * buckets))
        # The smallest record has a header and two empty names, which bounds the number of marks.
        marks = (capacity // (HEADER.size + 2)) // MARK_INTERVAL + 2
        self._mark_positions, self._mark_ms = array("Q", bytes(8 * marks)), array("Q", bytes(8 * marks))
        self._first_mark = self._next_mark = 0  # numbers of the oldest held mark and of the next one
        own = sum(map(sys.getsizeof, (self._ids, self._volumes, self._mark_positions, self._mark_ms)))
        self.size = capacity - own - OBJECT_OVERHEAD - sys.getsizeof(bytearray()) - 1
        self._data = bytearray(self.size)
        self.head = self.tail = self.size  # positions start above 0, as a link of 0 means none
        self.count = self.dropped = self.added = 0
        self.dropped_until = 0.0  # s: when the request of the newest dropped record ended
        self._since_mark = 0
        self._last_ms = 0

    def footprint(self) -> int:
        """Return the bytes in use, which do not depend on the records."""
        return OBJECT_OVERHEAD + sum(
            map(sys.getsizeof, (self._data, self._ids, self._volumes, self._mark_positions, self._mark_ms))
        )

    def add(self, record: bytes, id_hash: int, volume_hash: int, ended_at: float) -> int:
        """Insert a record and return its position.

        A record larger than a quarter of the buffer is rejected and counted as dropped; the result is 0.
        """
        size = len(record)
        if size > self.size // 4:
            self.dropped += 1
            return 0
        at = self.head % self.size
        if at + size > self.size or not self.head & U32_MASK:
            self._evict(self.size - at)
            if self.size - at >= 2:
                self._data[at : at + 2] = b"\0\0"  # size 0: empty up to the end of the buffer
            self.head += self.size - at
            at = 0
        if self.head + size - self.tail > self.size:
            self._evict(size)
        position, data, ids, volumes = self.head, self._data, self._ids, self._volumes
        data[at : at + size] = record
        by_id, by_volume = id_hash & self._mask, volume_hash & self._mask
        LINKS.pack_into(data, at + LINKS_OFFSET, ids[by_id], volumes[by_volume])
        ids[by_id] = volumes[by_volume] = position & U32_MASK
        if not self._since_mark:
            slot = self._next_mark % len(self._mark_positions)
            self._mark_positions[slot], self._mark_ms[slot] = position, whole_ms(ended_at)
            self._next_mark += 1
            self._first_mark = max(self._first_mark, self._next_mark - len(self._mark_positions))
        self._since_mark = (self._since_mark + 1) % MARK_INTERVAL
        self.head += size
        self.count += 1
        self.added += 1
        self._last_ms = whole_ms(ended_at)
        return position

    def _evict(self, needed: int) -> None:
        """Drop the oldest records until ``needed`` more bytes fit."""
        least, last = self.head + needed - self.size, -1
        while self.tail < least:
            at = self.tail % self.size
            size = self._size(at)
            if size:
                last = at
                self.count -= 1
                self.dropped += 1
                self.tail += size
            else:
                self.tail += self.size - at
        if last >= 0:
            self.dropped_until = self._when(last)

    def _size(self, at: int) -> int:
        return int.from_bytes(self._data[at : at + 2], "little") if self.size - at >= 2 else 0

    def _when(self, at: int) -> float:
        low = int.from_bytes(self._data[at + ENDED_OFFSET : at + ENDED_OFFSET + 4], "little")
        return (self._last_ms - ((self._last_ms - low) & U32_MASK)) / 1000

    def _position(self, link: int) -> int:
        """Return the position with these low 32 bits; 0 if the link is empty or its record is overwritten."""
        if not link:
            return 0
        position = self.head - ((self.head - link) & U32_MASK)
        return position if self.tail <= position < self.head else 0

    def by_id(self, id_hash: int) -> Iterator[int]:
        """Yield the offsets in ``data`` of the records in the id's bucket, newest first.

        Ids that share the bucket are included; the caller has to compare.
        """
        return self._chain(self._ids[id_hash & self._mask], 0)

    def by_volume(self, volume_hash: int) -> Iterator[int]:
        """Yield the offsets of the records in the volume's bucket, as ``by_id`` does."""
        return self._chain(self._volumes[volume_hash & self._mask], 1)

    def _chain(self, link: int, which: int) -> Iterator[int]:
        before = self.head
        # The caller may pause between two records; a record overwritten meanwhile ends the walk.
        while (position := self._position(link)) and position < before:
            at = position % self.size
            link, before = LINKS.unpack_from(self._data, at + LINKS_OFFSET)[which], position
            yield at

    def since(self, when: float) -> Iterator[int]:
        """Yield the offsets of all records that ended at ``when`` or later, oldest first.

        A few earlier records come before them, as marks are ``MARK_INTERVAL`` records apart.
        """
        position, wanted = self.tail, whole_ms(when)
        low, high = self._first_mark, self._next_mark
        while low < high:
            middle = (low + high) // 2
            if self._mark_ms[middle % len(self._mark_ms)] < wanted:
                low = middle + 1
            else:
                high = middle
        if low > self._first_mark:
            position = max(self._mark_positions[(low - 1) % len(self._mark_positions)], self.tail)
        while position < self.head:
            # Records overwritten since the last step are skipped.
            position = max(position, self.tail)
            at = position % self.size
            size = self._size(at)
            if not size:
                position += self.size - at
                continue
            yield at
            position += size

    @property
    def data(self) -> bytearray:
        """The bytes of the buffer, in which offsets count."""
        return self._data

    def record(self, at: int) -> bytes:
        """Return the bytes of the record at this offset."""
        return bytes(self._data[at : at + self._size(at)])
