"""What a controller does when its leadership begins, pauses or ends, and what it publishes while it leads."""

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

TICK_S = 0.1  # between two checks of the leadership and the processes
STORES_ANNOUNCED_AFTER_S = 1.5  # after leadership began, every store had time to announce itself
MEMBERS_ANNOUNCED_AFTER_S = 1.0  # the same, before a member list replaces that of an earlier primary
INHERIT_MAX_AGE_S = 5.0  # what an earlier primary published is not used after this time


def _now() -> float:
    return asyncio.get_running_loop().time()


@attrs.define(kw_only=True, eq=False)
class LeaderCoordinator:
    """Decides what the other parts do, by the leadership of this controller.

    Owned by the ``Controller``, which also owns the parts and routes events here. States: not leading
    (nothing is published, nobody is offered as a standby) and leading in an epoch. To lose the lease and
    regain it in one epoch is a pause: what was learned before stays. In a new epoch everything is learned
    anew; until the processes announce themselves, what an earlier primary published lately serves. Soft state
    only: a crash loses it, and the next primary rebuilds it.
    """

    period: LeadershipPeriod
    directory: ProcessDirectory
    topics: ControlTopics
    publisher: Publisher
    membership: ControllerGroupMembership
    stores: StoreGroupReconciler
    brokers: BrokerWatcher
    introduction: PrimaryIntroduction
    cluster_view: ClusterView  # what this process pulled from the primary while it did not lead itself
    _members_due_at: float = attrs.field(default=0.0, init=False)  # monotonic s; no member list before

    def on_started_leading(self, epoch: int) -> None:
        """Leadership began in ``epoch``, or continues in it after a pause."""
        now = _now()
        self._members_due_at = now
        self.membership.update_retiring()
        if epoch == self.topics.epoch:
            self.directory.resume(now)
            self.topics.publish_state()
            return
        self.directory.start_over(now)
        self.stores.on_started_leading()
        self.introduction.on_started_leading()
        self.brokers.on_started_leading(self._inherit_published_lists(now), now)
        self.topics.begin_epoch(epoch)

    def on_stopped_leading(self) -> None:
        """The lease was lost, or another controller leads."""
        self.membership.withdraw_standbys()
        self.publisher.wake()

    def on_pull(self, request: PullRequest) -> None:
        """A process announced itself with a pull."""
        self.period.update()
        self.directory.registry.announce(request.announcement, _now())

    def on_group_change(self) -> None:
        """Role, epoch, primary or members of the controllers' group changed."""
        self.period.update()
        self.publisher.wake()

    def on_state_change(self) -> None:
        """A committed command or a snapshot changed the replicated state."""
        self.membership.update_retiring()
        if self.period.epoch is not None:
            self.topics.publish_state()

    def stores_had_time_to_announce(self) -> bool:
        """Whether a store that is not known can be taken as absent."""
        return self.period.is_leading() and self.directory.leading_for_s() >= STORES_ANNOUNCED_AFTER_S

    async def step(self) -> None:
        """Check the leadership, publish the members, offer standbys; then pause."""
        self.period.update()
        if self.period.is_leading():
            now = _now()
            self.directory.registry.forget_old(now)
            if now >= self._members_due_at:
                self.topics.publish_members(self.directory.members(now), now)
            self.membership.update_standbys(self.directory.controllers_alive(now))
        await asyncio.sleep(TICK_S)

    def _inherit_published_lists(self, now: float) -> BrokerList:
        """Take over the members that the earlier primary published, and return its brokers.

        Without a recent contact with it, the first member list waits until processes announced themselves.
        """
        if now - self.cluster_view.last_contact >= INHERIT_MAX_AGE_S:
            self._members_due_at = now + MEMBERS_ANNOUNCED_AFTER_S
            return BrokerList()
        self.directory.registry.inherit(self.cluster_view.members, now)
        return BrokerList(brokers=[broker_entry(broker) for broker in self.cluster_view.brokers])
