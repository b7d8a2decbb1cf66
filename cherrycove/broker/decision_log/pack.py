"""Codec of a request's record: fixed head, id and volume, attempts, reason of its end unless served.

Pure, and never reads beyond a record's bytes. Integers in little-endian order; sizes in bytes; times in
milliseconds, saturated where a field ends; thresholds, units and credits in half precision (IEEE 754
binary16).
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass, field
from math import isfinite

from cherrycove.broker.core import Ending
from cherrycove.broker.local_codes import AnyCode, code
from cherrycove.scheduling.interface import Code, Reason

# Size, flags, tries, two links, ended, took, code, class, plan, units, shard.
HEAD = struct.Struct("<HBBIIIHBBBeH")
TRY = struct.Struct("<HBBHHeBBeH")  # node, code, ending, at, took, L, out, queued, credits, wait
END = struct.Struct("<HBeBBeHhHII")  # node, place, L, out, queued, credits, wait, left, refill, epoch, object
# By far the most records: hex names, and either one attempt or none and a reason.
PLAIN = struct.Struct(HEAD.format + "QQ" + TRY.format[1:])
UNSENT = struct.Struct(HEAD.format + "QQ" + END.format[1:])
LINKS, LINKS_AT = struct.Struct("<II"), 4
ENDED_AT = 12
HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII)
MOST_NAME, MOST_TRIES = 255, 15
NO_SHARD, NO_CLASS, NO_NODE = 0xFFFF, 0xFF, 0xFFFF
MASK = 0xFFFFFFFF
ENDINGS = tuple(Ending)  # by number: new ones are appended
NO_ENDING = 0xFF
PLACES = ("", "lane", "queue")
CLAIMED = 0x80  # beside the place: a retry has been correlated with it
_NONE = Reason(Code.NO_TIME)  # packed where the scheduler gave none
VERDICTS = ("served", "refused", "failed", "gone")
FRONTS = ("http", "nbd")


class PackError(ValueError):
    """Bytes that are no record; the text says why."""


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request at a node."""

    node: str
    why: Reason
    at: float  # s after the request arrived
    took: float  # s
    ending: Ending | None


@dataclass(slots=True)
class RequestRecord:
    """What the log holds of one request."""

    id: str
    volume: str
    ended: float  # s on the monotonic clock of the machine
    took: float  # s from its arrival to its end
    verdict: str  # of VERDICTS
    code: AnyCode
    front: str = "http"
    cls: int | None = None
    plan: int | None = None
    units: float = 0.0
    shard: int | None = None
    repeat: bool = False  # a client's marked retry
    first: str = ""  # id of its first attempt, if it is a correlated retry
    rivals: int = 0  # how many first attempts it could belong to
    tries: list[AttemptRecord] = field(default_factory=list)
    why: Reason | None = None  # of its end, if the scheduler decided it
    object: int = 0  # CRC-32 of the key of its object; not stored if it was served


def _ms(seconds: float, most: int = 0xFFFF) -> int:
    if not isfinite(seconds):
        return most if seconds > 0 else 0
    return max(0, min(int(seconds * 1000 + 0.5), most))


def _half(value: float) -> float:
    return max(-65504.0, min(value, 65504.0))


def _text(text: str) -> bytes:
    data = text.encode("utf-8", "surrogateescape")[:MOST_NAME]
    return bytes((len(data),)) + data


def matters(story: RequestRecord) -> bool:
    """Return whether it is kept longer: all but unmarked requests served at their first attempt."""
    return story.verdict != "served" or len(story.tries) != 1 or story.repeat


