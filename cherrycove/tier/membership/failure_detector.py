"""The failure detector of SWIM, which probes members directly and indirectly and pings suspected ones."""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import Member, MemberKey, MemberState, MemberStatus
from cherrycove.tier.membership.membership_list import NEVER, MembershipList
from cherrycove.tier.membership.outbox import Outbox, sample
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.membership.probing import Probe, ProbeOrder, RelayedPing
from cherrycove.tier.protocol.membership_pb2 import IndirectPing


class FailureDetector:
    """Probes one member per period, and relays the probes of others (SWIM, section 3.1).

    Owned by the ``SwimMachine``. A probe starts with a direct ping, continues with pings through other
    members and ends with an ack or the suspicion of its target. At most one probe is in flight.
    """

    def __init__(
        self, members: MembershipList, outbox: Outbox, parameters: SwimParameters, rng: random.Random
    ) -> None:
        self._members = members
        self._outbox = outbox
        self._parameters = parameters
        self._rng = rng
        self._probe_order = ProbeOrder(rng)
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedPing] = {}  # by the sequence number of the ping

    # Own probes

    def start_probe(self, now: float) -> None:
        """Ping the next member in probe order; a previous probe that has not ended is dropped."""
        keys = [status.member.key for status in self._members.table.peers()]
        key = self._probe_order.next(keys)
        status = self._members.table.get(key) if key is not None else None
        if status is None:
            return
        period_s = self._parameters.period_s
        sequence = self._outbox.next_sequence()
        retry_at = now + self._parameters.direct_timeout_periods * period_s
        expires_at = now + self._parameters.probe_timeout_periods * period_s
        self._probe = Probe(status.member, sequence, retry_at, expires_at)
        self._outbox.ping(status, sequence)

    def check_probe(self, now: float) -> None:
        """Probe an unresponsive target through other members; suspect it once the probe expires."""
        probe = self._probe
        if probe is None:
            return
        if now >= probe.expires_at:
            self._probe = None
            self._members.suspect(probe.target, now)
        elif now >= probe.retry_at:
            probe.retry_at = now + self._parameters.retry_periods * self._parameters.period_s
            self._probe_indirectly(probe)

    def _probe_indirectly(self, probe: Probe) -> None:
        status = self._members.table.get(probe.target.key)
        if status is None:
            return
        self._outbox.ping(status, probe.sequence)
        if probe.indirect_sequence is None:
            probe.indirect_sequence = self._outbox.next_sequence()
        others = [peer for peer in self._members.table.peers() if peer.member.key != probe.target.key]
        for relay in sample(self._rng, others, self._parameters.indirect_members):
            self._outbox.indirect_ping(relay, status.member, probe.indirect_sequence)

    def check_suspicions(self, now: float) -> None:
        """Declare expired suspects dead; ping the others, whose refutations may have been lost."""
        self._members.expire_suspicions(now)
        for key, suspicion in self._members.suspicions.items():
            status = self._members.table.get(key)
            if suspicion.verify_at > now or status is None:
                continue
            suspicion.verify_at = now + self._parameters.verification_periods * self._parameters.period_s
            self._outbox.ping(status, self._outbox.next_sequence())

    def add_member(self, key: MemberKey) -> None:
        """Insert a member that has joined into the probe order."""
        self._probe_order.insert(key)

    def probe_next(self, key: MemberKey) -> None:
        """Probe this member in the next period."""
        self._probe_order.insert_next(key)

    # Probes of other members

    def relay_ping(self, requester: str, request: IndirectPing, now: float) -> None:
        """Ping the target of an indirect ping that came from ``requester`` (host:port).

        Raises InvalidMessageError if the target is not a valid member.
        """
        target = MemberStatus(Member.from_record(request.target), MemberState.ALIVE)
        sequence = self._outbox.next_sequence()
        expires_at = now + self._parameters.period_s
        self._relayed[sequence] = RelayedPing(requester, request.sequence, target.member.key, expires_at)
        self._outbox.ping(target, sequence)

    def expire_relayed_pings(self, now: float) -> None:
        """Forget the relayed pings whose targets did not answer in time."""
        self._relayed = {sequence: ping for sequence, ping in self._relayed.items() if ping.expires_at > now}

    # Acks and timers

    def handle_ack(self, sender: MemberKey, sequence: int) -> bool:
        """Handle an ack of a probe or of a relayed ping; return False for any other ack."""
        relayed = self._relayed.get(sequence)
        if self._probe is not None and self._probe.is_answered_by(sender, sequence):
            self._probe = None
            return True
        if relayed is not None and relayed.target == sender:
            del self._relayed[sequence]
            self._outbox.relayed_ack(relayed.requester, relayed.requester_sequence)
            return True
        return False

    def next_deadline(self) -> float:
        """Return when ``check_probe`` or ``check_suspicions`` is due next; NEVER if neither is."""
        probe_at = NEVER if self._probe is None else min(self._probe.retry_at, self._probe.expires_at)
        return min(probe_at, self._members.next_suspicion_deadline())

    def postpone(self, delay_s: float) -> None:
        """Postpone the timers of the probe and the suspicions after a stall of the local process."""
        if self._probe is not None:
            self._probe.postpone(delay_s)
        for suspicion in self._members.suspicions.values():
            suspicion.postpone(delay_s)
