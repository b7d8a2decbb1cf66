"""Which of several brokers a request goes to: work left to read, load, memory, and no herd. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cherrycove.tier.dataplane.admission.broker_state import BrokerState
from cherrycove.tier.dataplane.admission.cache import anchor, preferred
from cherrycove.tier.dataplane.admission.interface import Ticket
from cherrycove.tier.dataplane.admission.pace import Pace

HERD_S = 0.01  # difference of reading time below which load alone decides, between two at random
JITTER_S = 0.004  # at random on each cost, so that proxies that know the same do not do the same
CROWDED_S = 0.2  # cost of a place whose memory would be over-committed
QUEUE_S = 0.5  # cost of a broker's slots taken once over


class Placement:
    """Chooses brokers by the time until a first event, as expected."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, ticket: Ticket, among: Sequence[BrokerState], all_ids: Sequence[str], pace: Pace, now: float,
        proxies: int,
    ) -> BrokerState:  # fmt: skip
        """One of ``among``, which is not empty; ``all_ids`` are the brokers that proxies agree by."""
        if len(among) == 1:
            return among[0]
        reading = self._reading(ticket, among, all_ids, pace)
        if max(reading) - min(reading) < HERD_S:
            pair = self._rng.sample(among, 2)
            return min(pair, key=lambda each: _load_cost(each, ticket, pace, now, proxies))
        costs = [
            seconds + _load_cost(each, ticket, pace, now, proxies) + self._rng.random() * JITTER_S
            for each, seconds in zip(among, reading, strict=True)
        ]
        return among[costs.index(min(costs))]

    def _reading(
        self, ticket: Ticket, among: Sequence[BrokerState], all_ids: Sequence[str], pace: Pace
    ) -> list[float]:
        """Seconds for which each broker would read the prompt. The one at which its largest shared part
        belongs counts as having its shared parts: another proxy may have sent them, or this one should."""
        prompt = ticket.prompt
        if not prompt.parts:
            return [0.0] * len(among)
        part = anchor(prompt)
        home = preferred(part, all_ids) if part is not None else None
        shared = sum(each.tokens for each in prompt.shared)
        seconds = []
        for each in among:
            kept = max(each.cache.kept(prompt), shared if each.id == home else 0)
            seconds.append(pace.read_s(max(prompt.tokens_in - kept, 0)))
        return seconds


def _load_cost(each: BrokerState, ticket: Ticket, pace: Pace, now: float, proxies: int) -> float:
    """Seconds that a broker's other requests cost this one."""
    total = each.load.total(now, proxies)
    slots = max(each.load.slots, 1)
    cost = total / slots * pace.usual_s * each.slowness(now)
    cost += max(total + 1 - slots, 0.0) / slots * QUEUE_S
    others = max(total / each.load.out, 1.0) if each.load.out else 1.0
    if each.memory_tokens and each.tokens * others + ticket.prompt.tokens > each.memory_tokens:
        cost += CROWDED_S
    return cost + pace.usual_s * (each.slowness(now) - 1.0)
