"""Tests items that fail at each run, with stores, proxies and model brokers on loopback."""

from __future__ import annotations

import asyncio

import pytest
from batch_support import TEST_TIMEOUT_S, Clock, Tier, job
from dataplane_harness import DataPlaneHarness, configuration_bytes, route
from result import Ok

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from examples.toy_broker import Received, ToyBroker, Wire

KEY = ItemKey("j1", "a")
ROUTE = route("r-batch", "/jobs/", "batch", timeoutMs=60_000, completionTargetMs=8000, retentionS=60)
MAX_ATTEMPTS = 2  # max_attempts of the job


def crash(worker: BatchWorker) -> None:
    """Cancel all tasks of the worker at once, so that it reports nothing more."""
    runs = [task for run in worker._runs.active() for task in (run.task, run.execution)]
    for task in [worker._loop_task, *runs]:
        assert task is not None
        task.cancel()


@pytest.mark.parametrize(("status", "reason", "expected_requests"), [
    ("500 Internal Server Error", b"attempts", MAX_ATTEMPTS),
    ("422 Unprocessable Entity", b"unprocessable", 1),
])  # fmt: skip
def test_a_failing_item_is_dead_lettered_after_its_attempts(
    status: str, reason: bytes, expected_requests: int
) -> None:
    async def always_fail(wire: Wire, request: Received) -> None:
        await wire.answer(request, b"why", status)

    async def scenario() -> None:
        broker = ToyBroker(script=always_fail)
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            Tier() as tier,
            DataPlaneHarness([broker], configuration_bytes([ROUTE]), tier.cluster_view) as world,
        ):
            await tier.worker(world.data_plane.executor).start()
            assert isinstance(await tier.client.submit(job("j1", "a"), TEST_TIMEOUT_S), Ok)
            results = tier.nodes[0].state.jobs["j1"].results
            while not results:
                await tier.nodes[0].group.arrived.get()
                await asyncio.sleep(0)
            assert [(each.completed, each.text) for each in results] == [(False, reason)]
            assert len(broker.received) == expected_requests

    asyncio.run(scenario())


def test_attempts_are_counted_across_proxy_crashes() -> None:
    clock = Clock()

    async def always_fail(wire: Wire, request: Received) -> None:
        await wire.answer(request, b"why", "500 Internal Server Error")

    async def scenario() -> None:
        broker = ToyBroker(script=always_fail)
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            Tier(clock=clock) as tier,
            DataPlaneHarness([broker], configuration_bytes([ROUTE]), tier.cluster_view) as world,
        ):
            request = job("j1", "a")
            request.max_attempts = 4
            state, results = tier.nodes[0].state, []
            for number in range(1, 5):
                worker = tier.worker(world.data_plane.executor, f"p{number}", clock)
                await worker.start()
                if number == 1:
                    assert isinstance(await tier.client.submit(request, TEST_TIMEOUT_S), Ok)
                    results = state.jobs["j1"].results
                while (item := state.item(KEY)) and item.failed_attempts < number and not results:
                    await asyncio.sleep(0)
                crash(worker)
                clock.now += 1.6  # the crashed worker's leases have expired
            while not results:
                await asyncio.sleep(0)
            assert [(each.completed, each.text) for each in results] == [(False, b"attempts")]
            assert len(broker.received) == 4

    asyncio.run(scenario())
