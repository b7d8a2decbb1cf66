"""Tests that a store accepts all jobs under sustained load, and that a full store soon accepts jobs again.

The disk is a real one with the limits of production deployments; proposals are applied at once.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import attrs
import pytest
from full_store import ITEMS, RUN_S, ReplicaDisk, StoreSimulation

from cherrycove.tier.batch.store import capacity_forecast, job_capacity
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.replication.group import USABLE_DISK_SHARE
from cherrycove.tier.settings import ProcessLimits
from cherrycove.tier.storage.block_packs import MAX_PACKS

JOBS_PER_S = 3.53
LOAD_S = 110.0
BURST_AT_S = 50.0
BURST_S = 3.0
BURST_FACTOR = 6.0
FILL_JOBS_PER_S = 12.0
MAX_JOBS = 1300
STATUS_S = 120.0
SMALL = ProcessLimits(memory_mb=310.0, disk_mb=40.0, link_mbps=120.0)
GROWN = ProcessLimits(memory_mb=330.0, disk_mb=69.0, link_mbps=120.0)
LARGER = ProcessLimits(memory_mb=320.0, disk_mb=110.0, link_mbps=600.0)
MACHINES = {"40 MB": SMALL, "69 MB": GROWN, "110 MB": LARGER}


@pytest.fixture(autouse=True)
def no_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable fsync, which only takes time here. ``test_storage_crashes.py`` tests losses of power."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)


def simulation_on_disk(limits: ProcessLimits, directory: Path) -> StoreSimulation:
    return StoreSimulation(limits, disk=ReplicaDisk(directory, limits.disk_mb))


async def submit_load(simulation: StoreSimulation, seconds: float, jobs_per_s: float = JOBS_PER_S) -> None:
    """Submit jobs at a constant rate with a burst in the middle."""
    elapsed_s = 0.0
    while elapsed_s < seconds:
        is_burst = BURST_AT_S <= elapsed_s < BURST_AT_S + BURST_S
        pause_s = 1.0 / (jobs_per_s * (BURST_FACTOR if is_burst else 1.0))
        await simulation.submit()
        await simulation.advance(pause_s)
        elapsed_s += pause_s


async def fill(simulation: StoreSimulation) -> None:
    """Submit jobs until one is refused, faster than the first ones may be forgotten."""
    for _ in range(MAX_JOBS):
        if not await simulation.submit():
            return
        await simulation.advance(1.0 / FILL_JOBS_PER_S)
    pytest.fail("no job was refused")


def assert_within_limit(disk: ReplicaDisk) -> None:
    """Check the peak disk use. Above this limit the group refuses all commands, including results."""
    assert disk.snapshots > 10
    assert disk.peak_bytes <= disk.limit_bytes * USABLE_DISK_SHARE


@pytest.mark.parametrize("limits", [GROWN, LARGER], ids=["69 MB", "110 MB"])
def test_no_job_is_refused_under_sustained_load(limits: ProcessLimits, tmp_path: Path) -> None:
    """Finished jobs once kept the space of their bodies and results until 150 s were over."""

    async def scenario() -> None:
        simulation = simulation_on_disk(limits, tmp_path / "replica")
        await submit_load(simulation, LOAD_S)
        assert len(simulation.accepted) > JOBS_PER_S * LOAD_S
        assert not simulation.refused
        assert simulation.disk is not None
        assert_within_limit(simulation.disk)

    asyncio.run(scenario())


@pytest.mark.parametrize("disk_mb", MACHINES)
def test_a_full_store_stays_within_its_disk_limit_and_keeps_accepted_jobs(
    disk_mb: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        simulation = simulation_on_disk(MACHINES[disk_mb], tmp_path / "replica")
        disk = simulation.disk
        assert disk is not None
        await fill(simulation)
        await simulation.advance(RUN_S)
        assert_within_limit(disk)
        assert len(simulation.accepted) > 100
        for job_id in simulation.accepted[:: len(simulation.accepted) // 20]:
            results = await simulation.read(job_id)
            assert [name for name, _ in results] == [f"{job_id}-{number:03d}" for number in range(ITEMS)]
            assert all(text.startswith(b"7.111.0.") for _, text in results)

    asyncio.run(scenario())


def test_a_full_store_accepts_a_job_after_the_advised_retry_time(tmp_path: Path) -> None:
    """Capacity is released in part as open jobs finish, and fully once the first jobs may be forgotten."""

    async def scenario() -> None:
        simulation = simulation_on_disk(SMALL, tmp_path / "replica")
        await fill(simulation)
        waits_s = []
        for _ in range(40):
            wait_s = simulation.refused[-1].advised_retry_after_s
            assert wait_s is not None
            waits_s.append(wait_s)
            await simulation.advance(wait_s)
            refused = len(simulation.refused)
            assert await simulation.submit(), f"still full after {waits_s}"
            for _ in range(MAX_JOBS):
                if not await simulation.submit():
                    break
            assert len(simulation.refused) == refused + 1
        assert min(waits_s) < RUN_S * 2
        assert max(waits_s) <= capacity_forecast.MAX_RETRY_AFTER_S

    asyncio.run(scenario())


def test_a_full_store_recovers_its_state_after_a_loss_of_power(tmp_path: Path) -> None:
    async def scenario() -> None:
        simulation = simulation_on_disk(GROWN, tmp_path / "replica")
        await fill(simulation)
        assert simulation.disk is not None
        found = simulation.disk.lose_power()
        assert found.jobs == simulation.state.jobs
        assert found.usage == simulation.state.usage
        assert found.snapshot() == simulation.state.snapshot()
        again = simulation.disk.lose_power()
        assert again.jobs == found.jobs

    asyncio.run(scenario())


def test_an_emptied_member_of_a_full_group_receives_the_whole_state(tmp_path: Path) -> None:
    """Blocks are sent in their stored form: uncompressed they would not fit next to a second snapshot."""

    async def scenario() -> None:
        simulation = simulation_on_disk(GROWN, tmp_path / "replica")
        await fill(simulation)
        assert simulation.disk is not None
        emptied = ReplicaDisk(tmp_path / "emptied", GROWN.disk_mb)
        received = simulation.disk.send_to(emptied)
        assert received.jobs == simulation.state.jobs
        assert received.snapshot() == simulation.state.snapshot()
        emptied.index = simulation.disk.index
        emptied.save(received)  # the blocks are already stored, so only mutable data is written
        assert_within_limit(simulation.disk)
        assert emptied.peak_bytes <= emptied.limit_bytes * USABLE_DISK_SHARE

    asyncio.run(scenario())


def test_a_store_runs_for_ten_minutes_within_its_disk_limit(tmp_path: Path) -> None:
    """Jobs are forgotten and replaced by new ones many times."""

    async def scenario() -> None:
        simulation = simulation_on_disk(SMALL, tmp_path / "replica")
        disk = simulation.disk
        assert disk is not None
        elapsed_s = 0.0
        while elapsed_s < 600.0:
            if await simulation.submit() and elapsed_s > STATUS_S and len(simulation.accepted) % 3 == 0:
                await simulation.call(batch_methods.END, pb.EndRequest(job_id=simulation.accepted[-60]))
            await simulation.advance(1.0)
            elapsed_s += 1.0
        assert len(simulation.accepted) > 400
        assert len(simulation.state.jobs) < 200
        assert disk.peak_bytes <= disk.limit_bytes * USABLE_DISK_SHARE
        assert len(list(disk.directory.glob("blocks-*"))) <= MAX_PACKS + 1
        assert disk.lose_power().jobs == simulation.state.jobs

    asyncio.run(scenario())


def test_a_job_that_can_never_fit_is_refused_with_the_longest_retry_time() -> None:
    async def scenario() -> None:
        simulation = StoreSimulation(attrs.evolve(SMALL, disk_mb=2.0))
        assert not await simulation.submit(items=200)
        assert simulation.refused[0].advised_retry_after_s == capacity_forecast.MAX_RETRY_AFTER_S

    asyncio.run(scenario())


@pytest.mark.parametrize("bound", ["disk_bytes", "memory_bytes", "sent_bytes"])
def test_each_bound_of_the_capacity_refuses(bound: str) -> None:
    async def scenario() -> None:
        simulation = StoreSimulation(LARGER)
        for _ in range(5):
            assert await simulation.submit()
        demand = job_capacity.demand_of(simulation.state)
        wide = job_capacity.JobCapacity(float("inf"), float("inf"), float("inf"))
        assert wide.excess_bytes(demand) == 0
        needed = getattr(demand, bound)
        assert attrs.evolve(wide, **{bound: needed}).excess_bytes(demand) == 0
        assert attrs.evolve(wide, **{bound: needed - 10}).excess_bytes(demand) == pytest.approx(10)

    asyncio.run(scenario())
