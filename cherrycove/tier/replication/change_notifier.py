"""Logs changes of role, epoch, primary or members of a replica and notifies listeners."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from cherrycove.tier.replication.machine import ReplicaMachine

_log = logging.getLogger(__name__)


class ChangeNotifier:
    """Logs each change once and calls the listeners in the event loop."""

    def __init__(self, group_name: str) -> None:
        self._group_name = group_name
        self._listeners: list[Callable[[], None]] = []
        self._last_logged: Mapping[str, object] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change, in the order of subscription."""
        self._listeners.append(listener)

    def notify(self, machine: ReplicaMachine) -> None:
        """Log the state of ``machine`` unless it equals the last line, and call the listeners."""
        self._log_change(machine)
        for listener in self._listeners:
            listener()

    def _log_change(self, machine: ReplicaMachine) -> None:
        primary = machine.primary
        details = {
            "group": self._group_name,
            "role": machine.role.value,
            "epoch": machine.epoch,
            "primary": primary.member_id if primary is not None else "",
            "members": [member.member_id for member in machine.members],
        }
        if details != self._last_logged:
            self._last_logged = details
            _log.info("replica_changed", extra=details)
