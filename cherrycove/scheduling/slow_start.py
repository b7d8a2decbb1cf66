"""Slow start: how much one scheduler may send to a node that has just started (a cold node).

A cold node fails if all schedulers together send it more within ``Settings.fall_window`` than its current
capacity (rule 4 of the wire protocol page). Each scheduler keeps to its even share. If that is less than one
request, a scheduler may also send a multiple of the units that it saw the node serve, units lent by other
schedulers, and one request per window with a random permit.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from cherrycove.scheduling.interface import Settings
from cherrycove.scheduling.state import NodeQueue

# Of Settings.fall_multiple: the multiple of its recently served units that a cold node may be sent.
SERVED_MULTIPLE_FRACTION = 0.5
# Of the fall window: the minimum time between two loan requests for one node.
LOAN_REQUEST_INTERVAL_FRACTION = 0.05


class Admission(NamedTuple):
    """Whether a request may be sent, when to check again, and whether to request a loan."""

    granted: bool
    retry_at: tuple[float, ...] = ()  # times on the scheduler's clock
    request_loan: bool = False


def capacity_growth(settings: Settings, age: float) -> float:
    """Return the capacity of a node of this age (s), as a multiple of its initial capacity.

    The node's real capacity grows at least linearly. With ``warm_after`` 0 it is full at once.
    """
    warm = min(max(age, 0.0) / settings.warm_after, 1.0) if settings.warm_after > 0 else 1.0
    return 1 + (1 / settings.start_capacity - 1) * warm


class SlowStart:
    """One scheduler's capacity at cold nodes. Owned by ``SchedulerState``.

    It sets no timer and sends nothing; the state of each node is in its ``NodeQueue``.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self._started_at = -inf  # start of this incarnation
        self._unknown_until = -inf  # until then an earlier incarnation may have used the share at older nodes
        self.own_fraction = 1.0  # of this scheduler's budgets, below 1 while another process shares them
        self.pooled_fraction = 0.0  # of cold nodes' capacity, lent between schedulers instead of split evenly
        self._served_multiple = SERVED_MULTIPLE_FRACTION * settings.fall_multiple
        self._peer_sent: Mapping[str, float] = {}
        self._peer_sent_until = -inf

    def begin(self, now: float) -> None:
        """Start; for a fall window this scheduler has no even share at nodes that are older than it.

        An earlier incarnation may just have used its share: schedulers that were restarted together and used
        their shares a second time overloaded cold nodes.
        """
        self._started_at, self._unknown_until = now, now + self._settings.fall_window

    def restore(self, *, complete: bool) -> None:
        """Note that the nodes' records include units sent by an earlier incarnation; ``complete``: all."""
        self._unknown_until = -inf if complete else self._unknown_until

    def set_own_fraction(self, own_fraction: float, sent: Mapping[str, float], now: float) -> None:
        """Use only this fraction from now on; units ``sent`` by another process count for a fall window."""
        self.own_fraction = own_fraction
        if sent:
            self._peer_sent, self._peer_sent_until = sent, now + self._settings.fall_window
            self._unknown_until = -inf  # the other process is the earlier incarnation, and has reported

    def is_cold(self, node: NodeQueue, now: float) -> bool:
        """Return whether the node has started so recently that slow start applies."""
        return now < node.cold_from + self._settings.warm_after + self._settings.fall_window

    def admit(self, node: NodeQueue, units: float, now: float) -> Admission:
        """Return whether these units may be sent now; a grant may use up a loan or a permit."""
        if not self.is_cold(node, now):
            return Admission(True)
        share = self._own_share(node, now)
        sent = node.sent_window.total(now)
        if share >= self._settings.max_units:
            if sent + units <= share:
                return Admission(True)
            return Admission(False, (node.sent_window.next_expiry(now) + self._settings.tick,))
        even_share = self._even_share(node, now)
        if even_share >= self._settings.max_units and sent + units > even_share:
            # What an earlier incarnation sent is unknown, but this one's part is a bound all the same.
            return Admission(False, (node.sent_window.next_expiry(now) + self._settings.tick,))
        # The node can repeat what it served in the window. If each scheduler sends at most this multiple of
        # the units that it saw served, all together stay below ``fall_multiple`` times the capacity.
        if sent + units <= self._served_multiple * node.served_window.total(now):
            return Admission(True)
        if now < node.loan_until and units <= node.loan_units:
            node.loan_units -= units
            return Admission(True)
        return self._admit_at_random(node, share, now)

    def _own_share(self, node: NodeQueue, now: float) -> float:
        """Return the part (units) of its even share that no earlier incarnation may have used."""
        if now < self._unknown_until and node.cold_from < self._started_at:
            return 0.0
        peer_sent = self._peer_sent.get(node.id or "", 0.0) if now < self._peer_sent_until else 0.0
        return self._even_share(node, now) - peer_sent

    def _even_share(self, node: NodeQueue, now: float) -> float:
        """Return this scheduler's even share (units) of the node's capacity within a fall window."""
        settings, age = self._settings, now - self._settings.fall_window - node.cold_from
        return (
            settings.cold_units
            / settings.schedulers
            * capacity_growth(settings, age)
            * self.own_fraction
            * (1 - self.pooled_fraction)
        )

    def _admit_at_random(self, node: NodeQueue, share: float, now: float) -> Admission:
        """Admit one request if there is a permit, granted by a random draw per window or by an answer.

        Without permits, even shares below one request would leave the node idle. Shares of schedulers without
        requests for this node stay unused, so a loan is requested as well.
        """
        retry_at: list[float] = []
        request_loan = self.pooled_fraction > 0 and now >= node.next_loan_request_at
        if request_loan:
            node.next_loan_request_at = now + LOAN_REQUEST_INTERVAL_FRACTION * self._settings.fall_window
            retry_at.append(node.next_loan_request_at)
        if now < self._unknown_until and share <= 0:
            return Admission(False, (*retry_at, self._unknown_until), request_loan)
        retry_at += self._draw_permit(node, share, now)
        granted, node.permit_until = now < node.permit_until, -inf
        return Admission(granted, tuple(retry_at), request_loan)

    def _draw_permit(self, node: NodeQueue, share: float, now: float) -> list[float]:
        """Make this window's random draw if due; return the start of the next window if it was made."""
        window = self._settings.fall_window
        index = int((now - node.cold_from) / window)
        if index == node.draw_window:
            return []
        node.draw_window, window_end = index, node.cold_from + (index + 1) * window
        if self._rng.random() < share / self._settings.usual_units:
            node.permit_until = max(node.permit_until, window_end)
        return [window_end]

    def count_served(self, node: NodeQueue, units: float, now: float) -> None:
        """Count units that the node has served, and permit the next request unless capacity is lent."""
        if self.is_cold(node, now):
            node.served_window.add(now, units)
        node.permit_until = -inf if self.pooled_fraction else now + self._settings.fall_window
