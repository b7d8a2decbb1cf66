"""The members known to one process, with digests by which two tables are compared cheaply."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator, Sequence

from cherrycove.tier.membership.members import MemberKey, MemberState, MemberStatus

DIGEST_BUCKETS = 64
DIGEST_BYTES = 8


def bucket_of(key: MemberKey) -> int:
    """The bucket of a member; the same in every process."""
    return zlib.crc32(f"{key.node_name}/{key.program}".encode()) % DIGEST_BUCKETS


def _digest_of(status: MemberStatus) -> int:
    """A hash of what two agreeing tables have alike; members that do not run add nothing."""
    if not status.state.is_running:
        return 0
    member = status.member
    text = f"{member.node_name}/{member.program}/{member.process_id}/{member.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


class MemberTable:
    """Every member heard of, the own process included; those that do not run stay for a while."""

    def __init__(self, local: MemberStatus) -> None:
        self._local_key = local.member.key
        self._statuses: dict[MemberKey, MemberStatus] = {}
        self._buckets: list[set[MemberKey]] = [set() for _ in range(DIGEST_BUCKETS)]
        self._digests = [0] * DIGEST_BUCKETS
        self._ended_at: dict[MemberKey, float] = {}  # members that do not run, and since when
        self.put(local, 0.0)

    def get(self, key: MemberKey) -> MemberStatus | None:
        return self._statuses.get(key)

    def put(self, status: MemberStatus, now: float) -> None:
        """Replace what is known of one member."""
        key = status.member.key
        bucket = bucket_of(key)
        former = self._statuses.get(key)
        if former is not None:
            self._digests[bucket] ^= _digest_of(former)
        self._digests[bucket] ^= _digest_of(status)
        self._buckets[bucket].add(key)
        self._statuses[key] = status
        if status.state.is_running:
            self._ended_at.pop(key, None)
        else:
            self._ended_at[key] = now

    def remove_ended(self, before: float) -> None:
        """Drop the members that ended earlier than ``before``."""
        removed = [key for key, ended_at in self._ended_at.items() if ended_at < before]
        for key in removed:
            del self._ended_at[key]
            del self._statuses[key]
            self._buckets[bucket_of(key)].discard(key)

    @property
    def running_count(self) -> int:
        """Running members, the own process included."""
        return len(self._statuses) - len(self._ended_at)

    def running(self) -> Iterator[MemberStatus]:
        """Running members, the own process included."""
        return (status for status in self._statuses.values() if status.state.is_running)

    def peers(self) -> list[MemberStatus]:
        """Running members besides the own process."""
        return [status for status in self.running() if status.member.key != self._local_key]

    def dead(self) -> list[MemberStatus]:
        """Members declared dead and still remembered."""
        ended = (self._statuses[key] for key in self._ended_at)
        return [status for status in ended if status.state is MemberState.DEAD]

    def statuses(self) -> tuple[MemberStatus, ...]:
        return tuple(self._statuses.values())

    def digests(self) -> tuple[int, ...]:
        """One hash for each bucket; equal where two tables agree on the running members."""
        return tuple(self._digests)

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Buckets in which another table's ``digests`` are not like the own ones."""
        if len(digests) != DIGEST_BUCKETS:
            return list(range(DIGEST_BUCKETS))
        return [bucket for bucket in range(DIGEST_BUCKETS) if digests[bucket] != self._digests[bucket]]

    def in_buckets(self, buckets: Sequence[int]) -> list[MemberStatus]:
        """Everything known of the members in ``buckets``."""
        known = [bucket for bucket in buckets if bucket < DIGEST_BUCKETS]
        return [self._statuses[key] for bucket in known for key in self._buckets[bucket]]
