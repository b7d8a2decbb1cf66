"""A ring buffer of records, the oldest dropped first, indexed by hash chains and marks of time.

A record's position only grows; its offset is the position modulo the ring's size. Two arrays of heads hold
the newest position of each hash bucket (by id and by volume), and each record those of the next older in its
two chains. A chain runs from new to old, so the first overwritten position ends a walk, and nothing is ever
deleted from the index.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterator

from cherrycove.broker.decision_log.pack import ENDED_AT, HEAD, LINKS, LINKS_AT, MASK

MARK_EVERY = 64  # records between two marks of time
LEAST_ROOM = 4096  # bytes
EXPECTED = 96  # bytes a bucket of the index stands for
OWN = 1024  # bytes of the objects around the arrays


class Ring:
    """A ring of ``room`` bytes in all, index and marks included; ValueError if that is too little."""

    def __init__(self, room: int) -> None:
        if room < LEAST_ROOM:
            raise ValueError(f"a ring needs {LEAST_ROOM} bytes, not {room}")
        buckets = 1 << max((room // EXPECTED).bit_length() - 1, 4)
        self._mask = buckets - 1
        self._ids, self._volumes = array("I", bytes(4 * buckets)), array("I", bytes(4 * buckets))
        # The smallest record takes HEAD and two empty names, so there are never more marks than these.
        marks = (room // (HEAD.size + 2)) // MARK_EVERY + 2
        self._mark_at, self._mark_when = array("Q", bytes(8 * marks)), array("Q", bytes(8 * marks))
        self._first_mark = self._next_mark = 0  # marks ever dropped, and ever made
        own = sum(map(sys.getsizeof, (self._ids, self._volumes, self._mark_at, self._mark_when)))
        self.size = room - own - OWN - sys.getsizeof(bytearray()) - 1
        self._data = bytearray(self.size)
        self.head = self.tail = self.size  # positions; 0 in a link says that there is none
        self.count = self.lost = self.added = 0
        self.lost_until = 0.0  # s: when the newest dropped record had ended
        self._since_mark = 0
        self._last_ms = 0

    def footprint(self) -> int:
        """Return the bytes that it holds, whatever was inserted."""
        return OWN + sum(
            map(sys.getsizeof, (self._data, self._ids, self._volumes, self._mark_at, self._mark_when))
        )

    def add(self, record: bytes, id_hash: int, volume_hash: int, ended: float) -> int:
        """Insert a record and return its position; one larger than a quarter of the ring is rejected (0)."""
        need = len(record)
        if need > self.size // 4:
            self.lost += 1
            return 0
        at = self.head % self.size
        if at + need > self.size or not self.head & MASK:
            self._free(self.size - at)
            if self.size - at >= 2:
                self._data[at : at + 2] = b"\0\0"  # the rest of this lap is empty
            self.head += self.size - at
            at = 0
        if self.head + need - self.tail > self.size:
            self._free(need)
        place, data, ids, volumes = self.head, self._data, self._ids, self._volumes
        data[at : at + need] = record
        by_id, by_volume = id_hash & self._mask, volume_hash & self._mask
        LINKS.pack_into(data, at + LINKS_AT, ids[by_id], volumes[by_volume])
        ids[by_id] = volumes[by_volume] = place & MASK
        if not self._since_mark:
            slot = self._next_mark % len(self._mark_at)
            self._mark_at[slot], self._mark_when[slot] = place, int(ended * 1000)
            self._next_mark += 1
            self._first_mark = max(self._first_mark, self._next_mark - len(self._mark_at))
        self._since_mark = (self._since_mark + 1) % MARK_EVERY
        self.head += need
        self.count += 1
        self.added += 1
        self._last_ms = int(ended * 1000)
        return place

    def _free(self, need: int) -> None:
        """Drop the oldest until this much more fits."""
        least, last = self.head + need - self.size, -1
        while self.tail < least:
            at = self.tail % self.size
            size = self._size(at)
            if size:
                last = at
                self.count -= 1
                self.lost += 1
                self.tail += size
            else:
                self.tail += self.size - at
        if last >= 0:
            self.lost_until = self._when(last)

    def _size(self, at: int) -> int:
        return int.from_bytes(self._data[at : at + 2], "little") if self.size - at >= 2 else 0

    def _when(self, at: int) -> float:
        low = int.from_bytes(self._data[at + ENDED_AT : at + ENDED_AT + 4], "little")
        return (self._last_ms - ((self._last_ms - low) & MASK)) / 1000

    def _position(self, link: int) -> int:
        """Return the position that these low 32 bits stand for; 0 if there is none or it is overwritten."""
        if not link:
            return 0
        position = self.head - ((self.head - link) & MASK)
        return position if self.tail <= position < self.head else 0

    def by_id(self, id_hash: int) -> Iterator[int]:
        """Yield the offsets in ``data`` of the bucket's records, newest first; others may be among them."""
        return self._chain(self._ids[id_hash & self._mask], 0)

    def by_volume(self, volume_hash: int) -> Iterator[int]:
        """Yield offsets as ``by_id`` does, by volume."""
        return self._chain(self._volumes[volume_hash & self._mask], 1)

    def _chain(self, link: int, which: int) -> Iterator[int]:
        before = self.head
        # A caller may pause between two records; what was overwritten meanwhile ends the walk.
        while (position := self._position(link)) and position < before:
            at = position % self.size
            link, before = LINKS.unpack_from(self._data, at + LINKS_AT)[which], position
            yield at

    def since(self, when: float) -> Iterator[int]:
        """Yield the offsets of all records that ended then or later, oldest first, and of a few before."""
        position, wanted = self.tail, int(when * 1000)
        low, high = self._first_mark, self._next_mark
        while low < high:
            middle = (low + high) // 2
            if self._mark_when[middle % len(self._mark_when)] < wanted:
                low = middle + 1
            else:
                high = middle
        if low > self._first_mark:
            position = max(self._mark_at[(low - 1) % len(self._mark_at)], self.tail)
        while position < self.head:
            # What was overwritten since the last step is skipped, not read as what it was.
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
        """The bytes of the ring."""
        return self._data

    def record(self, at: int) -> bytes:
        """Return the bytes of the record at this offset."""
        return bytes(self._data[at : at + self._size(at)])
