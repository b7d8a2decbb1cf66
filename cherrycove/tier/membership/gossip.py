"""Sends datagrams that carry only updates, while there are updates to disseminate.

SWIM piggybacks updates on probes alone (section 4.1); dedicated datagrams spread them faster, as in
memberlist, the implementation that Lifeguard extends.
"""

from __future__ import annotations

import random

from cherrycove.tier.membership.membership_list import NEVER, MembershipList
from cherrycove.tier.membership.outbox import Outbox, sample
from cherrycove.tier.membership.parameters import SwimParameters


class Gossip:
    """Sends updates to a few random members at a short interval; owned by the ``SwimMachine``."""

    def __init__(
        self,
        members: MembershipList,
        outbox: Outbox,
        parameters: SwimParameters,
        rng: random.Random,
        now: float,
    ) -> None:
        self._members = members
        self._outbox = outbox
        self._parameters = parameters
        self._rng = rng
        self._next_gossip_at = now

    def send_if_due(self, now: float) -> None:
        """Send one round of gossip if it is due and there are updates to disseminate."""
        if now < self._next_gossip_at or not self._members.queue:
            return
        self._next_gossip_at = now + self._parameters.gossip_periods * self._parameters.period_s
        for status in sample(self._rng, self._members.table.peers(), self._parameters.gossip_members):
            if self._members.queue:
                self._outbox.gossip(status)

    def next_deadline(self) -> float:
        """Return when the next round is due; NEVER while there are no updates."""
        return self._next_gossip_at if self._members.queue else NEVER

    def postpone(self, delay_s: float) -> None:
        """Postpone the timer after a stall of the local process."""
        self._next_gossip_at += delay_s
