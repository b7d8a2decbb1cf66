"""Correlates a client's marked retry, which has a new id, with the original request that it repeats.

The original is the earliest request of the same volume, class and object that was refused, failed or
abandoned by its client, that ended no longer before the retry than a client of that class waits, and that no
other retry has claimed. Served requests are not retried. Two clients of one object cannot be told apart on
the wire, so their originals and retries are paired in order; the number of candidates is recorded.
"""

from __future__ import annotations

from cherrycove.broker.decision_log.codec import (
    CLAIMED,
    END_REASON,
    HEADER,
    U32_MASK,
    end_reason_offset,
    unpack,
    whole_ms,
)
from cherrycove.broker.decision_log.ring_buffer import RingBuffer

MAX_EXAMINED = 256  # records of a volume's bucket that are examined for one retry
_OBJECT_OFFSET = END_REASON.size - 4


def claim(
    ring: RingBuffer, volume: str, cls: int, object_hash: int, now: float, window: float
) -> tuple[str, int]:
    """Find the original request of a retry and mark it as claimed.

    Returns:
        The id of the original request and the number of candidates; ``("", 0)`` if there is none. If the
        claimed request is itself a correlated retry, the id is that of its own original.
    """
    oldest, found, candidates = whole_ms(now - window), -1, 0
    data, now_ms = ring.data, whole_ms(now)
    for steps, at in enumerate(ring.by_volume(hash(volume)), 1):
        _, flags, _, _, _, ended_ms, _, _, record_class, _, _, _ = HEADER.unpack_from(data, at)
        if now_ms - ((now_ms - ended_ms) & U32_MASK) < oldest or steps > MAX_EXAMINED:
            break
        if not flags & 3 or record_class != cls:
            continue
        reason_offset = end_reason_offset(data, at)
        place = data[reason_offset + 2]
        if (
            place & CLAIMED
            or int.from_bytes(
                data[reason_offset + _OBJECT_OFFSET : reason_offset + END_REASON.size], "little"
            )
            != object_hash
        ):
            continue
        if unpack(data, at, now).volume == volume:
            found, candidates = at, candidates + 1
    if found < 0:
        return "", 0
    data[end_reason_offset(data, found) + 2] |= CLAIMED
    original = unpack(data, found, now)
    return original.original_id or original.id, candidates
