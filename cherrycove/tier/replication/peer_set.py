"""Replicas to which a primary replicates: the peers in its configuration, and at most one learner."""

from __future__ import annotations

from collections.abc import Iterator

from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.learners import LearnerPromotion
from cherrycove.tier.replication.replicator import PeerReplicator
from cherrycove.tier.replication.snapshot_sender import SnapshotSource


class PeerSet:
    """Holds the replicators by member id; owned by ``Primary`` for its period."""

    def __init__(
        self, core: ReplicaCore, source: SnapshotSource, promotion: LearnerPromotion, now: float
    ) -> None:
        self._core = core
        self._source = source
        self._promotion = promotion
        self._peers: dict[str, PeerReplicator] = {}
        self.update(now)

    def __iter__(self) -> Iterator[PeerReplicator]:
        """Iterate over the voting peers, without the learner."""
        return iter(self._peers.values())

    def with_learner(self) -> list[PeerReplicator]:
        """Return the voting peers and the learner, if any."""
        peers = list(self._peers.values())
        learner = self._promotion.learner
        return peers if learner is None else [*peers, learner]

    def find(self, member_id: str) -> PeerReplicator | None:
        """Return the replicator of a peer or of the learner; None for any other replica."""
        learner = self._promotion.learner
        if learner is not None and learner.member.member_id == member_id:
            return learner
        return self._peers.get(member_id)

    def update(self, now: float) -> None:
        """Update the peers to the joint configuration; a learner that became a member keeps its progress."""
        known = self._peers
        self._peers = {}
        for member in self._core.membership.peers():
            peer = known.get(member.member_id) or self._promotion.take_learner(member.member_id)
            self._peers[member.member_id] = peer or PeerReplicator(self._core, member, self._source, now)

    def match_indexes(self) -> dict[str, int]:
        """Return, by member id, the index up to which each peer's log is synced and equals the primary's."""
        return {member_id: peer.progress.match_index for member_id, peer in self._peers.items()}

    def acknowledgment_times(self) -> dict[str, float]:
        """Return, by member id, the send time of the newest message that each peer answered."""
        return {member_id: peer.progress.acknowledged_at for member_id, peer in self._peers.items()}

    def unreachable(self, now: float) -> frozenset[str]:
        """Return the ids of peers that sent nothing for longer than unreachable_timeout_s."""
        timeout_s = self._core.timing.unreachable_timeout_s
        return frozenset(
            member_id for member_id, peer in self._peers.items() if now - peer.progress.heard_at > timeout_s
        )

    def unresponsive(self, now: float) -> frozenset[str]:
        """Return the ids of peers that have not answered recently."""
        return frozenset(
            member_id for member_id, peer in self._peers.items() if not peer.progress.has_answered_lately(now)
        )
