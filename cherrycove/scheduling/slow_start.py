"""Slow start: how much a node that has just started (a cold node) may be sent by one scheduler now.

A cold node falls over when all schedulers together send it more, within ``Settings.fall_window``, than it can
do yet (the fourth rule of the wire page). Each scheduler keeps to its even part of that. Where the even part
is less than one request, a scheduler sends by three other means: a multiple of what it saw the node do, a
loan of capacity from other schedulers, and a lot that is drawn once in each window.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from cherrycove.scheduling.interface import Settings
from cherrycove.scheduling.state import NodeQueue

# Part of Settings.fall_multiple: so many times what a cold node did of late it may be sent.
SERVED_MULTIPLE_FRACTION = 0.5
# Part of the fall window between two requests for a loan of capacity at one node.
BORROW_PAUSE_FRACTION = 0.05


class Admission(NamedTuple):
    """Whether a request may go to a node, when to look again, and whether to ask others for a loan there."""

    granted: bool
    again: tuple[float, ...] = ()  # clock times, s
    ask: bool = False


def capacity_growth(settings: Settings, age: float) -> float:
    """Return how many times its initial capacity a node of this age (s) has; it grows no slower than evenly.

    Settings may say that a node has all of it at once (``warm_after`` 0).
    """
    warm = min(max(age, 0.0) / settings.warm_after, 1.0) if settings.warm_after > 0 else 1.0
    return 1 + (1 / settings.start_capacity - 1) * warm


class SlowStart:
    """One scheduler's capacity at cold nodes. Owned by ``SchedulerState``.

    It sets no timer and sends nothing; what it knows of one node is in that node's ``NodeQueue``.
    """

    def __init__(self, settings: Settings, dice: random.Random) -> None:
        self._settings, self._dice = settings, dice
        self._began = -inf  # when this incarnation began, and until when an earlier one may have used this
        self._unknown = -inf  # scheduler's part at nodes that are older
        self.own_fraction = 1.0  # of this scheduler's budgets, while another process shares them
        self.pooled_fraction = 0.0  # part of cold nodes' capacity that is lent among all instead of split
        self._earned = SERVED_MULTIPLE_FRACTION * settings.fall_multiple
        self._others: Mapping[str, float] = {}
        self._others_until = -inf

    def begin(self, now: float) -> None:
        """The scheduler has started, perhaps anew.

        An earlier incarnation may just have used its part. Schedulers that were restarted together and used
        theirs again pushed nodes over; for a fall window, nodes that are older get only what they earn.
        """
        self._began, self._unknown = now, now + self._settings.fall_window

    def restore(self, *, complete: bool) -> None:
        """What an earlier incarnation sent is in the nodes' records now; ``complete``: all of it."""
        self._unknown = -inf if complete else self._unknown

    def share(self, own_fraction: float, sent: Mapping[str, float], now: float) -> None:
        """Use only this part from now on; ``sent`` (units by node) by another process counts for a window."""
        self.own_fraction = own_fraction
        if sent:
            self._others, self._others_until = sent, now + self._settings.fall_window
            self._unknown = -inf  # the other process is the earlier incarnation, and has reported

    def is_cold(self, node: NodeQueue, now: float) -> bool:
        """Whether the node has started so lately that what it is sent must be bounded."""
        return now < node.cold_from + self._settings.warm_after + self._settings.fall_window

    def admit(self, node: NodeQueue, units: float, now: float) -> Admission:
        """Return whether so many units may go now; a grant uses up a loan or a lot."""
        if not self.is_cold(node, now):
            return Admission(True)
        part = self._share_of(node, now)
        sent = node.recent.total(now)
        if part >= self._settings.max_units:
            if sent + units <= part:
                return Admission(True)
            return Admission(False, (node.recent.next_expiry(now) + self._settings.tick,))
        # What the node did in the window it can do again. Schedulers that each send no more than this
        # multiple of what they saw it do stay together under the rule's multiple of what it can.
        if sent + units <= self._earned * node.served.total(now):
            return Admission(True)
        if now < node.loan_until and units <= node.loan_units:
            node.loan_units -= units
            return Admission(True)
        return self._admit_by_lot(node, part, now)

    def _share_of(self, node: NodeQueue, now: float) -> float:
        """Return this scheduler's part (units) of what the node bears within a fall window."""
        if now < self._unknown and node.cold_from < self._began:
            return 0.0
        s, age = self._settings, now - self._settings.fall_window - node.cold_from
        part = (
            s.cold_units
            / s.schedulers
            * capacity_growth(s, age)
            * self.own_fraction
            * (1 - self.pooled_fraction)
        )
        return part - (self._others.get(node.id or "", 0.0) if now < self._others_until else 0.0)

    def _admit_by_lot(self, node: NodeQueue, part: float, now: float) -> Admission:
        """Admit one request on a ticket, which a lot in each window or an answer of the node gives.

        Without it even parts below one request would leave the node idle. Capacity that is split lies unused
        at schedulers which have nothing for this node, hence the request for a loan.
        """
        again: list[float] = []
        ask = self.pooled_fraction > 0 and now >= node.next_loan_request_at
        if ask:
            node.next_loan_request_at = now + BORROW_PAUSE_FRACTION * self._settings.fall_window
            again.append(node.next_loan_request_at)
        if now < self._unknown and part <= 0:
            return Admission(False, (*again, self._unknown), ask)
        again += self._draw_lot(node, part, now)
        granted, node.ticket_until = now < node.ticket_until, -inf
        return Admission(granted, tuple(again), ask)

    def _draw_lot(self, node: NodeQueue, part: float, now: float) -> list[float]:
        """Draw this window's lot, if that is to do; return when the next window begins, if it was."""
        window = self._settings.fall_window
        slot = int((now - node.cold_from) / window)
        if slot == node.draw_window:
            return []
        node.draw_window, slot_end = slot, node.cold_from + (slot + 1) * window
        if self._dice.random() < part / self._settings.usual_units:
            node.ticket_until = max(node.ticket_until, slot_end)
        return [slot_end]

    def count_served(self, node: NodeQueue, units: float, now: float) -> None:
        """Count units that the node has served: it bears the next request."""
        if self.is_cold(node, now):
            node.served.add(now, units)
        node.ticket_until = -inf if self.pooled_fraction else now + self._settings.fall_window
