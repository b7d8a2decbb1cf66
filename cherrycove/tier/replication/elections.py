"""Elections: which leases a vote must wait for, and why a group that was killed need not wait.

The protocol is Raft's (section 5.2) with pre-vote (Ongaro's thesis, section 9.6) and a primary's lease
(section 6.4.1): ``candidate`` asks for votes, ``voter`` grants them.

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

from cherrycove.tier.protocol.replication_pb2 import VoteReply, VoteRequest
from cherrycove.tier.replication.candidate import Candidate
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.election_timer import ElectionTimer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.primary_contact import PrimaryContact
from cherrycove.tier.replication.voter import Voter


class Elections:
    """Both sides of an election: this replica as a candidate, and as a voter for others.

    Owned by ``ReplicaRoles`` for the lifetime of the process. After a restart only the vote is known (it is
    in the hard state); contact with a primary is not, so the replica waits as if it had just had some.
    """

    def __init__(self, core: ReplicaCore, now: float, *, is_disk_new: bool) -> None:
        """``is_disk_new``: the disk was empty, so this replica has never renewed a lease."""
        self._contact = PrimaryContact(core, now, is_disk_new=is_disk_new)
        self._timer = ElectionTimer(core, now)
        self._candidate = Candidate(core, self._contact, self._timer)
        self._voter = Voter(core, self._contact, self._candidate)

    # Time

    def tick(self, now: float) -> None:
        """Begin a campaign if the election time-out is over. Called while this replica does not lead."""
        self._candidate.tick(now)

    def postpone(self, now: float) -> None:
        """Give up a campaign and give others an election time-out before the next one."""
        self._candidate.postpone(now)

    def expect_first_election(self, now: float) -> None:
        """All members start for the first time: begin a campaign soon."""
        self._timer.expire_early(now)

    def record_primary_contact(self, now: float) -> None:
        """The primary of the newest epoch has sent something."""
        self._contact.record(now)
        self._candidate.postpone(now)

    # Campaign

    def campaign_after_transfer(self, now: float) -> None:
        """Campaign at once, because the primary transferred its leadership to this replica."""
        self._candidate.campaign(now, is_transfer=True)

    def take_victory(self) -> bool:
        """Whether this replica was elected since the last call."""
        return self._candidate.take_victory()

    def receive_vote_reply(self, sender: MemberIdentity, epoch: int, reply: VoteReply, now: float) -> None:
        """Handle the answer of ``sender``, whose epoch is ``epoch``, to a vote request."""
        self._candidate.receive_vote_reply(sender, epoch, reply, now)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """The process at the address of ``member_id`` has another disk: that replica does not run."""
        self._candidate.record_disk_replaced(member_id, now)

    # Votes

    def receive_vote_request(
        self, sender: MemberIdentity, request: VoteRequest, now: float, *, is_confirmed_primary: bool
    ) -> None:
        """Answer ``request``; ``is_confirmed_primary``: this replica itself leads under a valid lease."""
        self._voter.receive_vote_request(sender, request, now, is_confirmed_primary=is_confirmed_primary)

    def complete_writes(self, now: float) -> None:
        """The disk made progress: send what waited for a durable hard state."""
        self._voter.send_pending_grant()
        self._candidate.continue_when_durable(now)
