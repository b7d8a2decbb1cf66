"""A Bloom filter of recent request ids, for those whose record was dropped.

Two generations: when the younger is full, the older is emptied and takes over. What it says covers at least
the ids of one generation, and both start times are known. It never misses an id that it covers, and takes at
most two of a hundred unknown ids for known ones.
"""

from __future__ import annotations

import sys
from math import log

WRONG = 0.01  # false positive rate of one generation
PROBES = 4
LEAST = 1024  # bytes


class Seen:
    """The filter, of ``room`` bytes in all; ids are given by their 64-bit hash."""

    def __init__(self, room: int, now: float) -> None:
        size = max(room - 512, 2 * LEAST) // 2
        bits = 1 << (size * 8).bit_length() - 1
        self._mask, self._shift = bits - 1, bits.bit_length() - 1
        self._now, self._before = bytearray(bits // 8), bytearray(bits // 8)
        # (1 - e^(-kn/m))^k = WRONG, for n.
        self.most = int(-bits / PROBES * log(1 - WRONG ** (1 / PROBES)))
        self.count = 0
        self.since, self._started = now, now  # when the older generation began, and the younger

    def footprint(self) -> int:
        """Return the bytes that it holds."""
        return 512 + sys.getsizeof(self._now) + sys.getsizeof(self._before)

    def add(self, hashed: int, now: float) -> None:
        """Add an id; ``now`` becomes the start of a generation if it begins one."""
        if self.count >= self.most:
            self._now, self._before = bytearray(len(self._now)), self._now
            self.since, self._started, self.count = self._started, now, 0
        bits, mask, step = self._now, self._mask, (hashed >> 32) | 1
        for _ in range(PROBES):
            hashed += step
            place = hashed & mask
            bits[place >> 3] |= 1 << (place & 7)
        self.count += 1

    def __contains__(self, hashed: int) -> bool:
        step, young, old = (hashed >> 32) | 1, True, True
        for _ in range(PROBES):
            hashed += step
            place = hashed & self._mask
            bit = 1 << (place & 7)
            young = young and bool(self._now[place >> 3] & bit)
            old = old and bool(self._before[place >> 3] & bit)
        return young or old
