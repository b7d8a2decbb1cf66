"""Calls to addresses at which no running member is known: seeds, and members that were declared dead."""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import SwimParameters


class ContactSchedule:
    """When to call whom, and which answers are awaited."""

    def __init__(
        self, seeds: frozenset[str], parameters: SwimParameters, rng: random.Random, now: float
    ) -> None:
        self.seeds = tuple(sorted(seeds))
        self.seed_contact_at = now  # when to call the seeds if no other member is known by then
        self._parameters = parameters
        self._rng = rng
        self._expected_acks: dict[int, float] = {}  # sequence of a call, and when it expires

    def take_seeds(self, now: float) -> tuple[str, ...]:
        """The seeds, to be called now by a process that is alone."""
        self.seed_contact_at = now + self._parameters.seed_contact_periods * self._parameters.period_s
        return self.seeds

    def is_chosen_to_contact(self, members: int) -> bool:
        """Whether this process is among the few that call somebody in this period."""
        return self._rng.random() * members < self._parameters.contacts_per_period

    def expect_ack(self, sequence: int, now: float) -> int:
        """Await an answer to ``sequence`` for one period."""
        self._expected_acks[sequence] = now + self._parameters.period_s
        return sequence

    def take_ack(self, sequence: int) -> bool:
        """Whether an answer to ``sequence`` was awaited; it is no longer."""
        return self._expected_acks.pop(sequence, None) is not None

    def expire_acks(self, now: float) -> None:
        self._expected_acks = {
            sequence: expires for sequence, expires in self._expected_acks.items() if expires > now
        }
