"""The lease table, driven step by step with a clock of the test."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.grant_policy import lease_limit
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import LeasableJob, LeaseCall, LeaseDecision, LeaseTimes

TIMES = LeaseTimes(lease_s=1.5, grace_s=1.0)
LONG = 1000.0


def terms(
    job_id: str, *item_ids: str, due: float = 50.0, route: str = "r", retained: float = LONG
) -> LeasableJob:
    return LeasableJob(job_id, route, due, retained, item_ids)


def keys(job_id: str, *item_ids: str) -> list[ItemKey]:
    return [ItemKey(job_id, item_id) for item_id in item_ids]


class Proxy:
    """Asks with rising sequence numbers, and runs all that it is granted."""

    def __init__(self, table: LeaseTable, name: str = "p1", life: str = "1") -> None:
        self.table, self.name, self.life, self.sequence = table, name, f"{name}/{life}", 0
        self.running: list[ItemKey] = []

    def ask(
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
            self.call(self.sequence, capacity, routes),
            broker_slots=slots,
            live_requests=live,
            usable_brokers=brokers or {},
        )
        decision = self.table.exchange(call, now)
        self.running = [key for key in self.running if key not in decision.revoked]
        self.running += [grant.key for grant in decision.granted]
        return decision

    def call(self, sequence: int, capacity: int = 0, routes: Sequence[str] = ("r",)) -> LeaseCall:
        return LeaseCall(self.name, self.life, sequence, tuple(self.running), capacity, frozenset(routes))

    def granted(self, now: float, capacity: int = 100, routes: Sequence[str] = ("r",)) -> list[ItemKey]:
        return [grant.key for grant in self.ask(now, capacity, routes).granted]


def table_with(*jobs: LeasableJob, now: float = 0.0) -> LeaseTable:
    table = LeaseTable(1, now, TIMES)
    for job in jobs:
        table.add_job(job, from_earlier_epoch=False)
    return table


def test_earliest_target_comes_first_and_capacity_bounds() -> None:
    table = table_with(terms("late", "a", "b", due=60.0), terms("early", "a", "b", due=40.0))
    proxy = Proxy(table)
    assert proxy.granted(0.0, capacity=3) == [*keys("early", "a", "b"), *keys("late", "a")]
    assert proxy.ask(0.1).waiting == 1
    assert proxy.granted(0.2) == keys("late", "b")
    assert proxy.granted(0.3) == []


def test_items_past_their_target_yield_but_are_not_starved() -> None:
    overdue = terms("overdue", "x", "y", due=1.0)
    table = table_with(overdue, terms("j", *"abcdef", due=40.0))
    granted = Proxy(table).granted(5.0)
    assert [key.item_id for key in granted] == ["a", "b", "c", "x", "d", "e", "f", "y"]


def test_work_is_shared_among_proxies_with_room() -> None:
    table = table_with(terms("j", *"abcdef"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    second.ask(0.0, capacity=0)
    table.exchange(second.call(2, capacity=5, routes=()), 0.0)
    assert len(first.granted(0.1)) == 3
    second.sequence = 2
    assert len(second.granted(0.2)) == 2


def test_only_items_of_the_callers_routes() -> None:
    table = table_with(terms("j", "a", route="other"), terms("k", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("k", "a")
    assert proxy.granted(0.1, routes=()) == []
    assert proxy.granted(0.2, routes=("r", "other")) == keys("j", "a")


def test_lease_that_is_not_renewed_is_free_again() -> None:
    table = table_with(terms("j", "a"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    assert first.granted(0.0) == keys("j", "a")
    first.ask(1.0)
    assert second.granted(2.4) == []
    assert second.granted(2.6) == keys("j", "a")
    assert first.ask(2.7).revoked == keys("j", "a")


def test_proxy_that_was_away_keeps_what_nobody_else_took() -> None:
    table = table_with(terms("j", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("j", "a")
    decision = proxy.ask(9.0)
    assert (decision.revoked, decision.waiting) == ([], 0)


def test_item_that_the_holder_does_not_announce_is_free_at_once() -> None:
    table = table_with(terms("j", "a"))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("j", "a")
    proxy.running.clear()  # the answer with the lease never came
    assert proxy.granted(0.3) == keys("j", "a")


def test_request_that_was_overtaken_changes_nothing() -> None:
    table = table_with(terms("j", "a"))
    proxy = Proxy(table)
    delayed = proxy.call(1, capacity=5)
    proxy.sequence = 1
    assert proxy.granted(0.0) == keys("j", "a")
    assert table.exchange(delayed, 0.1) == LeaseDecision()
    assert proxy.ask(0.2).revoked == []
    assert Proxy(table, "p2").granted(0.3) == []


def test_new_process_of_a_proxy_frees_what_the_old_one_held() -> None:
    table = table_with(terms("j", "a"))
    old, new = Proxy(table, "p1", "old"), Proxy(table, "p1", "new")
    assert old.granted(0.0) == keys("j", "a")
    assert new.granted(0.1) == keys("j", "a")
    old.running.clear()
    assert old.granted(0.2) == []
    assert new.ask(0.3).revoked == []


def test_a_late_request_of_an_earlier_process_does_not_shut_the_proxy_out() -> None:
    """A request that a cut held up comes after the proxy was started again and has asked already."""
    table = table_with(terms("j", "a"), terms("k", "a"))
    old, new = Proxy(table, "p1", "old"), Proxy(table, "p1", "new")
    assert new.granted(0.0, capacity=1) == keys("j", "a")
    assert old.granted(0.1, capacity=0) == []
    assert new.granted(0.2) == []
    assert new.granted(0.1 + TIMES.lease_s) == keys("k", "a")
    assert old.granted(0.2 + TIMES.lease_s) == []


def test_items_of_an_earlier_term_wait_for_announcements() -> None:
    table = LeaseTable(2, 10.0, TIMES)
    table.add_job(terms("before", "a", "b"), from_earlier_epoch=True)
    table.add_job(terms("now", "a"), from_earlier_epoch=False)
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    first.running = keys("before", "a")
    assert second.granted(10.1) == keys("now", "a")
    assert first.ask(10.3).revoked == []
    assert second.granted(10.9) == []
    assert second.granted(11.0) == keys("before", "b")
    second.running += keys("before", "a")
    assert second.ask(11.1).revoked == keys("before", "a")


def test_items_that_can_no_longer_be_in_time_wait_behind_those_that_can() -> None:
    table = table_with(terms("known", "a", due=50.0))
    proxy = Proxy(table)
    assert proxy.granted(0.0) == keys("known", "a")
    table.resolve(ItemKey("known", "a"), 2.0)
    proxy.running.clear()
    table.add_job(terms("hopeless", *"abcd", due=11.5), from_earlier_epoch=False)
    table.add_job(terms("hopeful", *"abcd", due=12.5), from_earlier_epoch=False)
    assert proxy.granted(10.0, capacity=4) == [
        *keys("hopeful", "a", "b"),
        *keys("hopeless", "a"),
        *keys("hopeful", "c"),
    ]


def test_ended_and_unknown_jobs_and_items_with_result_are_revoked() -> None:
    table = table_with(terms("j", "a", "b"), terms("k", "a"))
    proxy = Proxy(table)
    assert len(proxy.granted(0.0)) == 3
    table.remove_job("j")
    table.resolve(ItemKey("k", "a"))
    proxy.running += keys("unknown", "a")
    assert set(proxy.ask(0.1).revoked) == {*keys("j", "a", "b"), *keys("k", "a"), *keys("unknown", "a")}
    assert proxy.granted(0.2) == []


def test_given_back_items_keep_the_highest_count_of_failures() -> None:
    table = table_with(terms("j", "a"))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    assert first.granted(0.0) == keys("j", "a")
    table.release(first.life, ItemKey("j", "a"), 2)
    first.running.clear()
    grant = second.ask(0.1, capacity=1).granted[0]
    assert (grant.key, grant.failed_attempts) == (ItemKey("j", "a"), 2)
    table.release(first.life, ItemKey("j", "a"), 1)  # a late report of one that no longer holds it
    assert second.ask(0.2).revoked == []
    table.release(second.life, ItemKey("j", "a"), 1)
    second.running.clear()
    assert second.ask(0.3, capacity=1).granted[0].failed_attempts == 2


def test_retention_counts_leased_and_waiting_items() -> None:
    table = table_with(terms("j", "a", "b", retained=20.0), terms("k", "a", retained=30.0))
    Proxy(table).granted(0.0, capacity=1)
    assert table.past_retention(19.9) == []
    assert set(table.past_retention(20.0)) == set(keys("j", "a", "b"))


def test_waiting_count_stays_right_over_a_long_run() -> None:
    table = table_with(*(terms(f"j{number}", *"abc", due=10.0 + number) for number in range(5)))
    proxies = [Proxy(table, f"p{number}") for number in range(3)]
    now = 0.0
    resolved: set[ItemKey] = set()
    for step in range(200):
        now += 0.1
        proxy = proxies[step % 3]
        if step % 7 == 0:
            now += 1.6
        decision = proxy.ask(now, capacity=step % 4)
        if step % 5 == 0 and proxy.running:
            resolved.add(proxy.running.pop())
            for key in resolved:
                table.resolve(key)
        unfinished = table.past_retention(LONG)
        assert len(set(unfinished)) == len(unfinished) == 15 - len(resolved)
        assert 0 <= decision.waiting <= 15 - len(resolved)


def test_all_proxies_together_hold_no_more_items_than_live_requests_leave_slots_for() -> None:
    items = [f"i{number}" for number in range(100)]
    table = table_with(terms("j", *items))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    second.ask(0.0, capacity=0, slots=100, live=40)
    granted = first.ask(0.0, capacity=100, slots=100, live=10).granted
    assert len(granted) == 95 - 50
    assert list(second.ask(0.1, capacity=100, slots=100, live=40).granted) == []
    table.resolve(first.running.pop(), 0.2)
    assert len(second.ask(0.2, capacity=100, slots=100, live=40).granted) == 1
    first.ask(0.3, capacity=0, slots=100, live=10)
    assert len(second.ask(0.3, capacity=100, slots=100, live=0).granted) == 40


def test_items_run_on_however_many_live_requests_there_are() -> None:
    table = table_with(terms("j", *(f"i{number}" for number in range(100))))
    assert len(Proxy(table).ask(0.0, capacity=100, slots=100, live=500).granted) == 10


def test_a_proxy_that_knows_few_brokers_does_not_bound_the_others() -> None:
    assert lease_limit([100, 100, 10], 0) == lease_limit([100, 100], 0) == 95
    assert lease_limit([0, 0], 0) is None
    assert lease_limit([0, 100], 0) == 95


def test_items_are_spread_over_the_brokers_by_what_all_proxies_run_there() -> None:
    table = table_with(terms("j", *(f"i{number}" for number in range(100))))
    first, second = Proxy(table, "p1"), Proxy(table, "p2")
    brokers = {"a": 10, "b": 10, "c": 20}
    assert [grant.broker for grant in first.ask(0.0, 2, brokers=brokers).granted] == ["a", "b"]
    assert [grant.broker for grant in second.ask(0.0, 2, brokers=brokers).granted] == ["c", "a"]
    table.resolve(second.running[1], 0.1)
    assert [grant.broker for grant in second.ask(0.1, 1, brokers=brokers).granted] == ["c"]


def test_a_proxy_gets_one_item_for_a_broker_at_a_time_and_none_for_one_it_cannot_use() -> None:
    table = table_with(terms("j", *(f"i{number}" for number in range(100))))
    proxy = Proxy(table)
    assert [grant.broker for grant in proxy.ask(0.0, 3, brokers={"a": 10, "b": 10}).granted] == ["a", "b", ""]
    assert [grant.broker for grant in proxy.ask(0.1, 1, brokers={"b": 10}).granted] == ["b"]
    assert [grant.broker for grant in proxy.ask(0.2, 1).granted] == [""]
