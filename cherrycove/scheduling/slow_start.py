"""Room on cold nodes: how much of what one bears a scheduler may send it now.

It owns the books of the rule on cold nodes (the wire page's fourth): this scheduler's part of what a cold
node bears, what others lent it, and its draws where that part is less than a request. It must never set a
timer, send, or take a node for warm before its time.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from cherrycove.scheduling.interface import Settings
from cherrycove.scheduling.state import NodeQueue

EARNED = 0.5  # of the rule's multiple: so much of what a cold node did of late it may be sent
ASK_ROOM = 0.05  # of the window of the rule, between asks for room there


class Admission(NamedTuple):
    """Whether a request may go to a node, when to look again, and whether to ask others for room there."""

    granted: bool
    again: tuple[float, ...] = ()
    ask: bool = False


def growth(settings: Settings, age: float) -> float:
    """How many times what it began with a node of this age (s) can do; it warms no slower than evenly.

    Guard: where settings say that a node is warm at once, a sum over that time failed.
    """
    warm = min(max(age, 0.0) / settings.warm_after, 1.0) if settings.warm_after > 0 else 1.0
    return 1 + (1 / settings.start_capacity - 1) * warm


class ColdRoom:
    """Guard: all schedulers together must not push a cold node over; it warms no slower than evenly."""

    def __init__(self, settings: Settings, dice: random.Random) -> None:
        self._settings, self._dice = settings, dice
        self._began = -inf  # when this life did, and until when an earlier one may have used this host's part
        self._unknown = -inf  # of nodes that are older
        self.part = 1.0  # of this host's budgets, while another process shares them
        self.lent = 0.0  # part of what cold nodes bear that is lent among all, not split
        self._earned = EARNED * settings.fall_multiple
        self._others: Mapping[str, float] = {}
        self._others_until = -inf

    def begin(self, now: float) -> None:
        """Guard: this may be a restart whose former life has just used its part; used again at once by all
        that were restarted, it pushed nodes over. Until that is past, older nodes get what they earn."""
        self._began, self._unknown = now, now + self._settings.fall_window

    def recalled(self, whole: bool) -> None:
        """What an earlier life sent is in the nodes' books now; ``whole``: all of it."""
        self._unknown = -inf if whole else self._unknown

    def share(self, part: float, sent: Mapping[str, float], now: float) -> None:
        """From now on this part is its own; what another process sent counts until it is forgotten."""
        self.part = part
        if sent:
            self._others, self._others_until = sent, now + self._settings.fall_window
            self._unknown = -inf  # the other process is the earlier life, and has told

    def cold(self, node: NodeQueue, now: float) -> bool:
        return now < node.cold_from + self._settings.warm_after + self._settings.fall_window

    def _share_of(self, node: NodeQueue, now: float) -> float:
        """Units within the rule's window that are this scheduler's."""
        if now < self._unknown and node.cold_from < self._began:
            return 0.0
        s, age = self._settings, now - self._settings.fall_window - node.cold_from
        part = s.cold_units / s.schedulers * growth(s, age) * self.part * (1 - self.lent)
        return part - (self._others.get(node.id or "", 0.0) if now < self._others_until else 0.0)

    def admit(self, node: NodeQueue, units: float, now: float) -> Admission:
        """Whether so many units may go now; a grant uses up a loan or a lot."""
        s = self._settings
        if not self.cold(node, now):
            return Admission(True)
        part = self._share_of(node, now)
        if part >= s.max_units:
            if node.recent.total(now) + units <= part:
                return Admission(True)
            return Admission(False, (node.recent.next_leaves(now) + s.tick,))
        # What it did in the window it can do now, too. Guard: hosts that each send no more than this multiple
        # of what they saw it do stay together under the rule's multiple of what it can.
        if node.recent.total(now) + units <= self._earned * node.served.total(now):
            return Admission(True)
        if now < node.lent_until and units <= node.lent:
            node.lent -= units
            return Admission(True)
        again: list[float] = []
        ask = self.lent > 0 and now >= node.ask_at
        if ask:
            # Guard: split, the room lies unused with hosts that have nothing for this node.
            node.ask_at = now + ASK_ROOM * s.fall_window
            again.append(node.ask_at)
        if now < self._unknown and part <= 0:
            return Admission(False, (*again, self._unknown), ask)
        # Guard: even parts below one request leave it idle; a lot in each window, or an answer, lets one go.
        slot = int((now - node.cold_from) / s.fall_window)
        if slot != node.slot:
            node.slot, slot_end = slot, node.cold_from + (slot + 1) * s.fall_window
            if self._dice.random() < part / s.usual_units:
                node.ticket_until = max(node.ticket_until, slot_end)
            again.append(slot_end)
        granted, node.ticket_until = now < node.ticket_until, -inf
        return Admission(granted, tuple(again), ask)

    def answered(self, node: NodeQueue, units: float, now: float) -> None:
        """Its node has served one: it bears the next."""
        if self.cold(node, now):
            node.served.add(now, units)
        node.ticket_until = -inf if self.lent else now + self._settings.fall_window
