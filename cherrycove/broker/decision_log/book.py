"""The decision log: every request that has ended, however it ended, within one limit of bytes.

Combines two ring buffers (one for what is likely to be asked for, one for the others), a third for what a
predecessor has handed over, the names of nodes, the ids seen and the summaries. A request costs one
insertion, in batches.
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
from cherrycove.broker.decision_log.pack import (
    HEAD,
    NO_NODE,
    AttemptRecord,
    PackError,
    RequestRecord,
    matters,
    pack,
    pack_plain,
    pack_unsent,
    unpack,
)
from cherrycove.broker.decision_log.ring import Ring
from cherrycove.broker.decision_log.seen import Seen
from cherrycove.broker.decision_log.sketches import OPEN, Sketches
from cherrycove.broker.local_codes import AnyCode, LocalCode
from cherrycove.scheduling.interface import Reason, Settings

LEAST = 192 * 1024  # bytes; a smaller limit holds nothing useful
KEPT = 0.85  # part of the rings' bytes for records that ``matters`` selects
FORMER = 1 / 4  # part of the rings' bytes for what a predecessor has handed over
NODES = 256  # names of nodes at once
MOST_NODE = 64  # characters of a name that are kept
NAMES = NODES * (MOST_NODE * 2 + 190)  # bytes: text of up to two bytes each, its slot and its place in a dict
SKETCHED = 1 << 20  # bytes of the bound from which on there are sketches,
SKETCHES = 1 / 6  # and their part of it, at least
LEAST_SKETCHES = OPEN + (32 << 10)
SEEN = 32  # one part in so many of the bound tells which ids were here
PIECE = 24 * 1024  # bytes of records handed over in one piece
VERDICTS = {Verdict.SERVED: "served", Verdict.REFUSED: "refused", Verdict.FAILED: "failed"}


@dataclass(frozen=True, slots=True)
class Gaps:
    """What a ring has dropped; part of every answer."""

    ring: str
    held: int  # records at present
    lost: int  # records dropped since the start
    whole_since: float | None  # s, monotonic: all that ended later is held; None: nothing was dropped


class Nodes:
    """Names of nodes by small numbers; numbers are reused once all are assigned."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.names: list[str] = []
        self._since: list[float] = []  # when each number got its name
        self._next = 0

    def number(self, name: str, now: float) -> None:
        """Assign a number to this name unless it has one."""
        if name in self.numbers or not name:
            return
        now = int(now * 1000) / 1000  # as a record keeps it
        if len(self.names) < NODES:
            self.names.append(name[:MOST_NODE])
            self._since.append(now)
            self.numbers[name[:MOST_NODE]] = len(self.names) - 1
            return
        place, self._next = self._next % NODES, self._next + 1
        del self.numbers[self.names[place]]
        self.names[place], self._since[place] = name[:MOST_NODE], now
        self.numbers[name[:MOST_NODE]] = place

    @property
    def reused(self) -> bool:
        """Whether any number has had two names."""
        return bool(self._next)

    def as_of(self, ended: float) -> list[str]:
        """Return the names by number, for a record of that time.

        A number that was reassigned since is left empty: a later node's name must not stand in an earlier
        record.
        """
        return [name if since <= ended else "" for name, since in zip(self.names, self._since, strict=True)]


