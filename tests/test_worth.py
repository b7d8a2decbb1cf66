"""What is scarce goes by class worth within a volume: its limit, a node's spare room, places for clients."""

from __future__ import annotations

from dataclasses import replace

from helpers import READ, Rig

from cherrycove.scheduling.interface import Code, OpenRequestLimit, Refuse

HIGH, LOW = replace(READ, name="high", worth=3.0), replace(READ, name="low", worth=1.0)
CLASSES = (HIGH, LOW)


def lanes(rig: Rig) -> tuple[int, int]:
    """A low and then a high one that wait for credit behind five of their volume; the node takes four."""
    for _ in range(5):
        rig.arrive(cls=1)
    assert len(rig.out) == 4
    return rig.arrive(cls=1), rig.arrive(cls=0)


def test_a_limit_lets_through_what_is_worth_most_and_the_rest_is_refused_at_once() -> None:
    rig = Rig(1, classes=CLASSES)
    rig.wait(1.0)  # five units of the limit are this host's by now
    for _ in range(2):
        rig.arrive(cls=1, plan=1)
    low = rig.arrive(cls=1, plan=1)
    assert len(rig.sends) == 2 and low not in rig.answers  # it may go in 0.2 s
    high = rig.arrive(cls=0, plan=1, units=3.0)
    refused = rig.answers[low]
    assert isinstance(refused, Refuse) and refused.why is not None and refused.why.code is Code.OVER_LIMIT
    rig.wait(0.5)
    assert rig.sent()[-1] == high


def test_spare_room_goes_to_what_is_worth_most() -> None:
    rig = Rig(1, classes=CLASSES)
    low, high = lanes(rig)
    for request in rig.sent()[:3]:
        rig.end(request, latency=0.01)
    sent = rig.sent()
    assert high in sent and (low not in sent or sent.index(high) < sent.index(low))


def test_first_come_first_served_among_those_of_one_worth() -> None:
    rig = Rig(1, classes=CLASSES)
    lanes(rig)
    waiting = [rig.arrive(cls=0) for _ in range(3)]
    while set(waiting) - set(rig.sent()):
        rig.end(next(iter(rig.out)), latency=0.01)
    assert [request for request in rig.sent() if request in waiting] == waiting


def test_places_are_given_up_by_what_is_worth_least() -> None:
    rig = Rig(1, classes=CLASSES)
    for _ in range(5):
        rig.arrive(cls=1)
    high, low = rig.arrive(cls=0), rig.arrive(cls=1)
    rig.give(OpenRequestLimit(6))
    refused = rig.answers[low]
    assert isinstance(refused, Refuse) and refused.why is not None and refused.why.code is Code.PLACES
    assert high not in rig.answers
