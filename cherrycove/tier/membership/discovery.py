"""Finds processes that the membership list does not have as running: seeds, and members declared dead."""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import MemberStatus
from cherrycove.tier.membership.membership_list import NEVER, MembershipList
from cherrycove.tier.membership.outbox import Outbox
from cherrycove.tier.membership.parameters import SwimParameters


class MemberDiscovery:
    """Pings absent processes, so that a process joins and the sides of a healed partition find each other.

    Owned by the ``SwimMachine``. While the local process knows no other member it pings every seed; later a
    few members per period ping one absent process each. An ack leads to an anti-entropy exchange; a ping
    without one is forgotten after a period.
    """

    def __init__(
        self,
        members: MembershipList,
        outbox: Outbox,
        parameters: SwimParameters,
        rng: random.Random,
        seeds: frozenset[str],
        now: float,
    ) -> None:
        """Look for ``seeds`` (host:port, without that of the local process) from ``now`` on."""
        self._members = members
        self._outbox = outbox
        self._parameters = parameters
        self._rng = rng
        self._seeds = tuple(sorted(seeds))
        self._seed_contact_at = now
        self._expected_acks: dict[int, float] = {}  # sequence number of a ping, and when it expires

    def ping_seeds_if_isolated(self, now: float) -> None:
        """Ping every seed while no other member is known."""
        if self._members.table.running_count > 1 or now < self._seed_contact_at:
            return
        period_s = self._parameters.period_s
        self._seed_contact_at = now + self._parameters.seed_contact_periods * period_s
        for seed in self._seeds:
            self._outbox.ping_address(seed, self._expect_ack(now))

    def ping_absent_process(self, now: float) -> None:
        """Ping one seed at which no member runs, or one member that was declared dead.

        Called once per period. Each member decides at random, so that the group sends about
        ``contacts_per_period`` of these pings per period however large it is.
        """
        self._expire_acks(now)
        draw = self._rng.random() * self._members.table.running_count
        if draw >= self._parameters.contacts_per_period:
            return
        absent = self._absent_processes()
        if not absent:
            return
        address = self._rng.choice(sorted(absent))
        status = absent[address]
        sequence = self._expect_ack(now)
        if status is None:
            self._outbox.ping_address(address, sequence)
        else:
            self._outbox.ping(status, sequence)

    def ping_contested(self, status: MemberStatus, now: float) -> None:
        """Send a member the status that another process has of it, which it may refute."""
        self._outbox.ping(status, self._expect_ack(now))

    def handle_ack(self, sequence: int) -> bool:
        """Return whether an ack answers a ping of this object; it is not expected any more."""
        return self._expected_acks.pop(sequence, None) is not None

    def next_deadline(self) -> float:
        """Return when ``ping_seeds_if_isolated`` has something to do next."""
        return self._seed_contact_at if self._members.table.running_count == 1 else NEVER

    def postpone(self, delay_s: float) -> None:
        """Move the timer after a stall of the local process."""
        self._seed_contact_at += delay_s

    def _absent_processes(self) -> dict[str, MemberStatus | None]:
        """Return the addresses without a running member, with the dead member known there."""
        table = self._members.table
        absent: dict[str, MemberStatus | None] = dict.fromkeys(self._seeds)
        absent |= {self._outbox.address_of(status.member): status for status in table.dead()}
        for status in table.running():
            absent.pop(self._outbox.address_of(status.member), None)
        return absent

    def _expect_ack(self, now: float) -> int:
        """Return the sequence number of a new ping, whose ack is expected for one period."""
        sequence = self._outbox.next_sequence()
        self._expected_acks[sequence] = now + self._parameters.period_s
        return sequence

    def _expire_acks(self, now: float) -> None:
        self._expected_acks = {
            sequence: expires_at for sequence, expires_at in self._expected_acks.items() if expires_at > now
        }
