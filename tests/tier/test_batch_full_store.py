"""A store takes the jobs of a long day, and when it is full it accepts again as soon as it can.

The disk is a real one with the limit of the deployments in service; the proposals are applied at once.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import attrs
import pytest
from full_store import ITEMS, RUN_S, ReplicaDisk, StoreDay

from cherrycove.tier.batch.store import job_capacity, room_forecast
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.replication.group import USABLE_DISK_SHARE
from cherrycove.tier.settings import ProcessLimits
from cherrycove.tier.storage.block_packs import MAX_PACKS

JOBS_PER_S = 3.53
DAY_S = 110.0
BURST_AT_S = 50.0
BURST_S = 3.0
BURST_FACTOR = 6.0
FILL_JOBS_PER_S = 12.0
MOST_JOBS = 1300
STATUS_S = 120.0
SMALL = ProcessLimits(memory_mb=310.0, disk_mb=40.0, link_mbps=120.0)
GROWN = ProcessLimits(memory_mb=330.0, disk_mb=69.0, link_mbps=120.0)
LARGER = ProcessLimits(memory_mb=320.0, disk_mb=110.0, link_mbps=600.0)
MACHINES = {"40 MB": SMALL, "69 MB": GROWN, "110 MB": LARGER}


@pytest.fixture(autouse=True)
def no_syncs(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sync shows only after a loss of power (``test_storage_crashes.py``); here it only takes time."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)


def day_on_disk(limits: ProcessLimits, directory: Path) -> StoreDay:
    return StoreDay(limits, disk=ReplicaDisk(directory, limits.disk_mb))


async def play(day: StoreDay, seconds: float, jobs_per_s: float = JOBS_PER_S) -> None:
    """Jobs at an even rate, with a burst in the middle."""
    elapsed_s = 0.0
    while elapsed_s < seconds:
        is_burst = BURST_AT_S <= elapsed_s < BURST_AT_S + BURST_S
        pause_s = 1.0 / (jobs_per_s * (BURST_FACTOR if is_burst else 1.0))
        await day.submit()
        await day.advance(pause_s)
        elapsed_s += pause_s


async def fill(day: StoreDay) -> None:
    """Submit faster than the first jobs may be forgotten, until a job is refused."""
    for _ in range(MOST_JOBS):
        if not await day.submit():
            return
        await day.advance(1.0 / FILL_JOBS_PER_S)
    pytest.fail("no job was refused")


def assert_within_limit(disk: ReplicaDisk) -> None:
    """The group refuses all commands above this share, results among them."""
    assert disk.snapshots > 10
    assert disk.peak_bytes <= disk.limit_bytes * USABLE_DISK_SHARE


@pytest.mark.parametrize("limits", [GROWN, LARGER], ids=["69 MB", "110 MB"])
def test_no_job_of_a_long_day_is_refused(limits: ProcessLimits, tmp_path: Path) -> None:
    """Jobs that were done kept the room of their bodies and results until 150 s were over."""

    async def story() -> None:
        day = day_on_disk(limits, tmp_path / "replica")
        await play(day, DAY_S)
        assert len(day.accepted) > JOBS_PER_S * DAY_S
        assert not day.refused
        assert day.disk is not None
        assert_within_limit(day.disk)

    asyncio.run(story())


@pytest.mark.parametrize("disk_mb", MACHINES)
def test_a_full_store_stays_within_its_disk_and_keeps_what_it_accepted(disk_mb: str, tmp_path: Path) -> None:
    async def story() -> None:
        day = day_on_disk(MACHINES[disk_mb], tmp_path / "replica")
        disk = day.disk
        assert disk is not None
        await fill(day)
        await day.advance(RUN_S)
        assert_within_limit(disk)
        assert len(day.accepted) > 100
        for job_id in day.accepted[:: len(day.accepted) // 20]:
            results = await day.read(job_id)
            assert [name for name, _ in results] == [f"{job_id}-{number:03d}" for number in range(ITEMS)]
            assert all(text.startswith(b"7.111.0.") for _, text in results)

    asyncio.run(story())


def test_a_full_store_accepts_again_when_it_said_it_would(tmp_path: Path) -> None:
    """Room comes back as open jobs are done, and for good as the first jobs may be forgotten."""

    async def story() -> None:
        day = day_on_disk(SMALL, tmp_path / "replica")
        await fill(day)
        waits_s = []
        for _ in range(40):
            wait_s = day.refused[-1].advised_retry_after_s
            assert wait_s is not None
            waits_s.append(wait_s)
            await day.advance(wait_s)
            refused = len(day.refused)
            assert await day.submit(), f"still full after {waits_s}"
            for _ in range(MOST_JOBS):
                if not await day.submit():
                    break
            assert len(day.refused) == refused + 1
        assert min(waits_s) < RUN_S * 2
        assert max(waits_s) <= room_forecast.MAX_RETRY_AFTER_S

    asyncio.run(story())


def test_a_full_store_is_the_same_after_a_loss_of_power(tmp_path: Path) -> None:
    async def story() -> None:
        day = day_on_disk(GROWN, tmp_path / "replica")
        await fill(day)
        assert day.disk is not None
        found = day.disk.lose_power()
        assert found.jobs == day.state.jobs
        assert found.usage == day.state.usage
        assert found.snapshot() == day.state.snapshot()
        again = day.disk.lose_power()
        assert again.jobs == found.jobs

    asyncio.run(story())


def test_an_emptied_member_of_a_full_group_gets_all_of_it(tmp_path: Path) -> None:
    """It receives blocks as they are stored: their plain form would not fit beside a second snapshot."""

    async def story() -> None:
        day = day_on_disk(GROWN, tmp_path / "replica")
        await fill(day)
        assert day.disk is not None
        emptied = ReplicaDisk(tmp_path / "emptied", GROWN.disk_mb)
        received = day.disk.send_to(emptied)
        assert received.jobs == day.state.jobs
        assert received.snapshot() == day.state.snapshot()
        emptied.index = day.disk.index
        emptied.save(received)  # the blocks are known to be stored: just what may change is written
        assert_within_limit(day.disk)
        assert emptied.peak_bytes <= emptied.limit_bytes * USABLE_DISK_SHARE

    asyncio.run(story())


def test_a_store_lives_on_for_ten_minutes_within_its_disk(tmp_path: Path) -> None:
    """Jobs are forgotten and others take their room, many times over."""

    async def story() -> None:
        day = day_on_disk(SMALL, tmp_path / "replica")
        disk = day.disk
        assert disk is not None
        elapsed_s = 0.0
        while elapsed_s < 600.0:
            if await day.submit() and elapsed_s > STATUS_S and len(day.accepted) % 3 == 0:
                await day.call(batch_methods.END, pb.EndRequest(job_id=day.accepted[-60]))
            await day.advance(1.0)
            elapsed_s += 1.0
        assert len(day.accepted) > 400
        assert len(day.state.jobs) < 200
        assert disk.peak_bytes <= disk.limit_bytes * USABLE_DISK_SHARE
        assert len(list(disk.directory.glob("blocks-*"))) <= MAX_PACKS + 1
        assert disk.lose_power().jobs == day.state.jobs

    asyncio.run(story())


def test_a_job_that_can_never_fit_is_refused_for_as_long_as_may_be() -> None:
    async def story() -> None:
        day = StoreDay(attrs.evolve(SMALL, disk_mb=2.0))
        assert not await day.submit(items=200)
        assert day.refused[0].advised_retry_after_s == room_forecast.MAX_RETRY_AFTER_S

    asyncio.run(story())


@pytest.mark.parametrize("bound", ["disk_bytes", "memory_bytes", "sent_bytes"])
def test_each_bound_of_the_capacity_refuses(bound: str) -> None:
    async def story() -> None:
        day = StoreDay(LARGER)
        for _ in range(5):
            assert await day.submit()
        demand = job_capacity.demand_of(day.state)
        wide = job_capacity.JobCapacity(float("inf"), float("inf"), float("inf"))
        assert wide.excess_bytes(demand) == 0
        needed = getattr(demand, bound)
        assert attrs.evolve(wide, **{bound: needed}).excess_bytes(demand) == 0
        assert attrs.evolve(wide, **{bound: needed - 10}).excess_bytes(demand) == pytest.approx(10)

    asyncio.run(story())
