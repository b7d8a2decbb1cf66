"""Coordinates the parts of the control plane when leadership starts, pauses or ends."""

from __future__ import annotations

import asyncio

import attrs

from cherrycove.tier.controlplane.broker_changes import broker_entry
from cherrycove.tier.controlplane.broker_watcher import BrokerWatcher
from cherrycove.tier.controlplane.controller_group import ControllerGroupMembership
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.primary_introduction import PrimaryIntroduction
from cherrycove.tier.controlplane.process_directory import ProcessDirectory
from cherrycove.tier.controlplane.store_group_reconciler import StoreGroupReconciler
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.protocol.control_pb2 import BrokerList, PullRequest

TICK_S = 0.1  # interval of the checks of leadership and processes
# Time from the start of leadership after which every store had time to announce itself.
STORES_ANNOUNCED_AFTER_S = 1.5
# Time from the start of leadership after which a member list may replace an earlier primary's list.
MEMBERS_ANNOUNCED_AFTER_S = 1.0
INHERIT_MAX_AGE_S = 5.0  # maximum age of lists of an earlier primary that are still used


def _now() -> float:
    return asyncio.get_running_loop().time()


@attrs.define(kw_only=True, eq=False)
class LeaderCoordinator:
    """Controls the other parts according to the leadership of this controller.

    Owned by the ``Controller``, which also owns the parts and routes events here. It is in one of two states:
    not leading (publishes nothing and offers no standbys) and leading in an epoch. Losing and regaining the
    lease within one epoch is a pause, after which the collected state remains valid. In a new epoch all state
    is collected again; until the processes have announced themselves, recently published lists of an earlier
    primary are used. All state is in memory only: it is lost in a crash, and the next primary rebuilds it.
    """

    period: LeadershipPeriod
    directory: ProcessDirectory
    topics: ControlTopics
    publisher: Publisher
    membership: ControllerGroupMembership
    stores: StoreGroupReconciler
    brokers: BrokerWatcher
    introduction: PrimaryIntroduction
    cluster_view: ClusterView  # state pulled from the primary while this controller did not lead
    # Monotonic time in s before which no member list is published.
    _members_due_at: float = attrs.field(default=0.0, init=False)

    def on_started_leading(self, epoch: int) -> None:
        """Handle the start of leadership in ``epoch``, or its continuation after a pause."""
        now = _now()
        self._members_due_at = now
        self.membership.update_retiring()
        if epoch == self.topics.epoch:
            self.directory.resume(now)
            self.topics.publish_state()
            return
        self.directory.reset(now)
        self.stores.on_started_leading()
        self.introduction.on_started_leading()
        self.brokers.on_started_leading(self._inherit_published_lists(now), now)
        self.topics.begin_epoch(epoch)

    def on_stopped_leading(self) -> None:
        """Handle the end of leadership: the lease was lost, or another controller leads."""
        self.membership.withdraw_standbys()
        self.publisher.wake()

    def on_pull(self, request: PullRequest) -> None:
        """Register the process that announced itself with ``request``."""
        self.period.update()
        self.directory.registry.announce(request.announcement, _now())

    def on_group_change(self) -> None:
        """Handle a change of role, epoch, primary or members of the controllers' group."""
        self.period.update()
        self.publisher.wake()

    def on_state_change(self) -> None:
        """Handle a change of the replicated state by a committed command or a snapshot."""
        self.membership.update_retiring()
        if self.period.epoch is not None:
            self.topics.publish_state()

    def stores_had_time_to_announce(self) -> bool:
        """Return whether every store had time to announce itself, so that an unknown one does not exist."""
        return self.period.is_leading() and self.directory.leading_for_s() >= STORES_ANNOUNCED_AFTER_S

    async def step(self) -> None:
        """Check the leadership, publish the member list, offer standbys, and pause."""
        self.period.update()
        if self.period.is_leading():
            now = _now()
            self.directory.update(now)
            if now >= self._members_due_at:
                self.topics.publish_members(self.directory.members(now), now)
            self.membership.update_standbys(self.directory.controllers_alive(now))
        await asyncio.sleep(TICK_S)

    def _inherit_published_lists(self, now: float) -> BrokerList:
        """Take over the member list that the earlier primary published, and return its broker list.

        Without recent contact with that primary, the first member list is delayed until the processes have
        had time to announce themselves.
        """
        if now - self.cluster_view.last_contact >= INHERIT_MAX_AGE_S:
            self._members_due_at = now + MEMBERS_ANNOUNCED_AFTER_S
            return BrokerList()
        self.directory.registry.inherit(self.cluster_view.members, now)
        return BrokerList(brokers=[broker_entry(broker) for broker in self.cluster_view.brokers])
