"""Elections: which leases a voter must wait for, and why a group that restarts as a whole need not wait.

The protocol is Raft's (section 5.2) with pre-vote (Ongaro's thesis, section 9.6) and a primary's lease
(section 6.4.1): ``candidate`` requests votes, ``voter`` grants them.

*With a lease.* A primary is confirmed while an election quorum has answered messages that it sent less than
lease_s ago. A voter grants no vote within election_timeout_s > lease_s of the last message from a primary. A
candidate can therefore be elected only with a voter of that quorum whose election time-out has expired, and
by then the lease has expired. A replica that has just started does not know what its earlier incarnation
received, and waits for the election time-out from its start.

*Without waiting.* After all replicas were killed there is no lease to wait for. Suppose that a candidate
learns in one pre-vote campaign, started at t0 and at most pre_vote_window_s long, from EVERY other replica of
the joint configuration that it follows no primary (``unbound`` in the reply). The candidate then campaigns at
once and sends to each voter the incarnation in which that voter answered (``life`` in the request); a voter
that is still in that incarnation need not wait for a lease that it may have renewed in an earlier one.
``unbound`` means that the replica is not primary, received no message of a primary for election_timeout_s in
this incarnation, has run for pre_vote_window_s, and has neither a newer epoch nor a newer log. Claim: no
lease of an older epoch is valid when such a candidate is elected, or at any later time.

1. Let P be the primary of the newest older epoch that was ever confirmed; leases before P's ended when P
   was elected (induction over epochs). P was confirmed, so its no-op was committed, and the candidate,
   being elected by votes that compare logs, has it. The joint configuration of the candidate therefore
   is P's last configuration, or results from changes after P's no-op.
2. Either P is in that configuration, or P knows that its removal is committed. The candidate omits P only if
   it knows the removal to be committed. The removal was committed by P, which was then the first to know, or
   by a later primary, which contradicts 1. P is not confirmed from that moment
   (``Primary.is_confirmed_primary``). This is the case of *a removed primary*.
3. P is in that configuration and runs. Then it answered, and between t0 and its answer it was not primary:
   the answer contains the campaign number, so it does not belong to an earlier campaign, and because of
   pre_vote_window_s it was given in an incarnation that already ran at t0. So P's period as primary is over,
   and a later period counts no answers of an earlier one. *A primary that is frozen or partitioned*, in
   either direction, does not answer, or not within pre_vote_window_s by the clock of the candidate, and then
   all voters wait as above.
4. P is in that configuration and does not run: another disk answered at its address
   (``record_disk_replaced``). An identity belongs to one disk and ends with it; a replica leads only at the
   address in its configuration (``is_electable``); one address is bound by one process. So P is not primary
   anywhere, now or later. This is the case of *a reused address*. P's vote is missing: the replicas that run
   must form an election quorum.
5. P can gain only answers given after t0. A voter that gives one records it in its current incarnation, and
   the wait for this lease is never waived. If the voter dies, its new incarnation differs from the one that
   the candidate sends, and it waits from its start. This is the case of *a member that answers in two
   incarnations*; both cannot answer within one campaign, since the second incarnation reaches the minimum
   uptime for an answer only after the campaign's window has ended.
"""

from __future__ import annotations

from cherrycove.tier.protocol.replication_pb2 import VoteReply, VoteRequest
from cherrycove.tier.replication.candidate import Candidate
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.election_timer import ElectionTimer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.primary_contact import PrimaryContact
from cherrycove.tier.replication.voter import Voter


class Elections:
    """Combines both sides of an election: this replica as a candidate, and as a voter for others.

    Owned by ``ReplicaRoles`` for the lifetime of the process. After a restart only the vote is known (from
    the hard state); earlier contact with a primary is not, so the replica waits as if it had just occurred.
    """

    def __init__(self, core: ReplicaCore, now: float, *, is_disk_new: bool) -> None:
        """Create the elections.

        ``is_disk_new`` states that the disk was empty, so this replica has never renewed a lease.
        """
        self._contact = PrimaryContact(core, now, is_disk_new=is_disk_new)
        self._timer = ElectionTimer(core, now)
        self._candidate = Candidate(core, self._contact, self._timer)
        self._voter = Voter(core, self._contact, self._candidate)

    # Time

    def tick(self, now: float) -> None:
        """Start a campaign if the election time-out has expired; called while this replica is not primary."""
        self._candidate.tick(now)

    def postpone(self, now: float) -> None:
        """Abandon a campaign and wait for a full election time-out before the next one."""
        self._candidate.postpone(now)

    def schedule_bootstrap_election(self, now: float) -> None:
        """Schedule an early campaign, because all members start for the first time."""
        self._timer.restart_for_bootstrap(now)

    def record_primary_contact(self, now: float) -> None:
        """Record that the primary of the newest epoch has sent a message."""
        self._contact.record(now)
        self._candidate.postpone(now)

    # Campaign

    def campaign_after_transfer(self, now: float) -> None:
        """Campaign at once, because the primary transferred its leadership to this replica."""
        self._candidate.campaign(now, is_transfer=True)

    def take_election_win(self) -> bool:
        """Return whether this replica was elected since the last call."""
        return self._candidate.take_election_win()

    def receive_vote_reply(self, sender: MemberIdentity, epoch: int, reply: VoteReply, now: float) -> None:
        """Handle the reply of ``sender``, whose epoch is ``epoch``, to a vote request."""
        self._candidate.receive_vote_reply(sender, epoch, reply, now)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """Record that the replica ``member_id`` no longer runs, because another disk is at its address."""
        self._candidate.record_disk_replaced(member_id, now)

    # Votes

    def receive_vote_request(
        self, sender: MemberIdentity, request: VoteRequest, now: float, *, is_confirmed_primary: bool
    ) -> None:
        """Answer ``request``; ``is_confirmed_primary`` states that this replica leads under a valid lease."""
        self._voter.receive_vote_request(sender, request, now, is_confirmed_primary=is_confirmed_primary)

    def complete_writes(self, now: float) -> None:
        """Send the grant and the vote requests that waited for a durable hard state."""
        self._voter.send_pending_grant()
        self._candidate.continue_when_durable(now)
