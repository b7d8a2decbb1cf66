"""The SWIM protocol of one process as a state machine without I/O: time and messages in, effects out.

Each period one member is probed, first directly and then through others (SWIM, section 3.1). A member that
does not answer is suspected, and declared dead unless it refutes in time (section 4.2). Updates are
piggybacked on the datagrams (section 4.1). Absent seeds and dead members are pinged occasionally, and
anti-entropy delivers the updates that gossip has missed.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from cherrycove.tier.membership.anti_entropy import AntiEntropyExchange, AntiEntropySchedule
from cherrycove.tier.membership.discovery import MemberDiscovery
from cherrycove.tier.membership.effects import Effect, StartExchange
from cherrycove.tier.membership.failure_detector import FailureDetector
from cherrycove.tier.membership.gossip import Gossip
from cherrycove.tier.membership.members import Member, MemberState, MemberStatus
from cherrycove.tier.membership.membership_list import MembershipList
from cherrycove.tier.membership.outbox import Outbox, sample
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.membership.stall import StallDetector
from cherrycove.tier.protocol.membership_pb2 import Datagram

PERIOD_JITTER = 0.05  # fraction of the period by which its length varies in either direction


class SwimMachine:
    """Runs failure detection, dissemination and discovery for one process.

    Owned by the ``MembershipService``, which carries out the effects that each method returns and calls
    ``tick`` at ``next_wakeup``. ``now`` is in seconds of one monotonic clock. The local member is alive from
    the start and has left after ``leave``; a restarted process needs a new instance.
    """

    def __init__(
        self,
        local: Member,
        parameters: SwimParameters,
        seeds: tuple[str, ...],
        address_of: Callable[[Member], str],
        rng: random.Random,
        now: float,
    ) -> None:
        """Start the protocol of ``local``, which joins through ``seeds`` (host:port).

        ``seeds`` may include the address of ``local``. ``address_of`` returns the address at which a member
        listens (host:port).
        """
        self._parameters = parameters
        self._rng = rng
        self._members = MembershipList(local, parameters, rng)
        self._outbox = Outbox(self._members, parameters, address_of)
        self._detector = FailureDetector(self._members, self._outbox, parameters, rng)
        self._gossip = Gossip(self._members, self._outbox, parameters, rng, now)
        other_seeds = frozenset(seeds) - {address_of(local)}
        self._discovery = MemberDiscovery(self._members, self._outbox, parameters, rng, other_seeds, now)
        self._schedule = AntiEntropySchedule(parameters, rng, now)
        self._anti_entropy = AntiEntropyExchange(self._members)
        self._stall = StallDetector(parameters)
        self._exchanges: list[StartExchange] = []
        self._next_period_at = now + rng.random() * parameters.period_s
        self._due_at = now

    # State

    @property
    def local_member(self) -> Member:
        """The local process with its current incarnation."""
        return self._members.local.member

    def running_members(self) -> tuple[Member, ...]:
        """Return the members that the local list has as running, including the local one."""
        return tuple(status.member for status in self._members.table.running())

    def statuses(self) -> tuple[MemberStatus, ...]:
        """Return every remembered member, including those that left or were declared dead."""
        return self._members.table.statuses()

    # Time

    def next_wakeup(self) -> float:
        """Return when ``tick`` is due."""
        return self._due_at

    def tick(self, now: float) -> list[Effect]:
        """Run every timer that is due, or postpone all timers if the local process stalled."""
        if not self._postpone_after_stall(now):
            self._run_due_timers(now)
        return self._take_effects(now)

    def leave(self, now: float) -> list[Effect]:
        """Notify some members that the local process shuts down; they disseminate it."""
        self._members.leave(now)
        peers = self._members.table.peers()
        for status in sample(self._rng, peers, self._parameters.leave_notified_members):
            self._outbox.ping(status, self._outbox.next_sequence())
        return self._take_effects(now)

    # Messages

    def receive(self, now: float, source: str, datagram: Datagram) -> list[Effect]:
        """Handle one datagram that came from ``source`` (host:port).

        Raises InvalidMessageError if no correct process sends it; the parts of it before the invalid one may
        have been merged by then.
        """
        self._postpone_after_stall(now)
        sender = MemberStatus(Member.from_record(datagram.sender), MemberState.ALIVE)
        is_outdated = self._is_outdated(sender)
        if not is_outdated:
            self._members.merge(sender, now)
        if datagram.HasField("receiver"):
            self._members.merge_receiver_view(datagram.receiver, now)
        if not is_outdated:
            for update in datagram.updates:
                self._members.merge_update(update, now)
        self._handle_body(now, source, sender.member, datagram)
        return self._take_effects(now)

    @property
    def anti_entropy(self) -> AntiEntropyExchange:
        """The messages of an anti-entropy exchange; ``finish_exchange`` acts on their result."""
        return self._anti_entropy

    def finish_exchange(self, now: float) -> list[Effect]:
        """Act on the results of the anti-entropy exchanges since the last call."""
        result = self._anti_entropy.take_result()
        if result.changed or result.contested:
            self._schedule.reset_backoff(now)
        for status in sample(self._rng, result.contested, self._parameters.contested_pings_per_exchange):
            self._discovery.ping_contested(status, now)
            self._detector.probe_next(status.member.key)
        return self._take_effects(now)

    def _is_outdated(self, sender: MemberStatus) -> bool:
        """Return whether a newer update says that the sender no longer runs.

        The contents of its datagram may then be outdated as well: the sender stalled, or another process of
        its name has started since. If the sender does run, the receiver view in the next datagram to it makes
        it refute.
        """
        known = self._members.table.get(sender.member.key)
        return known is not None and not known.state.is_running and known.precedence > sender.precedence

    def _handle_body(self, now: float, source: str, sender: Member, datagram: Datagram) -> None:
        body = datagram.WhichOneof("body")
        if body == "ping" and self._members.local.state is not MemberState.LEFT:
            self._outbox.ack(source, sender, datagram.ping.sequence)
        elif body == "ack":
            self._handle_ack(now, source, sender, datagram.ack.sequence)
        elif body == "indirect_ping":
            self._detector.relay_ping(source, datagram.indirect_ping, now)

    def _handle_ack(self, now: float, source: str, sender: Member, sequence: int) -> None:
        if self._detector.handle_ack(sender.key, sequence):
            return
        if self._discovery.handle_ack(sequence):
            self._schedule.reset_backoff(now)
            self._exchanges.append(StartExchange(source))

    # Timers

    def _run_due_timers(self, now: float) -> None:
        self._detector.check_probe(now)
        self._detector.check_suspicions(now)
        self._discovery.ping_seeds_if_isolated(now)
        if now >= self._next_period_at:
            self._start_period(now)
        if now >= self._schedule.due_at:
            self._start_exchange(now)
        self._gossip.send_if_due(now)

    def _start_period(self, now: float) -> None:
        period_s = self._parameters.period_s
        self._next_period_at = now + period_s * (1.0 + PERIOD_JITTER * (2.0 * self._rng.random() - 1.0))
        self._members.table.remove_tombstones(now - self._parameters.tombstone_periods * period_s)
        self._detector.expire_relayed_pings(now)
        self._detector.start_probe(now)
        self._discovery.ping_absent_process(now)

    def _start_exchange(self, now: float) -> None:
        self._schedule.back_off(now)
        for status in sample(self._rng, self._members.table.peers(), 1):
            self._exchanges.append(StartExchange(self._outbox.address_of(status.member)))

    def _postpone_after_stall(self, now: float) -> bool:
        """Postpone every timer if the local process stalled; return whether it stalled."""
        delay_s = self._stall.delay_s(now, self._due_at)
        if delay_s == 0.0:
            return False
        self._next_period_at += delay_s
        self._detector.postpone(delay_s)
        self._gossip.postpone(delay_s)
        self._discovery.postpone(delay_s)
        self._schedule.postpone(delay_s)
        return True

    def _next_deadline(self) -> float:
        return min(
            self._next_period_at,
            self._schedule.due_at,
            self._detector.next_deadline(),
            self._gossip.next_deadline(),
            self._discovery.next_deadline(),
        )

    def _take_effects(self, now: float) -> list[Effect]:
        changes = self._members.take_changes()
        for change in changes:
            if change.is_join:
                self._detector.add_member(change.current.member.key)
        effects: list[Effect] = [*changes, *self._outbox.take(), *self._exchanges]
        self._exchanges = []
        self._due_at = max(now, self._next_deadline())
        return effects
