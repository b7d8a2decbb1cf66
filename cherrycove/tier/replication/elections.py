"""Elections: when a replica stands, whom it grants its vote, and when it has won.

*With a lease.* A primary is confirmed while an election quorum has answered what it sent less than lease_s
ago. A voter grants nothing within election_timeout_s > lease_s of what it heard last, so whoever is elected
needs a voter of that quorum whose time is over, and then the lease is over. A replica that starts has
forgotten what it heard and waits as long from its start.

*Without waiting.* When all were killed there is nobody to wait for. A candidate that hears in one pre-vote
campaign, begun at t0 and at most pre_vote_window_s long, from EVERY other replica of the joint configuration
that it follows nobody (``unbound``), campaigns at once and names to each voter the incarnation that the voter
answered in; a voter still in that incarnation need not wait for what it may have answered in an earlier one.
``unbound`` means: does not lead, heard no primary for election_timeout_s in this incarnation, has run for
pre_vote_window_s, its epoch and its log are not newer. Claim: no lease of an older epoch is in force when
such a candidate is elected, or ever after.

1. Let P be the primary of the newest older epoch that was ever confirmed; leases before P's ended when P
   was elected (induction over epochs). P was confirmed, so its no-op was committed, and the candidate,
   being elected by votes that compare logs, has it. The joint configuration of the candidate therefore
   comes from P's last configuration, or from changes behind P's no-op.
2. P is in that configuration, or knows that its removal is committed. For the candidate leaves P out only if
   it knows that to be committed; whoever commits it is P, which knew it first, or a later primary, against 1.
   P is not confirmed from that moment (``Primary.is_confirmed_primary``). This is *a removed primary*.
3. P is in that configuration and runs. Then it answered, and between t0 and its answer it did not lead: the
   answer names the campaign, so it is not one to an earlier question, and pre_vote_window_s means that it was
   given in an incarnation that spans t0. So P's period as primary is over, and a later one counts no answers
   of the one before. *A primary that is frozen or partitioned*, in whichever direction, does not answer, or
   not within pre_vote_window_s by the clock of the candidate, and then everyone waits as above.
4. P is in that configuration and does not run: another disk answered at its address
   (``record_disk_replaced``). An identity belongs to one disk, and ends with it; a replica leads only at the
   address that its configuration gives (``is_electable``); one address is bound by one process. So P leads
   nowhere, now or later. This is *an address used again*. Its vote is missing: those that do run must be
   enough to elect.
5. What P may still gain are answers given after t0. A voter that gives one notes it in its present
   incarnation, and this time-out is never waived. If it dies, the incarnation that the candidate names is not
   its own any more and it waits from its start. This is *a member that answers in two incarnations*; answers
   of both within one campaign cannot be, since the second incarnation is old enough to answer only when the
   campaign's time is over.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, VoteReply, VoteRequest
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.storage.hard_state import HardState

NEVER = float("-inf")
NO_INCARNATION = 0  # of a replica that does not run any more
INCARNATION_BITS = 62


@attrs.define
class Campaign:
    """One round of votes that this replica asks for."""

    number: int
    pre_vote: bool
    epoch: int
    started_at: float
    handed_over: bool = False
    votes_requested: bool = False
    votes: set[str] = attrs.field(factory=set)
    incarnations: dict[str, int] = attrs.field(factory=dict)  # of replicas that follow nobody, by member id


class Elections:
    """Stands for election and votes. A won election shows as ``won``."""

    def __init__(self, core: ReplicaCore, now: float, fresh: bool) -> None:
        """``fresh``: the disk was empty, so no primary was ever heard of."""
        self._core = core
        self._lease_start_at = NEVER if fresh else now  # what was heard before the start is forgotten
        self._contact_at = NEVER  # a primary, in this life of the process
        self._started_at = now
        self._incarnation = core.random.getrandbits(INCARNATION_BITS) + 1
        self._heard_epoch = core.epoch
        self._campaign: Campaign | None = None
        self._campaigns = self._incarnation  # so that no number comes again in another life
        self._deadline = now + core.timing.pre_vote_window_s + self._jitter_s()
        self._pending_grant: tuple[MemberIdentity, VoteRequest] | None = None  # sent when it is synced
        self.won = False

    # Time-outs

    def _jitter_s(self) -> float:
        """Share of a time-out that keeps members from standing at the same moment."""
        timing = self._core.timing
        ids = sorted(member.member_id for member in self._core.members)
        own = self._core.identity.member_id
        rank = ids.index(own) if own in ids else len(ids)
        return rank * timing.stagger_s + self._core.random.random() * timing.jitter_s

    def _timeout_s(self) -> float:
        return self._core.timing.election_timeout_s + self._jitter_s()

    def record_primary_contact(self, now: float) -> None:
        """The primary of the newest epoch has sent something."""
        self._lease_start_at = self._contact_at = now
        self._heard_epoch = self._core.epoch
        self._campaign = None
        self._deadline = now + self._timeout_s()

    def postpone(self, now: float) -> None:
        """Give others time before standing."""
        self._campaign = None
        self._deadline = now + self._timeout_s()

    def hasten_first_election(self, now: float) -> None:
        """Stand soon: the whole group starts for the first time."""
        self._deadline = now + self._core.timing.bootstrap_timeout_s + self._jitter_s()

    def _heard_lately(self, now: float) -> bool:
        return now - self._lease_start_at < self._core.timing.election_timeout_s

    # Standing

    def tick(self, now: float) -> None:
        core = self._core
        if core.role is Role.PRIMARY or now < self._deadline or not core.is_electable or core.disk_failing:
            return
        if self._campaign is not None and not self._campaign.votes_requested:
            return  # its own promise is not synced yet: a slow disk is no reason to begin anew
        self._deadline = now + core.timing.campaign_retry_s + self._jitter_s()
        core.become(Role.BACKUP, None)
        self._campaign = Campaign(self._next_campaign(), True, core.epoch + 1, now)
        self._request_votes(now)
        self._count_votes(now)

    def _next_campaign(self) -> int:
        self._campaigns += 1
        return self._campaigns

    def campaign(
        self, now: float, handed_over: bool = False, incarnations: dict[str, int] | None = None
    ) -> None:
        """Vote for itself in a new epoch; other votes are requested when that is synced.

        ``incarnations``: of all other replicas, when none of them follows a primary."""
        core = self._core
        epoch = core.epoch + 1
        core.write_hard_state(HardState(epoch, core.identity.member_id, core.hard_state.commit_index))
        core.become(Role.CANDIDATE, None)
        core.effects.changed = True
        self._campaign = Campaign(
            self._next_campaign(), False, epoch, now, handed_over, incarnations=incarnations or {}
        )
        self._deadline = now + self._timeout_s()

    def start_synced_campaign(self, now: float) -> None:
        """The disk made progress."""
        campaign = self._campaign
        if campaign is not None and not campaign.votes_requested and self._core.is_hard_state_durable:
            self._deadline = now + self._timeout_s()
            self._request_votes(now)
            self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        campaign = self._campaign
        if campaign is None:
            return
        core = self._core
        campaign.votes_requested = True
        if not campaign.pre_vote or not self._heard_lately(now):
            # One that has just started may have renewed a lease in the life before, as any other voter.
            campaign.votes.add(core.identity.member_id)
        for peer in core.peers():
            request = VoteRequest(
                preliminary=campaign.pre_vote,
                epoch=campaign.epoch,
                last_index=core.log.last_index,
                last_epoch=core.log.last_epoch,
                handed_over=campaign.handed_over,
                life=0 if campaign.pre_vote else campaign.incarnations.get(peer.member_id, 0),
                campaign=campaign.number,
            )
            core.send(peer, Message(vote_request=request))

    def _count_votes(self, now: float) -> None:
        campaign = self._campaign
        if campaign is not None and campaign.pre_vote and self._is_group_unbound(campaign, now):
            self.campaign(now, incarnations=campaign.incarnations)
            return
        if campaign is None or not self._core.joint_configuration().has_election_quorum(campaign.votes):
            return
        if campaign.pre_vote:
            self.campaign(now)
        elif self._core.role is Role.CANDIDATE and self._core.epoch == campaign.epoch:
            self._campaign = None
            self.won = True

    def _is_group_unbound(self, campaign: Campaign, now: float) -> bool:
        """Whether every replica, this one included, follows no primary: then no lease can be in force, and
        those that have just started need not wait for one to end."""
        core = self._core
        if now - self._contact_at < core.timing.election_timeout_s:
            return False
        if any(peer.member_id not in campaign.incarnations for peer in core.peers()):
            return False
        able = {
            member_id
            for member_id, incarnation in campaign.incarnations.items()
            if incarnation != NO_INCARNATION
        }
        return core.joint_configuration().has_election_quorum({*able, core.identity.member_id})

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """The process at a member's address has another disk: the replica of that id does not run."""
        campaign = self._campaign
        if campaign is not None and campaign.pre_vote:
            self._record_unbound(campaign, member_id, NO_INCARNATION, now)

    def _record_unbound(self, campaign: Campaign, member_id: str, incarnation: int, now: float) -> None:
        if now - campaign.started_at <= self._core.timing.pre_vote_window_s:
            campaign.incarnations[member_id] = incarnation
            self._count_votes(now)

    def receive_vote_reply(self, sender: MemberIdentity, epoch: int, reply: VoteReply, now: float) -> None:
        self._learn_commit(reply)
        campaign = self._campaign
        if epoch > self._core.epoch:
            self._core.adopt_epoch(epoch)
            self._campaign = None
        elif campaign is None or (campaign.number, campaign.epoch) != (reply.campaign, reply.epoch):
            return
        elif reply.removed:
            self.postpone(now)
            self._deadline += self._core.timing.removed_backoff_s
        elif reply.granted:
            campaign.votes.add(sender.member_id)
            self._count_votes(now)
        if reply.unbound and self._campaign is campaign and campaign is not None and campaign.pre_vote:
            self._record_unbound(campaign, sender.member_id, reply.life, now)

    def _learn_commit(self, reply: VoteReply) -> None:
        """What a voter knows to be committed may close a change of members: the old list has no say then."""
        if self._core.log.epoch_at(reply.commit_index) == reply.commit_epoch:
            self._core.advance_commit(reply.commit_index)

    # Voting

    def receive_vote_request(
        self, sender: MemberIdentity, request: VoteRequest, confirmed: bool, now: float
    ) -> None:
        """``confirmed``: this replica itself leads under a valid lease."""
        if request.preliminary:
            granted = request.epoch > self._core.epoch and not self._rejects(request, confirmed, now)
            removed = not granted and self._is_removed(sender, confirmed, now)
            self._reply(sender, request, granted, removed, self._is_unbound(request, now))
            return
        if request.epoch < self._core.epoch or self._is_bound_to_primary(request, confirmed, now):
            self._reply(sender, request, False)
            return
        vote = sender.member_id if self._is_log_up_to_date(request) else ""
        self._core.adopt_epoch(request.epoch, vote)
        self._cast_vote(sender, request, now)

    def _rejects(self, request: VoteRequest, confirmed: bool, now: float) -> bool:
        return self._is_bound_to_primary(request, confirmed, now) or not self._is_log_up_to_date(request)

    def _is_unbound(self, request: VoteRequest, now: float) -> bool:
        """Whether only what it may have promised a primary in an earlier life could keep this replica from
        voting."""
        core = self._core
        return (
            core.role is not Role.PRIMARY
            and now - self._started_at >= core.timing.pre_vote_window_s
            and now - self._contact_at >= core.timing.election_timeout_s
            and request.epoch > core.epoch
            and self._is_log_up_to_date(request)
        )

    def _is_removed(self, sender: MemberIdentity, confirmed: bool, now: float) -> bool:
        """Whether there is a primary whose group has dropped ``sender``, which does not know it yet."""
        if not (confirmed or self._heard_lately(now)) or self._core.has_uncommitted_change():
            return False
        members = self._core.members  # empty where the first list has not come yet
        return bool(members) and all(member.member_id != sender.member_id for member in members)

    def _is_bound_to_primary(self, request: VoteRequest, confirmed: bool, now: float) -> bool:
        """Whether a primary may still hold a lease that counts on this replica."""
        if confirmed:
            return True
        lease_given_up = request.handed_over and request.epoch == self._heard_epoch + 1
        if lease_given_up:
            return False
        heard_at = self._contact_at if request.life == self._incarnation else self._lease_start_at
        return now - heard_at < self._core.timing.election_timeout_s

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        log = self._core.log
        return (request.last_epoch, request.last_index) >= (log.last_epoch, log.last_index)

    def _cast_vote(self, sender: MemberIdentity, request: VoteRequest, now: float) -> None:
        core = self._core
        hard_state = core.hard_state
        if hard_state.voted_for == "" and self._is_log_up_to_date(request):
            core.write_hard_state(HardState(hard_state.epoch, sender.member_id, hard_state.commit_index))
        granted = core.hard_state.voted_for == sender.member_id
        if granted:
            self.postpone(now)
        if granted and not core.is_hard_state_durable:
            self._pending_grant = (sender, request)
        else:
            self._reply(sender, request, granted)

    def send_pending_grant(self) -> None:
        if self._pending_grant is None or not self._core.is_hard_state_durable:
            return
        sender, request = self._pending_grant
        self._pending_grant = None
        if (
            self._core.hard_state.epoch == request.epoch
            and self._core.hard_state.voted_for == sender.member_id
        ):
            self._reply(sender, request, True)

    def _reply(
        self,
        sender: MemberIdentity,
        request: VoteRequest,
        granted: bool,
        removed: bool = False,
        unbound: bool = False,
    ) -> None:
        commit_index = self._core.commit_index
        reply = VoteReply(
            preliminary=request.preliminary,
            epoch=request.epoch,
            granted=granted,
            removed=removed,
            unbound=unbound,
            life=self._incarnation if unbound else NO_INCARNATION,
            commit_index=commit_index,
            commit_epoch=self._core.log.epoch_at(commit_index) or 0,
            campaign=request.campaign,
        )
        self._core.send(sender, Message(vote_reply=reply))
