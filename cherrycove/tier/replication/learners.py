"""How a primary takes standbys in: one at a time, caught up first, then by a members entry."""

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
from cherrycove.tier.replication.peers import Peer, SnapshotSource

NEARLY_CAUGHT_UP_ENTRIES = 16


@attrs.define
class MembershipRequests:
    """What the plane asks of the group's members; kept through changes of role."""

    standbys: tuple[MemberIdentity, ...] = ()
    retiring: frozenset[str] = frozenset()


class LearnerPromotion:
    """Chooses the next change of members and prepares it, for one time as primary."""

    def __init__(
        self, core: ReplicaCore, membership_requests: MembershipRequests, source: SnapshotSource
    ) -> None:
        self._core = core
        self._membership_requests = membership_requests
        self._source = source
        self._set_aside: dict[str, float] = {}  # member id of a standby that did not answer: until when
        self.learner: Peer | None = None

    def step(
        self, unreachable: frozenset[str], unresponsive: frozenset[str], now: float
    ) -> MembershipStep | None:
        """The change to make now, if one is wanted and prepared. ``unresponsive``: did not answer lately."""
        step = next_step(self._view(unreachable, unresponsive, now))
        if not isinstance(step, MembershipChange) or step.add is None:
            self.learner = None
            return step
        learner = self._learn(step.add, now)
        if now - learner.heard_at > self._core.timing.unreachable_timeout_s:
            self._set_aside[step.add.member_id] = now + self._core.timing.standby_backoff_s
            self.learner = None
            return None
        ready = learner.match_index > 0 and learner.caught_up(NEARLY_CAUGHT_UP_ENTRIES)
        return step if ready else None

    def _learn(self, standby: MemberIdentity, now: float) -> Peer:
        if self.learner is None or self.learner.member.member_id != standby.member_id:
            self.learner = Peer(self._core, standby, self._source, now)
        self.learner.tick(now)
        return self.learner

    def _view(self, unreachable: frozenset[str], unresponsive: frozenset[str], now: float) -> GroupView:
        unresponsive_standbys = frozenset(
            member_id for member_id, until in self._set_aside.items() if until > now
        )
        return GroupView(
            primary=self._core.identity,
            members=self._core.members,
            standbys=self._membership_requests.standbys,
            unreachable=unreachable,
            retiring=self._membership_requests.retiring,
            target_size=2 * self._core.faults + 1,
            excluded=frozenset(self._core.membership.excluded),
            unresponsive=unresponsive,
            unresponsive_standbys=unresponsive_standbys,
        )
