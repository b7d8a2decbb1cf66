"""Voter's side of an election: to which candidate a replica grants its vote."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, VoteReply, VoteRequest
from cherrycove.tier.replication.candidate import NO_INCARNATION, Candidate
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.primary_contact import PrimaryContact


@attrs.frozen(eq=False)
class PendingGrant:
    """A vote whose write is pending; it is granted to ``candidate`` once it is durable."""

    candidate: MemberIdentity
    request: VoteRequest


class Voter:
    """Answers vote requests.

    Owned by ``Elections``. States: no vote in the current epoch; vote being written; vote granted. The vote
    is part of the hard state and is sent only when that is durable: after a crash before that point no vote
    was granted, and after a later crash the replica cannot vote twice.
    """

    def __init__(self, core: ReplicaCore, contact: PrimaryContact, candidate: Candidate) -> None:
        self._core = core
        self._contact = contact
        self._candidate = candidate
        self._pending_grant: PendingGrant | None = None

    def receive_vote_request(
        self, sender: MemberIdentity, request: VoteRequest, now: float, *, is_confirmed_primary: bool
    ) -> None:
        """Answer ``request``; ``is_confirmed_primary`` states that this replica leads under a valid lease."""
        if request.preliminary:
            self._answer_pre_vote(sender, request, now, is_confirmed_primary=is_confirmed_primary)
            return
        must_honor_lease = self._must_honor_lease(request, now, is_confirmed_primary=is_confirmed_primary)
        if request.epoch < self._core.epoch or must_honor_lease:
            self._reply(sender, request, granted=False)
            return
        vote = sender.member_id if self._is_log_up_to_date(request) else ""
        self._core.adopt_epoch(request.epoch, vote)
        self._cast_vote(sender, request, now)

    def _answer_pre_vote(
        self, sender: MemberIdentity, request: VoteRequest, now: float, *, is_confirmed_primary: bool
    ) -> None:
        """Answer whether the vote would be granted, without changing any state."""
        must_honor_lease = self._must_honor_lease(request, now, is_confirmed_primary=is_confirmed_primary)
        granted = (
            request.epoch > self._core.epoch and not must_honor_lease and self._is_log_up_to_date(request)
        )
        has_active_primary = is_confirmed_primary or self._contact.may_have_renewed_lease(now)
        removed = not granted and has_active_primary and self._was_removed(sender)
        self._reply(
            sender, request, granted=granted, removed=removed, unbound=self._follows_no_primary(request, now)
        )

    def _must_honor_lease(self, request: VoteRequest, now: float, *, is_confirmed_primary: bool) -> bool:
        """Return whether a primary may hold a lease that depends on this replica."""
        if is_confirmed_primary:
            return True
        if request.handed_over and self._contact.was_lease_released_for(request.epoch):
            return False
        if request.life == self._contact.incarnation:
            return self._contact.has_heard_primary(now)
        return self._contact.may_have_renewed_lease(now)

    def _follows_no_primary(self, request: VoteRequest, now: float) -> bool:
        """Return whether only a lease renewed by an earlier incarnation could prevent this vote.

        If this holds for all replicas, no lease can be valid (``elections``).
        """
        return (
            self._core.role is not Role.PRIMARY
            and self._contact.has_minimum_uptime(now)
            and not self._contact.has_heard_primary(now)
            and request.epoch > self._core.epoch
            and self._is_log_up_to_date(request)
        )

    def _was_removed(self, sender: MemberIdentity) -> bool:
        """Return whether the newest membership known here is committed and does not include ``sender``."""
        membership = self._core.membership
        if membership.has_uncommitted_change():
            return False
        members = membership.members  # empty until the first membership is received
        return bool(members) and all(member.member_id != sender.member_id for member in members)

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this one (Raft, section 5.4.1)."""
        log = self._core.log
        return (request.last_epoch, request.last_index) >= (log.last_epoch, log.last_index)

    def _cast_vote(self, sender: MemberIdentity, request: VoteRequest, now: float) -> None:
        core = self._core
        if core.hard_state.voted_for == "" and self._is_log_up_to_date(request):
            core.vote_for(sender)
        granted = core.hard_state.voted_for == sender.member_id
        if granted:
            self._candidate.postpone(now)
        if granted and not core.is_hard_state_durable:
            self._pending_grant = PendingGrant(sender, request)
        else:
            self._reply(sender, request, granted=granted)

    def send_pending_grant(self) -> None:
        """Send the vote that waited for the disk if it is durable and still the vote of the current epoch."""
        pending = self._pending_grant
        if pending is None or not self._core.is_hard_state_durable:
            return
        self._pending_grant = None
        vote = self._core.hard_state
        if (vote.epoch, vote.voted_for) == (pending.request.epoch, pending.candidate.member_id):
            self._reply(pending.candidate, pending.request, granted=True)

    def _reply(
        self,
        sender: MemberIdentity,
        request: VoteRequest,
        *,
        granted: bool,
        removed: bool = False,
        unbound: bool = False,
    ) -> None:
        commit_index = self._core.log.commit_index
        reply = VoteReply(
            preliminary=request.preliminary,
            epoch=request.epoch,
            granted=granted,
            removed=removed,
            unbound=unbound,
            life=self._contact.incarnation if unbound else NO_INCARNATION,
            commit_index=commit_index,
            commit_epoch=self._core.log.epoch_at(commit_index) or 0,
            campaign=request.campaign,
        )
        self._core.send(sender, Message(vote_reply=reply))
