"""Cold nodes may be sent a part of the rule's multiple of the units that they served in the window."""

from __future__ import annotations

import random

from helpers import Rig
from hypothesis import given
from hypothesis import strategies as st
from support import fuzz

from cherrycove.broker.peer_capacity.lending import guaranteed_capacity
from cherrycove.scheduling.interface import ListKind, Node
from cherrycove.scheduling.slow_start import SlowStart
from cherrycove.scheduling.state import NodeQueue, SlidingWindowSum

MULTIPLE, MOST = 4.0, 6.0
CROWD = {"schedulers": 40, "cold_units": 60.0, "fall_multiple": MULTIPLE, "max_units": MOST}


def crowded(**changes: float) -> Rig:
    """Return one of forty schedulers at a cold node; even shares are far below one request."""
    rig = Rig(1, **CROWD | changes)
    rig.wait(30.0)
    rig.listed(Node("m0", 0, started=rig.now), kind=ListKind.FULL)
    return rig


def served(rig: Rig, seconds: float, latency: float = 0.05) -> int:
    """Send requests continuously, answer each after ``latency`` (s); return the number served."""
    until, count = rig.now + seconds, 0
    while rig.now < until:
        for number in range(4):
            rig.arrive(shard=0, volume=f"v{number}")
        rig.wait(latency)
        for request in list(rig.in_flight):
            rig.end(request, latency=latency)
            count += 1
    return count


def test_a_cold_node_that_answers_is_sent_more_than_its_even_part() -> None:
    assert served(crowded(), 6.0) > served(crowded(fall_multiple=1.0), 6.0) > 0


def test_units_served_before_a_restart_do_not_count() -> None:
    rig = crowded()
    served(rig, 6.0)
    node = rig.scheduler.state.nodes[0]
    assert node.served_window.total(rig.now) > 0
    rig.listed(Node("m0", 0, started=rig.now), kind=ListKind.FULL)
    assert node.served_window.total(rig.now) == 0


@fuzz
@given(st.integers(0, 1 << 32), st.integers(2, 12), st.floats(0.5, 8.0))
def test_all_hosts_together_stay_within_the_multiple_of_what_was_done(
    seed: int, hosts: int, rate: float
) -> None:
    """A node serves ``rate`` units/s, and hosts send all that they may: in no window do they send more than
    the multiple of the node's capacity, besides random permits and even shares."""
    dice = random.Random(seed)
    settings = Rig(
        1, schedulers=hosts, cold_units=0.5, fall_multiple=MULTIPLE, max_units=MOST, warm_after=30.0
    ).settings
    rooms = [SlowStart(settings, random.Random(dice.random())) for _ in range(hosts)]
    span, now = settings.fall_window, 0.0
    views = []
    for _ in rooms:
        node = NodeQueue(0, 1.0, SlidingWindowSum(span), SlidingWindowSum(span))
        node.begin(Node("n", 0, started=0.0), 0.0, 1.0)
        views.append(node)
    sent: list[tuple[float, float]] = []
    queue: list[tuple[int, float]] = []
    work = 0.0
    while now < 12.0:
        now += 0.02
        work += 0.02 * rate
        while queue and work >= queue[0][1]:
            host, units = queue.pop(0)
            work -= units
            rooms[host].count_served(views[host], units, now)
        work = min(work, rate * 0.02) if not queue else work
        for host in dice.sample(range(hosts), hosts):
            units = float(dice.randint(1, int(MOST)))
            if rooms[host].admit(views[host], units, now).granted:
                views[host].count_sent(now, units)
                sent.append((now, units))
                queue.append((host, units))
        # Besides the multiple: one request of any size per host, by a random draw and by an answer.
        bound = MULTIPLE * rate * span + hosts * MOST * 2 + settings.cold_units
        assert sum(units for at, units in sent if at >= now - span) <= bound


def test_a_node_that_is_warm_at_once_is_served_like_any_other() -> None:
    """Settings may set ``warm_after`` to 0. A division by it failed, and with it the whole event batch."""
    rig = crowded(warm_after=0.0, schedulers=1)
    rig.arrive(shard=0, volume="v0")
    rig.wait(0.05)
    settings = rig.scheduler.settings
    assert (
        rig.in_flight and guaranteed_capacity(settings, 0.0) == settings.cold_units / settings.start_capacity
    )
