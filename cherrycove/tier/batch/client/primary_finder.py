"""Guesses which store is the primary of the store group, from announcements and from earlier replies."""

from __future__ import annotations

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.settings import Settings

UNRESPONSIVE_PERIOD_S = 2.0  # a store that did not answer is tried last for so long


class PrimaryFinder:
    """Orders the known stores by how likely each is the primary.

    Owned by one ``BatchClient``, which passes on what its calls show. ``now`` is monotonic time in seconds.
    """

    def __init__(self, cluster_view: ClusterView, settings: Settings) -> None:
        self._cluster_view = cluster_view
        self._settings = settings
        self._primary = ""  # address that answered as primary last
        self._unresponsive_since: dict[str, float] = {}  # by address

    def mark_primary(self, address: str) -> None:
        """``address`` answered as the primary."""
        self._primary = address
        self._unresponsive_since.pop(address, None)

    def mark_not_primary(self, address: str) -> None:
        """``address`` answered that it is not the primary."""
        if self._primary == address:
            self._primary = ""
        self._unresponsive_since.pop(address, None)

    def mark_unresponsive(self, address: str, now: float) -> None:
        """``address`` did not answer, whatever other stores say of it."""
        self.mark_not_primary(address)
        self._unresponsive_since[address] = now

    def is_unresponsive(self, address: str, now: float) -> bool:
        """Whether ``address`` failed to answer within the last ``UNRESPONSIVE_PERIOD_S`` seconds."""
        return now - self._unresponsive_since.get(address, float("-inf")) < UNRESPONSIVE_PERIOD_S

    def candidates(self, now: float) -> list[str]:
        """Addresses (host:port) to try, each once, best guess first and unresponsive stores last."""
        stores = sorted(
            self._cluster_view.stores(),
            key=lambda store: (store.group_primary, store.group_epoch),
            reverse=True,
        )
        confirmed = [self._primary] if self._primary else []
        announced = [self._settings.peer_address(store.ip, STORE_PROGRAM) for store in stores]
        addresses = dict.fromkeys([*confirmed, *announced])
        return sorted(addresses, key=lambda address: self.is_unresponsive(address, now))
