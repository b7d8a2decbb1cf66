"""Tests the lease table step by step with times set by the test."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.grant_policy import lease_limit
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import LeasableJob, LeaseCall, LeaseDecision, LeaseTimes

TIMES = LeaseTimes(lease_s=1.5, grace_s=1.0)
FAR_FUTURE_S = 1000.0


def leasable_job(
    job_id: str, *item_ids: str, due: float = 50.0, route: str = "r", retained: float = FAR_FUTURE_S
) -> LeasableJob:
    return LeasableJob(job_id, route, due, retained, item_ids)


def keys(job_id: str, *item_ids: str) -> list[ItemKey]:
    return [ItemKey(job_id, item_id) for item_id in item_ids]


class Proxy:
    """Sends lease requests with increasing sequence numbers, and runs all items that it is granted."""

    def __init__(self, table: LeaseTable, name: str = "p1", incarnation: str = "1") -> None:
        self.table, self.name, self.incarnation, self.sequence = table, name, f"{name}/{incarnation}", 0
        self.running: list[ItemKey] = []

    def request_leases(
        self,
        now: float,
        capacity: int = 0,
        routes: Sequence[str] = ("r",),
        slots: int = 0,
        live: int = 0,
        brokers: Mapping[str, int] | None = None,
    ) -> LeaseDecision:
        self.sequence += 1
        call = attrs.evolve(
            self.lease_call(self.sequence, capacity, routes),
            broker_slots=slots,
            live_requests=live,
            usable_brokers=brokers or {},
        )
        decision = self.table.exchange(call, now)
        self.running = [key for key in self.running if key not in decision.revoked]
        self.running += [grant.key for grant in decision.granted]
        return decision

    def lease_call(self, sequence: int, capacity: int = 0, routes: Sequence[str] = ("r",)) -> LeaseCall:
        return LeaseCall(
            self.name, self.incarnation, sequence, tuple(self.running), capacity, frozenset(routes)
        )

    def granted(self, now: float, capacity: int = 100, routes: Sequence[str] = ("r",)) -> list[ItemKey]:
        return [grant.key for grant in self.request_leases(now, capacity, routes).granted]


def table_with(*jobs: LeasableJob, now: float = 0.0) -> LeaseTable:
    table = LeaseTable(1, now, TIMES)
    for job in jobs:
        table.add_job(job, from_earlier_epoch=False)
    return table


def test_earliest_target_is_granted_first_within_the_capacity() -> None:
    table = table_with(leasable_job("late", "a", "b", due=60.0), leasable_job("early", "a", "b", due=40.0))
    proxy = Proxy(table)
    assert proxy.granted(0.0, capacity=3) == [*keys("early", "a", "b"), *keys("late", "a")]
    assert proxy.request_leases(0.1).waiting == 1
    assert proxy.granted(0.2) == keys("late", "b")
    assert proxy.granted(0.3) == []


def test_items_past_their_target_have_lower_priority_but_are_not_starved() -> None:
    overdue = leasable_job("overdue", "x", "y", due=1.0)
    table = table_with(overdue, leasable_job("j", *"abcdef", due=40.0))
    granted = Proxy(table).granted(5.0)
    assert [key.item_id for key in granted] == ["a", "b", "c", "x", "d", "e", "f", "y"]


def test_items_are_shared_among_proxies_with_capacity() -> None:
    table = table_with(leasable_job("j", *"abcdef"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    second.request_leases(0.0, capacity=0)
    table.exchange(second.lease_call(2, capacity=5, routes=()), 0.0)
    assert len(first.granted(0.1)) == 3
    second.sequence = 2
    assert len(second.granted(0.2)) == 2


def test_only_items_of_the_callers_routes_are_granted() -> None:
    table = table_with(leasable_job("j", "a", route="other"), leasable_job("k", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("k", "a")
    assert proxy.granted(0.1, routes=()) == []
    assert proxy.granted(0.2, routes=("r", "other")) == keys("j", "a")


def test_lease_that_is_not_renewed_is_free_again() -> None:
    table = table_with(leasable_job("j", "a"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    assert first.granted(0.0) == keys("j", "a")
    first.request_leases(1.0)
    assert second.granted(2.4) == []
    assert second.granted(2.6) == keys("j", "a")
    assert first.request_leases(2.7).revoked == keys("j", "a")


def test_proxy_with_expired_leases_keeps_items_that_no_other_proxy_leased() -> None:
    table = table_with(leasable_job("j", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("j", "a")
    decision = proxy.request_leases(9.0)
    assert (decision.revoked, decision.waiting) == ([], 0)


def test_item_that_the_holder_does_not_announce_is_freed_at_once() -> None:
    table = table_with(leasable_job("j", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("j", "a")
    proxy.running.clear()  # the reply with the lease was lost
    assert proxy.granted(0.3) == keys("j", "a")


def test_request_that_arrives_after_a_newer_one_changes_nothing() -> None:
    table = table_with(leasable_job("j", "a"))
    proxy = Proxy(table)
    delayed = proxy.lease_call(1, capacity=5)
    proxy.sequence = 1
    assert proxy.granted(0.0) == keys("j", "a")
    assert table.exchange(delayed, 0.1) == LeaseDecision()
    assert proxy.request_leases(0.2).revoked == []
    assert Proxy(table, "p2").granted(0.3) == []


def test_new_process_of_a_proxy_frees_the_items_of_the_old_one() -> None:
    table = table_with(leasable_job("j", "a"))
    old, new = Proxy(table, "p1", "old"), Proxy(table, "p1", "new")
    assert old.granted(0.0) == keys("j", "a")
    assert new.granted(0.1) == keys("j", "a")
    old.running.clear()
    assert old.granted(0.2) == []
    assert new.request_leases(0.3).revoked == []


def test_a_late_request_of_an_earlier_process_does_not_block_the_proxy() -> None:
    """A request delayed by a network partition arrives after the restarted proxy has sent its own."""
    table = table_with(leasable_job("j", "a"), leasable_job("k", "a"))
    old, new = Proxy(table, "p1", "old"), Proxy(table, "p1", "new")
    assert new.granted(0.0, capacity=1) == keys("j", "a")
    assert old.granted(0.1, capacity=0) == []
    assert new.granted(0.2) == []
    assert new.granted(0.1 + TIMES.lease_s) == keys("k", "a")
    assert old.granted(0.2 + TIMES.lease_s) == []


def test_items_of_an_earlier_epoch_wait_for_announcements() -> None:
    table = LeaseTable(2, 10.0, TIMES)
    table.add_job(leasable_job("before", "a", "b"), from_earlier_epoch=True)
    table.add_job(leasable_job("now", "a"), from_earlier_epoch=False)
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    first.running = keys("before", "a")
    assert second.granted(10.1) == keys("now", "a")
    assert first.request_leases(10.3).revoked == []
    assert second.granted(10.9) == []
    assert second.granted(11.0) == keys("before", "b")
    second.running += keys("before", "a")
    assert second.request_leases(11.1).revoked == keys("before", "a")


def test_items_that_will_miss_their_target_wait_behind_those_that_can_meet_it() -> None:
    table = table_with(leasable_job("known", "a", due=50.0))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("known", "a")
    table.resolve(ItemKey("known", "a"), 2.0)
    proxy.running.clear()
    table.add_job(leasable_job("too-late", *"abcd", due=11.5), from_earlier_epoch=False)
    table.add_job(leasable_job("in-time", *"abcd", due=12.5), from_earlier_epoch=False)
    assert proxy.granted(10.0, capacity=4) == [
        *keys("in-time", "a", "b"),
        *keys("too-late", "a"),
        *keys("in-time", "c"),
    ]


def test_ended_and_unknown_jobs_and_items_with_result_are_revoked() -> None:
    table = table_with(leasable_job("j", "a", "b"), leasable_job("k", "a"))
    proxy = Proxy(table)
    assert len(proxy.granted(0.0)) == 3
    table.remove_job("j")
    table.resolve(ItemKey("k", "a"))
    proxy.running += keys("unknown", "a")
    assert set(proxy.request_leases(0.1).revoked) == {
        *keys("j", "a", "b"),
        *keys("k", "a"),
        *keys("unknown", "a"),
    }
    assert proxy.granted(0.2) == []


def test_returned_items_keep_the_highest_failure_count() -> None:
    table = table_with(leasable_job("j", "a"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    assert first.granted(0.0) == keys("j", "a")
    table.release(first.incarnation, ItemKey("j", "a"), 2)
    first.running.clear()
    grant = second.request_leases(0.1, capacity=1).granted[0]
    assert (grant.key, grant.failed_attempts) == (ItemKey("j", "a"), 2)
    table.release(first.incarnation, ItemKey("j", "a"), 1)  # late report of a process without the lease
    assert second.request_leases(0.2).revoked == []
    table.release(second.incarnation, ItemKey("j", "a"), 1)
    second.running.clear()
    assert second.request_leases(0.3, capacity=1).granted[0].failed_attempts == 2


def test_past_retention_covers_leased_and_waiting_items() -> None:
    table = table_with(leasable_job("j", "a", "b", retained=20.0), leasable_job("k", "a", retained=30.0))
    Proxy(table).granted(0.0, capacity=1)
    assert table.past_retention(19.9) == []
    assert set(table.past_retention(20.0)) == set(keys("j", "a", "b"))


def test_waiting_count_stays_right_over_a_long_run() -> None:
    table = table_with(*(leasable_job(f"j{number}", *"abc", due=10.0 + number) for number in range(5)))
    proxies = [Proxy(table, f"p{number}") for number in range(3)]
    now = 0.0
    resolved: set[ItemKey] = set()
    for step in range(200):
        now += 0.1
        proxy = proxies[step % 3]
        if step % 7 == 0:
            now += 1.6
        decision = proxy.request_leases(now, capacity=step % 4)
        if step % 5 == 0 and proxy.running:
            resolved.add(proxy.running.pop())
            for key in resolved:
                table.resolve(key)
        unfinished = table.past_retention(FAR_FUTURE_S)
        assert len(set(unfinished)) == len(unfinished) == 15 - len(resolved)
        assert 0 <= decision.waiting <= 15 - len(resolved)


def test_leases_of_all_proxies_are_limited_by_the_slots_that_live_requests_leave() -> None:
    items = [f"i{number}" for number in range(100)]
    table = table_with(leasable_job("j", *items))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    second.request_leases(0.0, capacity=0, slots=100, live=40)
    granted = first.request_leases(0.0, capacity=100, slots=100, live=10).granted
    assert len(granted) == 95 - 50
    assert list(second.request_leases(0.1, capacity=100, slots=100, live=40).granted) == []
    table.resolve(first.running.pop(), 0.2)
    assert len(second.request_leases(0.2, capacity=100, slots=100, live=40).granted) == 1
    first.request_leases(0.3, capacity=0, slots=100, live=10)
    assert len(second.request_leases(0.3, capacity=100, slots=100, live=0).granted) == 40


def test_some_items_are_granted_regardless_of_live_requests() -> None:
    table = table_with(leasable_job("j", *(f"i{number}" for number in range(100))))
    assert len(Proxy(table).request_leases(0.0, capacity=100, slots=100, live=500).granted) == 10


def test_a_proxy_that_knows_few_brokers_does_not_limit_the_others() -> None:
    assert lease_limit([100, 100, 10], 0) == lease_limit([100, 100], 0) == 95
    assert lease_limit([0, 0], 0) is None
    assert lease_limit([0, 100], 0) == 95


def test_items_are_spread_over_brokers_by_the_items_of_all_proxies() -> None:
    table = table_with(leasable_job("j", *(f"i{number}" for number in range(100))))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    brokers = {"a": 10, "b": 10, "c": 20}
    assert [grant.broker for grant in first.request_leases(0.0, 2, brokers=brokers).granted] == ["a", "b"]
    assert [grant.broker for grant in second.request_leases(0.0, 2, brokers=brokers).granted] == ["c", "a"]
    table.resolve(second.running[1], 0.1)
    assert [grant.broker for grant in second.request_leases(0.1, 1, brokers=brokers).granted] == ["c"]


def test_a_proxy_gets_one_item_for_a_broker_at_a_time_and_none_for_one_it_cannot_use() -> None:
    table = table_with(leasable_job("j", *(f"i{number}" for number in range(100))))
    proxy = Proxy(table)
    assert [grant.broker for grant in proxy.request_leases(0.0, 3, brokers={"a": 10, "b": 10}).granted] == [
        "a",
        "b",
        "",
    ]
    assert [grant.broker for grant in proxy.request_leases(0.1, 1, brokers={"b": 10}).granted] == ["b"]
    assert [grant.broker for grant in proxy.request_leases(0.2, 1).granted] == [""]
