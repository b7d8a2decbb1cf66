"""Publishes the controllers' state as topics that all processes of the tier pull."""

from __future__ import annotations

import logging

from cherrycove.tier.controlplane.broker_changes import same_brokers
from cherrycove.tier.controlplane.member_list_throttle import MemberListThrottle
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.distribution.topics import BROKERS, CONFIGURATION, MEMBERS, STORE_GROUP
from cherrycove.tier.protocol.control_pb2 import BrokerList, MemberList, TopicUpdate, TopicVersion

_log = logging.getLogger(__name__)


class ControlTopics:
    """Assigns versions to the topics and publishes them; pullers keep the newest version of each.

    Owned by the ``Controller``; the ``LeaderCoordinator`` and the ``BrokerWatcher`` publish through it.
    Committed state (configuration, store group) is versioned by its own version or revision under epoch 0,
    which is the same on every primary. Uncommitted state (members, brokers) is versioned by the epoch in
    which it was collected and a counter. Nothing is persisted: the next primary publishes again, in a later
    epoch.
    """

    def __init__(self, publisher: Publisher, state: ControlState) -> None:
        self._publisher = publisher
        self._state = state
        self._epoch = 0
        self._sequence = 0
        self._member_throttle = MemberListThrottle()
        self._member_names: set[str] = set()
        self._brokers: BrokerList | None = None

    @property
    def epoch(self) -> int:
        """Return the newest epoch in which this controller led; 0 before the first one."""
        return self._epoch

    @property
    def brokers(self) -> BrokerList | None:
        """Return the newest broker list of this epoch; None before the first one."""
        return self._brokers

    def begin_epoch(self, epoch: int) -> None:
        """Withdraw the topics published in earlier epochs, and publish the committed state.

        Pullers keep their versions until a newer one is published.
        """
        self._epoch = epoch
        self._sequence = 0
        self._member_throttle = MemberListThrottle()
        self._brokers = None
        for topic in (CONFIGURATION, STORE_GROUP, BROKERS, MEMBERS):
            self._publisher.withdraw(topic)
        self.publish_state()

    def publish_state(self) -> None:
        """Publish the parts of the committed state that are newer than their published versions."""
        document = self._state.configuration
        if document.version:
            version = TopicVersion(topic=CONFIGURATION, epoch=0, sequence=document.version)
            self._publisher.publish(TopicUpdate(version=version, configuration=document))
        revision = self._state.store_group_revision
        if revision:
            version = TopicVersion(topic=STORE_GROUP, epoch=0, sequence=revision)
            self._publisher.publish(TopicUpdate(version=version, store_group=self._state.store_group()))

    def publish_members(self, members: MemberList, now: float) -> None:
        """Publish the list of alive processes if it changed; minor changes are rate-limited."""
        if self._member_throttle.admit(members, now):
            self._log_members(members)
            self._publisher.publish(TopicUpdate(version=self._next_version(MEMBERS), members=members))

    def publish_brokers(self, brokers: BrokerList) -> None:
        """Publish the broker list if it changed, apart from remaining warm-up times."""
        if self._brokers is None or not same_brokers(self._brokers, brokers):
            self._brokers = brokers
            self._publisher.publish(TopicUpdate(version=self._next_version(BROKERS), brokers=brokers))

    def _log_members(self, members: MemberList) -> None:
        names = {f"{member.program}/{member.node_name}" for member in members.members}
        if names != self._member_names:
            joined, gone = sorted(names - self._member_names), sorted(self._member_names - names)
            _log.info("members_changed", extra={"joined": joined, "gone": gone, "alive": len(names)})
            self._member_names = names

    def _next_version(self, topic: str) -> TopicVersion:
        self._sequence += 1
        return TopicVersion(topic=topic, epoch=self._epoch, sequence=self._sequence)
