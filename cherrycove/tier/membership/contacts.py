"""Calls to addresses at which no running member is known: seeds, and members that were declared dead."""

from __future__ import annotations

import random

from cherrycove.tier.membership.model import Parameters


class ContactBook:
    """When to call whom, and which answers are awaited."""

    def __init__(self, seeds: frozenset[str], parameters: Parameters, rng: random.Random, now: float) -> None:
        self.seeds = tuple(sorted(seeds))
        self.lonely_at = now  # when to call the seeds if no other member is known by then
        self._parameters = parameters
        self._rng = rng
        self._open: dict[int, float] = {}  # sequence of a call, and when it expires

    def call_seeds(self, now: float) -> tuple[str, ...]:
        """The seeds, to be called now by a process that is alone."""
        self.lonely_at = now + self._parameters.lonely_contact_periods * self._parameters.period_s
        return self.seeds

    def chosen_to_call(self, members: int) -> bool:
        """Whether this process is among the few that call somebody in this period."""
        return self._rng.random() * members < self._parameters.contacts_per_period

    def open(self, sequence: int, now: float) -> int:
        """Await an answer to ``sequence`` for one period."""
        self._open[sequence] = now + self._parameters.period_s
        return sequence

    def close(self, sequence: int) -> bool:
        """Whether an answer to ``sequence`` was awaited; it is no longer."""
        return self._open.pop(sequence, None) is not None

    def close_expired(self, now: float) -> None:
        self._open = {sequence: expires for sequence, expires in self._open.items() if expires > now}
