"""What the control plane of a machine and the puller beside it tell each other about controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.protocol.control_pb2 import Announcement


class ControllerContacts:
    """Controllers known to this process, and how it announces itself. This one knows nobody."""

    def announcement(self) -> Announcement | None:
        """Return how this process announces itself; None: it introduces itself to nobody."""
        return None

    def known_controllers(self) -> Iterable[str]:
        """Return the addresses (host:port) of all controllers that were heard of."""
        return ()

    def remember(self, addresses: Iterable[str]) -> None:
        """Note that controllers run at ``addresses``, or did."""

    def suggest_primary(self, address: str) -> None:
        """Note that the controller at ``address`` is said to lead."""


class PullerContacts(ControllerContacts):
    """The contacts of a process that pulls: its puller knows the controllers, and asks those named here."""

    def __init__(self, puller: Puller, announce: Callable[[], Announcement]) -> None:
        """``announce`` describes this process at the time of each call."""
        self._puller = puller
        self._announce = announce

    def announcement(self) -> Announcement:
        """Return how this process announces itself."""
        return self._announce()

    def known_controllers(self) -> Iterable[str]:
        """Return the addresses (host:port) of all controllers that were heard of."""
        return self._puller.known_controllers()

    def remember(self, addresses: Iterable[str]) -> None:
        """Ask ``addresses`` too when no other controller knows the primary."""
        self._puller.remember_controllers(addresses)

    def suggest_primary(self, address: str) -> None:
        """Ask ``address`` next, unless a primary answers already."""
        self._puller.suggest_primary(address)
