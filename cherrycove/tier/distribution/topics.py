"""Implements versioned topics and version vectors, without I/O or clock access.

A topic has one body, which is replaced as a unit. Its version consists of an epoch and a sequence number. A
newer epoch takes precedence over any sequence number, so that the topics of a new primary, which counts from
1 again, supersede those of the previous one.
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
    """Represents the version of one topic; versions are ordered by epoch, then by sequence number."""

    epoch: int = 0
    sequence: int = 0

    @classmethod
    def of(cls, version: TopicVersion) -> Version:
        """Convert the version of a message."""
        return cls(version.epoch, version.sequence)


NO_VERSION = Version()  # version of a topic that was never received; lower than every published version


class VersionVector:
    """Holds the newest version of each topic that a process has."""

    def __init__(self, versions: Iterable[TopicVersion] = ()) -> None:
        self._versions = {version.topic: Version.of(version) for version in versions}

    def get(self, topic: str) -> Version:
        """Return the version of ``topic``, or ``NO_VERSION``."""
        return self._versions.get(topic, NO_VERSION)

    def is_newer(self, version: TopicVersion) -> bool:
        """Return whether ``version`` is newer than the one in this vector."""
        return Version.of(version) > self.get(version.topic)

    def advance(self, version: TopicVersion) -> bool:
        """Replace the topic's version by ``version`` if that is newer; return whether it was."""
        if not self.is_newer(version):
            return False
        self._versions[version.topic] = Version.of(version)
        return True

    def messages(self) -> list[TopicVersion]:
        """Return the vector as protobuf messages for a pull."""
        return [
            TopicVersion(topic=topic, epoch=version.epoch, sequence=version.sequence)
            for topic, version in self._versions.items()
        ]


class PublishedTopics:
    """Holds the newest published update of every topic."""

    def __init__(self) -> None:
        self._updates: dict[str, TopicUpdate] = {}

    def publish(self, update: TopicUpdate) -> bool:
        """Replace the published update of the topic if ``update`` is newer; return whether it was."""
        if Version.of(update.version) <= self._version(update.version.topic):
            return False
        self._updates[update.version.topic] = update
        return True

    def withdraw(self, topic: str) -> None:
        """Stop publishing ``topic``; pullers keep their version."""
        self._updates.pop(topic, None)

    def newer_than(self, vector: VersionVector) -> list[TopicUpdate]:
        """Return the updates whose versions are newer than those in ``vector``."""
        return [update for topic, update in self._updates.items() if self._version(topic) > vector.get(topic)]

    def _version(self, topic: str) -> Version:
        update = self._updates.get(topic)
        return NO_VERSION if update is None else Version.of(update.version)
