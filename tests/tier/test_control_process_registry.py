"""Tests the process registry and the throttle of member lists, with explicit times."""

from __future__ import annotations

from control_support import store

from cherrycove.tier.controlplane.member_list_throttle import MINOR_CHANGE_INTERVAL_S, MemberListThrottle
from cherrycove.tier.controlplane.process_registry import (
    LEAVING_TIMEOUT_S,
    MEMBER_TIMEOUT_S,
    RETENTION_S,
    ProcessRegistry,
)
from cherrycove.tier.protocol.control_pb2 import Announcement, MemberList


def names(registry: ProcessRegistry, now: float) -> list[str]:
    return [entry.announcement.node_name for entry in registry.alive(now)]


def test_a_process_is_alive_until_a_timeout_after_each_announcement() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s2"), 0.0)
    registry.announce(store("s1"), 1.0)
    assert names(registry, 1.0) == ["s1", "s2"]
    assert names(registry, MEMBER_TIMEOUT_S) == ["s1"]
    registry.announce(store("s2"), MEMBER_TIMEOUT_S)
    assert names(registry, MEMBER_TIMEOUT_S) == ["s1", "s2"]


def test_a_process_that_shuts_down_times_out_earlier() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s1", leaving=True), 0.0)
    assert names(registry, 0.0) == ["s1"]
    assert names(registry, LEAVING_TIMEOUT_S) == []


def test_a_newer_incarnation_replaces_the_older_whose_announcements_are_ignored() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s1", incarnation="1", member_id="old"), 0.0)
    registry.announce(store("s1", incarnation="2", member_id="new"), 1.0)
    registry.announce(store("s1", incarnation="1", member_id="old"), 1.1)
    assert [entry.announcement.member_id for entry in registry.alive(1.1)] == ["new"]


def test_two_programs_of_one_machine_are_two_processes() -> None:
    registry = ProcessRegistry()
    registry.announce(Announcement(node_name="m1", program="keeper"), 0.0)
    registry.announce(Announcement(node_name="m1", program="store"), 0.0)
    assert len(registry.alive(0.0)) == 2
    assert len(registry.alive(0.0, "store")) == 1


def test_registrations_are_removed_after_the_retention_time() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s1"), 0.0)
    registry.remove_expired(RETENTION_S - 0.1)
    assert len(registry.recently_seen("store")) == 1
    registry.remove_expired(RETENTION_S)
    assert registry.recently_seen("store") == []


def test_a_delayed_announcement_of_an_earlier_incarnation_does_not_block_the_newer() -> None:
    """A pull delayed by a partition arrives after the process was restarted and has announced itself."""
    registry = ProcessRegistry()
    registry.announce(store("s1", incarnation="2", member_id="new"), 0.0)
    registry.announce(store("s1", incarnation="1", member_id="old"), 0.1)
    for pull in range(1, 5):
        registry.announce(store("s1", incarnation="2", member_id="new"), 0.1 + 0.7 * pull)
    assert [entry.announcement.member_id for entry in registry.alive(3.0)] == ["new"]
    registry.announce(store("s1", incarnation="1", member_id="old"), 3.0)
    assert [entry.announcement.member_id for entry in registry.alive(3.0)] == ["new"]


def test_inherited_members_do_not_replace_announced_ones() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s1", incarnation="2"), 0.0)
    registry.inherit([store("s1", incarnation="1"), store("s2")], 0.5)
    assert [entry.is_unconfirmed for entry in registry.alive(0.5)] == [False, True]
    registry.announce(store("s2"), 0.6)
    assert [entry.is_unconfirmed for entry in registry.alive(0.6)] == [False, False]
    registry.resume(30.0, paused_at=1.0)
    assert [entry.is_unconfirmed for entry in registry.alive(30.0)] == [True, True]


def test_a_pause_of_leadership_does_not_bring_back_a_process_that_was_gone_before() -> None:
    registry = ProcessRegistry()
    registry.announce(store("s1"), 0.0)
    registry.announce(store("s2"), MEMBER_TIMEOUT_S)
    paused_at = MEMBER_TIMEOUT_S + 0.1
    assert names(registry, paused_at) == ["s2"]
    registry.resume(20.0, paused_at)
    assert names(registry, 20.0 + MEMBER_TIMEOUT_S - 0.1) == ["s2"]
    assert names(registry, 20.0 + MEMBER_TIMEOUT_S) == []
    assert len(registry.recently_seen("store")) == 2


def proxy(rate: float, configuration_version: int = 1, leaving: bool = False) -> MemberList:
    announcement = Announcement(
        node_name="f1", program="proxy", configuration_version=configuration_version, leaving=leaving
    )
    announcement.arrivals_per_s["refunds"] = rate
    return MemberList(members=[announcement])


def test_minor_changes_of_members_are_published_at_intervals() -> None:
    throttle = MemberListThrottle()
    assert throttle.admit(MemberList(), 0.0)
    assert throttle.admit(proxy(1.0), 0.1)
    assert not throttle.admit(proxy(1.0), 5.0)
    assert throttle.admit(proxy(2.0), 5.0)
    assert not throttle.admit(proxy(3.0, 2), 5.0 + MINOR_CHANGE_INTERVAL_S / 2)
    assert throttle.admit(proxy(3.0, 2), 5.0 + MINOR_CHANGE_INTERVAL_S)
    assert throttle.admit(proxy(3.0, 2, leaving=True), 5.1 + MINOR_CHANGE_INTERVAL_S)
