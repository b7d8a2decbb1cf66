"""Admission of several proxies over the same brokers, in simulated time."""

from __future__ import annotations

from admission_model import ITEM_DUE_S, TARGET_LATENCY_S, Fleet, Work

END_S = 10.0
SETTLED_S = 25.0


def in_time(work: Work) -> bool:
    return work.first_s is not None and work.try_began + work.first_s - work.began <= TARGET_LATENCY_S


def calm(seed: int = 1) -> Fleet:
    """About half of the places in use."""
    fleet = Fleet(seed=seed)
    fleet.requests("chat", 30.0, 0.5, END_S, shared=172, own=543)
    fleet.requests("report", 2.0, 0.5, END_S, shared=13_300, own=1_000)
    fleet.requests("lots", 8.0, 0.5, END_S, shared=432, own=768)
    return fleet


def test_calm_traffic_is_served_in_time_and_nothing_is_refused() -> None:
    fleet = calm()
    fleet.run(SETTLED_S)
    live = fleet.of("chat") + fleet.of("report")
    assert all(work.done is not None and work.tries == 1 for work in live)
    assert sum(map(in_time, live)) >= 0.98 * len(live)
    items = fleet.of("lots")
    assert all(work.done is not None and work.done - work.began <= ITEM_DUE_S for work in items)


def test_large_shared_parts_are_read_about_once() -> None:
    fleet = calm()
    fleet.run(SETTLED_S)
    reports = fleet.of("report")
    once = 6 * 13_300 + sum(1_000 for _ in reports)
    others = 543 * len(fleet.of("chat")) + 768 * len(fleet.of("lots"))
    read = sum(engine.read_tokens for engine in fleet.engines.values())
    assert read - others <= 1.3 * once


def test_in_a_surge_everybody_is_served_now_or_when_told_to_come_back() -> None:
    fleet = calm()
    fleet.requests("chat", 110.0, 3.0, 6.0, shared=172, own=543)
    fleet.run(SETTLED_S)
    live = fleet.of("chat") + fleet.of("report")
    assert any(work.tries > 1 for work in live)
    assert all(work.done is not None for work in live)
    assert sum(map(in_time, live)) >= 0.5 * len(live)
    assert all(work.done is not None for work in fleet.of("lots"))


def test_a_surge_of_batch_items_does_not_push_live_requests_aside() -> None:
    fleet = calm()
    fleet.requests("lots", 60.0, 3.0, 5.0, shared=432, own=768)
    fleet.run(SETTLED_S)
    live = fleet.of("chat") + fleet.of("report")
    assert all(work.done is not None for work in live)
    assert sum(map(in_time, live)) >= 0.9 * len(live)
    assert all(work.done is not None for work in fleet.of("lots"))


def test_only_what_was_open_at_a_broker_that_crashes_is_lost() -> None:
    fleet = calm()
    fleet.crash("i-1", when=5.0, unlisted_after=2.0)
    fleet.run(SETTLED_S)
    live = fleet.of("chat") + fleet.of("report")
    whole = [work for work in live if not work.broken]
    assert all(work.done is not None for work in whole)
    assert sum(map(in_time, whole)) >= 0.95 * len(whole)
