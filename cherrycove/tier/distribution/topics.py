"""Versioned topics and version vectors: what a publisher has, and what a puller lacks. Pure.

A topic holds one body, replaced whole. Its version is an epoch and a sequence: a newer epoch wins over any
sequence, so that a new primary that counts from 1 again supersedes the one before it.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.protocol.control_pb2 import TopicUpdate, TopicVersion

CONFIGURATION = "configuration"
BROKERS = "brokers"
MEMBERS = "members"
STORE_GROUP = "store_group"


@attrs.frozen(order=True)
class Version:
    """A point in the history of one topic."""

    epoch: int = 0
    sequence: int = 0


NO_VERSION = Version()


class VersionVector:
    """The newest version of each topic that one process has."""

    def __init__(self, versions: Iterable[TopicVersion] = ()) -> None:
        self._versions = {entry.topic: Version(entry.epoch, entry.sequence) for entry in versions}

    def get(self, topic: str) -> Version:
        return self._versions.get(topic, NO_VERSION)

    def is_newer(self, version: TopicVersion) -> bool:
        """Whether ``version`` is newer than the one held."""
        return Version(version.epoch, version.sequence) > self.get(version.topic)

    def advance(self, version: TopicVersion) -> bool:
        """Take ``version`` in if it is newer than the one held; tell whether it was."""
        if not self.is_newer(version):
            return False
        self._versions[version.topic] = Version(version.epoch, version.sequence)
        return True

    def messages(self) -> list[TopicVersion]:
        return [
            TopicVersion(topic=topic, epoch=version.epoch, sequence=version.sequence)
            for topic, version in self._versions.items()
        ]


class PublishedTopics:
    """The newest update of every topic, at the publisher."""

    def __init__(self) -> None:
        self._updates: dict[str, TopicUpdate] = {}

    def version(self, topic: str) -> Version:
        update = self._updates.get(topic)
        return NO_VERSION if update is None else Version(update.version.epoch, update.version.sequence)

    def publish(self, update: TopicUpdate) -> bool:
        """Take ``update`` in if it is newer than the one held; tell whether it was."""
        offered = Version(update.version.epoch, update.version.sequence)
        if offered <= self.version(update.version.topic):
            return False
        self._updates[update.version.topic] = update
        return True

    def withdraw(self, topic: str) -> None:
        """Forget a topic; pullers keep what they have."""
        self._updates.pop(topic, None)

    def get(self, topic: str) -> TopicUpdate | None:
        return self._updates.get(topic)

    def newer_than(self, vector: VersionVector) -> list[TopicUpdate]:
        """Updates newer than what ``vector`` tells of."""
        return [update for topic, update in self._updates.items() if self.version(topic) > vector.get(topic)]
