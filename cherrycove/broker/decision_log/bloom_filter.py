"""A Bloom filter of recent request ids, which tells whether an id without a record has arrived.

It has two generations: when the current one is full, it replaces the previous one, and an empty one becomes
current. The filter covers at least the ids of one full generation, and keeps the start times of both. It has
no false negatives for the ids that it covers, and at most 2% false positives.
"""

from __future__ import annotations

import sys
from math import log

FALSE_POSITIVE_RATE = 0.01  # of one generation
PROBES = 4
MIN_GENERATION_BYTES = 1024


class RotatingBloomFilter:
    """A filter of ``capacity_bytes`` bytes in all. Ids are given by their 64-bit hash."""

    def __init__(self, capacity_bytes: int, now: float) -> None:
        size = max(capacity_bytes - 512, 2 * MIN_GENERATION_BYTES) // 2
        bits = 1 << (size * 8).bit_length() - 1
        self._mask, self._shift = bits - 1, bits.bit_length() - 1
        self._current, self._previous = bytearray(bits // 8), bytearray(bits // 8)
        # The solution for n of (1 - e^(-kn/m))^k = FALSE_POSITIVE_RATE, with m bits and k probes.
        self.max_ids = int(-bits / PROBES * log(1 - FALSE_POSITIVE_RATE ** (1 / PROBES)))
        self.count = 0
        self.since, self._current_since = now, now  # s: starts of the previous and the current generation

    def footprint(self) -> int:
        """Return the bytes in use."""
        return 512 + sys.getsizeof(self._current) + sys.getsizeof(self._previous)

    def add(self, hashed: int, now: float) -> None:
        """Add an id. If the current generation is full, start a new one at ``now``."""
        if self.count >= self.max_ids:
            self._current, self._previous = bytearray(len(self._current)), self._current
            self.since, self._current_since, self.count = self._current_since, now, 0
        bits, mask, step = self._current, self._mask, (hashed >> 32) | 1
        for _ in range(PROBES):
            hashed += step
            position = hashed & mask
            bits[position >> 3] |= 1 << (position & 7)
        self.count += 1

    def __contains__(self, hashed: int) -> bool:
        step, in_current, in_previous = (hashed >> 32) | 1, True, True
        for _ in range(PROBES):
            hashed += step
            position = hashed & self._mask
            bit = 1 << (position & 7)
            in_current = in_current and bool(self._current[position >> 3] & bit)
            in_previous = in_previous and bool(self._previous[position >> 3] & bit)
        return in_current or in_previous
