"""Correlates a client's marked retry, which has a new id, with the attempt that it repeats.

The rule: the earliest request of the same volume, class and object that was refused, failed or abandoned, no
longer before the retry than a client of that class waits, and that no other retry has claimed. Requests that
were served are not repeated. Two clients of one object cannot be told apart on the wire, so their first
attempts and retries are paired in their order; the number of candidates is recorded.
"""

from __future__ import annotations

from cherrycove.broker.decision_log.pack import CLAIMED, END, HEAD, MASK, end_at, unpack
from cherrycove.broker.decision_log.ring import Ring

MOST_STEPS = 256  # records of a volume's bucket that are examined for one retry
_OBJECT_AT = END.size - 4


def claim(ring: Ring, volume: str, cls: int, thing: int, now: float, patience: float) -> tuple[str, int]:
    """Claim the first attempt of a retry.

    Returns:
        Its id, and how many it could have been; ``("", 0)`` if there is none.
    """
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
