"""Publishes the controllers' state as topics, which all processes of the tier pull."""

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
    """Numbers and publishes the topics; pullers keep the newest version of each.

    Owned by the ``Controller``; the ``LeaderCoordinator`` and the ``BrokerWatcher`` publish through it.
    Committed state (configuration, store group) is numbered by its own version under epoch 0, the same at
    every primary. Soft state (members, brokers) is numbered by the epoch in which it was learned and a
    counter. Nothing survives a crash: the next primary publishes anew, in a later epoch.
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
        """The newest epoch in which this controller led; 0 before the first."""
        return self._epoch

    @property
    def brokers(self) -> BrokerList | None:
        """The newest list of brokers of this epoch; None before the first."""
        return self._brokers

    def begin_epoch(self, epoch: int) -> None:
        """Withdraw what was published in earlier epochs, and publish the committed state.

        Pullers keep what they have until a newer version is published.
        """
        self._epoch = epoch
        self._sequence = 0
        self._member_throttle = MemberListThrottle()
        self._brokers = None
        for topic in (CONFIGURATION, STORE_GROUP, BROKERS, MEMBERS):
            self._publisher.withdraw(topic)
        self.publish_state()

    def publish_state(self) -> None:
        """Publish the committed state, as far as it is newer than what is published."""
        document = self._state.configuration
        if document.version:
            version = TopicVersion(topic=CONFIGURATION, epoch=0, sequence=document.version)
            self._publisher.publish(TopicUpdate(version=version, configuration=document))
        revision = self._state.store_group_revision
        if revision:
            version = TopicVersion(topic=STORE_GROUP, epoch=0, sequence=revision)
            self._publisher.publish(TopicUpdate(version=version, store_group=self._state.store_group()))

    def publish_members(self, members: MemberList, now: float) -> None:
        """Publish the processes alive if the list changed; minor changes wait for their interval."""
        if self._member_throttle.admit(members, now):
            self._log_members(members)
            self._publisher.publish(TopicUpdate(version=self._next_version(MEMBERS), members=members))

    def publish_brokers(self, brokers: BrokerList) -> None:
        """Publish the list of brokers if it changed, apart from remaining warm-up times."""
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
