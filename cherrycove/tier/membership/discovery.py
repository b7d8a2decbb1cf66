"""Finds processes that the membership list does not have as running: seeds and members declared dead."""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import MemberStatus
from cherrycove.tier.membership.membership_list import NEVER, MembershipList
from cherrycove.tier.membership.outbox import Outbox
from cherrycove.tier.membership.parameters import SwimParameters


class MemberDiscovery:
    """Pings absent processes, so that processes can join and the sides of a healed partition reconnect.

    Owned by the ``SwimMachine``. While the local process knows no other member it pings every seed; later a
    few members per period ping one absent process each. An ack leads to an anti-entropy exchange; an
    unanswered ping is forgotten after a period.
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
        """Ping ``seeds`` (host:port, without the local process) from ``now`` on."""
        self._members = members
        self._outbox = outbox
        self._parameters = parameters
        self._rng = rng
        self._seeds = tuple(sorted(seeds))
        self._next_seed_ping_at = now
        self._expected_acks: dict[int, float] = {}  # by sequence number of the ping: when it expires

    def ping_seeds_if_isolated(self, now: float) -> None:
        """Ping every seed while no other member is known."""
        if self._members.table.running_count > 1 or now < self._next_seed_ping_at:
            return
        period_s = self._parameters.period_s
        self._next_seed_ping_at = now + self._parameters.seed_ping_periods * period_s
        for seed in self._seeds:
            self._outbox.ping_address(seed, self._expect_ack(now))

    def ping_absent_process(self, now: float) -> None:
        """Ping one seed without a running member, or one member that was declared dead.

        Called once per period. Each member decides at random whether to ping, so that the group sends about
        ``discovery_pings_per_period`` of these pings per period, whatever its size.
        """
        self._expire_acks(now)
        draw = self._rng.random() * self._members.table.running_count
        if draw >= self._parameters.discovery_pings_per_period:
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
        """Send a member the status in which another process has it, so that the member can refute it."""
        self._outbox.ping(status, self._expect_ack(now))

    def handle_ack(self, sequence: int) -> bool:
        """Return whether an ack answers a ping of this object, and stop expecting that ack."""
        return self._expected_acks.pop(sequence, None) is not None

    def next_deadline(self) -> float:
        """Return when the seeds are pinged next; NEVER while another member is known."""
        return self._next_seed_ping_at if self._members.table.running_count == 1 else NEVER

    def postpone(self, delay_s: float) -> None:
        """Postpone the timer after a stall of the local process."""
        self._next_seed_ping_at += delay_s

    def _absent_processes(self) -> dict[str, MemberStatus | None]:
        """Return the addresses without a running member, each with the dead member known there, if any."""
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
