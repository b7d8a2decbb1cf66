"""Quorum sizes, and which change of members a primary wants next."""

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
    silent = frozenset(one.member_id for one in unreachable)
    quiet = silent | {one.member_id for one in unresponsive}
    view = GroupView(
        A, members, standbys, silent, frozenset(retiring), 3, excluded, unresponsive_standbys, quiet
    )
    return next_step(view)


def test_nothing_to_do() -> None:
    assert step() is None
    assert step(standbys=(D,)) is None
    assert step(standbys=(B, C)) is None
    assert step(unreachable=(B,)) is None


def test_an_emptied_disk_takes_the_place_of_the_one_before() -> None:
    emptied = member("b", "new")
    assert step(standbys=(D, emptied), unreachable=(C,)) == MembershipChange(add=emptied, remove=B)


def test_an_emptied_disk_that_does_not_answer_leaves_its_place_to_another() -> None:
    emptied = member("b", "new")
    silent = frozenset({emptied.member_id})
    assert step(standbys=(D, emptied), unreachable=(B,), unresponsive_standbys=silent) == MembershipChange(
        add=D, remove=B
    )
    assert step(standbys=(emptied,), unreachable=(B,), unresponsive_standbys=silent) == MembershipChange(
        add=emptied, remove=B
    )


def test_an_emptied_disk_is_known_by_its_address_where_names_are_unknown() -> None:
    unnamed = MemberIdentity("first-b", "", "b:1")
    emptied = member("b", "new")
    assert step(members=(A, unnamed, C), standbys=(emptied,)) == MembershipChange(add=emptied, remove=unnamed)
    assert step(members=(A, unnamed, C), standbys=(MemberIdentity("x", "", "x:1"),)) is None


def test_a_retiring_member_is_replaced_or_removed_where_enough_are_left() -> None:
    assert step(retiring="b") is None
    assert step(retiring="b", standbys=(D,)) == MembershipChange(add=D, remove=B, exclude=(B.member_id,))
    assert step(members=(A, B, C, D), retiring="b") == MembershipChange(remove=B, exclude=(B.member_id,))
    barred = frozenset({D.member_id})
    assert step(retiring="bd", standbys=(D,), excluded=barred) is None


def test_a_retiring_standby_is_excluded_once() -> None:
    assert step(retiring="bd", standbys=(D,)) == MembershipChange(exclude=(D.member_id,))
    assert step(retiring="d", standbys=(B, D)) == MembershipChange(exclude=(D.member_id,))
    assert step(retiring="d", standbys=(D,), excluded=frozenset({D.member_id})) is None


def test_an_excluded_disk_is_taken_in_no_more_not_even_after_its_order() -> None:
    barred = frozenset({D.member_id})
    assert step(members=(A, B), standbys=(D,), excluded=barred) is None
    assert step(unreachable=(C,), standbys=(D,), excluded=barred) is None
    assert step(retiring="b", standbys=(D,), excluded=barred) is None
    emptied = member("d", "new")
    assert step(members=(A, B), standbys=(D, emptied), excluded=barred) == MembershipChange(add=emptied)


def test_a_retiring_member_is_known_by_its_disk_where_names_are_unknown() -> None:
    unnamed = MemberIdentity("first-b", "", "b:1")
    view = GroupView(A, (A, unnamed, C), (D,), frozenset(), frozenset({"b", "first-b"}), 3)
    assert next_step(view) == MembershipChange(add=D, remove=unnamed, exclude=("first-b",))
    leaving = frozenset({"first-b", D.member_id})
    blocked = GroupView(A, (A, unnamed, C), (D,), frozenset(), leaving, 3, frozenset({D.member_id}))
    assert next_step(blocked) is None


def test_a_retiring_primary_hands_over_last() -> None:
    assert step(retiring="a") is None
    assert step(retiring="a", standbys=(D,)) == TransferLeadership()
    assert step(retiring="ab", standbys=(D,)) == MembershipChange(add=D, remove=B, exclude=(B.member_id,))
    assert step(members=(A,), retiring="a", standbys=(D,)) == MembershipChange(add=D)


