"""Which ids have been here of late, in a few bits each, for those whose record has been given up.

It owns a Bloom filter in two generations. It must never say of an id that was here lately that it was not,
and never grow; it may say of one in a hundred strangers that they were.

A generation takes as many ids as keep it under one in a hundred; then the other one, the older, is emptied
and takes over. So what is told covers at least the ids of one generation, and both start times are known.
"""

from __future__ import annotations

import sys
from math import log

WRONG = 0.01  # of strangers that are taken for known, for one generation
PROBES = 4
LEAST = 1024  # bytes


class Seen:
    """``room`` bytes in all. Ids are told by their 64-bit hash."""

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
        return 512 + sys.getsizeof(self._now) + sys.getsizeof(self._before)

    def add(self, hashed: int, now: float) -> None:
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