class DecisionLog:
    """The log of one process, within ``bound`` bytes. The broker's process owns it, the core feeds it.

    Every time is one of the machine's monotonic clock, in seconds, which is the same for all processes.
    """

    def __init__(self, settings: Settings, bound: int, start: float) -> None:
        if bound < LEAST:
            raise ValueError(f"a record needs {LEAST} bytes, not {bound}")
        self.settings, self.bound, self.start = settings, bound, start
        summaries = max(int(bound * SKETCHES), LEAST_SKETCHES) if bound >= SKETCHED else 0
        self.sketches = Sketches(summaries) if summaries else None
        self.seen = Seen(bound // SEEN, start)
        rings = bound - NAMES - OWN - summaries - self.seen.footprint()
        former = int(rings * FORMER) if bound >= SKETCHED else 0
        self.kept = Ring(int((rings - former) * KEPT))
        self.plain = Ring(rings - former - int((rings - former) * KEPT))
        self.former = Ring(former) if former else None
        self.nodes = Nodes()
        self.counts: Counter[str] = Counter()
        self._pending: list[Any] = []  # received, and not inserted yet
        self.former_lost = 0  # chunks of the predecessor's log that did not arrive
        self.former_from = start  # when the predecessor's log began, if there was one
        self.on_story: Callable[[RequestRecord], None] | None = None  # called with each record, for traces

    def footprint(self) -> int:
        """Return the bytes that it may hold at most: exact sizes of its arrays, limits of the rest."""
        return (
            sum(ring.footprint() for _, ring in self.rings())
            + NAMES
            + OWN
            + self.seen.footprint()
            + (self.sketches.footprint() if self.sketches else 0)
        )

    def rings(self) -> list[tuple[str, Ring]]:
        """Return the ring buffers by their names."""
        own = [("kept", self.kept), ("plain", self.plain)]
        return own + ([("former", self.former)] if self.former else [])

    def gaps(self) -> list[Gaps]:
        """Return what each ring has dropped."""
        self.flush()
        return [
            Gaps(name, ring.count, ring.lost, ring.lost_until if ring.lost else None)
            for name, ring in self.rings()
        ]

    # Called by the core.

    def match_retry(self, request: Request, now: float) -> tuple[str, int]:
        """Return the id of the first attempt of a marked retry, and how many it could have been."""
        self.flush()
        patience = self.settings.classes[request.cls].deadline
        return retries.claim(self.kept, request.volume, request.cls, _thing(request.key), now, patience)

    def record(self, ended: RequestSummary) -> None:
        """Record an ended request.

        Inserted in batches: one by one, between other work, each costs three times the CPU, since nothing of
        it is in the processor's caches. Pending requests are plain values: the core's own objects would keep
        tasks and timers alive, and grow old enough for each garbage collection to visit them.
        """
        request, tries, why = ended.request, ended.attempts, ended.why
        usual = request is not None and not ended.local_code and not request.repeat and self.on_story is None
        if usual and request is not None and ended.verdict is Verdict.SERVED and len(tries) == 1:
            attempt = tries[0]
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
        elif usual and request is not None and why is not None and not tries:
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
                    why,
                    _thing(request.key),
                )
            )
        else:
            self._pending.append(story_of(ended))
        if len(self._pending) >= BATCH:
            self.flush()

    def flush(self) -> None:
        """Insert what is pending; every query does this first."""
        pending, self._pending = self._pending, []
        for each in pending:
            if isinstance(each, RequestRecord):
                self.add(each)
            elif len(each) == 13:
                self._served(*each)
            else:
                self._unsent(*each)

    def _served(
        self,
        id: str,
        volume: str,
        at: float,
        took: float,
        front: str,
        cls: int,
        plan: int,
        units: float,
        shard: int | None,
        node: str,
        why: Reason,
        began: float,
        lasted: float,
    ) -> None:
        """Insert a request served at its first attempt: by far the most."""
        number = self.nodes.numbers.get(node)
        record = None
        if number is not None:
            record = pack_plain(
                id, volume, at, took, front, cls, plan, units, shard, number, why, max(began, 0.0), lasted
            )
        if record is None:
            return self.add(
                RequestRecord(
                    id,
                    volume,
                    at,
                    took,
                    "served",
                    LocalCode.SERVED,
                    front,
                    cls,
                    plan,
                    units,
                    shard,
                    tries=[AttemptRecord(node, why, max(began, 0.0), lasted, Ending.SERVED)],
                )
            )
        self.counts["served"] += 1
        hashed = hash(id)
        self.seen.add(hashed, at)
        self.plain.add(record, hashed, hash(volume), at)
        if self.sketches is not None:
            self.sketches.ended(at, "served", LocalCode.SERVED, volume)
            self.sketches.answered(at, node, cls, lasted)

    def _unsent(
        self,
        id: str,
        volume: str,
        at: float,
        took: float,
        front: str,
        cls: int,
        plan: int,
        units: float,
        shard: int | None,
        failed: bool,
        why: Reason,
        thing: int,
    ) -> None:
        """Insert a request that ended before it was sent: most of the others."""
        number = self.nodes.numbers.get(why.node, NO_NODE)
        verdict = "failed" if failed else "refused"
        record = None
        if number != NO_NODE or not why.node:
            record = pack_unsent(
                id, volume, at, took, front, cls, plan, units, shard, failed, number, why, thing
            )
        if record is None:
            return self.add(
                RequestRecord(
                    id,
                    volume,
                    at,
                    took,
                    verdict,
                    why.code,
                    front,
                    cls,
                    plan,
                    units,
                    shard,
                    why=why,
                    object=thing,
                )
            )
        self.counts[verdict] += 1
        hashed = hash(id)
        self.seen.add(hashed, at)
        self.kept.add(record, hashed, hash(volume), at)
        if self.sketches is not None:
            self.sketches.ended(at, verdict, why.code, volume)

    def add(self, story: RequestRecord) -> None:
        """Insert any record."""
        for each in story.tries:
            self.nodes.number(each.node, story.ended)
        if story.why is not None:
            self.nodes.number(story.why.node, story.ended)
        self.counts[story.verdict] += 1
        self.seen.add(hash(story.id), story.ended)
        ring = self.kept if matters(story) else self.plain
        ring.add(pack(story, self.nodes.numbers), hash(story.id), hash(story.volume), story.ended)
        if self.sketches is not None:
            self.sketches.ended(story.ended, story.verdict, story.code, story.volume)
            for each in story.tries:
                if each.ending is Ending.SERVED and story.cls is not None:
                    self.sketches.answered(story.ended, each.node, story.cls, each.took)
        if self.on_story is not None:
            self.on_story(story)

    # Queries.

    def find(self, id: str, now: float) -> list[RequestRecord]:
        """Return all records of this id, newest first; clients may reuse ids."""
        self.flush()
        found = []
        for _, ring in self.rings():
            for at in ring.by_id(hash(id)):
                story = self.read(ring, at, now)
                if story is not None and story.id == id:
                    found.append(story)
        return sorted(found, key=lambda story: -story.ended)

    def retries_of(self, story: RequestRecord, now: float) -> list[RequestRecord]:
        """Return the retries that were correlated with it, oldest first."""
        self.flush()
        found = []
        for _, ring in self.rings():
            for at in ring.by_volume(hash(story.volume)):
                other = self.read(ring, at, now)
                if other is not None and other.first == story.id and other.ended >= story.ended:
                    found.append(other)
        return sorted(found, key=lambda other: other.ended)

    def walk(
        self, since: float, volume: str = "", only: frozenset[str] = frozenset(), now: float = 0.0
    ) -> Iterator[RequestRecord | None]:
        """Yield what ended since then and matches, and None for each other record: the caller may pause."""
        self.flush()
        for _, ring in self.rings():
            # A volume's chain runs from new to old and ends where it is too old; time has marks.
            places = ring.by_volume(hash(volume)) if volume else ring.since(since)
            for at in places:
                if only and not volume and _verdict(ring, at) not in only:
                    yield None
                    continue
                story = self.read(ring, at, now)
                if story is None or story.ended < since:
                    if volume and story is not None:
                        break
                    yield None
                    continue
                fits = (not volume or story.volume == volume) and (not only or story.verdict in only)
                yield story if fits else None

    def read(self, ring: Ring, at: int, now: float) -> RequestRecord | None:
        """Return the record at this offset of a ring, None if it is malformed."""
        try:
            if not self.nodes.reused:
                return unpack(ring.data, at, now, self.nodes.names)
            return unpack(ring.data, at, now, self.nodes.as_of(unpack(ring.data, at, now).ended))
        except PackError:
            return None

    # Between two processes of one broker.

    def pieces(self, since: float, now: float) -> Iterator[dict[str, object]]:
        """Yield the records since then, oldest first, in chunks with the names that they use."""
        self.flush()

        def of(ring: Ring) -> Iterator[RequestRecord]:
            for at in ring.since(since):
                story = self.read(ring, at, now)
                if story is not None and story.ended >= since:
                    yield story

        stories = merge(*(of(ring) for _, ring in self.rings()), key=lambda story: story.ended)
        names = {name: place for place, name in enumerate(self.nodes.names)}
        batch: list[bytes] = []
        size = 0
        for story in stories:
            record = pack(story, names)
            batch.append(record)
            size += len(record)
            if size >= PIECE:
                yield {"nodes": self.nodes.names, "records": b"".join(batch).hex()}
                batch, size = [], 0
        if batch:
            yield {"nodes": self.nodes.names, "records": b"".join(batch).hex()}

    def take_over(self, piece: dict[str, object], now: float) -> int:
        """Insert a chunk of a predecessor's log; return its records. PackError if it is malformed."""
        if self.former is None:
            return 0
        names, records = piece.get("nodes"), piece.get("records")
        if not (
            isinstance(names, list)
            and all(isinstance(name, str) for name in names)
            and isinstance(records, str)
        ):
            raise PackError("a piece lacks its names or records")
        try:
            data = bytes.fromhex(records)
        except ValueError:
            raise PackError("a piece is no hex") from None
        at = taken = 0
        while at + HEAD.size <= len(data):
            story = unpack(data, at, now, names)
            at += int.from_bytes(data[at : at + 2], "little")
            for each in story.tries:
                self.nodes.number(each.node, story.ended)
            if story.why is not None:
                self.nodes.number(story.why.node, story.ended)
            self.former.add(pack(story, self.nodes.numbers), hash(story.id), hash(story.volume), story.ended)
            taken += 1
        return taken


BATCH = 24  # requests inserted together
WAITING = 2200  # bytes of a pending request with three attempts and their reasons
OWN = sys.getsizeof({}) + 4096 + BATCH * WAITING  # bytes of the log's own objects


def _verdict(ring: Ring, at: int) -> str:
    return ("served", "refused", "failed", "gone")[ring.data[at + 2] & 3]


def _thing(key: str | None) -> int:
    return crc32(key.encode("utf-8", "surrogateescape")) if key else 0


def story_of(ended: RequestSummary) -> RequestRecord:
    """Return the record of an ended request, or of an open one as it stands."""
    request = ended.request
    verdict = VERDICTS[ended.verdict] if ended.verdict is not None else "gone"
    code: AnyCode = (
        LocalCode(ended.local_code)
        if ended.local_code
        else ended.why.code
        if ended.why
        else LocalCode.NOTHING
    )
    if not ended.local_code and ended.verdict is Verdict.SERVED:
        code = LocalCode.SERVED
    tries = [
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
        tries,
        ended.why,
        _thing(request.key),
    )
