"""What one process believes of all members: how news are merged, doubted, refuted and given up."""

from __future__ import annotations

import random

import attrs

from cherrycove.tier.membership.dissemination import DisseminationQueue
from cherrycove.tier.membership.effects import MemberChanged
from cherrycove.tier.membership.model import (
    Member,
    MemberKey,
    MemberState,
    MemberStatus,
    Parameters,
    check_incarnation,
)
from cherrycove.tier.membership.table import MemberTable
from cherrycove.tier.protocol.membership_pb2 import ReceiverView, Update

NEVER = float("inf")
MAX_SPREAD_FROM_EXCHANGE = 20  # news of one exchange; more of them spread by further exchanges


@attrs.define
class Suspicion:
    """A running time-out of a suspected member."""

    deadline: float  # when it is declared dead
    verify_at: float  # when it is pinged next; inf: others do


@attrs.frozen
class ExchangeOutcome:
    news: int  # members of which something new was learned
    doubtful: tuple[MemberStatus, ...]  # statuses that the members concerned should hear and refute


class Beliefs:
    """The table of members, the suspicions, and the updates still to be spread."""

    def __init__(self, own: Member, parameters: Parameters, rng: random.Random) -> None:
        self.own = MemberStatus(own, MemberState.ALIVE)
        self.table = MemberTable(self.own)
        self.queue = DisseminationQueue()
        self.suspicions: dict[MemberKey, Suspicion] = {}
        self.queue.add(self.own)
        self._parameters = parameters
        self._rng = rng
        self._changes: list[MemberChanged] = []

    def take_changes(self) -> list[MemberChanged]:
        """Changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def hear(self, status: MemberStatus, now: float) -> bool:
        """Merge one update that came in a datagram; returns whether it was news."""
        if status.member.key == self.own.member.key:
            return self._hear_of_self(status, now)
        known = self.table.get(status.member.key)
        if known is None:
            return self._hear_of_unknown(status, now)
        if status.precedence <= known.precedence:
            return False
        if status.state is MemberState.DEAD and known.state.running:
            self._hear_of_death(known, status, now)
        else:
            self._put(status, now, self._suspicion_s())
        return True

    def hear_update(self, update: Update, now: float) -> bool:
        """Merge one update of a datagram; most are known already, which costs little."""
        record = update.member
        known = self.table.get(MemberKey(record.node_name, record.program))
        if known is not None and known.state.value == int(update.state):
            member = known.member
            if member.incarnation == record.incarnation and member.process_id == record.process_id:
                return False
        return self.hear(MemberStatus.from_update(update), now)

    def hear_view(self, view: ReceiverView, now: float) -> None:
        """Refute, where it is wrong, what another process believes of this one."""
        check_incarnation(view.incarnation)
        believed = attrs.evolve(self.own.member, process_id=view.process_id, incarnation=view.incarnation)
        self._hear_of_self(MemberStatus(believed, MemberState(view.state)), now)

    def hear_exchange(self, statuses: list[MemberStatus], now: float) -> ExchangeOutcome:
        """Merge the table of another process.

        What it holds dead and runs here, or the other way round, is left to the member concerned: after a cut
        each side holds the other dead, and no healthy member may be given up for that.
        """
        news = []
        doubtful = []
        for status in statuses:
            doubt = self._doubt(status)
            if doubt is not None:
                doubtful.append(doubt)
            elif status.state is MemberState.SUSPECT:
                continue
            elif self.hear(status, now):
                news.append(status.member.key)
        if len(news) > MAX_SPREAD_FROM_EXCHANGE:
            self.queue.discard(news)
        return ExchangeOutcome(len(news), tuple(doubtful))

    def suspect(self, member: Member, now: float) -> None:
        """The member answered neither directly nor through others."""
        known = self.table.get(member.key)
        if known == MemberStatus(member, MemberState.ALIVE):
            self._put(MemberStatus(member, MemberState.SUSPECT), now, self._suspicion_s(), verify=True)

    def expire_suspicions(self, now: float) -> None:
        """Declare dead whoever has not refuted its suspicion in time."""
        for key, suspicion in list(self.suspicions.items()):
            known = self.table.get(key)
            if suspicion.deadline <= now and known is not None:
                self._put(attrs.evolve(known, state=MemberState.DEAD), now, 0.0)

    def leave(self, now: float) -> None:
        """The own process ends."""
        self._put_self(attrs.evolve(self.own, state=MemberState.LEFT), now)

    def _hear_of_self(self, status: MemberStatus, now: float) -> bool:
        own = self.own.member
        if self.own.state is MemberState.LEFT:
            return False
        same_process = status.member.process_id == own.process_id
        if same_process and status.state is MemberState.ALIVE:
            return False
        if status.member.precedence < own.precedence:
            return False
        raised = attrs.evolve(own, incarnation=status.member.incarnation + 1)
        self._put_self(MemberStatus(raised, MemberState.ALIVE), now)
        return True

    def _hear_of_unknown(self, status: MemberStatus, now: float) -> bool:
        if not status.state.running:
            return False
        self._put(status, now, self._suspicion_s())
        return True

    def _hear_of_death(self, known: MemberStatus, status: MemberStatus, now: float) -> None:
        """Believe it of a member suspected here too; of others only when they do not object soon."""
        if known.state is MemberState.SUSPECT and known.member.precedence == status.member.precedence:
            self._put(status, now, 0.0)
            return
        rumour_s = self._parameters.rumour_periods * self._parameters.period_s
        self._put(attrs.evolve(status, state=MemberState.SUSPECT), now, rumour_s)

    def _doubt(self, status: MemberStatus) -> MemberStatus | None:
        """What to confront a member with when two tables disagree on whether it runs."""
        known = self.table.get(status.member.key)
        if known is None or known.member.key == self.own.member.key:
            return None
        if status.state is MemberState.DEAD and known.state.running and status.precedence > known.precedence:
            return status
        alike = status.member.precedence == known.member.precedence
        if status.state.running and known.state is MemberState.DEAD and alike:
            return known
        return None

    def _suspicion_s(self) -> float:
        return self._parameters.suspicion_s(self.table.running_count)

    def _put(self, status: MemberStatus, now: float, suspicion_s: float, verify: bool = False) -> None:
        key = status.member.key
        former = self.table.get(key)
        self.table.put(status, now)
        self.queue.add(status)
        self.suspicions.pop(key, None)
        if status.state is MemberState.SUSPECT:
            verifies = verify or self._is_verifier()
            self.suspicions[key] = Suspicion(now + suspicion_s, now if verifies else NEVER)
        self._changes.append(MemberChanged(former, status))

    def _is_verifier(self) -> bool:
        """Whether this process is among the few that ping a suspected member besides its accuser."""
        return self._rng.random() * self.table.running_count < self._parameters.verifying_members

    def _put_self(self, status: MemberStatus, now: float) -> None:
        self.own = status
        self.table.put(status, now)
        self.queue.add(status)
