"""The decision log: a record of every request that has ended, however it ended, within one limit of bytes.

It combines a ring buffer for notable records, which are likely to be queried, one for routine records, and
one for the records of a predecessor process with the names of nodes, a filter of recent ids and the sketches.
Each request is inserted once, in batches.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import merge
from typing import Any
from zlib import crc32

from cherrycove.broker.core import Ending, Request, RequestSummary, Verdict
from cherrycove.broker.decision_log import retries
from cherrycove.broker.decision_log.bloom_filter import RotatingBloomFilter
from cherrycove.broker.decision_log.codec import (
    HEADER,
    NO_NODE,
    AttemptRecord,
    DecodeError,
    RequestRecord,
    is_notable,
    pack,
    pack_served,
    pack_unsent,
    unpack,
    whole_ms,
)
from cherrycove.broker.decision_log.ring_buffer import RingBuffer
from cherrycove.broker.decision_log.sketches import OPEN_MINUTE_BYTES, Sketches
from cherrycove.broker.local_codes import AnyCode, LocalCode
from cherrycove.scheduling.interface import Reason, Settings

MIN_BYTES = 192 * 1024  # a smaller log holds too few records to be useful
PREDECESSOR_FRACTION = 1 / 4  # of the ring buffers' bytes, for records of a predecessor
NOTABLE_FRACTION = 0.85  # of the bytes of the other two, for records that ``is_notable`` selects
MAX_NODES = 256  # that have numbers at a time
MAX_NODE_NAME = 64  # characters; longer names are truncated
# Characters of up to two bytes each, and 190 bytes for a name's list slot and dict entry.
NODE_NAMES_BYTES = MAX_NODES * (MAX_NODE_NAME * 2 + 190)
MIN_BYTES_FOR_SKETCHES = 1 << 20  # a smaller log has no sketches and no ring buffer for a predecessor
SKETCHES_FRACTION = 1 / 6  # of the log's bytes, but at least MIN_SKETCHES_BYTES
MIN_SKETCHES_BYTES = OPEN_MINUTE_BYTES + (32 << 10)
RECENT_IDS_DIVISOR = 32  # the filter of recent ids gets this fraction (1/32) of the log's bytes
CHUNK_BYTES = 24 * 1024  # of records, from which on a chunk for a successor is complete
VERDICT_NAMES = {Verdict.SERVED: "served", Verdict.REFUSED: "refused", Verdict.FAILED: "failed"}


@dataclass(frozen=True, slots=True)
class Gaps:
    """What a ring buffer has dropped, which every answer states."""

    ring: str
    held: int  # current number of records
    dropped: int  # records dropped since the start
    # Seconds on the monotonic clock: all records that ended later are held. None if nothing was dropped.
    complete_since: float | None


class NodeNames:
    """Assigns small numbers to the names of nodes. Numbers are reused once all are assigned."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.names: list[str] = []
        self._since: list[float] = []  # s: when each number was assigned to its name
        self._next = 0

    def assign(self, name: str, now: float) -> None:
        """Assign a number to a name unless it has one."""
        if name in self.numbers or not name:
            return
        now = whole_ms(now) / 1000  # as a record stores its end
        if len(self.names) < MAX_NODES:
            self.names.append(name[:MAX_NODE_NAME])
            self._since.append(now)
            self.numbers[name[:MAX_NODE_NAME]] = len(self.names) - 1
            return
        number, self._next = self._next % MAX_NODES, self._next + 1
        del self.numbers[self.names[number]]
        self.names[number], self._since[number] = name[:MAX_NODE_NAME], now
        self.numbers[name[:MAX_NODE_NAME]] = number

    @property
    def reused(self) -> bool:
        """Whether any number was reassigned to another name."""
        return bool(self._next)

    def names_at(self, ended_at: float) -> list[str]:
        """Return the names by number for a record of a request that ended at this time.

        The name is empty for a number that was reassigned since, so that no earlier record shows the name of
        a later node.
        """
        return [
            name if since <= ended_at else "" for name, since in zip(self.names, self._since, strict=True)
        ]


