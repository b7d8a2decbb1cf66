"""The table of known members, with digests by which two processes compare their tables."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator, Sequence

from cherrycove.tier.membership.members import MemberKey, MemberState, MemberStatus

DIGEST_BUCKETS = 64
DIGEST_BYTES = 8


def bucket_of(key: MemberKey) -> int:
    """Return the bucket of a member (0 to ``DIGEST_BUCKETS`` - 1), which is the same in every process."""
    return zlib.crc32(f"{key.node_name}/{key.program}".encode()) % DIGEST_BUCKETS


def _digest_of(status: MemberStatus) -> int:
    """Return a hash of the parts that converged tables have in common; 0 for a member that does not run."""
    if not status.state.is_running:
        return 0
    member = status.member
    text = f"{member.node_name}/{member.program}/{member.process_id}/{member.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


class MemberTable:
    """Holds the status of every known member, including the local one.

    Owned by the ``MembershipList``. Members that no longer run stay as tombstones until they are removed, so
    that an old update does not add them again. The digest of a bucket is the XOR of its members' digests, so
    that a change of one member updates it without hashing the others.
    """

    def __init__(self, local: MemberStatus) -> None:
        self._local_key = local.member.key
        self._statuses: dict[MemberKey, MemberStatus] = {}
        self._buckets: list[set[MemberKey]] = [set() for _ in range(DIGEST_BUCKETS)]
        self._digests = [0] * DIGEST_BUCKETS
        self._tombstoned_at: dict[MemberKey, float] = {}  # when the member was recorded as not running
        self.put(local, 0.0)

    def get(self, key: MemberKey) -> MemberStatus | None:
        """Return the status of a member, None if it is not known."""
        return self._statuses.get(key)

    def put(self, status: MemberStatus, now: float) -> None:
        """Add or replace the status of one member."""
        key = status.member.key
        bucket = bucket_of(key)
        previous = self._statuses.get(key)
        if previous is not None:
            self._digests[bucket] ^= _digest_of(previous)
        self._digests[bucket] ^= _digest_of(status)
        self._buckets[bucket].add(key)
        self._statuses[key] = status
        if status.state.is_running:
            self._tombstoned_at.pop(key, None)
        else:
            self._tombstoned_at[key] = now

    def remove_tombstones(self, before: float) -> None:
        """Remove the tombstones recorded earlier than ``before``."""
        removed = [key for key, tombstoned_at in self._tombstoned_at.items() if tombstoned_at < before]
        for key in removed:
            del self._tombstoned_at[key]
            del self._statuses[key]
            self._buckets[bucket_of(key)].discard(key)

    @property
    def running_count(self) -> int:
        """The number of running members, including the local one."""
        return len(self._statuses) - len(self._tombstoned_at)

    def running(self) -> Iterator[MemberStatus]:
        """Return the running members, including the local one."""
        return (status for status in self._statuses.values() if status.state.is_running)

    def peers(self) -> list[MemberStatus]:
        """Return the running members except the local one."""
        return [status for status in self.running() if status.member.key != self._local_key]

    def dead(self) -> list[MemberStatus]:
        """Return the members that were declared dead and are still remembered."""
        tombstones = (self._statuses[key] for key in self._tombstoned_at)
        return [status for status in tombstones if status.state is MemberState.DEAD]

    def statuses(self) -> tuple[MemberStatus, ...]:
        """Return every known member, including the tombstones."""
        return tuple(self._statuses.values())

    def digests(self) -> tuple[int, ...]:
        """Return one digest per bucket; equal in two tables that agree on the running members."""
        return tuple(self._digests)

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Return the buckets in which another table's ``digests`` differ from those of this one."""
        if len(digests) != DIGEST_BUCKETS:
            return list(range(DIGEST_BUCKETS))
        return [bucket for bucket in range(DIGEST_BUCKETS) if digests[bucket] != self._digests[bucket]]

    def in_buckets(self, buckets: Sequence[int]) -> list[MemberStatus]:
        """Return every known member of these buckets; bucket numbers out of range are ignored."""
        known = [bucket for bucket in buckets if bucket < DIGEST_BUCKETS]
        return [self._statuses[key] for bucket in known for key in self._buckets[bucket]]
