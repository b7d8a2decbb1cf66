"""Reads of objects just written: named wrongly by their client, and what the broker knows of them."""

from __future__ import annotations

from helpers import Rig

from cherrycove.scheduling.interface import Outcome, Refuse
from cherrycove.scheduling.object_placement import ObjectPlacements


def written(rig: Rig, key: str) -> int:
    """A new object of this key, served; the shard that took it."""
    request = rig.arrive(cls=1, shard=None, key=key)
    node = rig.sends[-1].node
    rig.end(request, latency=0.01)
    return int(node[1:])


def test_a_read_that_its_node_says_is_not_its_goes_where_the_object_was_put() -> None:
    rig = Rig(4)
    home = written(rig, "k")
    wrong = (home + 1) % 4
    first = rig.arrive(shard=wrong, key="k")
    assert rig.sends[-1].node == f"n{wrong}"  # its client is believed first
    rig.end(first, Outcome.NOT_EXECUTED, 0.001)
    assert rig.sends[-1].request == first and rig.sends[-1].node == f"n{home}"  # at once, without a pause
    rig.end(first, latency=0.01)
    second = rig.arrive(shard=wrong, key="k")
    assert rig.sends[-1].request == second and rig.sends[-1].node == f"n{home}"
    third = rig.arrive(shard=wrong, key="other")
    assert rig.sends[-1].request == third and rig.sends[-1].node == f"n{wrong}"


def test_one_that_nobody_knows_a_place_for_is_refused_at_once_and_its_node_stays_in_use() -> None:
    rig = Rig(2, retry_advice=5.0)
    request = rig.arrive(shard=1, key="k")
    rig.end(request, Outcome.NOT_EXECUTED, 0.001)
    answer = rig.answers[request]
    assert isinstance(answer, Refuse) and answer.retry_after == 0.0 and len(rig.sends) == 1
    following = rig.arrive(shard=1, key="l")
    assert rig.sends[-1].request == following  # as a full queue it would have rested


def test_a_place_that_turns_out_wrong_is_forgotten() -> None:
    rig = Rig(4)
    home = written(rig, "k")
    request = rig.arrive(shard=home, key="k")
    rig.end(request, Outcome.NOT_EXECUTED, 0.001)
    assert isinstance(rig.answers[request], Refuse)
    following = rig.arrive(shard=(home + 1) % 4, key="k")
    rig.end(following, Outcome.NOT_EXECUTED, 0.001)
    assert isinstance(rig.answers[following], Refuse) and len(rig.sends) == 3


def test_what_is_known_of_objects_is_bounded_and_the_oldest_goes_first() -> None:
    placed = ObjectPlacements(most=3)
    for number in range(5):
        placed.record(f"k{number}", number)
        assert placed.record_rejection(f"k{number}", 9) == number
    assert [placed.shard_for(f"k{number}", 9) for number in range(5)] == [9, 9, 2, 3, 4]
