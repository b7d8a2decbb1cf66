"""The spans of time in which this controller leads, in the words of leader election."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.replication.interface import Group

_log = logging.getLogger(__name__)


class LeadershipPeriod:
    """Follows the group's leadership and reports its changes to the ``LeaderCoordinator``.

    Owned by the ``Controller``. States: not leading; leading in an epoch, while this replica is the confirmed
    primary. A lost lease ends the period, and the same epoch may begin again. The group reports no change
    when a lease runs out or is renewed, so ``update`` is called at every tick, pull and question of the
    publisher.
    """

    def __init__(
        self,
        group: Group,
        on_started_leading: Callable[[int], None],
        on_stopped_leading: Callable[[], None],
    ) -> None:
        """``on_started_leading`` gets the epoch; it is called again where leadership resumes in one epoch."""
        self._group = group
        self._on_started_leading = on_started_leading
        self._on_stopped_leading = on_stopped_leading
        self._epoch: int | None = None

    @property
    def epoch(self) -> int | None:
        """The epoch in which this controller led at the last update; None if it did not lead."""
        return self._epoch

    def update(self) -> None:
        """Compare with the group, and call back if leadership began or ended since the last update.

        If this controller leads in another epoch than at the last update, only the start is called back.
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
        """Whether this replica still leads, in the epoch of the last update."""
        return (
            self._epoch is not None
            and self._epoch == self._group.epoch
            and self._group.is_confirmed_primary()
        )


class LeadershipPeriodAuthority:
    """The ``Authority`` of the publisher: each question updates the period first.

    A lease can be renewed without a change that the group reports. Without the update, a pull that waited
    meanwhile would be answered with what was published in an earlier period.
    """

    def __init__(self, period: LeadershipPeriod, leadership: Leadership) -> None:
        self._period = period
        self._leadership = leadership

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""
        return self._leadership.epoch

    def is_confirmed_primary(self) -> bool:
        """Whether this controller leads, and what it publishes belongs to the present period."""
        self._period.update()
        return self._period.is_leading()

    def primary_address(self) -> str:
        """Return the RPC address (host:port) of the controller that leads; empty while unknown."""
        return self._leadership.primary_address()
