"""Implements the primary: replication, commits, its lease, membership changes, transfer of leadership."""

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
    """Represents one period as primary, from the won election until the role is lost.

    Owned by ``ReplicaRoles``. States: elected (its no-op is not committed: proposals are rejected),
    confirmed (no-op committed and lease valid), unconfirmed (lease expired; it continues to replicate and may
    be confirmed again). The period ends with a newer epoch, after check_quorum_timeout_s without a lease, or
    with a transfer of leadership; the next primary decides about entries that are not committed by then.
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
        """Append ``command``; return its log index, which is valid only if it commits in this epoch."""
        return self._append(EntryKind.COMMAND, command, now)

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        entry = Entry(self._core.log.last_index + 1, self._core.epoch, kind, payload)
        self._core.append([entry], now)
        for peer in self._peers.with_learner():
            peer.replicate(now)
        return entry.index

    def commit_synced_entries(self, now: float) -> None:
        """Commit the entries that are synced on enough replicas.

        The next message to each backup, due at a tick, carries the commit index. A committed membership
        change is announced at once, also to the replicas that it removed.
        """
        membership = self._core.membership
        had_uncommitted_change = membership.has_uncommitted_change()
        while self._advance_commit_index():
            pass  # a committed membership change alters the quorum, so that more may commit
        if had_uncommitted_change and not membership.has_uncommitted_change():
            for peer in self._peers.with_learner():
                peer.announce_commit(now)
            self._peers.update(now)

    def _advance_commit_index(self) -> bool:
        """Advance the commit index with the current quorum; return whether it advanced."""
        core = self._core
        synced = self._peers.match_indexes()
        synced[core.identity.member_id] = core.writes.synced_index
        index = core.membership.joint_configuration().committable_index(synced)
        index = min(index, core.log.last_index)
        return index >= self._noop_index and core.advance_commit(index)

    # Replies

    def receive_append_reply(self, sender: MemberIdentity, reply: AppendReply, now: float) -> None:
        """Handle the reply of a peer or learner to an append; replies of others are ignored."""
        peer = self._peers.find(sender.member_id)
        if peer is not None:
            peer.receive_append_reply(reply, now)
            self.commit_synced_entries(now)

    def receive_snapshot_reply(self, sender: MemberIdentity, reply: SnapshotReply, now: float) -> None:
        """Handle the reply of a peer or learner to a snapshot chunk; replies of others are ignored."""
        peer = self._peers.find(sender.member_id)
        if peer is not None:
            peer.receive_snapshot_reply(reply, now)

    # Lease

    def _lease_start(self, now: float) -> float:
        """Return the start of the lease; this replica counts as having acknowledged at ``now``."""
        acknowledged = self._peers.acknowledgment_times()
        acknowledged[self._core.identity.member_id] = now
        return self._core.membership.joint_configuration().lease_start(acknowledged)

    def is_confirmed_primary(self, now: float) -> bool:
        """Return whether no other primary can have been elected and all earlier commits are known here.

        Always false once this replica knows that its own removal is committed: the remaining members need no
        answer from it before they elect a primary without waiting (``elections``).
        """
        if self._core.log.commit_index < self._noop_index or not self._core.membership.is_voter:
            return False
        return now - self._lease_start(now) < self._core.timing.lease_s

    # Time

    def tick(self, now: float) -> None:
        """Send heartbeats; step down, transfer leadership or change members if needed."""
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
        """Return whether other replicas commit entries while a write of this disk does not complete."""
        core = self._core
        is_slow = now - core.writes.oldest_data_write_at > core.timing.disk_stall_timeout_s
        return is_slow and core.log.commit_index > core.writes.synced_index

    def _is_removed(self) -> bool:
        """Return whether this replica's own removal is committed."""
        membership = self._core.membership
        return not membership.has_uncommitted_change() and not membership.is_member

    # Members

    def _change_members(self, now: float) -> None:
        """Take the next step of the membership policy if it is ready."""
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
        self.commit_synced_entries(now)

    def transfer_leadership(self, now: float) -> bool:
        """Release the lease and ask the best backup to campaign at once; return whether there is one.

        Members that are not retiring are preferred, then the highest match index.
        """
        retiring = self._requests.retiring
        responsive = [peer for peer in self._peers if peer.progress.is_responsive(now)]
        if not responsive:
            return False
        members = self._core.membership.members
        staying = {member.member_id for member in members if not is_retiring(member, retiring)}
        best = max(responsive, key=lambda peer: (peer.member.member_id in staying, peer.progress.match_index))
        best.replicate(now)
        # Step down before the message is sent: voters grant their vote to this candidate without waiting for
        # the lease, so this replica must no longer be confirmed when the candidate is elected.
        self._core.become(Role.BACKUP, None)
        self._core.send(best.member, Message(hand_over=HandOver()))
        return True
