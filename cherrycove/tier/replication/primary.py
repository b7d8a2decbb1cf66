"""What a primary does: append, replicate, commit, hold its lease, change members, hand over."""

from __future__ import annotations

from cherrycove.tier.protocol.replication_pb2 import AppendReply, HandOver, Message, SnapshotReply
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.learners import LearnerPromotion, MembershipRequests
from cherrycove.tier.replication.log import encode_members
from cherrycove.tier.replication.membership_policy import MembershipChange, is_retiring
from cherrycove.tier.replication.peers import Peer, SnapshotSource
from cherrycove.tier.storage.entries import Entry, EntryKind


class Primary:
    """One time as primary, from the election that was won until the role is lost."""

    def __init__(
        self, core: ReplicaCore, membership_requests: MembershipRequests, source: SnapshotSource, now: float
    ) -> None:
        self._core = core
        self._source = source
        self._learner_promotion = LearnerPromotion(core, membership_requests, source)
        self._peers: dict[str, Peer] = {}
        self._membership_requests = membership_requests
        self._started = now
        self._update_peers(now)
        self._noop_index = self._append(EntryKind.NOOP, b"", now)

    # Entries

    def propose(self, command: bytes, now: float) -> int:
        """The index that ``command`` will have if it commits in this epoch."""
        return self._append(EntryKind.COMMAND, command, now)

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        log = self._core.log
        entry = Entry(log.last_index + 1, self._core.epoch, kind, payload)
        self._core.append([entry], now)
        for peer in self._all_peers():
            peer.replicate(now)
        return entry.index

    def advance(self, now: float) -> None:
        """Commit what has enough synced copies. Backups hear of it with the next message, due at a tick.

        Of a committed change of members they hear at once, also those that it removed."""
        core = self._core
        change_was_open = core.has_uncommitted_change()
        while True:
            synced = {member_id: peer.match_index for member_id, peer in self._peers.items()}
            synced[core.identity.member_id] = core.synced_index
            index = min(core.joint_configuration().committable_index(synced), core.log.last_index)
            if index < self._noop_index or not core.advance_commit(index):
                break
        if change_was_open and not core.has_uncommitted_change():
            for peer in self._all_peers():
                peer.notify(now)
            self._update_peers(now)

    # Peers

    def _all_peers(self) -> list[Peer]:
        learner = self._learner_promotion.learner
        peers = list(self._peers.values())
        return peers if learner is None else [*peers, learner]

    def _update_peers(self, now: float) -> None:
        known = self._peers
        learner = self._learner_promotion.learner
        self._peers = {}
        for member in self._core.peers():
            peer = known.get(member.member_id)
            if peer is None and learner is not None and learner.member.member_id == member.member_id:
                peer = learner
                self._learner_promotion.learner = None
            self._peers[member.member_id] = peer or Peer(self._core, member, self._source, now)

    def _peer(self, member_id: str) -> Peer | None:
        learner = self._learner_promotion.learner
        if learner is not None and learner.member.member_id == member_id:
            return learner
        return self._peers.get(member_id)

    def receive_reply(self, sender: MemberIdentity, reply: AppendReply, now: float) -> None:
        peer = self._peer(sender.member_id)
        if peer is not None:
            peer.receive_reply(reply, now)
            self.advance(now)

    def receive_snapshot_reply(self, sender: MemberIdentity, reply: SnapshotReply, now: float) -> None:
        peer = self._peer(sender.member_id)
        if peer is not None:
            peer.receive_snapshot_reply(reply, now)

    # Lease

    def _confirmed_since(self, now: float) -> float:
        acknowledged = {member_id: peer.acknowledged for member_id, peer in self._peers.items()}
        acknowledged[self._core.identity.member_id] = now
        return self._core.joint_configuration().confirmed_since(acknowledged)

    def is_confirmed_primary(self, now: float) -> bool:
        """Whether nobody else can have been elected yet, and all that others committed is applied here.

        Never once it knows that its own removal is committed: those left need not ask it then before they
        elect without waiting (``elections``)."""
        if self._core.commit_index < self._noop_index or not self._core.is_voter:
            return False
        return now - self._confirmed_since(now) < self._core.timing.lease_s

    # Time

    def tick(self, now: float) -> None:
        for peer in self._peers.values():
            peer.tick(now)
        if now - max(self._confirmed_since(now), self._started) > self._core.timing.check_quorum_timeout_s:
            self._core.become(Role.BACKUP, None)
        elif self._stalled(now) or self._removed():
            self.transfer_leadership(now)
        elif self._core.commit_index >= self._noop_index and not self._core.has_uncommitted_change():
            self._change_members(now)

    def _stalled(self, now: float) -> bool:
        """Whether others commit while this disk does not finish a write."""
        core = self._core
        slow = now - core.stalled_since() > core.timing.disk_stall_timeout_s
        return slow and core.commit_index > core.synced_index

    def _removed(self) -> bool:
        """Whether this replica led only to commit its own removal."""
        return not self._core.has_uncommitted_change() and not self._core.is_member

    def _change_members(self, now: float) -> None:
        limit = self._core.timing.unreachable_timeout_s
        silent = frozenset(key for key, peer in self._peers.items() if now - peer.heard_at > limit)
        unresponsive = frozenset(key for key, peer in self._peers.items() if not peer.heard_lately(now))
        step = self._learner_promotion.step(silent, unresponsive, now)
        if step is None:
            return
        if not isinstance(step, MembershipChange):
            self.transfer_leadership(now)
            return
        membership = self._core.membership
        members = encode_members(step.apply(membership.members), membership.excluding(step.exclude))
        self._append(EntryKind.MEMBERS, members, now)
        self._update_peers(now)
        self.advance(now)

    def transfer_leadership(self, now: float) -> bool:
        """Give the lease up and have the best backup stand at once; whether there is one."""
        retiring = self._membership_requests.retiring
        ready = [peer for peer in self._peers.values() if peer.responsive(now)]
        if not ready:
            return False
        staying = {member.member_id for member in self._core.members if not is_retiring(member, retiring)}
        best = max(ready, key=lambda peer: (peer.member.member_id in staying, peer.match_index))
        best.replicate(now)
        self._core.become(Role.BACKUP, None)
        self._core.send(best.member, Message(hand_over=HandOver()))
        return True
