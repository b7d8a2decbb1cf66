"""Estimates which store is the primary of the store group, from announcements and earlier replies."""

from __future__ import annotations

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.settings import Settings

UNRESPONSIVE_PERIOD_S = 2.0  # how long a store that did not answer is tried after all others


class PrimaryFinder:
    """Orders the known stores by how likely each is to be the primary.

    It is owned by one ``BatchClient``, which feeds it the results of its calls. ``now`` is monotonic time in
    seconds.
    """

    def __init__(self, cluster_view: ClusterView, settings: Settings) -> None:
        self._cluster_view = cluster_view
        self._settings = settings
        self._primary = ""  # address of the store that last answered as primary; empty if none
        self._unresponsive_since: dict[str, float] = {}  # address -> time of its latest missing answer

    def mark_primary(self, address: str) -> None:
        """Record that ``address`` answered as the primary."""
        self._primary = address
        self._unresponsive_since.pop(address, None)

    def mark_not_primary(self, address: str) -> None:
        """Record that ``address`` answered that it is not the primary."""
        if self._primary == address:
            self._primary = ""
        self._unresponsive_since.pop(address, None)

    def mark_unresponsive(self, address: str, now: float) -> None:
        """Record that ``address`` did not answer. Hints from other stores do not override this."""
        self.mark_not_primary(address)
        self._unresponsive_since[address] = now

    def is_unresponsive(self, address: str, now: float) -> bool:
        """Return whether ``address`` failed to answer within the last ``UNRESPONSIVE_PERIOD_S`` seconds."""
        return now - self._unresponsive_since.get(address, float("-inf")) < UNRESPONSIVE_PERIOD_S

    def candidates(self, now: float) -> list[str]:
        """Return the addresses (host:port) to try, without duplicates.

        The likeliest primary comes first, unresponsive stores come last.
        """
        stores = sorted(
            self._cluster_view.stores(),
            key=lambda store: (store.group_primary, store.group_epoch),
            reverse=True,
        )
        confirmed = [self._primary] if self._primary else []
        announced = [self._settings.peer_address(store.ip, STORE_PROGRAM) for store in stores]
        addresses = dict.fromkeys([*confirmed, *announced])
        return sorted(addresses, key=lambda address: self.is_unresponsive(address, now))