def pack(story: RequestRecord, number: dict[str, int] | None = None) -> bytes:
    """Encode a record, with its links left 0; ``number`` holds the number of each node's name."""
    names = number or {}
    id_hex, volume_hex = HEX16.fullmatch(story.id), HEX16.fullmatch(story.volume)
    tries = story.tries[:MOST_TRIES]
    flags = (
        VERDICTS.index(story.verdict)
        | bool(id_hex) << 2
        | story.repeat << 3
        | FRONTS.index(story.front) << 4
        | (story.verdict != "served") << 5
        | bool(volume_hex) << 6
        | bool(story.first) << 7
    )
    cls, plan = (NO_CLASS if each is None else each for each in (story.cls, story.plan))
    shard = NO_SHARD if story.shard is None else min(story.shard, NO_SHARD)
    head = (
        flags,
        len(tries),
        0,
        0,
        int(story.ended * 1000) & MASK,
        _ms(story.took),
        story.code,
        cls,
        plan,
        _half(story.units),
        shard,
    )
    packed = [_try(each, names) for each in tries]
    if id_hex and volume_hex and len(tries) == 1 and story.verdict == "served" and not story.first:
        return PLAIN.pack(PLAIN.size, *head, int(story.id, 16), int(story.volume, 16), *packed[0])
    parts = [
        struct.pack("<Q", int(story.id, 16)) if id_hex else _text(story.id),
        struct.pack("<Q", int(story.volume, 16)) if volume_hex else _text(story.volume),
    ]
    parts += [TRY.pack(*each) for each in packed]
    if story.verdict != "served":
        why = story.why or _NONE
        parts.append(
            END.pack(
                names.get(why.node, NO_NODE),
                PLACES.index(why.place),
                _half(why.threshold),
                min(why.out, 255),
                min(why.queued, 255),
                _half(why.credits),
                _ms(why.wait),
                max(-32768, min(int(why.left * 1000), 32767)),
                _ms(why.refill),
                why.epoch & MASK,
                story.object & MASK,
            )
        )
    if story.first:
        parts.append(bytes((min(story.rivals, 255),)) + _text(story.first))
    body = b"".join(parts)
    return HEAD.pack(HEAD.size + len(body), *head) + body


def pack_plain(
    id: str,
    volume: str,
    ended: float,
    took: float,
    front: str,
    cls: int,
    plan: int,
    units: float,
    shard: int | None,
    node: int,
    why: Reason,
    at: float,
    lasted: float,
) -> bytes | None:
    """Encode a request served at its first attempt as ``pack`` does; None if a field does not fit unchanged.

    By far the most are such, and this takes a third of the time.
    """
    if not (HEX16.fullmatch(id) and HEX16.fullmatch(volume)):
        return None
    code, _, _, level, out, queued, credits, wait, *_ = why
    try:
        return PLAIN.pack(
            PLAIN.size,
            0x44 if front == "http" else 0x54,
            1,
            0,
            0,
            int(ended * 1000) & MASK,
            int(took * 1000 + 0.5),
            64,
            cls,
            plan,
            units,
            NO_SHARD if shard is None else shard,
            int(id, 16),
            int(volume, 16),
            node,
            code,
            _SERVED,
            int(at * 1000 + 0.5),
            int(lasted * 1000 + 0.5),
            level,
            out,
            queued,
            credits,
            int(wait * 1000 + 0.5) if wait > 0 else 0,
        )
    except (struct.error, OverflowError):
        return None


def pack_unsent(
    id: str,
    volume: str,
    ended: float,
    took: float,
    front: str,
    cls: int,
    plan: int,
    units: float,
    shard: int | None,
    failed: bool,
    node: int,
    why: Reason,
    thing: int,
) -> bytes | None:
    """Encode a request that ended unsent by the scheduler's decision, likewise."""
    if not (HEX16.fullmatch(id) and HEX16.fullmatch(volume)):
        return None
    code, _, place, level, out, queued, credits, wait, left, refill, epoch = why
    try:
        return UNSENT.pack(
            UNSENT.size,
            (0x65 if front == "http" else 0x75) + failed,
            0,
            0,
            0,
            int(ended * 1000) & MASK,
            int(took * 1000 + 0.5),
            code,
            cls,
            plan,
            units,
            NO_SHARD if shard is None else shard,
            int(id, 16),
            int(volume, 16),
            node,
            1 if place == "lane" else 2 if place else 0,
            level,
            out,
            queued,
            credits,
            int(wait * 1000 + 0.5) if wait > 0 else 0,
            int(left * 1000),
            int(refill * 1000 + 0.5) if refill > 0 else 0,
            epoch & MASK,
            thing,
        )
    except (struct.error, OverflowError, ValueError):
        return None


