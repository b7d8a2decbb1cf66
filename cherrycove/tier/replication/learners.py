"""Adds standbys to the group one at a time: first as a learner, then, once caught up, as a member."""

from __future__ import annotations

import attrs

from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership_policy import (
    GroupView,
    MembershipChange,
    MembershipStep,
    next_step,
)
from cherrycove.tier.replication.replicator import PeerReplicator
from cherrycove.tier.replication.snapshot_sender import SnapshotSource

#: Maximum number of entries that a learner may lag when it becomes a member.
MAX_LEARNER_LAG_ENTRIES = 16


@attrs.define
class MembershipRequests:
    """Holds the requests of a group's user about its members; kept across role changes.

    ``standbys`` are live replicas, which may include members. ``retiring`` holds node names or member ids of
    replicas that must leave the group.
    """

    standbys: tuple[MemberIdentity, ...] = ()
    retiring: frozenset[str] = frozenset()


class LearnerPromotion:
    """Chooses the next membership change and prepares it.

    Owned by ``Primary`` for its period. States: no learner; a learner that is catching up (it receives the
    log but counts for no quorum). A learner that does not answer is dropped, and for standby_backoff_s its
    standby is chosen only after all others; a different step of the policy also drops the learner.
    """

    def __init__(self, core: ReplicaCore, requests: MembershipRequests, source: SnapshotSource) -> None:
        self._core = core
        self._requests = requests
        self._source = source
        self._backoff_until: dict[str, float] = {}  # by member id of the unresponsive standby
        self.learner: PeerReplicator | None = None

    def step(
        self, unreachable: frozenset[str], unresponsive: frozenset[str], now: float
    ) -> MembershipStep | None:
        """Return the membership step to take now; None if none is needed or ready.

        ``unreachable`` and ``unresponsive`` are ids of members (``membership_policy.GroupView``).
        """
        step = next_step(self._view(unreachable, unresponsive, now))
        if not isinstance(step, MembershipChange) or step.add is None:
            self.learner = None
            return step
        learner = self._replicate_to(step.add, now)
        if now - learner.progress.heard_at > self._core.timing.unreachable_timeout_s:
            self._backoff_until[step.add.member_id] = now + self._core.timing.standby_backoff_s
            self.learner = None
            return None
        has_synced = learner.progress.match_index > 0
        return step if has_synced and learner.is_caught_up(MAX_LEARNER_LAG_ENTRIES) else None

    def take_learner(self, member_id: str) -> PeerReplicator | None:
        """Return and release the learner if it is the replica ``member_id``; otherwise return None."""
        learner = self.learner
        if learner is None or learner.member.member_id != member_id:
            return None
        self.learner = None
        return learner

    def _replicate_to(self, standby: MemberIdentity, now: float) -> PeerReplicator:
        if self.learner is None or self.learner.member.member_id != standby.member_id:
            self.learner = PeerReplicator(self._core, standby, self._source, now)
        self.learner.tick(now)
        return self.learner

    def _view(self, unreachable: frozenset[str], unresponsive: frozenset[str], now: float) -> GroupView:
        in_backoff = frozenset(member_id for member_id, until in self._backoff_until.items() if until > now)
        membership = self._core.membership
        return GroupView(
            primary=self._core.identity,
            members=membership.members,
            standbys=self._requests.standbys,
            unreachable=unreachable,
            retiring=self._requests.retiring,
            target_size=membership.target_size,
            excluded=frozenset(membership.newest.excluded),
            unresponsive=unresponsive,
            unresponsive_standbys=in_backoff,
        )
