"""The candidate's side of an election: when a replica campaigns, and when it has won.

A campaign begins with a pre-vote, which binds nobody and raises no epoch; only when a quorum would grant its
votes does the replica vote for itself in the next epoch and ask for the votes themselves.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, VoteReply, VoteRequest
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.election_timer import ElectionTimer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.primary_contact import PrimaryContact

#: In place of the incarnation of a replica that does not run any more.
NO_INCARNATION = 0


@attrs.define(kw_only=True)
class Campaign:
    """One request for votes, or for pre-votes, to all voters.

    ``votes`` holds the member ids that granted. ``incarnations`` holds, by member id, the incarnations of
    replicas that answered that they follow no primary.
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
    """Campaigns of this replica.

    Owned by ``Elections``. States: no campaign; pre-vote (role BACKUP); campaign whose own vote is not yet
    durable; campaign with votes requested (both role CANDIDATE); won, until ``take_victory``. A lost message
    or a dead voter ends a campaign by time-out; a newer epoch or a message of a primary ends it at once.
    """

    def __init__(self, core: ReplicaCore, contact: PrimaryContact, timer: ElectionTimer) -> None:
        self._core = core
        self._contact = contact
        self._timer = timer
        self._campaign: Campaign | None = None
        # Campaigns are numbered from a random start, so that no number comes again in another incarnation.
        self._last_campaign = contact.incarnation
        self._has_won = False

    def take_victory(self) -> bool:
        """Whether a campaign was won since the last call."""
        has_won, self._has_won = self._has_won, False
        return has_won

    def postpone(self, now: float) -> None:
        """Give up the campaign and wait for an election time-out."""
        self._campaign = None
        self._timer.restart(now)

    def tick(self, now: float) -> None:
        """Begin a pre-vote if the election time-out is over and this replica may lead."""
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
        # A campaign whose own vote is not durable goes on: a slow disk is no reason to raise the epoch again.
        return self._campaign is None or self._campaign.are_votes_requested

    def _next_campaign(self) -> int:
        self._last_campaign += 1
        return self._last_campaign

    def campaign(
        self, now: float, *, is_transfer: bool = False, incarnations: dict[str, int] | None = None
    ) -> None:
        """Vote for itself in the next epoch; other votes are requested when that vote is durable.

        ``is_transfer``: the primary transferred its leadership. ``incarnations``: those of all other
        replicas, when none of them follows a primary.
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
        """Request the votes that waited for the own vote to become durable."""
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
        # A candidate that has just started may have renewed a lease before, as any other voter: its own
        # pre-vote counts only after the election time-out.
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
        """Whether all replicas, this one included, follow no primary.

        Then no lease can be in force, and replicas that have just started need not wait for one to end.
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
        """Handle the answer of ``sender``, whose epoch is ``epoch``, to a vote request."""
        self._learn_commit(reply)
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
            self._record_unbound(campaign, sender.member_id, reply.life, now)

    def _learn_commit(self, reply: VoteReply) -> None:
        """Commit what the voter knows to be committed: after a change the previous members no longer vote."""
        if self._core.log.epoch_at(reply.commit_index) == reply.commit_epoch:
            self._core.advance_commit(reply.commit_index)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """The replica ``member_id`` does not run any more: another disk is at its address."""
        campaign = self._campaign
        if campaign is not None and campaign.is_pre_vote:
            self._record_unbound(campaign, member_id, NO_INCARNATION, now)

    def _record_unbound(self, campaign: Campaign, member_id: str, incarnation: int, now: float) -> None:
        """Count a replica that follows no primary, unless its answer may be of an earlier incarnation."""
        if now - campaign.started_at <= self._core.timing.pre_vote_window_s:
            campaign.incarnations[member_id] = incarnation
            self._count_votes(now)
