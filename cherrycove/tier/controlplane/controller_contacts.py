"""Exchanges addresses of controllers between the control plane and the puller of one process."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.protocol.control_pb2 import Announcement


class ControllerContacts:
    """Provides the known controllers and this process's announcement; the base class has neither."""

    def announcement(self) -> Announcement | None:
        """Return this process's announcement, or None if it must not introduce itself."""
        return None

    def known_controllers(self) -> Iterable[str]:
        """Return the addresses (host:port) of all controllers that this process knows of."""
        return ()

    def add_known_controllers(self, addresses: Iterable[str]) -> None:
        """Add ``addresses``, at which controllers run or used to run."""

    def suggest_primary(self, address: str) -> None:
        """Report that the controller at ``address`` is probably the primary."""


class PullerContacts(ControllerContacts):
    """Delegates to the ``Puller`` of this process, which tracks the controllers and selects one to ask."""

    def __init__(self, puller: Puller, announce: Callable[[], Announcement]) -> None:
        """``announce`` describes this process at the time of each call."""
        self._puller = puller
        self._announce = announce

    def announcement(self) -> Announcement:
        """Return this process's announcement."""
        return self._announce()

    def known_controllers(self) -> Iterable[str]:
        """Return the addresses (host:port) of all controllers that this process knows of."""
        return self._puller.known_controllers()

    def add_known_controllers(self, addresses: Iterable[str]) -> None:
        """Let the puller ask ``addresses`` as well when no other controller knows the primary."""
        self._puller.add_known_controllers(addresses)

    def suggest_primary(self, address: str) -> None:
        """Let the puller ask ``address`` next, unless it already reaches a primary."""
        self._puller.suggest_primary(address)
