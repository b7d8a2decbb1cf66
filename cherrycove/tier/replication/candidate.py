"""Candidate's side of an election: when a replica campaigns, and when it has won.

A campaign starts with a pre-vote, which leaves the voters' state and the epoch unchanged. Only if a quorum
would grant its votes does the replica vote for itself in the next epoch and request the actual votes.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, VoteReply, VoteRequest
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.election_timer import ElectionTimer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.primary_contact import PrimaryContact

#: Stands for the incarnation of a replica that is no longer running.
NO_INCARNATION = 0


@attrs.define(kw_only=True)
class Campaign:
    """Represents one round of vote or pre-vote requests to all voters.

    ``votes`` holds the ids of the members that granted their vote. ``incarnations`` maps the member ids of
    replicas that answered that they follow no primary to their incarnations.
    """

    number: int
    is_pre_vote: bool
    epoch: int
    started_at: float
    is_transfer: bool = False
    are_votes_requested: bool = False
    votes: set[str] = attrs.field(factory=set)
    incarnations: dict[str, int] = attrs.field(factory=dict)


class Candidate:
    """Runs the election campaigns of this replica.

    Owned by ``Elections``. States: no campaign; pre-vote (role BACKUP); campaign whose own vote is not yet
    durable; campaign with votes requested (both role CANDIDATE); won, until ``take_election_win``. If
    messages are lost or voters are down, a campaign times out; a newer epoch or a message of a primary ends
    it at once.
    """

    def __init__(self, core: ReplicaCore, contact: PrimaryContact, timer: ElectionTimer) -> None:
        self._core = core
        self._contact = contact
        self._timer = timer
        self._campaign: Campaign | None = None
        # Campaign numbers start at a random value, so that no other incarnation uses the same numbers.
        self._last_campaign = contact.incarnation
        self._has_won = False

    def take_election_win(self) -> bool:
        """Return whether a campaign was won since the last call."""
        has_won, self._has_won = self._has_won, False
        return has_won

    def postpone(self, now: float) -> None:
        """Abandon the campaign and wait for a full election time-out."""
        self._campaign = None
        self._timer.restart(now)

    def tick(self, now: float) -> None:
        """Start a pre-vote if the election time-out has expired and this replica is electable."""
        if not self._may_campaign(now):
            return
        core = self._core
        self._timer.restart_for_retry(now)
        core.become(Role.BACKUP, None)
        self._campaign = Campaign(
            number=self._next_campaign(), is_pre_vote=True, epoch=core.epoch + 1, started_at=now
        )
        self._request_votes(now)
        self._count_votes(now)

    def _may_campaign(self, now: float) -> bool:
        core = self._core
        if core.role is Role.PRIMARY or not self._timer.is_expired(now):
            return False
        if not core.membership.is_electable or core.is_disk_failing:
            return False
        # A campaign whose own vote is not durable continues: a slow disk must not raise the epoch again.
        return self._campaign is None or self._campaign.are_votes_requested

    def _next_campaign(self) -> int:
        self._last_campaign += 1
        return self._last_campaign

    def campaign(
        self, now: float, *, is_transfer: bool = False, incarnations: dict[str, int] | None = None
    ) -> None:
        """Vote for this replica in the next epoch; request other votes once that vote is durable.

        ``is_transfer`` states that the primary transferred its leadership. ``incarnations`` holds the
        incarnations of all other replicas if none of them follows a primary.
        """
        self._core.start_epoch_as_candidate()
        self._campaign = Campaign(
            number=self._next_campaign(),
            is_pre_vote=False,
            epoch=self._core.epoch,
            started_at=now,
            is_transfer=is_transfer,
            incarnations=incarnations or {},
        )
        self._timer.restart(now)

    def continue_when_durable(self, now: float) -> None:
        """Request the votes of the others once the own vote is durable."""
        campaign = self._campaign
        if campaign is None or campaign.are_votes_requested or not self._core.is_hard_state_durable:
            return
        self._timer.restart(now)
        self._request_votes(now)
        self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        campaign = self._campaign
        if campaign is None:
            return
        core = self._core
        campaign.are_votes_requested = True
        # A candidate that has just started may have renewed a lease before its start, like any other voter:
        # its own pre-vote counts only after the election time-out.
        if not campaign.is_pre_vote or not self._contact.may_have_renewed_lease(now):
            campaign.votes.add(core.identity.member_id)
        for peer in core.membership.peers():
            core.send(peer, Message(vote_request=self._vote_request(campaign, peer)))

    def _vote_request(self, campaign: Campaign, peer: MemberIdentity) -> VoteRequest:
        incarnation = NO_INCARNATION
        if not campaign.is_pre_vote:
            incarnation = campaign.incarnations.get(peer.member_id, NO_INCARNATION)
        return VoteRequest(
            preliminary=campaign.is_pre_vote,
            epoch=campaign.epoch,
            last_index=self._core.log.last_index,
            last_epoch=self._core.log.last_epoch,
            handed_over=campaign.is_transfer,
            life=incarnation,
            campaign=campaign.number,
        )

    def _count_votes(self, now: float) -> None:
        campaign = self._campaign
        if campaign is None:
            return
        if campaign.is_pre_vote and self._is_group_without_primary(campaign, now):
            self.campaign(now, incarnations=campaign.incarnations)
            return
        if not self._core.membership.joint_configuration().has_election_quorum(campaign.votes):
            return
        if campaign.is_pre_vote:
            self.campaign(now)
        elif self._core.role is Role.CANDIDATE and self._core.epoch == campaign.epoch:
            self._campaign = None
            self._has_won = True

    def _is_group_without_primary(self, campaign: Campaign, now: float) -> bool:
        """Return whether no replica, including this one, follows a primary.

        Then no lease can be valid, and replicas that have just started need not wait for one to expire.
        """
        if self._contact.has_heard_primary(now):
            return False
        membership = self._core.membership
        if any(peer.member_id not in campaign.incarnations for peer in membership.peers()):
            return False
        running = {
            member_id
            for member_id, incarnation in campaign.incarnations.items()
            if incarnation != NO_INCARNATION
        }
        voters = {*running, self._core.identity.member_id}
        return membership.joint_configuration().has_election_quorum(voters)

    def receive_vote_reply(self, sender: MemberIdentity, epoch: int, reply: VoteReply, now: float) -> None:
        """Handle the reply of ``sender``, whose epoch is ``epoch``, to a vote request."""
        self._adopt_commit_index(reply)
        if epoch > self._core.epoch:
            self._core.adopt_epoch(epoch)
            self._campaign = None
            return
        campaign = self._campaign
        if campaign is None or (campaign.number, campaign.epoch) != (reply.campaign, reply.epoch):
            return
        if reply.removed:
            self._campaign = None
            self._timer.restart(now, extra_s=self._core.timing.removed_backoff_s)
            return
        if reply.granted:
            campaign.votes.add(sender.member_id)
            self._count_votes(now)
        if reply.unbound and self._campaign is campaign and campaign.is_pre_vote:
            self._record_no_primary(campaign, sender.member_id, reply.life, now)

    def _adopt_commit_index(self, reply: VoteReply) -> None:
        """Adopt the voter's commit index; once a change is committed, the previous members have no vote."""
        if self._core.log.epoch_at(reply.commit_index) == reply.commit_epoch:
            self._core.advance_commit(reply.commit_index)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """Record that the replica ``member_id`` no longer runs, because another disk is at its address."""
        campaign = self._campaign
        if campaign is not None and campaign.is_pre_vote:
            self._record_no_primary(campaign, member_id, NO_INCARNATION, now)

    def _record_no_primary(self, campaign: Campaign, member_id: str, incarnation: int, now: float) -> None:
        """Count a replica that follows no primary, unless its answer may be from an earlier incarnation."""
        if now - campaign.started_at <= self._core.timing.pre_vote_window_s:
            campaign.incarnations[member_id] = incarnation
            self._count_votes(now)
