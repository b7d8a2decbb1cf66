"""Summaries of requests by minute for an hour, within a limit of bytes, for what no longer fits as records.

Each minute has a space-saving table of volumes and reasons, counts by verdict and reason, and quantile
sketches of latency by node and class. The size does not grow with the number of requests, volumes, nodes or
ids, and every estimate has a stated error.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from heapq import nlargest
from typing import Any

MINUTES = 60
TABLE_ENTRIES = 32  # pairs of volume and reason per minute
MAX_LATENCY_SKETCHES = 48  # pairs of node and class per minute
ACCURACY = 0.05  # relative error of a latency quantile
BINS = 96  # per sketch; they cover four powers of ten at this accuracy
OPEN_MINUTE_BYTES = 176 * 1024  # size of a full open minute, with a margin of a fifth
PACKED_MINUTE_OVERHEAD = 128  # bytes of the objects around a packed minute


class SpaceSaving:
    """The most frequent keys of a stream in a fixed number of entries.

    Space-Saving (Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and Top-k Elements in
    Data Streams", 2005). A count is never too low, and too high by no more than its error. Whatever makes up
    more than 1 / ``size`` of the stream is in the table.
    """

    __slots__ = ("size", "total", "_counts")

    def __init__(self, size: int) -> None:
        self.size, self.total = size, 0
        self._counts: dict[tuple[str, int], list[int]] = {}  # count, error

    def add(self, key: tuple[str, int], amount: int = 1, error: int = 0) -> None:
        """Count a key. In a full table it replaces the least frequent one and inherits its count as error."""
        self.total += amount
        entry = self._counts.get(key)
        if entry is not None:
            entry[0] += amount
            entry[1] += error
        elif len(self._counts) < self.size:
            self._counts[key] = [amount, error]
        else:
            least = min(self._counts, key=lambda each: self._counts[each][0])
            replaced_count = self._counts.pop(least)[0]
            self._counts[key] = [replaced_count + amount, replaced_count + error]

    def top(self, most: int) -> list[tuple[tuple[str, int], int, int]]:
        """Return key, count and error of the ``most`` most frequent keys."""
        rows = ((key, count, error) for key, (count, error) in self._counts.items())
        return nlargest(most, rows, key=lambda row: (row[1], row[0]))

    def merge(self, other: SpaceSaving) -> None:
        """Add another table to this one."""
        total = self.total + other.total
        for key, (count, error) in other._counts.items():
            self.add(key, count, error)
        self.total = total


@dataclass(slots=True)
class Minute:
    """The counts of one minute. ``number`` counts minutes of the machine's monotonic clock."""

    number: int
    counts: Counter[tuple[str, int]] = field(default_factory=Counter)  # by verdict and code
    volumes: SpaceSaving = field(default_factory=lambda: SpaceSaving(TABLE_ENTRIES))
    latency: dict[tuple[str, int], Any] = field(default_factory=dict)  # sketches by node and class
    unsketched: int = 0  # latencies not counted, as there were ``MAX_LATENCY_SKETCHES`` sketches


class Sketches:
    """The minutes of the last hour in ``capacity`` bytes: the current one open, earlier ones packed."""

    def __init__(self, capacity: int, minutes: int = MINUTES) -> None:
        # Imported here: a process whose decision log is disabled must not pay for them.
        import msgpack  # type: ignore[import-untyped]  # a packed minute takes a twentieth of the bytes of its objects
        from ddsketch import LogCollapsingLowestDenseDDSketch  # mergeable, with a stated error

        self._msgpack = msgpack
        self._sketch: Callable[[], Any] = partial(LogCollapsingLowestDenseDDSketch, ACCURACY, BINS)
        self._packed_capacity = capacity - OPEN_MINUTE_BYTES
        if self._packed_capacity < 0:
            raise ValueError(f"sketches need at least {OPEN_MINUTE_BYTES} bytes, got {capacity}")
        self._max_minutes = minutes
        self._packed: deque[tuple[int, bytes]] = deque()
        self._packed_bytes = 0
        self._open: Minute | None = None
        self._open_until = 0.0  # s: end of the open minute

    def footprint(self) -> int:
        """Return an upper bound of the bytes in use: the open minute at its largest, and the packed ones."""
        return OPEN_MINUTE_BYTES + self._packed_bytes

    def _minute(self, now: float) -> Minute:
        if self._open is None or now >= self._open_until:
            if self._open is not None:
                self._pack_minute(self._open)
            self._open = Minute(int(now // 60))
            self._open_until = (self._open.number + 1) * 60.0
        return self._open

    def count_end(self, now: float, verdict: str, code: int, volume: str) -> None:
        """Count an ended request."""
        minute = self._minute(now)
        minute.counts[verdict, code] += 1
        if verdict != "served":
            minute.volumes.add((volume, code))

    def count_answer(self, now: float, node: str, cls: int, latency: float) -> None:
        """Count an answer that was complete ``latency`` seconds after its attempt began."""
        minute = self._minute(now)
        sketch = minute.latency.get((node, cls))
        if sketch is None:
            if len(minute.latency) >= MAX_LATENCY_SKETCHES:
                minute.unsketched += 1
                return
            sketch = minute.latency[node, cls] = self._sketch()
        sketch.add(latency)

    def _pack_minute(self, minute: Minute) -> None:
        series = []
        for (node, cls), sketch in minute.latency.items():
            store = sketch._store
            series.append([node, cls, store.offset, [int(count) for count in store.bins]])
        packed: bytes = self._msgpack.packb(
            [
                [[*key, count] for key, count in minute.counts.items()],
                [[*key, count, error] for key, count, error in minute.volumes.top(TABLE_ENTRIES)],
                minute.volumes.total,
                series,
                minute.unsketched,
            ]
        )
        self._packed.append((minute.number, packed))
        self._packed_bytes += len(packed) + PACKED_MINUTE_OVERHEAD
        while self._packed and (
            self._packed_bytes > self._packed_capacity or len(self._packed) >= self._max_minutes
        ):
            self._packed_bytes -= len(self._packed.popleft()[1]) + PACKED_MINUTE_OVERHEAD

    def minutes(self, since: float) -> Iterator[Minute]:
        """Yield all minutes from the one of ``since`` on, oldest first."""
        for number, packed in list(self._packed):
            if number >= int(since // 60):
                yield self._unpack_minute(number, packed)
        if self._open is not None and self._open.number >= int(since // 60):
            yield self._open

    def _unpack_minute(self, number: int, packed: bytes) -> Minute:
        counts, volumes, total, series, unsketched = self._msgpack.unpackb(packed)
        minute = Minute(number, unsketched=unsketched)
        for verdict, code, count in counts:
            minute.counts[verdict, code] = count
        for volume, code, count, error in volumes:
            minute.volumes.add((volume, code), count, error)
        minute.volumes.total = total
        for node, cls, offset, bins in series:
            sketch = minute.latency[node, cls] = self._sketch()
            for position, count in enumerate(bins):
                if count:
                    sketch.add(sketch._mapping.value(position + offset), count)
        return minute

    def latency(self, since: float) -> dict[tuple[str, int], Any]:
        """Return latency sketches by node and class over all minutes from the one of ``since`` on."""
        merged: dict[tuple[str, int], Any] = {}
        for minute in self.minutes(since):
            for key, each in minute.latency.items():
                merged.setdefault(key, self._sketch()).merge(each)
        return merged

    def volumes(self, since: float) -> SpaceSaving:
        """Return the table of volumes and reasons over all minutes from the one of ``since`` on."""
        merged = SpaceSaving(TABLE_ENTRIES * 4)
        for minute in self.minutes(since):
            merged.merge(minute.volumes)
        return merged

    def counts(self, since: float) -> Counter[tuple[str, int]]:
        """Return the counts by verdict and reason over all minutes from the one of ``since`` on."""
        return sum((minute.counts for minute in self.minutes(since)), Counter())
