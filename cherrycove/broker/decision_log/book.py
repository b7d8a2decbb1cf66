"""The record: every request that has ended, whoever ended it, within one bound of bytes.

It owns the two rings, the names of nodes, the sketches, and what is told of all that has been given up. It
must never hold more than its bound, never delay the request that it is told of by more than one insert, and
never give an answer that leaves out what it no longer knows.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import merge
from typing import Any
from zlib import crc32

from cherrycove.broker.core import Ended, Ending, Request, Verdict
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
from cherrycove.broker.local_codes import AnyCode, Own
from cherrycove.scheduling.interface import Reason, Settings

LEAST = 192 * 1024  # bytes; below that nothing of use fits
KEPT = 0.85  # part of the rings' bytes for what matters
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
    """What a ring has given up, told with every answer."""

    ring: str
    held: int  # records
    lost: int  # records given up since the start
    whole_since: float | None  # s on the monotonic clock: all that ended later is here; None: nothing is gone


class Nodes:
    """Names of nodes by small numbers; a number is given anew once all are in use."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.names: list[str] = []
        self._since: list[float] = []  # when each number got its name
        self._next = 0

    def number(self, name: str, now: float) -> None:
        """See to it that the name has one."""
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
        """Whether a number has had two names."""
        return bool(self._next)

    def as_of(self, ended: float) -> list[str]:
        """The names by number, for a record of that time. Guard: a number that has got another name since
        must
        not put a later node's name on what an earlier one did."""
        return [name if since <= ended else "" for name, since in zip(self.names, self._since, strict=True)]


class DecisionLog:
    """``bound`` bytes in all. Every time is the machine's monotonic clock, in seconds."""

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
        self._pending: list[Any] = []  # told of, and not taken in yet
        self.former_lost = 0  # pieces of the predecessor's that did not come
        self.former_from = start  # when the predecessor began, should there have been one
        self.on_story: Callable[[RequestRecord], None] | None = None  # told of each, as spans are

    def footprint(self) -> int:
        """Bytes that it holds or may come to hold, by exact sizes of its arrays and the bounds of the
        rest."""
        return (
            sum(ring.footprint() for _, ring in self.rings())
            + NAMES
            + OWN
            + self.seen.footprint()
            + (self.sketches.footprint() if self.sketches else 0)
        )

    def rings(self) -> list[tuple[str, Ring]]:
        own = [("kept", self.kept), ("plain", self.plain)]
        return own + ([("former", self.former)] if self.former else [])

    def gaps(self) -> list[Gaps]:
        self.flush()
        return [
            Gaps(name, ring.count, ring.lost, ring.lost_until if ring.lost else None)
            for name, ring in self.rings()
        ]

    # What the core tells.

    def came(self, request: Request, now: float) -> tuple[str, int]:
        """A request that its client has marked as a retry: what it repeats, and of how many."""
        self.flush()
        patience = self.settings.classes[request.cls].deadline
        return retries.claim(self.kept, request.volume, request.cls, _thing(request.key), now, patience)

    def ended(self, ended: Ended) -> None:
        """A request is over. Some are taken in together: one by one, between other work, each costs three
        times the CPU, for nothing of it is in the processor's caches. What waits is plain values: the core's
        own objects would hold on to tasks and timers, and grow old enough for every collection to visit them.
        """
        request, tries, why = ended.request, ended.tries, ended.why
        usual = request is not None and not ended.own and not request.repeat and self.on_story is None
        if usual and request is not None and ended.verdict is Verdict.SERVED and len(tries) == 1:
            attempt = tries[0]
            self._pending.append(
                (
                    request.id,
                    request.volume,
                    ended.at,
                    ended.at - ended.came,
                    request.front,
                    request.cls,
                    request.plan,
                    request.units,
                    request.shard,
                    attempt.node,
                    attempt.why,
                    attempt.began - ended.came,
                    attempt.took,
                )
            )
        elif usual and request is not None and why is not None and not tries:
            self._pending.append(
                (
                    request.id,
                    request.volume,
                    ended.at,
                    ended.at - ended.came,
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
        """Take in all that has been told; whoever asks does this first."""
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
        """What by far the most are: served at the first attempt."""
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
                    Own.SERVED,
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
            self.sketches.ended(at, "served", Own.SERVED, volume)
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
        """What most of the others are: given up on before it was sent."""
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

    # What is asked.

    def find(self, id: str, now: float) -> list[RequestRecord]:
        """Every request of this id that is known, newest first; ids may be used again."""
        self.flush()
        found = []
        for _, ring in self.rings():
            for at in ring.by_id(hash(id)):
                story = self.read(ring, at, now)
                if story is not None and story.id == id:
                    found.append(story)
        return sorted(found, key=lambda story: -story.ended)

    def retries_of(self, story: RequestRecord, now: float) -> list[RequestRecord]:
        """The requests that were joined to it, oldest first."""
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
        """All that ended from then on and fits; None for each that does not, so that a caller may pause."""
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
        try:
            if not self.nodes.reused:
                return unpack(ring.data, at, now, self.nodes.names)
            return unpack(ring.data, at, now, self.nodes.as_of(unpack(ring.data, at, now).ended))
        except PackError:
            return None

    # Between two processes of one broker.

    def pieces(self, since: float, now: float) -> Iterator[dict[str, object]]:
        """What a successor is handed, oldest first: records as they are, and the names they use."""
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
        """Take in a piece; how many records it held. PackError says that it is none."""
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


BATCH = 24  # requests taken in together
WAITING = 2200  # bytes of one that waits, with three attempts and their reasons
OWN = sys.getsizeof({}) + 4096 + BATCH * WAITING  # bytes of the book's own objects


def _verdict(ring: Ring, at: int) -> str:
    return ("served", "refused", "failed", "gone")[ring.data[at + 2] & 3]


def _thing(key: str | None) -> int:
    return crc32(key.encode("utf-8", "surrogateescape")) if key else 0


def story_of(ended: Ended) -> RequestRecord:
    """What is kept of it."""
    request = ended.request
    verdict = VERDICTS[ended.verdict] if ended.verdict is not None else "gone"
    code: AnyCode = Own(ended.own) if ended.own else ended.why.code if ended.why else Own.NOTHING
    if not ended.own and ended.verdict is Verdict.SERVED:
        code = Own.SERVED
    tries = [
        AttemptRecord(each.node, each.why, max(each.began - ended.came, 0.0), each.took, each.ending)
        for each in ended.tries
        if each.why is not None
    ]
    if request is None:
        return RequestRecord(
            ended.id, ended.volume, ended.at, ended.at - ended.came, verdict, code, ended.front, ended.cls
        )
    return RequestRecord(
        request.id,
        request.volume,
        ended.at,
        ended.at - ended.came,
        verdict,
        code,
        request.front,
        request.cls,
        request.plan,
        request.units,
        request.shard,
        request.repeat,
        ended.first,
        ended.rivals,
        tries,
        ended.why,
        _thing(request.key),
    )