def test_a_small_group_grows_and_prefers_a_new_zone() -> None:
    near = member("e", zone="one")
    far = member("f", zone="two")
    assert step(members=(member("a", zone="one"), B), standbys=(near, far)) == MembershipChange(add=far)


def test_a_silent_member_is_replaced() -> None:
    assert step(unreachable=(C,), standbys=(D,)) == MembershipChange(add=D, remove=C)
    assert step(members=(A, B, C, D), unreachable=(C,)) == MembershipChange(remove=C)


def test_a_silent_member_gets_the_standby_before_one_that_retires() -> None:
    assert step(unreachable=(C,), retiring="b", standbys=(D,)) == MembershipChange(add=D, remove=C)
    assert step(unresponsive=(C,), retiring="b", standbys=(D,)) is None
    assert step(members=(A, B, C, D), unresponsive=(C,), retiring="b") is None
    assert step(unresponsive=(B,), retiring="b", standbys=(D,)) == MembershipChange(
        add=D, remove=B, exclude=(B.member_id,)
    )


def test_a_standby_that_did_not_answer_is_taken_in_last() -> None:
    late = member("e")
    assert step(unreachable=(C,), standbys=(D, late)) == MembershipChange(add=D, remove=C)
    silent = frozenset({D.member_id})
    assert step(unreachable=(C,), standbys=(D, late), unresponsive_standbys=silent) == MembershipChange(
        add=late, remove=C
    )
    assert step(unreachable=(C,), standbys=(D,), unresponsive_standbys=silent) == MembershipChange(
        add=D, remove=C
    )


def test_changes_give_whole_lists() -> None:
    assert MembershipChange(add=D, remove=B).apply((A, B, C)) == (A, C, D)
    assert MembershipChange(remove=B).apply((A, B, C)) == (A, C)
    assert MembershipChange(add=D).apply((A, B, C)) == (A, B, C, D)


def test_silence_is_borne_for_a_share_of_the_time_to_catch_up() -> None:
    assert Timing.for_catch_up(4.8).unreachable_timeout_s == pytest.approx(1.2)
    assert Timing.for_catch_up(1.0).unreachable_timeout_s == Timing().election_timeout_s
    assert Timing.for_catch_up(60.0).unreachable_timeout_s == MAX_UNREACHABLE_TIMEOUT_S


@pytest.mark.parametrize("faults", range(4))
@pytest.mark.parametrize("size", range(1, 10))
def test_quorums_meet(size: int, faults: int) -> None:
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
def test_quorums_of_changed_lists_meet(size: int, faults: int) -> None:
    """Whoever may be elected without the members entry misses one copy of it; whoever has it, one commit."""
    old = names(size)
    changes = [(*old, member("z")), (*old[1:], member("z"))]
    if size > 1:
        changes.append(old[1:])
    for new in changes:
        open_change = JointConfiguration(faults, new, old, 7)
        everyone = {one.member_id for one in (*old, *new)}
        for count in range(len(everyone) + 1):
            for copies in combinations(sorted(everyone), count):
                synced = dict.fromkeys(copies, 7)
                if open_change.committable_index(synced) < 7:
                    continue
                rest = everyone - set(copies)
                assert not JointConfiguration(faults, old).has_election_quorum(rest)
                assert not JointConfiguration(faults, new).has_election_quorum(rest)
                assert not open_change.has_election_quorum(rest)
            for voters in combinations(sorted(everyone), count):
                rest = everyone - set(voters)
                assert not (
                    open_change.has_election_quorum(voters)
                    and JointConfiguration(faults, old).has_election_quorum(rest)
                )
                assert not (
                    open_change.has_election_quorum(voters)
                    and JointConfiguration(faults, new).has_election_quorum(rest)
                )
