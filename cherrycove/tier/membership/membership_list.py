"""The local membership list, which merges updates and raises, refutes and expires suspicions."""

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
    check_incarnation,
)
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.membership_pb2 import ReceiverView, Update

NEVER = float("inf")
# An exchange that changes more members gossips none of them; others learn the changes by their own exchanges.
MAX_UPDATES_GOSSIPED_PER_EXCHANGE = 20


@attrs.define
class Suspicion:
    """Holds the timers of a suspected member, in seconds of the clock that callers pass as ``now``."""

    expires_at: float  # when the member is declared dead
    verify_at: float  # when the member is pinged next; NEVER if only other members ping it

    def postpone(self, delay_s: float) -> None:
        """Postpone both timers after a stall of the local process."""
        self.expires_at += delay_s
        self.verify_at += delay_s


@attrs.frozen
class MergeResult:
    """Describes what the merge of another process's table changed."""

    changed: int = 0  # members whose status changed here
    contested: tuple[MemberStatus, ...] = ()  # statuses to send to the members concerned, who may refute them


class MembershipList:
    """Holds the members as one process knows them, the suspicions, and the updates to be disseminated.

    Owned by the ``SwimMachine``; the failure detector, gossip, discovery and anti-entropy read and change it.
    ``docs/design/membership.md`` has the state table of a member. The list is not persisted: a new
    process starts with an incarnation above that of its predecessor and learns the members from the seeds.
    """

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
        """Return the changes since the last call, and clear them."""
        changes = self._changes
        self._changes = []
        return changes

    # Merging

    def merge(self, status: MemberStatus, now: float) -> bool:
        """Merge one status by the override rules (SWIM, section 4.2); returns whether it was new."""
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
            self._put(status, now, self._suspicion_timeout_s())
        return True

    def merge_update(self, update: Update, now: float) -> bool:
        """Merge one piggybacked update; returns whether it was new.

        Most updates are known already, and those are not decoded in full. Raises InvalidMessageError for
        an invalid one.
        """
        record = update.member
        known = self.table.get(MemberKey(record.node_name, record.program))
        if known is not None and known.state.value == int(update.state):
            member = known.member
            if member.incarnation == record.incarnation and member.process_id == record.process_id:
                return False
        return self.merge(MemberStatus.from_update(update), now)

    def merge_receiver_view(self, view: ReceiverView, now: float) -> None:
        """Refute the state that a peer has recorded for the local process, if it is wrong.

        A peer sends it with each ping, so that a suspected member learns of the suspicion from the first
        ping and refutes at once (the "Buddy System" of Lifeguard).

        Raises InvalidMessageError for an invalid view.
        """
        check_incarnation(view.incarnation)
        viewed = attrs.evolve(self.local.member, process_id=view.process_id, incarnation=view.incarnation)
        self._refute(MemberStatus(viewed, MemberState.from_wire(view.state)), now)

    def merge_remote_table(self, statuses: list[MemberStatus], now: float) -> MergeResult:
        """Merge the table of another process.

        If one table has a member as dead and the other as running, the member itself decides by a refutation:
        after a partition heals, each side has the other as dead, and no healthy member may be declared dead
        because of that. Suspicions are not merged; they spread by gossip.
        """
        changed = []
        contested = []
        for status in statuses:
            contested_status = self._contested_status(status)
            if contested_status is not None:
                contested.append(contested_status)
            elif status.state is MemberState.SUSPECT:
                continue
            elif self.merge(status, now):
                changed.append(status.member.key)
        if len(changed) > MAX_UPDATES_GOSSIPED_PER_EXCHANGE:
            self.queue.discard(changed)
        return MergeResult(len(changed), tuple(contested))

    # Suspicion

    def suspect(self, member: Member, now: float) -> None:
        """Suspect a member that answered neither a direct nor an indirect probe (SWIM, section 4.2)."""
        known = self.table.get(member.key)
        if known == MemberStatus(member, MemberState.ALIVE):
            suspected = MemberStatus(member, MemberState.SUSPECT)
            self._put(suspected, now, self._suspicion_timeout_s(), is_local_suspicion=True)

    def expire_suspicions(self, now: float) -> None:
        """Declare dead every suspected member whose time to refute has passed (SWIM, section 4.2)."""
        for key, suspicion in list(self.suspicions.items()):
            known = self.table.get(key)
            if suspicion.expires_at <= now and known is not None:
                self._put(attrs.evolve(known, state=MemberState.DEAD), now, 0.0)

    def next_suspicion_deadline(self) -> float:
        """Return when the next suspicion expires or the next suspected member is pinged."""
        timers = (min(suspicion.expires_at, suspicion.verify_at) for suspicion in self.suspicions.values())
        return min(timers, default=NEVER)

    def leave(self, now: float) -> None:
        """Record that the local process shuts down; from then on it refutes nothing."""
        self._put_local(attrs.evolve(self.local, state=MemberState.LEFT), now)

    def _refute(self, status: MemberStatus, now: float) -> bool:
        """Raise the local incarnation above that of a wrong status (SWIM, section 4.2)."""
        local = self.local.member
        if self.local.state is MemberState.LEFT:
            return False
        is_same_process = status.member.process_id == local.process_id
        if is_same_process and status.state is MemberState.ALIVE:
            return False
        if status.member.precedence < local.precedence:
            return False
        raised = attrs.evolve(local, incarnation=status.member.incarnation + 1)
        self._put_local(MemberStatus(raised, MemberState.ALIVE), now)
        return True

    def _merge_unknown(self, status: MemberStatus, now: float) -> bool:
        if not status.state.is_running:
            return False
        self._put(status, now, self._suspicion_timeout_s())
        return True

    def _merge_reported_death(self, known: MemberStatus, status: MemberStatus, now: float) -> None:
        """Declare the member dead if it is suspected here too; otherwise only suspect it."""
        if known.state is MemberState.SUSPECT and known.member.precedence == status.member.precedence:
            self._put(status, now, 0.0)
            return
        suspicion_timeout_s = self._parameters.reported_death_timeout_periods * self._parameters.period_s
        self._put(attrs.evolve(status, state=MemberState.SUSPECT), now, suspicion_timeout_s)

    def _contested_status(self, status: MemberStatus) -> MemberStatus | None:
        """Return the DEAD one of the two statuses if the tables disagree on whether the member runs."""
        known = self.table.get(status.member.key)
        if known is None or known.member.key == self.local.member.key:
            return None
        is_newer = status.precedence > known.precedence
        if status.state is MemberState.DEAD and known.state.is_running and is_newer:
            return status
        is_same_incarnation = status.member.precedence == known.member.precedence
        if status.state.is_running and known.state is MemberState.DEAD and is_same_incarnation:
            return known
        return None

    def _suspicion_timeout_s(self) -> float:
        return self._parameters.suspicion_timeout_s(self.table.running_count)

    def _put(
        self,
        status: MemberStatus,
        now: float,
        suspicion_timeout_s: float,
        *,
        is_local_suspicion: bool = False,
    ) -> None:
        key = status.member.key
        previous = self.table.get(key)
        self.table.put(status, now)
        self.queue.add(status)
        self.suspicions.pop(key, None)
        if status.state is MemberState.SUSPECT:
            is_verifier = is_local_suspicion or self._is_verifier()
            self.suspicions[key] = Suspicion(now + suspicion_timeout_s, now if is_verifier else NEVER)
        self._changes.append(MemberChanged(previous, status))

    def _is_verifier(self) -> bool:
        """Decide at random whether this process is one of the few that ping a member suspected by another."""
        return self._rng.random() * self.table.running_count < self._parameters.verifying_members

    def _put_local(self, status: MemberStatus, now: float) -> None:
        self.local = status
        self.table.put(status, now)
        self.queue.add(status)
