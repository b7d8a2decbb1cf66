"""Which broker each leased item should run at: spread evenly over the brokers by exact counts. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey


class Placements:
    """The broker of each leased item that was placed; owned by the ``LeaseTable``.

    Proxies do not know what others run at a broker until its next response to them; here it is known exactly,
    but for items that a proxy had to run elsewhere, or that an earlier primary leased.
    """

    def __init__(self) -> None:
        self._broker_of: dict[ItemKey, str] = {}
        self._items_at: Counter[str] = Counter()

    def begin(self, usable_brokers: Mapping[str, int]) -> PlacementRound:
        """Place items of one lease request at ``usable_brokers`` (slots by instance id)."""
        return PlacementRound(self, dict(usable_brokers))

    def items_at(self, broker: str) -> int:
        """How many leased items were placed there."""
        return self._items_at[broker]

    def add(self, key: ItemKey, broker: str) -> None:
        """An item is leased, to be run at ``broker``."""
        self._broker_of[key] = broker
        self._items_at[broker] += 1

    def remove(self, key: ItemKey) -> None:
        """Its lease has ended."""
        broker = self._broker_of.pop(key, None)
        if broker is not None:
            self._items_at[broker] -= 1
            if not self._items_at[broker]:
                del self._items_at[broker]


@attrs.define
class PlacementRound:
    """One lease request: each broker gets one item at most, as the caller may have one connection there."""

    _placements: Placements
    _available: dict[str, int]  # slots by instance id

    def place(self, key: ItemKey) -> str:
        """The broker with the smallest share of its slots taken by items; empty if none is left."""
        if not self._available:
            return ""
        broker = min(self._available, key=self._share_taken)
        del self._available[broker]
        self._placements.add(key, broker)
        return broker

    def _share_taken(self, broker: str) -> float:
        return self._placements.items_at(broker) / max(self._available[broker], 1)
