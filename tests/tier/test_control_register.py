"""The register of processes and the list of members, with a clock of the test."""

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


def names(register: ProcessRegistry, now: float) -> list[str]:
    return [entry.announcement.node_name for entry in register.alive(now)]


def test_a_process_is_alive_for_a_while_after_each_announcement() -> None:
    register = ProcessRegistry()
    register.announce(store("s2"), 0.0)
    register.announce(store("s1"), 1.0)
    assert names(register, 1.0) == ["s1", "s2"]
    assert names(register, MEMBER_TIMEOUT_S) == ["s1"]
    register.announce(store("s2"), MEMBER_TIMEOUT_S)
    assert names(register, MEMBER_TIMEOUT_S) == ["s1", "s2"]


def test_a_process_that_leaves_is_gone_sooner() -> None:
    register = ProcessRegistry()
    register.announce(store("s1", leaving=True), 0.0)
    assert names(register, 0.0) == ["s1"]
    assert names(register, LEAVING_TIMEOUT_S) == []


def test_a_newer_incarnation_replaces_and_the_older_is_not_heard_again() -> None:
    register = ProcessRegistry()
    register.announce(store("s1", incarnation="1", member_id="old"), 0.0)
    register.announce(store("s1", incarnation="2", member_id="new"), 1.0)
    register.announce(store("s1", incarnation="1", member_id="old"), 1.1)
    assert [entry.announcement.member_id for entry in register.alive(1.1)] == ["new"]


def test_two_programs_of_one_machine_are_two_processes() -> None:
    register = ProcessRegistry()
    register.announce(Announcement(node_name="m1", program="keeper"), 0.0)
    register.announce(Announcement(node_name="m1", program="store"), 0.0)
    assert len(register.alive(0.0)) == 2
    assert len(register.alive(0.0, "store")) == 1


def test_gone_processes_are_remembered_for_a_while() -> None:
    register = ProcessRegistry()
    register.announce(store("s1"), 0.0)
    register.remove_expired(RETENTION_S - 0.1)
    assert len(register.recently_seen("store")) == 1
    register.remove_expired(RETENTION_S)
    assert register.recently_seen("store") == []


def test_a_late_announcement_of_an_earlier_incarnation_does_not_shut_the_newer_out() -> None:
    """A pull that a cut held up comes after the process was started again and has announced itself."""
    register = ProcessRegistry()
    register.announce(store("s1", incarnation="2", member_id="new"), 0.0)
    register.announce(store("s1", incarnation="1", member_id="old"), 0.1)
    for pull in range(1, 5):
        register.announce(store("s1", incarnation="2", member_id="new"), 0.1 + 0.7 * pull)
    assert [entry.announcement.member_id for entry in register.alive(3.0)] == ["new"]
    register.announce(store("s1", incarnation="1", member_id="old"), 3.0)
    assert [entry.announcement.member_id for entry in register.alive(3.0)] == ["new"]


def test_an_earlier_primarys_list_does_not_hide_what_was_announced() -> None:
    register = ProcessRegistry()
    register.announce(store("s1", incarnation="2"), 0.0)
    register.inherit([store("s1", incarnation="1"), store("s2")], 0.5)
    assert [entry.is_unconfirmed for entry in register.alive(0.5)] == [False, True]
    register.announce(store("s2"), 0.6)
    assert [entry.is_unconfirmed for entry in register.alive(0.6)] == [False, False]
    register.resume(30.0)
    assert [entry.is_unconfirmed for entry in register.alive(30.0)] == [True, True]


def proxy(rate: float, configuration_version: int = 1, leaving: bool = False) -> MemberList:
    announcement = Announcement(
        node_name="f1", program="proxy", configuration_version=configuration_version, leaving=leaving
    )
    announcement.arrivals_per_s["refunds"] = rate
    return MemberList(members=[announcement])


def test_changes_of_rates_alone_are_published_at_intervals() -> None:
    changes = MemberListThrottle()
    assert changes.admit(MemberList(), 0.0)
    assert changes.admit(proxy(1.0), 0.1)
    assert not changes.admit(proxy(1.0), 5.0)
    assert changes.admit(proxy(2.0), 5.0)
    assert not changes.admit(proxy(3.0, 2), 5.0 + MINOR_CHANGE_INTERVAL_S / 2)
    assert changes.admit(proxy(3.0, 2), 5.0 + MINOR_CHANGE_INTERVAL_S)
    assert changes.admit(proxy(3.0, 2, leaving=True), 5.1 + MINOR_CHANGE_INTERVAL_S)
