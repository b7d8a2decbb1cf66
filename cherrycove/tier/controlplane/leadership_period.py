"""Tracks the spans of time in which this keeper leads."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.replication.interface import Group

_log = logging.getLogger(__name__)


class LeadershipPeriod:
    """The present term: an epoch in which this replica is the confirmed primary. A lost lease pauses it."""

    def __init__(
        self, group: Group, on_started_leading: Callable[[int], None], on_stopped_leading: Callable[[], None]
    ) -> None:
        """``on_started_leading`` is told the epoch, also when a term goes on after a pause."""
        self._group = group
        self._on_started_leading = on_started_leading
        self._on_stopped_leading = on_stopped_leading
        self._epoch: int | None = None

    @property
    def epoch(self) -> int | None:
        """The epoch that was led at the last update; None while none was."""
        return self._epoch

    def update(self) -> None:
        """Compare with the group, and begin or end the term."""
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
        """Whether this replica still leads in the epoch of the last update."""
        return (
            self._epoch is not None
            and self._epoch == self._group.epoch
            and self._group.is_confirmed_primary()
        )


class LeadershipPeriodAuthority:
    """The leadership as the publisher asks for it: each question brings what is published up to date.

    A lease can begin to hold without a change that the group reports. Without the update, a pull that was
    held meanwhile would be answered with what was published in an earlier term.
    """

    def __init__(self, period: LeadershipPeriod, leadership: Leadership) -> None:
        self._period = period
        self._leadership = leadership

    @property
    def epoch(self) -> int:
        return self._leadership.epoch

    def is_confirmed_primary(self) -> bool:
        self._period.update()
        return self._period.is_leading()

    def primary_address(self) -> str:
        return self._leadership.primary_address()
