"""Probes in flight, and the order in which members are probed (SWIM, sections 3.1 and 4.3)."""

from __future__ import annotations

import random

import attrs

from cherrycove.tier.membership.members import Member, MemberKey


@attrs.define
class Probe:
    """Holds the probe of the current period; times are seconds of the clock that callers pass as ``now``."""

    target: Member
    sequence: int
    retry_at: float  # when the target is pinged again, directly and through other members
    expires_at: float  # when the target is suspected
    indirect_sequence: int | None = None  # sequence number of the acks that other members relay

    def is_answered_by(self, sender: MemberKey, sequence: int) -> bool:
        """Return whether an ack proves that the target runs.

        A direct ack must come from the target itself: another process may have taken over its address.
        """
        if sequence == self.sequence:
            return sender == self.target.key
        return sequence == self.indirect_sequence

    def postpone(self, delay_s: float) -> None:
        """Postpone both timers after a stall of the local process."""
        self.retry_at += delay_s
        self.expires_at += delay_s


@attrs.frozen
class RelayedPing:
    """Describes a ping that is sent for another member, to which the ack is relayed."""

    requester: str  # host:port
    requester_sequence: int
    target: MemberKey
    expires_at: float


class ProbeOrder:
    """Iterates round robin over all members, in an order shuffled after each traversal (SWIM, section 4.3).

    It bounds the time within which every member is probed. Owned by the ``FailureDetector``.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[MemberKey] = []  # reversed: the last entry is probed next

    def insert(self, key: MemberKey) -> None:
        """Add a new member at a random position of the current traversal."""
        self._order.insert(self._rng.randint(0, len(self._order)), key)

    def insert_next(self, key: MemberKey) -> None:
        """Probe ``key`` in the next period."""
        self._order.append(key)

    def next(self, running: list[MemberKey]) -> MemberKey | None:
        """Return the member of ``running`` to probe now; None if ``running`` is empty."""
        eligible = set(running)
        while self._order:
            key = self._order.pop()
            if key in eligible:
                return key
        self._order = running
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None
