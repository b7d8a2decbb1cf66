"""Chooses the broker for each leased item, spreading items evenly by exact counts. Has no I/O or clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey


class Placements:
    """Tracks the broker of each placed item; owned by the ``LeaseTable``.

    A proxy learns what other proxies run at a broker only from the broker's next response. Here the counts
    are exact, except for items that a proxy had to run elsewhere or that an earlier primary leased.
    """

    def __init__(self) -> None:
        self._broker_of: dict[ItemKey, str] = {}
        self._items_at: Counter[str] = Counter()

    def begin(self, usable_brokers: Mapping[str, int]) -> PlacementRound:
        """Start the placement of one lease request's items at ``usable_brokers`` (slots by instance id)."""
        return PlacementRound(self, dict(usable_brokers))

    def items_at(self, broker: str) -> int:
        """Return how many leased items are placed at ``broker``."""
        return self._items_at[broker]

    def add(self, key: ItemKey, broker: str) -> None:
        """Record that an item is leased and should run at ``broker``."""
        self._broker_of[key] = broker
        self._items_at[broker] += 1

    def remove(self, key: ItemKey) -> None:
        """Remove an item whose lease has ended."""
        broker = self._broker_of.pop(key, None)
        if broker is not None:
            self._items_at[broker] -= 1
            if not self._items_at[broker]:
                del self._items_at[broker]


@attrs.define
class PlacementRound:
    """Places the items of one lease request.

    Each broker gets at most one item per request, as the caller may have only one connection to it.
    """

    _placements: Placements
    _available: dict[str, int]  # slots by instance id of the brokers that have not been chosen yet

    def place(self, key: ItemKey) -> str:
        """Return the broker whose items take the smallest fraction of its slots; empty if none is left."""
        if not self._available:
            return ""
        broker = min(self._available, key=self._slot_utilization)
        del self._available[broker]
        self._placements.add(key, broker)
        return broker

    def _slot_utilization(self, broker: str) -> float:
        return self._placements.items_at(broker) / max(self._available[broker], 1)
