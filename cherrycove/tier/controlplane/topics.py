"""Turns the keepers' state into topics for the data plane."""

from __future__ import annotations

import logging

from cherrycove.tier.controlplane.broker_changes import same_brokers
from cherrycove.tier.controlplane.process_registry import MemberListThrottle
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.distribution.topics import BROKERS, CONFIGURATION, MEMBERS, STORE_GROUP
from cherrycove.tier.protocol.control_pb2 import BrokerList, MemberList, TopicUpdate, TopicVersion

_log = logging.getLogger(__name__)


class ControlTopics:
    """Publishes committed state under epoch 0, and soft state under the epoch of the term it belongs to."""

    def __init__(self, publisher: Publisher, state: ControlState) -> None:
        self._publisher = publisher
        self._state = state
        self._epoch = 0
        self._sequence = 0
        self._member_changes = MemberListThrottle()
        self._member_names: set[str] = set()
        self._brokers: BrokerList | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the newest term that was begun here; 0 before the first."""
        return self._epoch

    @property
    def brokers(self) -> BrokerList | None:
        """The newest list of this term; None before the first."""
        return self._brokers

    def begin_epoch(self, epoch: int) -> None:
        """Forget what was published in earlier epochs; pullers keep theirs until something newer comes."""
        self._epoch = epoch
        self._sequence = 0
        self._member_changes = MemberListThrottle()
        self._brokers = None
        for topic in (CONFIGURATION, STORE_GROUP, BROKERS, MEMBERS):
            self._publisher.board.withdraw(topic)
        self.publish_state()

    def publish_state(self) -> None:
        """Publish what is committed, as far as it is newer than before."""
        document = self._state.configuration
        if document.version:
            version = TopicVersion(topic=CONFIGURATION, epoch=0, sequence=document.version)
            self._publish(TopicUpdate(version=version, configuration=document))
        revision = self._state.store_group_revision
        if revision:
            version = TopicVersion(topic=STORE_GROUP, epoch=0, sequence=revision)
            self._publish(TopicUpdate(version=version, store_group=self._state.store_group()))

    def publish_members(self, members: MemberList, now: float) -> None:
        if self._member_changes.should_publish(members, now):
            self._log_members(members)
            self._publish(TopicUpdate(version=self._next(MEMBERS), members=members))

    def publish_brokers(self, brokers: BrokerList) -> None:
        if self._brokers is None or not same_brokers(self._brokers, brokers):
            self._brokers = brokers
            self._publish(TopicUpdate(version=self._next(BROKERS), brokers=brokers))

    def _log_members(self, members: MemberList) -> None:
        names = {f"{member.program}/{member.node_name}" for member in members.members}
        if names != self._member_names:
            joined, gone = sorted(names - self._member_names), sorted(self._member_names - names)
            _log.info("members_changed", extra={"joined": joined, "gone": gone, "alive": len(names)})
            self._member_names = names

    def _next(self, topic: str) -> TopicVersion:
        self._sequence += 1
        return TopicVersion(topic=topic, epoch=self._epoch, sequence=self._sequence)

    def _publish(self, update: TopicUpdate) -> None:
        if self._publisher.board.publish(update):
            self._publisher.wake()
