"""Tracks the periods in which this controller is the primary, with callbacks for their start and end."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.replication.interface import Group

_log = logging.getLogger(__name__)


class LeadershipPeriod:
    """Tracks the group's leadership and reports its changes to the ``LeaderCoordinator``.

    Owned by the ``Controller``. It is in one of two states: not leading, or leading in an epoch while this
    replica is the confirmed primary. A lost lease ends the period; a new period may start in the same epoch.
    The group reports no change when a lease expires or is renewed, so ``update`` is called at every tick, at
    every pull, and whenever the publisher checks the leadership.
    """

    def __init__(
        self,
        group: Group,
        on_started_leading: Callable[[int], None],
        on_stopped_leading: Callable[[], None],
    ) -> None:
        """``on_started_leading`` gets the epoch; it is called again if leadership resumes in that epoch."""
        self._group = group
        self._on_started_leading = on_started_leading
        self._on_stopped_leading = on_stopped_leading
        self._epoch: int | None = None

    @property
    def epoch(self) -> int | None:
        """Return the epoch in which this controller led at the last update; None if it did not lead."""
        return self._epoch

    def update(self) -> None:
        """Read the group's state, and call back if leadership started or ended since the last update.

        If the epoch changed while this controller led at both updates, only the start callback is called.
        """
        epoch = self._group.epoch if self._group.is_confirmed_primary() else None
        if epoch == self._epoch:
            return
        self._epoch = epoch
        if epoch is None:
            _log.info("leadership_stopped")
            self._on_stopped_leading()
        else:
            _log.info("leadership_started", extra={"epoch": epoch})
            self._on_started_leading(epoch)

    def is_leading(self) -> bool:
        """Return whether this replica still leads in the epoch of the last update."""
        return (
            self._epoch is not None
            and self._epoch == self._group.epoch
            and self._group.is_confirmed_primary()
        )


class LeadershipPeriodAuthority:
    """Implements the publisher's ``Authority``; each leadership check updates the period first.

    A lease can be renewed without a change that the group reports. Without the update, a pull that waited
    meanwhile would be answered with data published in an earlier period.
    """

    def __init__(self, period: LeadershipPeriod, leadership: Leadership) -> None:
        self._period = period
        self._leadership = leadership

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this controller."""
        return self._leadership.epoch

    def is_confirmed_primary(self) -> bool:
        """Return whether this controller leads and its published data belongs to the current period."""
        self._period.update()
        return self._period.is_leading()

    def primary_address(self) -> str:
        """Return the RPC address (host:port) of the primary; empty while it is unknown."""
        return self._leadership.primary_address()
