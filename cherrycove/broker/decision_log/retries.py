"""Joins a client's marked retry, which has a new id, to the try that it repeats.

It owns the rule. It must never join a request that its client has not marked, join two retries to one try, or
join to what was served: who asks anew after an answer is another client, or another wish.

The rule: the earliest request of the same volume, class and object that ended refused, failed or left, no
longer before the retry than a client of that class waits, and that no other retry has claimed. Two clients
on one object are told apart by nothing on the wire, so their tries and retries pair off one to one in their
order; how many first tries it could have been is kept beside it.
"""

from __future__ import annotations

from cherrycove.broker.decision_log.pack import CLAIMED, END, HEAD, MASK, end_at, unpack
from cherrycove.broker.decision_log.ring import Ring

MOST_STEPS = 256  # records of a volume's bucket that are looked at for one retry
_OBJECT_AT = END.size - 4


def claim(ring: Ring, volume: str, cls: int, thing: int, now: float, patience: float) -> tuple[str, int]:
    """The id of the first try, and how many it could have been; ("", 0) if there is none. Marks it
    claimed."""
    oldest, found, rivals = int((now - patience) * 1000), -1, 0
    data, now_ms = ring.data, int(now * 1000)
    for steps, at in enumerate(ring.by_volume(hash(volume)), 1):
        _, flags, _, _, _, ended, _, _, its_class, _, _, _ = HEAD.unpack_from(data, at)
        if now_ms - ((now_ms - ended) & MASK) < oldest or steps > MOST_STEPS:
            break
        if not flags & 3 or its_class != cls:
            continue
        end = end_at(data, at)
        stands = data[end + 2]
        if stands & CLAIMED or int.from_bytes(data[end + _OBJECT_AT : end + END.size], "little") != thing:
            continue
        if unpack(data, at, now).volume == volume:
            found, rivals = at, rivals + 1
    if found < 0:
        return "", 0
    data[end_at(data, found) + 2] |= CLAIMED
    first = unpack(data, found, now)
    return first.first or first.id, rivals
