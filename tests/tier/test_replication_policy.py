"""Quorum sizes, and the membership policy that chooses the next change of a primary."""

from __future__ import annotations

from itertools import combinations

import pytest

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership_policy import (
    GroupView,
    MembershipChange,
    MembershipStep,
    TransferLeadership,
    next_step,
)
from cherrycove.tier.replication.quorums import JointConfiguration, election_quorum, write_quorum
from cherrycove.tier.replication.timing import MAX_UNREACHABLE_TIMEOUT_S, Timing


def member(name: str, disk: str = "", zone: str = "") -> MemberIdentity:
    return MemberIdentity(disk or f"id-{name}", name, f"{name}:1", zone)


A, B, C, D = (member(name) for name in "abcd")


def step(
    members: tuple[MemberIdentity, ...] = (A, B, C),
    standbys: tuple[MemberIdentity, ...] = (),
    unreachable: tuple[MemberIdentity, ...] = (),
    retiring: str = "",
    excluded: frozenset[str] = frozenset(),
    unresponsive_standbys: frozenset[str] = frozenset(),
    unresponsive: tuple[MemberIdentity, ...] = (),
) -> MembershipStep | None:
    unreachable_ids = frozenset(one.member_id for one in unreachable)
    unresponsive_ids = unreachable_ids | {one.member_id for one in unresponsive}
    view = GroupView(
        A,
        members,
        standbys,
        unreachable_ids,
        frozenset(retiring),
        3,
        excluded,
        unresponsive_standbys,
        unresponsive_ids,
    )
    return next_step(view)


def test_no_step_is_taken_if_none_is_needed_or_possible() -> None:
    assert step() is None
    assert step(standbys=(D,)) is None
    assert step(standbys=(B, C)) is None
    assert step(unreachable=(B,)) is None


def test_a_wiped_disk_replaces_the_previous_disk_of_its_host() -> None:
    wiped = member("b", "new")
    assert step(standbys=(D, wiped), unreachable=(C,)) == MembershipChange(add=wiped, remove=B)


def test_a_wiped_disk_that_does_not_answer_yields_to_another_standby() -> None:
    wiped = member("b", "new")
    unresponsive_ids = frozenset({wiped.member_id})
    assert step(
        standbys=(D, wiped), unreachable=(B,), unresponsive_standbys=unresponsive_ids
    ) == MembershipChange(add=D, remove=B)
    assert step(
        standbys=(wiped,), unreachable=(B,), unresponsive_standbys=unresponsive_ids
    ) == MembershipChange(add=wiped, remove=B)


def test_a_wiped_disk_is_matched_by_address_if_node_names_are_unknown() -> None:
    unnamed = MemberIdentity("first-b", "", "b:1")
    wiped = member("b", "new")
    assert step(members=(A, unnamed, C), standbys=(wiped,)) == MembershipChange(add=wiped, remove=unnamed)
    assert step(members=(A, unnamed, C), standbys=(MemberIdentity("x", "", "x:1"),)) is None


def test_a_retiring_member_is_replaced_or_removed_if_enough_members_remain() -> None:
    assert step(retiring="b") is None
    assert step(retiring="b", standbys=(D,)) == MembershipChange(add=D, remove=B, exclude=(B.member_id,))
    assert step(members=(A, B, C, D), retiring="b") == MembershipChange(remove=B, exclude=(B.member_id,))
    excluded_ids = frozenset({D.member_id})
    assert step(retiring="bd", standbys=(D,), excluded=excluded_ids) is None


def test_a_retiring_standby_is_excluded_once() -> None:
    assert step(retiring="bd", standbys=(D,)) == MembershipChange(exclude=(D.member_id,))
    assert step(retiring="d", standbys=(B, D)) == MembershipChange(exclude=(D.member_id,))
    assert step(retiring="d", standbys=(D,), excluded=frozenset({D.member_id})) is None


def test_an_excluded_disk_is_never_added_even_after_the_retirement_request_ends() -> None:
    excluded_ids = frozenset({D.member_id})
    assert step(members=(A, B), standbys=(D,), excluded=excluded_ids) is None
    assert step(unreachable=(C,), standbys=(D,), excluded=excluded_ids) is None
    assert step(retiring="b", standbys=(D,), excluded=excluded_ids) is None
    wiped = member("d", "new")
    assert step(members=(A, B), standbys=(D, wiped), excluded=excluded_ids) == MembershipChange(add=wiped)


def test_a_retiring_member_is_matched_by_member_id_if_node_names_are_unknown() -> None:
    unnamed = MemberIdentity("first-b", "", "b:1")
    view = GroupView(A, (A, unnamed, C), (D,), frozenset(), frozenset({"b", "first-b"}), 3)
    assert next_step(view) == MembershipChange(add=D, remove=unnamed, exclude=("first-b",))
    retiring_ids = frozenset({"first-b", D.member_id})
    view_with_exclusion = GroupView(
        A, (A, unnamed, C), (D,), frozenset(), retiring_ids, 3, frozenset({D.member_id})
    )
    assert next_step(view_with_exclusion) is None