class DecisionLog:
    """The log of one process, within ``max_bytes`` bytes. The broker's process owns it; the core adds to it.

    All times are in seconds of the machine's monotonic clock, which is the same for all processes.
    """

    def __init__(self, settings: Settings, max_bytes: int, start: float) -> None:
        if max_bytes < MIN_BYTES:
            raise ValueError(f"the decision log needs at least {MIN_BYTES} bytes, got {max_bytes}")
        self.settings, self.max_bytes, self.start = settings, max_bytes, start
        sketches_bytes = (
            max(int(max_bytes * SKETCHES_FRACTION), MIN_SKETCHES_BYTES)
            if max_bytes >= MIN_BYTES_FOR_SKETCHES
            else 0
        )
        self.sketches = Sketches(sketches_bytes) if sketches_bytes else None
        self.recent_ids = RotatingBloomFilter(max_bytes // RECENT_IDS_DIVISOR, start)
        rings_bytes = (
            max_bytes - NODE_NAMES_BYTES - OBJECT_OVERHEAD - sketches_bytes - self.recent_ids.footprint()
        )
        predecessor_bytes = (
            int(rings_bytes * PREDECESSOR_FRACTION) if max_bytes >= MIN_BYTES_FOR_SKETCHES else 0
        )
        self.notable = RingBuffer(int((rings_bytes - predecessor_bytes) * NOTABLE_FRACTION))
        self.routine = RingBuffer(
            rings_bytes - predecessor_bytes - int((rings_bytes - predecessor_bytes) * NOTABLE_FRACTION)
        )
        self.predecessor = RingBuffer(predecessor_bytes) if predecessor_bytes else None
        self.nodes = NodeNames()
        self.counts: Counter[str] = Counter()
        self._pending: list[Any] = []  # received but not inserted yet
        self.lost_chunks = 0  # chunks of the predecessor's log that did not arrive or were malformed
        self.predecessor_start = start  # when the predecessor's log began, if there was one
        # Called with each record, to export traces.
        self.on_record: Callable[[RequestRecord], None] | None = None

    def footprint(self) -> int:
        """Return an upper bound of the bytes in use: exact sizes of the arrays, and limits for the rest."""
        return (
            sum(ring.footprint() for _, ring in self.rings())
            + NODE_NAMES_BYTES
            + OBJECT_OVERHEAD
            + self.recent_ids.footprint()
            + (self.sketches.footprint() if self.sketches else 0)
        )

    def rings(self) -> list[tuple[str, RingBuffer]]:
        """Return the ring buffers with their names."""
        own = [("notable", self.notable), ("routine", self.routine)]
        return own + ([("predecessor", self.predecessor)] if self.predecessor else [])

    def gaps(self) -> list[Gaps]:
        """Return what each ring buffer has dropped."""
        self.flush()
        return [
            Gaps(name, ring.count, ring.dropped, ring.dropped_until if ring.dropped else None)
            for name, ring in self.rings()
        ]

    # Called by the core.

    def match_retry(self, request: Request, now: float) -> tuple[str, int]:
        """Return the id of the request that a marked retry repeats, and the number of candidates."""
        self.flush()
        window = self.settings.classes[request.cls].deadline
        return retries.claim(
            self.notable, request.volume, request.cls, _object_hash(request.key), now, window
        )

    def record(self, ended: RequestSummary) -> None:
        """Record a request that has ended.

        Requests are inserted in batches: a single insertion between other work costs three times the CPU,
        since none of its code and data are in the processor's caches. Pending requests are held as tuples of
        plain values: the core's objects would keep tasks and timers alive, and would live long enough for
        each garbage collection to visit them.
        """
        request, attempts, reason = ended.request, ended.attempts, ended.why
        is_common = (
            request is not None and not ended.local_code and not request.repeat and self.on_record is None
        )
        if is_common and request is not None and ended.verdict is Verdict.SERVED and len(attempts) == 1:
            attempt = attempts[0]
            self._pending.append(
                (
                    request.id,
                    request.volume,
                    ended.ended_at,
                    ended.ended_at - ended.arrived_at,
                    request.front,
                    request.cls,
                    request.plan,
                    request.units,
                    request.shard,
                    attempt.node,
                    attempt.why,
                    attempt.started_at - ended.arrived_at,
                    attempt.duration_s,
                )
            )
        elif is_common and request is not None and reason is not None and not attempts:
            self._pending.append(
                (
                    request.id,
                    request.volume,
                    ended.ended_at,
                    ended.ended_at - ended.arrived_at,
                    request.front,
                    request.cls,
                    request.plan,
                    request.units,
                    request.shard,
                    ended.verdict is Verdict.FAILED,
                    reason,
                    _object_hash(request.key),
                )
            )
        else:
            self._pending.append(to_record(ended))
        if len(self._pending) >= BATCH_SIZE:
            self.flush()

    def flush(self) -> None:
        """Insert the pending requests. Every query does this first."""
        pending, self._pending = self._pending, []
        for each in pending:
            if isinstance(each, RequestRecord):
                self.add(each)
            elif len(each) == 13:
                self._add_served(*each)
            else:
                self._add_unsent(*each)

    def _add_served(
        self,
        id: str,
        volume: str,
        ended_at: float,
        duration: float,
        front: str,
        cls: int,
        plan: int,
        units: float,
        shard: int | None,
        node: str,
        reason: Reason,
        started_after: float,
        attempt_duration: float,
    ) -> None:
        """Insert a request served at its first attempt, as nearly all are."""
        number = self.nodes.numbers.get(node)
        packed = None
        if number is not None:
            packed = pack_served(
                id,
                volume,
                ended_at,
                duration,
                front,
                cls,
                plan,
                units,
                shard,
                number,
                reason,
                max(started_after, 0.0),
                attempt_duration,
            )
        if packed is None:
            return self.add(
                RequestRecord(
                    id,
                    volume,
                    ended_at,
                    duration,
                    "served",
                    LocalCode.SERVED,
                    front,
                    cls,
                    plan,
                    units,
                    shard,
                    attempts=[
                        AttemptRecord(node, reason, max(started_after, 0.0), attempt_duration, Ending.SERVED)
                    ],
                )
            )
        self.counts["served"] += 1
        hashed = hash(id)
        self.recent_ids.add(hashed, ended_at)
        self.routine.add(packed, hashed, hash(volume), ended_at)
        if self.sketches is not None:
            self.sketches.count_end(ended_at, "served", LocalCode.SERVED, volume)
            self.sketches.count_answer(ended_at, node, cls, attempt_duration)

    def _add_unsent(
        self,
        id: str,
        volume: str,
        ended_at: float,
        duration: float,
        front: str,
        cls: int,
        plan: int,
        units: float,
        shard: int | None,
        failed: bool,
        reason: Reason,
        object_hash: int,
    ) -> None:
        """Insert a request that ended before it was sent, as most of the others do."""
        number = self.nodes.numbers.get(reason.node, NO_NODE)
        verdict = "failed" if failed else "refused"
        packed = None
        if number != NO_NODE or not reason.node:
            packed = pack_unsent(
                id,
                volume,
                ended_at,
                duration,
                front,
                cls,
                plan,
                units,
                shard,
                failed,
                number,
                reason,
                object_hash,
            )
        if packed is None:
            return self.add(
                RequestRecord(
                    id,
                    volume,
                    ended_at,
                    duration,
                    verdict,
                    reason.code,
                    front,
                    cls,
                    plan,
                    units,
                    shard,
                    reason=reason,
                    object_hash=object_hash,
                )
            )
        self.counts[verdict] += 1
        hashed = hash(id)
        self.recent_ids.add(hashed, ended_at)
        self.notable.add(packed, hashed, hash(volume), ended_at)
        if self.sketches is not None:
            self.sketches.count_end(ended_at, verdict, reason.code, volume)

    def add(self, record: RequestRecord) -> None:
        """Insert a record of any kind."""
        for each in record.attempts:
            self.nodes.assign(each.node, record.ended_at)
        if record.reason is not None:
            self.nodes.assign(record.reason.node, record.ended_at)
        self.counts[record.verdict] += 1
        self.recent_ids.add(hash(record.id), record.ended_at)
        ring = self.notable if is_notable(record) else self.routine
        ring.add(pack(record, self.nodes.numbers), hash(record.id), hash(record.volume), record.ended_at)
        if self.sketches is not None:
            self.sketches.count_end(record.ended_at, record.verdict, record.code, record.volume)
            for each in record.attempts:
                if each.ending is Ending.SERVED and record.cls is not None:
                    self.sketches.count_answer(record.ended_at, each.node, record.cls, each.duration)
        if self.on_record is not None:
            self.on_record(record)

    # Queries.

    def find(self, id: str, now: float) -> list[RequestRecord]:
        """Return all records of an id, newest first. There can be several, as clients may reuse ids."""
        self.flush()
        found = []
        for _, ring in self.rings():
            for at in ring.by_id(hash(id)):
                record = self.read(ring, at, now)
                if record is not None and record.id == id:
                    found.append(record)
        return sorted(found, key=lambda record: -record.ended_at)

    def retries_of(self, record: RequestRecord, now: float) -> list[RequestRecord]:
        """Return the retries that were correlated with a request, oldest first."""
        self.flush()
        found = []
        for _, ring in self.rings():
            for at in ring.by_volume(hash(record.volume)):
                other = self.read(ring, at, now)
                if other is not None and other.original_id == record.id and other.ended_at >= record.ended_at:
                    found.append(other)
        return sorted(found, key=lambda other: other.ended_at)

    def walk(
        self, since: float, volume: str = "", only: frozenset[str] = frozenset(), now: float = 0.0
    ) -> Iterator[RequestRecord | None]:
        """Yield the records since ``since`` that match.

        Yields None for each other record that was examined, so that the caller can pause.
        """
        self.flush()
        for _, ring in self.rings():
            # A volume's chain runs from new to old, so the first record before ``since`` ends it. Without a
            # volume, time marks give the start.
            offsets = ring.by_volume(hash(volume)) if volume else ring.since(since)
            for at in offsets:
                if only and not volume and _verdict(ring, at) not in only:
                    yield None
                    continue
                record = self.read(ring, at, now)
                if record is None or record.ended_at < since:
                    if volume and record is not None:
                        break
                    yield None
                    continue
                matches = (not volume or record.volume == volume) and (not only or record.verdict in only)
                yield record if matches else None

    def read(self, ring: RingBuffer, at: int, now: float) -> RequestRecord | None:
        """Return the record at this offset of a ring buffer, None if it is malformed."""
        try:
            if not self.nodes.reused:
                return unpack(ring.data, at, now, self.nodes.names)
            return unpack(ring.data, at, now, self.nodes.names_at(unpack(ring.data, at, now).ended_at))
        except DecodeError:
            return None

    # Transfer from a broker's process to its successor.

    def export_chunks(self, since: float, now: float) -> Iterator[dict[str, object]]:
        """Yield the records since ``since``, oldest first, in chunks with the names of the nodes."""
        self.flush()

        def records_of(ring: RingBuffer) -> Iterator[RequestRecord]:
            for at in ring.since(since):
                record = self.read(ring, at, now)
                if record is not None and record.ended_at >= since:
                    yield record

        records = merge(*(records_of(ring) for _, ring in self.rings()), key=lambda record: record.ended_at)
        names = {name: number for number, name in enumerate(self.nodes.names)}
        batch: list[bytes] = []
        size = 0
        for record in records:
            packed = pack(record, names)
            batch.append(packed)
            size += len(packed)
            if size >= CHUNK_BYTES:
                yield {"nodes": self.nodes.names, "records": b"".join(batch).hex()}
                batch, size = [], 0
        if batch:
            yield {"nodes": self.nodes.names, "records": b"".join(batch).hex()}

    def import_chunk(self, chunk: dict[str, object], now: float) -> int:
        """Insert a chunk of a predecessor's log. Return the number of records inserted.

        Raises:
            DecodeError: the chunk is malformed.
        """
        if self.predecessor is None:
            return 0
        names, records = chunk.get("nodes"), chunk.get("records")
        if not (
            isinstance(names, list)
            and all(isinstance(name, str) for name in names)
            and isinstance(records, str)
        ):
            raise DecodeError("a chunk of the decision log has no list of node names or no text of records")
        try:
            data = bytes.fromhex(records)
        except ValueError:
            raise DecodeError("the records in a chunk of the decision log are not hexadecimal") from None
        at = taken = 0
        while at + HEADER.size <= len(data):
            record = unpack(data, at, now, names)
            at += int.from_bytes(data[at : at + 2], "little")
            for each in record.attempts:
                self.nodes.assign(each.node, record.ended_at)
            if record.reason is not None:
                self.nodes.assign(record.reason.node, record.ended_at)
            self.predecessor.add(
                pack(record, self.nodes.numbers), hash(record.id), hash(record.volume), record.ended_at
            )
            taken += 1
        return taken


BATCH_SIZE = 24  # requests
PENDING_BYTES = 2200  # for each pending request, with three attempts and their reasons
OBJECT_OVERHEAD = sys.getsizeof({}) + 4096 + BATCH_SIZE * PENDING_BYTES  # bytes of the log's own objects


def _verdict(ring: RingBuffer, at: int) -> str:
    return ("served", "refused", "failed", "gone")[ring.data[at + 2] & 3]


def _object_hash(key: str | None) -> int:
    return crc32(key.encode("utf-8", "surrogateescape")) if key else 0


def to_record(ended: RequestSummary) -> RequestRecord:
    """Return the record of a request that has ended, or of an open one in its current state."""
    request = ended.request
    verdict = VERDICT_NAMES[ended.verdict] if ended.verdict is not None else "gone"
    code: AnyCode = (
        LocalCode(ended.local_code)
        if ended.local_code
        else ended.why.code
        if ended.why
        else LocalCode.NOTHING
    )
    if not ended.local_code and ended.verdict is Verdict.SERVED:
        code = LocalCode.SERVED
    attempts = [
        AttemptRecord(
            each.node, each.why, max(each.started_at - ended.arrived_at, 0.0), each.duration_s, each.ending
        )
        for each in ended.attempts
        if each.why is not None
    ]
    if request is None:
        return RequestRecord(
            ended.id,
            ended.volume,
            ended.ended_at,
            ended.ended_at - ended.arrived_at,
            verdict,
            code,
            ended.front,
            ended.cls,
        )
    return RequestRecord(
        request.id,
        request.volume,
        ended.ended_at,
        ended.ended_at - ended.arrived_at,
        verdict,
        code,
        request.front,
        request.cls,
        request.plan,
        request.units,
        request.shard,
        request.repeat,
        ended.original_id,
        ended.candidates,
        attempts,
        ended.why,
        _object_hash(request.key),
    )
