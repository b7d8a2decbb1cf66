"""Tests items from lease to result over loopback, with an executor that the test controls."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
from batch_support import (
    ROUTE,
    TEST_TIMEOUT_S,
    Clock,
    ScriptedExecutor,
    Tier,
    configuration,
    job,
    settings,
)
from result import Ok

from cherrycove.tier.batch.execution import ItemOutcome, ItemState
from cherrycove.tier.batch.jobs.commands import item_result, results_command
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.store.job_capacity import JobCapacity
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb

BUDGET_S = 5.0
A, B, C = (ItemKey("j1", name) for name in "abc")


def completed(text: bytes) -> ItemOutcome:
    return ItemOutcome(ItemState.COMPLETED, text)


def run_scenario(scenario: Callable[[Tier], Awaitable[None]], **options: object) -> None:
    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S), Tier(**options) as tier:  # type: ignore[arg-type]
            await scenario(tier)

    asyncio.run(run())


async def submit(tier: Tier, *item_ids: str, job_id: str = "j1") -> None:
    assert isinstance(await tier.client.submit(job(job_id, *item_ids), BUDGET_S), Ok)


async def results(tier: Tier, count: int, job_id: str = "j1") -> list[tuple[str, bool, bytes]]:
    """Return the first ``count`` results once there are that many."""
    while True:
        request = pb.ReadRequest(job_id=job_id, cursor=count - 1, wait_ms=1000)
        answer = await tier.client.read(request, BUDGET_S)
        if isinstance(answer, Ok) and answer.ok_value.results:
            break
    answer = await tier.client.read(pb.ReadRequest(job_id=job_id), BUDGET_S)
    return [(entry.item_id, entry.completed, entry.text) for entry in answer.unwrap().results][:count]


async def start(
    tier: Tier, executor: ScriptedExecutor, name: str = "p1", clock: Clock | None = None
) -> BatchWorker:
    worker = tier.worker(executor, name, clock)
    await worker.start()
    return worker


def test_items_are_run_and_their_results_are_in_order_of_completion() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor(slots=2)
        await start(tier, executor)
        await submit(tier, "a", "b", "c")
        assert [await executor.next_started(), await executor.next_started()] == [A, B]
        lease = executor.leases[A]
        assert (lease.item.body, lease.item.path, dict(lease.item.headers)) == (
            b"prompt",
            "/jobs/a",
            {"Model": "m"},
        )
        assert (lease.route, lease.host, lease.max_attempts) == (ROUTE.name, ROUTE.hostname, 2)
        assert 0 < lease.due_in_ms <= 8000
        executor.finish(B, completed(b"text of b"))
        assert await executor.next_started() == C
        executor.finish(C, ItemOutcome(ItemState.DEAD_LETTERED, reason="unprocessable"))
        assert await results(tier, 2) == [("b", True, b"text of b"), ("c", False, b"unprocessable")]
        executor.finish(A, completed(b""))
        assert (await results(tier, 3))[2] == ("a", True, b"")

    run_scenario(scenario)


def test_ended_job_is_cancelled_and_sends_nothing_more() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a")
        await executor.next_started()
        may_send = executor.may_send[A]
        assert may_send()
        assert isinstance(await tier.client.end(pb.EndRequest(job_id="j1"), BUDGET_S), Ok)
        assert await executor.next_cancelled() == A
        assert not may_send()

    run_scenario(scenario)


def test_nothing_is_sent_on_a_lease_that_was_not_renewed() -> None:
    async def scenario(tier: Tier) -> None:
        clock = Clock()
        executor = ScriptedExecutor()
        await start(tier, executor, clock=clock)
        await submit(tier, "a")
        await executor.next_started()
        tier.cluster.set_primary(None)
        clock.now += 1.4
        assert executor.may_send[A]()
        clock.now += 0.2  # more than half of cancelMs (3000) has now passed since the last renewal
        assert not executor.may_send[A]()

    run_scenario(scenario)


def test_item_whose_route_was_removed_is_dead_lettered() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a")
        await executor.next_started()
        tier.cluster_view.configuration = configuration()
        assert not executor.may_send[A]()
        executor.finish(A, ItemOutcome(ItemState.RETURNED))
        assert await results(tier, 1) == [("a", False, b"route_removed")]

    run_scenario(scenario)


def test_returned_item_is_run_again_with_its_failure_count() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a")
        await executor.next_started()
        executor.finish(A, ItemOutcome(ItemState.RETURNED, failed_attempts=1))
        assert await executor.next_started() == A
        assert executor.leases[A].failed_attempts == 1

    run_scenario(scenario)


def test_failure_count_survives_the_proxy_that_reported_it() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        crashed, surviving = ScriptedExecutor(), ScriptedExecutor()
        worker = await start(tier, crashed, "p1")
        await submit(tier, "a")
        await crashed.next_started()
        await crashed.record_failures[A](1)
        await crashed.record_failures[A](1)  # a repeated report is counted once
        assert worker._loop_task is not None
        worker._loop_task.cancel()
        clock.now += 1.6
        await start(tier, surviving, "p2")
        assert await surviving.next_started() == A
        assert surviving.leases[A].failed_attempts == 1
        surviving.finish(A, completed(b"text"))
        await results(tier, 1)

    run_scenario(scenario, clock=clock)


def test_failure_count_survives_a_change_of_primary() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        first, second = ScriptedExecutor(), ScriptedExecutor()
        worker = await start(tier, first, "p1")
        await submit(tier, "a")
        await first.next_started()
        first.finish(A, ItemOutcome(ItemState.RETURNED, failed_attempts=1))
        assert await first.next_started() == A
        await first.record_failures[A](2)
        assert worker._loop_task is not None
        worker._loop_task.cancel()
        tier.set_primary(1, publish=True)
        clock.now += 1.6
        await start(tier, second, "p2")
        await submit(tier, "b", job_id="j2")
        clock.now += 1.6  # no proxy announced the item to the new primary
        while await second.next_started() != A:
            pass
        assert second.leases[A].failed_attempts == 2

    run_scenario(scenario, stores=2, clock=clock)


def test_a_failure_that_the_stores_could_not_record_is_reported_again() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor, "p1")
        await submit(tier, "a")
        await executor.next_started()
        group = tier.nodes[0].group
        group.refusal = Failure(ErrorKind.UNAVAILABLE, "the disk is full")
        before = len(group.proposals)
        report = asyncio.ensure_future(executor.record_failures[A](1))
        while len(group.proposals) < before + 2:
            await group.arrived.get()
        assert not report.done()
        group.refusal = None
        await report
        item = tier.nodes[0].state.item(A)
        assert item is not None and item.failed_attempts == 1

    run_scenario(scenario)


def test_exception_in_the_executor_returns_the_item() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a")
        await executor.next_started()
        executor.items[A].set_exception(ValueError("executor bug"))
        assert await executor.next_started() == A

    run_scenario(scenario)


def test_stopped_worker_returns_unfinished_items() -> None:
    async def scenario(tier: Tier) -> None:
        first, second = ScriptedExecutor(), ScriptedExecutor()
        worker = await start(tier, first, "p1")
        await submit(tier, "a", "b")
        await first.next_started()
        await first.next_started()
        first.finish(A, completed(b"text"))
        await worker.stop()
        assert worker.running == 0
        await start(tier, second, "p2")
        assert await second.next_started() == B
        second.finish(B, completed(b"text"))
        assert {name for name, _, _ in await results(tier, 2)} == {"a", "b"}

    run_scenario(scenario)


def test_items_of_a_crashed_proxy_are_run_by_another() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        crashed, surviving = ScriptedExecutor(), ScriptedExecutor()
        worker = await start(tier, crashed, "p1")
        await submit(tier, "a")
        await crashed.next_started()
        assert worker._loop_task is not None
        worker._loop_task.cancel()
        clock.now += 1.6
        await start(tier, surviving, "p2")
        assert await surviving.next_started() == A
        crashed.finish(A, completed(b"from the crashed proxy"))
        assert await results(tier, 1) == [("a", True, b"from the crashed proxy")]
        assert await surviving.next_cancelled() == A

    run_scenario(scenario, clock=clock)


def test_report_whose_reply_was_lost_is_recorded_once() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a", "b")
        await executor.next_started()
        await executor.next_started()
        tier.nodes[0].group.lost_replies = 1
        executor.finish(A, completed(b"text"))
        executor.finish(B, completed(b"text"))
        assert len(await results(tier, 2)) == 2
        assert tier.nodes[0].state.jobs["j1"].is_done

    run_scenario(scenario)


def test_reports_that_arrive_together_share_one_command() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor(slots=20)
        await start(tier, executor)
        names = [f"i{number}" for number in range(20)]
        await submit(tier, *names)
        keys = [await executor.next_started() for _ in names]
        group = tier.nodes[0].group
        group.gate = asyncio.Event()
        recorder = tier.nodes[0].store._handlers._recorder
        all_arrived = asyncio.Event()
        record = recorder.record
        arrived: list[object] = []

        async def counted(result: object) -> object:
            arrived.append(result)
            if len(arrived) == len(names):
                all_arrived.set()
            return await record(result)  # type: ignore[arg-type]

        recorder.record = counted  # type: ignore[method-assign, assignment]
        for key in keys:
            executor.finish(key, completed(b"text"))
        await all_arrived.wait()
        group.gate.set()
        assert len(await results(tier, 20)) == 20
        assert len(group.proposals) == 3  # the job, the first result, all others

    run_scenario(scenario)


def test_completed_text_survives_a_change_of_primary() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a", "b", "c")
        for key in (A, B, C):
            assert await executor.next_started() == key
        executor.finish(A, completed(b"before"))
        assert await results(tier, 1) == [("a", True, b"before")]
        tier.cluster.set_primary(None)
        executor.finish(B, completed(b"between"))
        tier.set_primary(1)
        assert await results(tier, 2) == [("a", True, b"before"), ("b", True, b"between")]
        executor.finish(C, completed(b"after"))
        assert (await results(tier, 3))[2] == ("c", True, b"after")
        assert executor.started.empty()
        assert tier.nodes[0].state.snapshot() == tier.nodes[1].state.snapshot()

    run_scenario(scenario, stores=2)


def test_new_primary_leases_items_that_no_proxy_announces() -> None:
    async def scenario(tier: Tier) -> None:
        crashed, surviving = ScriptedExecutor(slots=1), ScriptedExecutor(slots=1)
        worker = await start(tier, crashed, "p1")
        await submit(tier, "a")
        await crashed.next_started()
        assert worker._loop_task is not None
        worker._loop_task.cancel()
        tier.set_primary(1)
        await start(tier, surviving, "p2")
        assert await surviving.next_started() == A
        surviving.finish(A, completed(b"text"))
        assert await results(tier, 1) == [("a", True, b"text")]

    run_scenario(scenario, stores=2)


def test_report_pending_at_a_deposed_primary_reaches_the_next_one() -> None:
    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor()
        await start(tier, executor)
        await submit(tier, "a")
        await executor.next_started()
        first = tier.nodes[0].group
        first.gate = asyncio.Event()
        await first.arrived.get()
        executor.finish(A, completed(b"text"))
        await first.arrived.get()  # the report is waiting in the group
        tier.set_primary(1)
        first.gate.set()
        assert await results(tier, 1) == [("a", True, b"text")]

    run_scenario(scenario, stores=2)


def test_items_past_retention_are_dead_lettered_by_the_primary() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        executor = ScriptedExecutor(slots=1)
        await start(tier, executor)
        await submit(tier, "a", "b")
        await executor.next_started()
        clock.now += 40.0
        await tier.nodes[0].store.maintain_once()
        assert tier.nodes[0].state.jobs["j1"].results == []
        clock.now += 1.0
        await tier.nodes[0].store.maintain_once()
        assert {(name, done, text) for name, done, text in await results(tier, 2)} == {
            ("a", False, b"expired"),
            ("b", False, b"expired"),
        }
        assert await executor.next_cancelled() == A

    run_scenario(scenario, clock=clock)


def test_waiting_items_whose_route_was_removed_are_dead_lettered() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        node = tier.nodes[0]
        executor = ScriptedExecutor(slots=1)
        await start(tier, executor, "p1")
        versions = {"older": 3, "newer": 5, "unknown": 0}
        for job_id, version in versions.items():
            request = job(job_id, "a", "b")
            request.configuration_version = version
            assert isinstance(await tier.client.submit(request, BUDGET_S), Ok)
        running = await executor.next_started()
        other = attrs.evolve(ROUTE, name="r-other")
        tier.cluster_view.configuration = attrs.evolve(configuration(other), version=4)
        await node.store.maintain_once()
        result_counts = {name: len(each.results) for name, each in node.state.jobs.items()}
        expected = 1 if running.job_id == "older" else 2
        assert result_counts == {"older": expected, "newer": 0, "unknown": 0}
        (entry, *_) = node.state.jobs["older"].results
        assert (entry.completed, entry.text) == (False, b"route_removed")
        tier.cluster_view.configuration = None
        await node.store.maintain_once()
        executor.finish(running, completed(b"text"))

    run_scenario(scenario, clock=clock)


def test_old_jobs_are_forgotten_only_if_ended_or_if_capacity_is_short() -> None:
    clock = Clock()

    async def scenario(tier: Tier) -> None:
        node = tier.nodes[0]
        for job_id in ("ended", "complete", "open"):
            await submit(tier, "a", job_id=job_id)
        await tier.client.end(pb.EndRequest(job_id="ended"), BUDGET_S)
        large = item_result(ItemKey("complete", "a"), random.randbytes(100_000), completed=True)
        tier.cluster.commit(node.group, results_command([large]))
        clock.now += 121.0
        await node.store._maintenance.forget_old_jobs(clock.now)
        assert set(node.state.jobs) == {"ended", "complete", "open"}
        clock.now += 2.0
        await node.store._maintenance.forget_old_jobs(clock.now)
        assert set(node.state.jobs) == {"complete", "open"}
        small = settings(tier.port, node.ip, memory_mb=1.0)
        node.store._maintenance._capacity = JobCapacity.of(small.limits, small.bounds.catch_up_s)
        await node.store._maintenance.forget_old_jobs(clock.now)
        assert set(node.state.jobs) == {"open"}

    run_scenario(scenario, clock=clock)


def test_idle_worker_stops_at_once() -> None:
    async def scenario(tier: Tier) -> None:
        for _ in range(5):
            worker = tier.worker(ScriptedExecutor())
            await worker.start()
            idle = asyncio.Event()
            pause = worker._pause

            async def observed(
                pause: Callable[[], Awaitable[None]] = pause, idle: asyncio.Event = idle
            ) -> None:
                asyncio.get_running_loop().call_soon(idle.set)
                await pause()

            worker._pause = observed  # type: ignore[method-assign]
            await idle.wait()
            await worker.stop()
            assert worker._loop_task is not None and worker._loop_task.cancelled()

    run_scenario(scenario)
