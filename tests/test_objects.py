"""Reads of new objects for which the client names the wrong shard, and the record of their placement."""

from __future__ import annotations

from helpers import Rig

from cherrycove.scheduling.interface import Outcome, Refuse
from cherrycove.scheduling.object_placement import ObjectPlacements


def write_object(rig: Rig, key: str) -> int:
    """Write a new object with this key; return the shard that stored it."""
    request = rig.arrive(cls=1, shard=None, key=key)
    node = rig.sends[-1].node
    rig.end(request, latency=0.01)
    return int(node[1:])


def test_a_read_rejected_by_its_node_is_sent_to_the_shard_that_stored_the_object() -> None:
    rig = Rig(4)
    home = write_object(rig, "k")
    wrong = (home + 1) % 4
    first = rig.arrive(shard=wrong, key="k")
    assert rig.sends[-1].node == f"n{wrong}"  # the shard that the client names is tried first
    rig.end(first, Outcome.NOT_EXECUTED, 0.001)
    assert rig.sends[-1].request == first and rig.sends[-1].node == f"n{home}"  # at once, without a pause
    rig.end(first, latency=0.01)
    second = rig.arrive(shard=wrong, key="k")
    assert rig.sends[-1].request == second and rig.sends[-1].node == f"n{home}"
    third = rig.arrive(shard=wrong, key="other")
    assert rig.sends[-1].request == third and rig.sends[-1].node == f"n{wrong}"


def test_a_rejected_read_of_an_unknown_object_is_refused_at_once_without_a_node_backoff() -> None:
    rig = Rig(2, retry_advice=5.0)
    request = rig.arrive(shard=1, key="k")
    rig.end(request, Outcome.NOT_EXECUTED, 0.001)
    answer = rig.answers[request]
    assert isinstance(answer, Refuse) and answer.retry_after == 0.0 and len(rig.sends) == 1
    following = rig.arrive(shard=1, key="l")
    assert rig.sends[-1].request == following  # a rejection for a full queue would have caused a backoff


def test_an_outdated_placement_is_removed() -> None:
    rig = Rig(4)
    home = write_object(rig, "k")
    request = rig.arrive(shard=home, key="k")
    rig.end(request, Outcome.NOT_EXECUTED, 0.001)
    assert isinstance(rig.answers[request], Refuse)
    following = rig.arrive(shard=(home + 1) % 4, key="k")
    rig.end(following, Outcome.NOT_EXECUTED, 0.001)
    assert isinstance(rig.answers[following], Refuse) and len(rig.sends) == 3


def test_placements_are_bounded_and_the_oldest_is_evicted_first() -> None:
    placed = ObjectPlacements(max_objects=3)
    for number in range(5):
        placed.record(f"k{number}", number)
        assert placed.record_rejection(f"k{number}", 9) == number
    assert [placed.shard_for(f"k{number}", 9) for number in range(5)] == [9, 9, 2, 3, 4]