def _try(each: AttemptRecord, names: dict[str, int]) -> tuple[object, ...]:
    why = each.why
    return (
        names.get(each.node, NO_NODE),
        why.code,
        NO_ENDING if each.ending is None else _PLACE[each.ending],
        _ms(each.at),
        _ms(each.took),
        _half(why.threshold),
        min(why.out, 255),
        min(why.queued, 255),
        _half(why.credits),
        _ms(why.wait),
    )


_PLACE = {ending: place for place, ending in enumerate(ENDINGS)}
_SERVED = _PLACE[Ending.SERVED]


def end_at(data: bytes | bytearray | memoryview, at: int) -> int:
    """Return the offset of the reason of its end, in a record that has one."""
    flags, place = data[at + 2], at + HEAD.size
    for is_hex in (flags & 4, flags & 64):
        place += 8 if is_hex else 1 + data[place]
    return place + TRY.size * data[at + 3]


def unpack(
    data: bytes | bytearray | memoryview, at: int, now: float, nodes: list[str] | None = None
) -> RequestRecord:
    """Decode a record, which ended at most 49 days before ``now``; PackError if it is malformed."""
    try:
        return _unpack(data, at, now, nodes or [])
    except (struct.error, IndexError, ValueError) as error:
        raise PackError(f"no record: {error}") from None


def _unpack(data: bytes | bytearray | memoryview, at: int, now: float, nodes: list[str]) -> RequestRecord:
    size, flags, count, _, _, ended, took, number, cls, plan, units, shard = HEAD.unpack_from(data, at)
    if size < HEAD.size or at + size > len(data):
        raise PackError("its size is wrong")
    whole, place = bytes(data[at : at + size]), HEAD.size

    def name(is_hex: int) -> str:
        nonlocal place
        if is_hex:
            place += 8
            value: int = struct.unpack_from("<Q", whole, place - 8)[0]
            return f"{value:016x}"
        length = whole[place]
        place += 1 + length
        if place > size:
            raise PackError("a name goes beyond it")
        return whole[place - length : place].decode("utf-8", "surrogateescape")

    def node(number: int) -> str:
        return nodes[number] if number < len(nodes) else ""

    now_ms = int(now * 1000)
    story = RequestRecord(
        name(flags & 4),
        name(flags & 64),
        (now_ms - ((now_ms - ended) & MASK)) / 1000,
        took / 1000,
        VERDICTS[flags & 3],
        code(number),
        FRONTS[flags >> 4 & 1],
        None if cls == NO_CLASS else cls,
        None if plan == NO_CLASS else plan,
        units,
        None if shard == NO_SHARD else shard,
        bool(flags & 8),
    )
    for _ in range(count):
        (where, number, ending, began, lasted, level, out, queued, credits, wait) = TRY.unpack_from(
            whole, place
        )
        place += TRY.size
        why = Reason(Code(number), node(where), "", level, out, queued, credits, wait / 1000)
        story.tries.append(
            AttemptRecord(
                node(where),
                why,
                began / 1000,
                lasted / 1000,
                None if ending == NO_ENDING else ENDINGS[ending],
            )
        )
    if flags & 32:
        (where, stood, level, out, queued, credits, wait, left, refill, epoch, story.object) = (
            END.unpack_from(whole, place)
        )
        place += END.size
        if isinstance(story.code, Code):
            story.why = Reason(
                story.code,
                node(where),
                PLACES[stood & ~CLAIMED],
                level,
                out,
                queued,
                credits,
                wait / 1000,
                left / 1000,
                refill / 1000,
                epoch,
            )
    if flags & 128:
        story.rivals = whole[place]
        place += 1
        story.first = name(0)
    if place != size:
        raise PackError("it does not end where it says")
    return story
