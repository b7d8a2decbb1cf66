"""Tests version vectors, published topics, the selection of a controller and updates of the cluster view."""

from __future__ import annotations

from control_support import document

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.cluster_view_updater import ClusterViewUpdater
from cherrycove.tier.distribution.controller_selector import (
    HINT_IGNORED_S,
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
    ControllerSelector,
)
from cherrycove.tier.distribution.topics import PublishedTopics, Version, VersionVector
from cherrycove.tier.protocol.control_pb2 import (
    Announcement,
    BrokerEntry,
    BrokerList,
    ConfigurationDocument,
    MemberList,
    StoreGroup,
    TopicUpdate,
    TopicVersion,
)


def version(topic: str, epoch: int, sequence: int) -> TopicVersion:
    return TopicVersion(topic=topic, epoch=epoch, sequence=sequence)


def configuration(number: int, body: bytes | None = None) -> TopicUpdate:
    sent = ConfigurationDocument(version=number, document=document(number) if body is None else body)
    return TopicUpdate(version=version("configuration", 0, number), configuration=sent)


def brokers(epoch: int, sequence: int, *names: str) -> TopicUpdate:
    entries = BrokerList(brokers=[BrokerEntry(instance_id=name, draining=name == "old") for name in names])
    return TopicUpdate(version=version("brokers", epoch, sequence), brokers=entries)


def test_a_newer_epoch_takes_precedence_over_a_higher_sequence() -> None:
    vector = VersionVector()
    assert vector.advance(version("members", 2, 9))
    assert not vector.advance(version("members", 2, 9))
    assert not vector.advance(version("members", 1, 50))
    assert vector.advance(version("members", 3, 1))
    assert vector.get("members") == Version(3, 1)
    assert vector.get("brokers") == Version(0, 0)
    assert VersionVector(vector.messages()).get("members") == Version(3, 1)


def test_published_topics_return_the_updates_missing_from_a_vector() -> None:
    topics = PublishedTopics()
    assert topics.publish(configuration(4))
    assert topics.publish(brokers(2, 1, "a"))
    assert not topics.publish(brokers(1, 7, "b"))
    assert len(topics.newer_than(VersionVector())) == 2
    has_brokers = VersionVector([version("brokers", 2, 1)])
    assert topics.newer_than(has_brokers) == [configuration(4)]
    assert topics.newer_than(VersionVector([version("brokers", 2, 1), version("configuration", 0, 9)])) == []
    topics.withdraw("configuration")
    assert topics.newer_than(has_brokers) == []


def test_a_cluster_view_never_returns_to_an_older_version() -> None:
    view = ClusterView()
    calls: list[int] = []
    view.on_change(lambda: calls.append(1))
    updater = ClusterViewUpdater(view)
    assert updater.apply([configuration(4), brokers(2, 1, "a", "old")])
    assert not updater.apply([configuration(3), brokers(1, 9, "b")])
    assert calls == [1]
    assert view.configuration is not None and view.configuration.version == 4
    assert view.document == document(4)
    assert [(one.instance_id, one.draining) for one in view.brokers] == [("a", False), ("old", True)]


def test_an_unparsable_configuration_does_not_replace_the_previous_one() -> None:
    view = ClusterView()
    updater = ClusterViewUpdater(view)
    updater.apply([configuration(4)])
    updater.apply([configuration(5, b"{")])
    assert view.configuration is not None and view.configuration.version == 4


def test_a_cluster_view_holds_members_and_the_store_group() -> None:
    view = ClusterView()
    proxies = [Announcement(node_name="f1", program="proxy"), Announcement(node_name="f2", program="proxy")]
    proxies[1].leaving = True
    members = MemberList(members=[*proxies, Announcement(node_name="s1", program="store")])
    group = StoreGroup(retiring=["s1"])
    updater = ClusterViewUpdater(view)
    updater.apply(
        [
            TopicUpdate(version=version("members", 1, 1), members=members),
            TopicUpdate(version=version("store_group", 0, 1), store_group=group),
        ]
    )
    assert [one.node_name for one in view.proxies()] == ["f1"]
    assert [one.node_name for one in view.stores()] == ["s1"]
    assert list(view.store_group.retiring) == ["s1"]


def test_hints_are_followed_and_failures_rotate() -> None:
    selector = ControllerSelector(["a", "b"])
    assert selector.target() == "a"
    assert selector.record_not_primary("a", "c", 0.0) == 0.0
    assert selector.target() == "c"
    selector.record_answer("c")
    assert selector.target() == "c"
    assert selector.record_failure("c", 1.0) == MIN_BACKOFF_S
    assert selector.target() == "b"
    assert selector.record_not_primary("b", "c", 1.1) > 0.0
    assert selector.target() == "a"
    assert selector.record_not_primary("a", "c", 1.0 + HINT_IGNORED_S) == 0.0
    assert selector.target() == "c"


def test_circular_hints_cause_a_backoff() -> None:
    selector = ControllerSelector(["a", "b"])
    pauses = [selector.record_not_primary(*pair, 0.0) for pair in (("a", "b"), ("b", "a"), ("a", "b"))]
    assert pauses[:2] == [0.0, 0.0]
    assert pauses[2] > 0.0


def test_the_backoff_grows_to_its_maximum() -> None:
    selector = ControllerSelector(["a"])
    pauses = [selector.record_failure("a", float(turn)) for turn in range(20)]
    assert pauses[0] == MIN_BACKOFF_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_BACKOFF_S


def test_discovered_controllers_are_asked_after_the_seeds() -> None:
    selector = ControllerSelector(["a"])
    selector.replace_discovered(["a", "d"])
    tried = []
    for turn in range(4):
        tried.append(selector.target())
        selector.record_failure(tried[-1], float(turn))
    assert tried == ["a", "d", "a", "d"]
    selector.replace_seeds(["e"])
    assert ControllerSelector([]).target() == ""
    assert selector.target() in ("e", "a", "d")
