"""What a primary does: append, replicate, commit, renew its lease, change members, transfer leadership."""

from __future__ import annotations

from cherrycove.tier.protocol.replication_pb2 import AppendReply, HandOver, Message, SnapshotReply
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.learners import LearnerPromotion, MembershipRequests
from cherrycove.tier.replication.membership import encode_members
from cherrycove.tier.replication.membership_policy import MembershipChange, is_retiring
from cherrycove.tier.replication.peer_set import PeerSet
from cherrycove.tier.replication.snapshot_sender import SnapshotSource
from cherrycove.tier.storage.entries import Entry, EntryKind


class Primary:
    """One period as primary, from the election that was won until the role is lost.

    Owned by ``ReplicaRoles``. States: elected (its no-op is not committed: proposals are rejected),
    confirmed (no-op committed and lease valid), unconfirmed (lease over; it goes on replicating and may be
    confirmed again). The period ends by a newer epoch, by check_quorum_timeout_s without a lease, or by a
    transfer of leadership; entries that are not committed then are left to the next primary.
    """

    def __init__(
        self, core: ReplicaCore, requests: MembershipRequests, source: SnapshotSource, now: float
    ) -> None:
        self._core = core
        self._requests = requests
        self._started_at = now
        self._promotion = LearnerPromotion(core, requests, source)
        self._peers = PeerSet(core, source, self._promotion, now)
        self._noop_index = self._append(EntryKind.NOOP, b"", now)

    # Entries

    def propose(self, command: bytes, now: float) -> int:
        """Append ``command``; return the index that it has if it commits in this epoch."""
        return self._append(EntryKind.COMMAND, command, now)

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        entry = Entry(self._core.log.last_index + 1, self._core.epoch, kind, payload)
        self._core.append([entry], now)
        for peer in self._peers.with_learner():
            peer.replicate(now)
        return entry.index

    def advance(self, now: float) -> None:
        """Commit what is synced on enough replicas.

        Backups learn of it with the next message, due at a tick. Of a committed change of members they learn
        at once, also those that it removed.
        """
        membership = self._core.membership
        had_uncommitted_change = membership.has_uncommitted_change()
        while self._commit_synced():
            pass  # a committed change of members changes the quorum, so that more may commit
        if had_uncommitted_change and not membership.has_uncommitted_change():
            for peer in self._peers.with_learner():
                peer.announce_commit(now)
            self._peers.update(now)

    def _commit_synced(self) -> bool:
        """Advance the commit index by the present quorum; whether it advanced."""
        core = self._core
        synced = self._peers.match_indexes()
        synced[core.identity.member_id] = core.writes.synced_index
        index = core.membership.joint_configuration().committable_index(synced)
        index = min(index, core.log.last_index)
        return index >= self._noop_index and core.advance_commit(index)

    # Replies

    def receive_append_reply(self, sender: MemberIdentity, reply: AppendReply, now: float) -> None:
        """Handle the answer of a peer or learner to an append; others are ignored."""
        peer = self._peers.find(sender.member_id)
        if peer is not None:
            peer.receive_append_reply(reply, now)
            self.advance(now)

    def receive_snapshot_reply(self, sender: MemberIdentity, reply: SnapshotReply, now: float) -> None:
        """Handle the answer of a peer or learner to a snapshot chunk; others are ignored."""
        peer = self._peers.find(sender.member_id)
        if peer is not None:
            peer.receive_snapshot_reply(reply, now)

    # Lease

    def _lease_start(self, now: float) -> float:
        """Return the time up to which an election quorum, with this replica, has acknowledged it."""
        acknowledged = self._peers.acknowledgment_times()
        acknowledged[self._core.identity.member_id] = now
        return self._core.membership.joint_configuration().lease_start(acknowledged)

    def is_confirmed_primary(self, now: float) -> bool:
        """Whether nobody else can have been elected yet, and all that others committed is committed here.

        Never once this replica knows that its own removal is committed: the members left need not ask it
        before they elect without waiting (``elections``).
        """
        if self._core.log.commit_index < self._noop_index or not self._core.membership.is_voter:
            return False
        return now - self._lease_start(now) < self._core.timing.lease_s

    # Time

    def tick(self, now: float) -> None:
        """Send heartbeats, and give the role up or change members where that is due."""
        core = self._core
        for peer in self._peers:
            peer.tick(now)
        if now - max(self._lease_start(now), self._started_at) > core.timing.check_quorum_timeout_s:
            core.become(Role.BACKUP, None)
        elif self._is_disk_stalled(now) or self._is_removed():
            self.transfer_leadership(now)
        elif core.log.commit_index >= self._noop_index and not core.membership.has_uncommitted_change():
            self._change_members(now)

    def _is_disk_stalled(self, now: float) -> bool:
        """Whether others commit while this disk does not finish a write."""
        core = self._core
        is_slow = now - core.writes.oldest_data_write_at > core.timing.disk_stall_timeout_s
        return is_slow and core.log.commit_index > core.writes.synced_index

    def _is_removed(self) -> bool:
        """Whether this replica led only to commit its own removal."""
        membership = self._core.membership
        return not membership.has_uncommitted_change() and not membership.is_member

    # Members

    def _change_members(self, now: float) -> None:
        """Take the next step of the membership policy, if it is prepared."""
        step = self._promotion.step(self._peers.unreachable(now), self._peers.unresponsive(now), now)
        if step is None:
            return
        if not isinstance(step, MembershipChange):
            self.transfer_leadership(now)
            return
        membership = self._core.membership.newest
        members = encode_members(step.apply(membership.members), membership.excluding(step.exclude))
        self._append(EntryKind.MEMBERS, members, now)
        self._peers.update(now)
        self.advance(now)

    def transfer_leadership(self, now: float) -> bool:
        """Release the lease and have the best backup campaign at once; whether there is one.

        The best one stays in the group if any does, and has the highest match index.
        """
        retiring = self._requests.retiring
        responsive = [peer for peer in self._peers if peer.progress.is_responsive(now)]
        if not responsive:
            return False
        members = self._core.membership.members
        staying = {member.member_id for member in members if not is_retiring(member, retiring)}
        best = max(responsive, key=lambda peer: (peer.member.member_id in staying, peer.progress.match_index))
        best.replicate(now)
        # The role is given up before the message leaves: this replica is no longer confirmed when the
        # candidate, which voters need not make wait, is elected.
        self._core.become(Role.BACKUP, None)
        self._core.send(best.member, Message(hand_over=HandOver()))
        return True
