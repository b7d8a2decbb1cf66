"""The order in which members are probed, and the probes under way."""

from __future__ import annotations

import random

import attrs

from cherrycove.tier.membership.members import Member, MemberKey


@attrs.define
class Probe:
    """One member being probed in the current period."""

    target: Member
    sequence: int
    retry_at: float  # when it is pinged again, and other members are asked to
    deadline: float  # when it is suspected
    indirect_sequence: int | None = None  # of the answers that other members pass on

    def is_answered_by(self, sender: MemberKey, sequence: int) -> bool:
        """Whether an answer proves that the target runs; a process that took over its address does not."""
        if sequence == self.sequence:
            return sender == self.target.key
        return sequence == self.indirect_sequence


@attrs.frozen
class RelayedPing:
    """A ping sent for another member, which is told of the answer."""

    requester: str  # host:port
    requester_sequence: int
    target: MemberKey
    expires: float


class ProbeOrder:
    """Round robin over all members in an order that is shuffled after each round."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[MemberKey] = []

    def insert(self, key: MemberKey) -> None:
        """A new member comes at a random place of the current round."""
        self._order.insert(self._rng.randint(0, len(self._order)), key)

    def insert_next(self, key: MemberKey) -> None:
        """Probe ``key`` in the next period."""
        self._order.append(key)

    def next(self, running: list[MemberKey]) -> MemberKey | None:
        """The next member to probe, of those ``running``."""
        eligible = set(running)
        while self._order:
            key = self._order.pop()
            if key in eligible:
                return key
        self._order = running
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None
