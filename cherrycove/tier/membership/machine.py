"""The SWIM protocol of one process as a pure machine: time and messages go in, effects come out.

Each period one member is probed: first directly, then through others; who stays silent is suspected, and
declared dead unless it refutes in time. Findings travel on the probes. Unknown seeds and dead members are
contacted now and then, so that a process joins and cut halves find one another; tables are compared whole
with a random member, often while they differ and seldom when they agree.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from cherrycove.tier.membership.anti_entropy import AntiEntropyExchange, AntiEntropySchedule
from cherrycove.tier.membership.effects import Effect, StartExchange
from cherrycove.tier.membership.joining import ContactSchedule
from cherrycove.tier.membership.members import Member, MemberState, MemberStatus, SwimParameters
from cherrycove.tier.membership.membership_list import MembershipList
from cherrycove.tier.membership.outbox import Outbox
from cherrycove.tier.membership.probing import Probe, ProbeOrder, RelayedPing
from cherrycove.tier.protocol.membership_pb2 import Datagram, IndirectPing

PERIOD_JITTER = 0.05  # share of the period by which its length varies


class SwimMachine:
    """Failure detection, dissemination and joining of one process."""

    def __init__(
        self,
        local: Member,
        parameters: SwimParameters,
        seeds: tuple[str, ...],
        address_of: Callable[[Member], str],
        rng: random.Random,
        now: float,
    ) -> None:
        self._parameters = parameters
        self._address_of = address_of
        self._rng = rng
        self._members = MembershipList(local, parameters, rng)
        self._order = ProbeOrder(rng)
        self._outbox = Outbox(self._members, parameters)
        self._contacts = ContactSchedule(frozenset(seeds) - {address_of(local)}, parameters, rng, now)
        self._schedule = AntiEntropySchedule(parameters, rng, now)
        self._exchange = AntiEntropyExchange(self._members)
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedPing] = {}
        self._sequence = 0
        self._period_at = now + rng.random() * parameters.period_s
        self._gossip_at = now
        self._due_at = now
        self._stalled = False
        self._exchanges: list[StartExchange] = []

    # What is known

    @property
    def local_member(self) -> Member:
        return self._members.local.member

    def running_members(self) -> tuple[Member, ...]:
        """Members that run as far as known here, the own process included."""
        return tuple(status.member for status in self._members.table.running())

    def statuses(self) -> tuple[MemberStatus, ...]:
        """All remembered members, also those that ended."""
        return self._members.table.statuses()

    # Time

    def next_wakeup(self) -> float:
        """When ``tick`` is due."""
        return self._due_at

    def tick(self, now: float) -> list[Effect]:
        """Do everything that is due."""
        if not self._allow_for_stall(now):
            self._check_probe(now)
            self._check_suspicions(now)
            self._contact_seeds_if_isolated(now)
            if now >= self._period_at:
                self._start_period(now)
            if now >= self._schedule.due_at:
                self._start_exchange(now)
            if now >= self._gossip_at and self._members.queue:
                self._gossip(now)
        return self._take_effects(now)

    def leave(self, now: float) -> list[Effect]:
        """Tell some members that this process ends; they spread it."""
        self._members.leave(now)
        peers = self._members.table.peers()
        for status in self._sample(peers, self._parameters.leave_notified_members):
            self._outbox.ping(self._address_of(status.member), status, self._next_sequence())
        return self._take_effects(now)

    # Messages

    def receive(self, now: float, source: str, datagram: Datagram) -> list[Effect]:
        """Take one datagram that came from ``source`` (host:port)."""
        self._allow_for_stall(now)
        sender = MemberStatus(Member.from_record(datagram.sender), MemberState.ALIVE)
        known = self._members.table.get(sender.member.key)
        outdated = known is not None and not known.state.is_running and known.precedence > sender.precedence
        if not outdated:
            self._members.merge(sender, now)
        if datagram.HasField("receiver"):
            self._members.merge_receiver_view(datagram.receiver, now)
        if not outdated:
            for update in datagram.updates:
                self._members.merge_update(update, now)
        self._answer(now, source, sender.member, datagram)
        return self._take_effects(now)

    @property
    def anti_entropy(self) -> AntiEntropyExchange:
        """The calls of a full exchange; ``finish_exchange`` takes what came of them."""
        return self._exchange

    def finish_exchange(self, now: float) -> list[Effect]:
        """Act on what full exchanges have brought since the last call."""
        news, contested = self._exchange.take_result()
        if news or contested:
            self._schedule.hasten(now)
        for status in self._sample(contested, self._parameters.verifications_per_batch):
            address = self._address_of(status.member)
            self._outbox.ping(address, status, self._contacts.expect_ack(self._next_sequence(), now))
            self._order.insert_next(status.member.key)
        return self._take_effects(now)

    # Probing

    def _start_period(self, now: float) -> None:
        period_s = self._parameters.period_s
        self._period_at = now + period_s * (1.0 + PERIOD_JITTER * (2.0 * self._rng.random() - 1.0))
        self._members.table.remove_ended(now - self._parameters.tombstone_periods * period_s)
        self._relayed = {sequence: ping for sequence, ping in self._relayed.items() if ping.expires > now}
        self._probe_next(now)
        self._contact_absent_member(now)

    def _probe_next(self, now: float) -> None:
        keys = [status.member.key for status in self._members.table.peers()]
        key = self._order.next(keys)
        status = self._members.table.get(key) if key is not None else None
        if status is None:
            return
        period_s = self._parameters.period_s
        sequence = self._next_sequence()
        retry_at = now + self._parameters.direct_timeout_periods * period_s
        deadline = now + self._parameters.probe_timeout_periods * period_s
        self._probe = Probe(status.member, sequence, retry_at, deadline)
        self._outbox.ping(self._address_of(status.member), status, sequence)

    def _check_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if now >= probe.deadline:
            self._probe = None
            self._members.suspect(probe.target, now)
        elif now >= probe.retry_at:
            probe.retry_at = now + self._parameters.retry_periods * self._parameters.period_s
            self._probe_through_others(probe)

    def _probe_through_others(self, probe: Probe) -> None:
        status = self._members.table.get(probe.target.key)
        if status is None:
            return
        self._outbox.ping(self._address_of(status.member), status, probe.sequence)
        probe.indirect_sequence = probe.indirect_sequence or self._next_sequence()
        others = [peer for peer in self._members.table.peers() if peer.member.key != probe.target.key]
        for helper in self._sample(others, self._parameters.indirect_members):
            address = self._address_of(helper.member)
            self._outbox.indirect_ping(address, helper, status.member, probe.indirect_sequence)

    def _check_suspicions(self, now: float) -> None:
        self._members.expire_suspicions(now)
        for key, suspicion in self._members.suspicions.items():
            status = self._members.table.get(key)
            if suspicion.verify_at > now or status is None:
                continue
            suspicion.verify_at = now + self._parameters.verification_periods * self._parameters.period_s
            self._outbox.ping(self._address_of(status.member), status, self._next_sequence())

    def _gossip(self, now: float) -> None:
        """Spread news faster than probes alone would."""
        self._gossip_at = now + self._parameters.gossip_periods * self._parameters.period_s
        for status in self._sample(self._members.table.peers(), self._parameters.gossip_members):
            if self._members.queue:
                self._outbox.gossip(self._address_of(status.member), status)

    # Joining and comparing

    def _contact_seeds_if_isolated(self, now: float) -> None:
        if self._members.table.running_count > 1 or now < self._contacts.seed_contact_at:
            return
        for seed in self._contacts.take_seeds(now):
            self._outbox.ping(seed, None, self._contacts.expect_ack(self._next_sequence(), now))

    def _contact_absent_member(self, now: float) -> None:
        """Look for a seed that no member is at, or for a member that was declared dead."""
        self._contacts.expire_acks(now)
        table = self._members.table
        if not self._contacts.is_chosen_to_contact(table.running_count):
            return
        views: dict[str, MemberStatus | None] = {address: None for address in self._contacts.seeds}
        views |= {self._address_of(status.member): status for status in table.dead()}
        for status in table.running():
            views.pop(self._address_of(status.member), None)
        if views:
            address = self._rng.choice(sorted(views))
            self._outbox.ping(address, views[address], self._contacts.expect_ack(self._next_sequence(), now))

    def _start_exchange(self, now: float) -> None:
        self._schedule.back_off(now)
        for status in self._sample(self._members.table.peers(), 1):
            self._exchanges.append(StartExchange(self._address_of(status.member)))

    # Answers

    def _answer(self, now: float, source: str, sender: Member, datagram: Datagram) -> None:
        body = datagram.WhichOneof("body")
        if body == "ping" and self._members.local.state is not MemberState.LEFT:
            self._outbox.ack(source, sender, datagram.ping.sequence)
        elif body == "ack":
            self._take_ack(now, source, sender, datagram.ack.sequence)
        elif body == "indirect_ping":
            self._relay(now, source, datagram.indirect_ping)

    def _take_ack(self, now: float, source: str, sender: Member, sequence: int) -> None:
        probe = self._probe
        relayed = self._relayed.get(sequence)
        if probe is not None and probe.is_answered_by(sender.key, sequence):
            self._probe = None
        elif relayed is not None and relayed.target == sender.key:
            del self._relayed[sequence]
            self._outbox.relayed_ack(relayed.requester, relayed.requester_sequence)
        elif self._contacts.take_ack(sequence):
            self._schedule.hasten(now)
            self._exchanges.append(StartExchange(source))

    def _relay(self, now: float, source: str, request: IndirectPing) -> None:
        target = MemberStatus(Member.from_record(request.target), MemberState.ALIVE)
        sequence = self._next_sequence()
        expires = now + self._parameters.period_s
        self._relayed[sequence] = RelayedPing(source, request.sequence, target.member.key, expires)
        self._outbox.ping(self._address_of(target.member), target, sequence)

    # Helpers

    def _allow_for_stall(self, now: float) -> bool:
        """Put every deadline off when this process itself stood still: answers may lie unread.

        Two short stalls in a row are not told from slowness, which must not keep the protocol from going on.
        """
        lateness = now - self._due_at
        limit_s = self._parameters.stall_periods * self._parameters.period_s
        if lateness <= (self._parameters.period_s if self._stalled else limit_s):
            self._stalled = False if lateness >= 0.0 else self._stalled
            return False
        self._stalled = True
        self._postpone(lateness + limit_s)
        return True

    def _earliest_deadline(self) -> float:
        deadlines = [self._period_at, self._schedule.due_at]
        if self._members.table.running_count == 1:
            deadlines.append(self._contacts.seed_contact_at)
        if self._probe is not None:
            deadlines += [self._probe.retry_at, self._probe.deadline]
        if self._members.queue:
            deadlines.append(self._gossip_at)
        for suspicion in self._members.suspicions.values():
            deadlines += [suspicion.deadline, suspicion.verify_at]
        return min(deadlines)

    def _postpone(self, delay_s: float) -> None:
        self._period_at += delay_s
        self._gossip_at += delay_s
        self._schedule.due_at += delay_s
        self._contacts.seed_contact_at += delay_s
        if self._probe is not None:
            self._probe.retry_at += delay_s
            self._probe.deadline += delay_s
        for suspicion in self._members.suspicions.values():
            suspicion.deadline += delay_s
            suspicion.verify_at += delay_s

    def _sample(self, statuses: list[MemberStatus], count: int) -> list[MemberStatus]:
        return self._rng.sample(statuses, min(count, len(statuses)))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _take_effects(self, now: float) -> list[Effect]:
        changes = self._members.take_changes()
        for change in changes:
            if change.is_join:
                self._order.insert(change.current.member.key)
        effects: list[Effect] = [*changes, *self._outbox.take(), *self._exchanges]
        self._exchanges = []
        self._due_at = max(now, self._earliest_deadline())
        return effects
