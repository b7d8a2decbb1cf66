"""Versioned topics and version vectors: what a publisher has, and what a puller lacks. Pure.

A topic has one body, which is replaced as a unit. Its version is an epoch and a sequence number: a newer
epoch wins over any sequence number, so that a new primary that counts from 1 again supersedes the one before.
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
    """The version of one topic. Versions are ordered by epoch, then by sequence number."""

    epoch: int = 0
    sequence: int = 0

    @classmethod
    def of(cls, version: TopicVersion) -> Version:
        """Return the version that a message names."""
        return cls(version.epoch, version.sequence)


NO_VERSION = Version()  # of a topic that was never received; below every published one


class VersionVector:
    """The newest version of each topic that one process has."""

    def __init__(self, versions: Iterable[TopicVersion] = ()) -> None:
        self._versions = {version.topic: Version.of(version) for version in versions}

    def get(self, topic: str) -> Version:
        """Return the version of ``topic``, or ``NO_VERSION``."""
        return self._versions.get(topic, NO_VERSION)

    def is_newer(self, version: TopicVersion) -> bool:
        """Return whether ``version`` is newer than the one in this vector."""
        return Version.of(version) > self.get(version.topic)

    def advance(self, version: TopicVersion) -> bool:
        """Take over ``version`` if it is newer than the one in this vector; return whether it was."""
        if not self.is_newer(version):
            return False
        self._versions[version.topic] = Version.of(version)
        return True

    def messages(self) -> list[TopicVersion]:
        """Return the vector as it is sent in a pull."""
        return [
            TopicVersion(topic=topic, epoch=version.epoch, sequence=version.sequence)
            for topic, version in self._versions.items()
        ]


class PublishedTopics:
    """The newest update of every topic, at the publisher."""

    def __init__(self) -> None:
        self._updates: dict[str, TopicUpdate] = {}

    def publish(self, update: TopicUpdate) -> bool:
        """Replace the topic of ``update`` if that is newer than what is published; return whether it was."""
        if Version.of(update.version) <= self._version(update.version.topic):
            return False
        self._updates[update.version.topic] = update
        return True

    def withdraw(self, topic: str) -> None:
        """Publish nothing under ``topic`` any more; pullers keep what they have."""
        self._updates.pop(topic, None)

    def newer_than(self, vector: VersionVector) -> list[TopicUpdate]:
        """Return the updates that are newer than those of ``vector``."""
        return [update for topic, update in self._updates.items() if self._version(topic) > vector.get(topic)]

    def _version(self, topic: str) -> Version:
        update = self._updates.get(topic)
        return NO_VERSION if update is None else Version.of(update.version)
