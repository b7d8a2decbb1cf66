"""One log line for each change of role, epoch, primary or members of a replica."""

from __future__ import annotations

import logging
from typing import Any

from cherrycove.tier.replication.machine import ReplicaMachine

_log = logging.getLogger(__name__)


class ChangeLog:
    """Remembers what was logged last."""

    def __init__(self, group: str) -> None:
        self._group = group
        self._logged: dict[str, Any] = {}

    def report(self, machine: ReplicaMachine) -> None:
        primary = machine.primary
        details = {
            "group": self._group,
            "role": machine.role.value,
            "epoch": machine.epoch,
            "primary": primary.member_id if primary is not None else "",
            "members": [member.member_id for member in machine.members],
        }
        if details != self._logged:
            self._logged = details
            _log.info("replica_changed", extra=details)
