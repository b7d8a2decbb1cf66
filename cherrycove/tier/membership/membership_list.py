"""What one process believes of all members: how news are merged, doubted, refuted and given up."""

from __future__ import annotations

import random

import attrs

from cherrycove.tier.membership.dissemination import DisseminationQueue
from cherrycove.tier.membership.effects import MemberChanged
from cherrycove.tier.membership.member_table import MemberTable
from cherrycove.tier.membership.members import (
    Member,
    MemberKey,
    MemberState,
    MemberStatus,
    SwimParameters,
    check_incarnation,
)
from cherrycove.tier.protocol.membership_pb2 import ReceiverView, Update

NEVER = float("inf")
MAX_UPDATES_GOSSIPED_PER_EXCHANGE = 20  # news of one exchange; more of them spread by further exchanges


@attrs.define
class Suspicion:
    """A running time-out of a suspected member."""

    deadline: float  # when it is declared dead
    verify_at: float  # when it is pinged next; inf: others do


@attrs.frozen
class MergeResult:
    news: int  # members of which something new was learned
    contested: tuple[MemberStatus, ...]  # statuses that the members concerned should hear and refute


class MembershipList:
    """The table of members, the suspicions, and the updates still to be spread."""

    def __init__(self, local: Member, parameters: SwimParameters, rng: random.Random) -> None:
        self.local = MemberStatus(local, MemberState.ALIVE)
        self.table = MemberTable(self.local)
        self.queue = DisseminationQueue()
        self.suspicions: dict[MemberKey, Suspicion] = {}
        self.queue.add(self.local)
        self._parameters = parameters
        self._rng = rng
        self._changes: list[MemberChanged] = []

    def take_changes(self) -> list[MemberChanged]:
        """Changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def merge(self, status: MemberStatus, now: float) -> bool:
        """Merge one update that came in a datagram; returns whether it was news."""
        if status.member.key == self.local.member.key:
            return self._refute(status, now)
        known = self.table.get(status.member.key)
        if known is None:
            return self._merge_unknown(status, now)
        if status.precedence <= known.precedence:
            return False
        if status.state is MemberState.DEAD and known.state.is_running:
            self._merge_reported_death(known, status, now)
        else:
            self._put(status, now, self._suspicion_s())
        return True

    def merge_update(self, update: Update, now: float) -> bool:
        """Merge one update of a datagram; most are known already, which costs little."""
        record = update.member
        known = self.table.get(MemberKey(record.node_name, record.program))
        if known is not None and known.state.value == int(update.state):
            member = known.member
            if member.incarnation == record.incarnation and member.process_id == record.process_id:
                return False
        return self.merge(MemberStatus.from_update(update), now)

    def merge_receiver_view(self, view: ReceiverView, now: float) -> None:
        """Refute, where it is wrong, what another process believes of this one."""
        check_incarnation(view.incarnation)
        believed = attrs.evolve(self.local.member, process_id=view.process_id, incarnation=view.incarnation)
        self._refute(MemberStatus(believed, MemberState(view.state)), now)

    def merge_remote_table(self, statuses: list[MemberStatus], now: float) -> MergeResult:
        """Merge the table of another process.

        What it holds dead and runs here, or the other way round, is left to the member concerned: after a cut
        each side holds the other dead, and no healthy member may be given up for that.
        """
        news = []
        contested = []
        for status in statuses:
            contested_status = self._contested_status(status)
            if contested_status is not None:
                contested.append(contested_status)
            elif status.state is MemberState.SUSPECT:
                continue
            elif self.merge(status, now):
                news.append(status.member.key)
        if len(news) > MAX_UPDATES_GOSSIPED_PER_EXCHANGE:
            self.queue.discard(news)
        return MergeResult(len(news), tuple(contested))

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
        self._put_local(attrs.evolve(self.local, state=MemberState.LEFT), now)

    def _refute(self, status: MemberStatus, now: float) -> bool:
        local = self.local.member
        if self.local.state is MemberState.LEFT:
            return False
        same_process = status.member.process_id == local.process_id
        if same_process and status.state is MemberState.ALIVE:
            return False
        if status.member.precedence < local.precedence:
            return False
        raised = attrs.evolve(local, incarnation=status.member.incarnation + 1)
        self._put_local(MemberStatus(raised, MemberState.ALIVE), now)
        return True

    def _merge_unknown(self, status: MemberStatus, now: float) -> bool:
        if not status.state.is_running:
            return False
        self._put(status, now, self._suspicion_s())
        return True

    def _merge_reported_death(self, known: MemberStatus, status: MemberStatus, now: float) -> None:
        """Believe it of a member suspected here too; of others only when they do not object soon."""
        if known.state is MemberState.SUSPECT and known.member.precedence == status.member.precedence:
            self._put(status, now, 0.0)
            return
        suspicion_s = self._parameters.reported_death_periods * self._parameters.period_s
        self._put(attrs.evolve(status, state=MemberState.SUSPECT), now, suspicion_s)

    def _contested_status(self, status: MemberStatus) -> MemberStatus | None:
        """What to confront a member with when two tables disagree on whether it runs."""
        known = self.table.get(status.member.key)
        if known is None or known.member.key == self.local.member.key:
            return None
        if (
            status.state is MemberState.DEAD
            and known.state.is_running
            and status.precedence > known.precedence
        ):
            return status
        alike = status.member.precedence == known.member.precedence
        if status.state.is_running and known.state is MemberState.DEAD and alike:
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

    def _put_local(self, status: MemberStatus, now: float) -> None:
        self.local = status
        self.table.put(status, now)
        self.queue.add(status)