def test_a_retiring_primary_transfers_leadership_after_other_retiring_members_left() -> None:
    assert step(retiring="a") is None
    assert step(retiring="a", standbys=(D,)) == TransferLeadership()
    assert step(retiring="ab", standbys=(D,)) == MembershipChange(add=D, remove=B, exclude=(B.member_id,))
    assert step(members=(A,), retiring="a", standbys=(D,)) == MembershipChange(add=D)


def test_a_group_below_its_target_size_grows_and_prefers_a_new_zone() -> None:
    near = member("e", zone="one")
    far = member("f", zone="two")
    assert step(members=(member("a", zone="one"), B), standbys=(near, far)) == MembershipChange(add=far)


def test_an_unreachable_member_is_replaced() -> None:
    assert step(unreachable=(C,), standbys=(D,)) == MembershipChange(add=D, remove=C)
    assert step(members=(A, B, C, D), unreachable=(C,)) == MembershipChange(remove=C)


def test_an_unresponsive_member_has_priority_over_a_retiring_one() -> None:
    assert step(unreachable=(C,), retiring="b", standbys=(D,)) == MembershipChange(add=D, remove=C)
    assert step(unresponsive=(C,), retiring="b", standbys=(D,)) is None
    assert step(members=(A, B, C, D), unresponsive=(C,), retiring="b") is None
    assert step(unresponsive=(B,), retiring="b", standbys=(D,)) == MembershipChange(
        add=D, remove=B, exclude=(B.member_id,)
    )


def test_a_standby_that_did_not_answer_is_chosen_last() -> None:
    late = member("e")
    assert step(unreachable=(C,), standbys=(D, late)) == MembershipChange(add=D, remove=C)
    unresponsive_ids = frozenset({D.member_id})
    assert step(
        unreachable=(C,), standbys=(D, late), unresponsive_standbys=unresponsive_ids
    ) == MembershipChange(add=late, remove=C)
    assert step(unreachable=(C,), standbys=(D,), unresponsive_standbys=unresponsive_ids) == MembershipChange(
        add=D, remove=C
    )


def test_a_change_returns_the_complete_member_list() -> None:
    assert MembershipChange(add=D, remove=B).apply((A, B, C)) == (A, C, D)
    assert MembershipChange(remove=B).apply((A, B, C)) == (A, C)
    assert MembershipChange(add=D).apply((A, B, C)) == (A, B, C, D)


def test_the_unreachable_time_out_is_a_fraction_of_the_catch_up_time() -> None:
    assert Timing.for_catch_up(4.8).unreachable_timeout_s == pytest.approx(1.2)
    assert Timing.for_catch_up(1.0).unreachable_timeout_s == Timing().election_timeout_s
    assert Timing.for_catch_up(60.0).unreachable_timeout_s == MAX_UNREACHABLE_TIMEOUT_S


@pytest.mark.parametrize("faults", range(4))
@pytest.mark.parametrize("size", range(1, 10))
def test_election_and_write_quorums_intersect(size: int, faults: int) -> None:
    write = write_quorum(size, faults)
    elect = election_quorum(size, faults)
    assert write == min(faults + 1, size)
    assert write + elect > size
    assert 2 * elect > size
    if size >= 2 * faults + 1:
        assert elect <= size - min(faults, write - 1)


def names(size: int) -> tuple[MemberIdentity, ...]:
    return tuple(member(chr(ord("a") + number)) for number in range(size))


@pytest.mark.parametrize("faults", range(3))
@pytest.mark.parametrize("size", range(1, 6))
def test_quorums_of_joint_configurations_intersect(size: int, faults: int) -> None:
    """Replicas without a committed members entry must not be able to elect a primary.

    An election quorum of the uncommitted change must intersect each quorum of the old or the new members.
    """
    old = names(size)
    changes = [(*old, member("z")), (*old[1:], member("z"))]
    if size > 1:
        changes.append(old[1:])
    for new in changes:
        uncommitted_change = JointConfiguration(faults, new, old, 7)
        everyone = {one.member_id for one in (*old, *new)}
        for count in range(len(everyone) + 1):
            for holders in combinations(sorted(everyone), count):
                synced = dict.fromkeys(holders, 7)
                if uncommitted_change.committable_index(synced) < 7:
                    continue
                rest = everyone - set(holders)
                assert not JointConfiguration(faults, old).has_election_quorum(rest)
                assert not JointConfiguration(faults, new).has_election_quorum(rest)
                assert not uncommitted_change.has_election_quorum(rest)
            for voters in combinations(sorted(everyone), count):
                rest = everyone - set(voters)
                assert not (
                    uncommitted_change.has_election_quorum(voters)
                    and JointConfiguration(faults, old).has_election_quorum(rest)
                )
                assert not (
                    uncommitted_change.has_election_quorum(voters)
                    and JointConfiguration(faults, new).has_election_quorum(rest)
                )
