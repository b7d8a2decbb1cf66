"""A store group takes the jobs of a long day, and when it is full it accepts again as soon as it can."""

from __future__ import annotations

import asyncio

import pytest
from full_store import StoreDay

from cherrycove.tier.settings import ProcessLimits

JOBS_PER_S = 3.53
DAY_S = 110.0
BURST_AT_S = 50.0
BURST_S = 3.0
BURST_FACTOR = 6.0
STORAGE_MACHINES = {
    "69 MB of disk": ProcessLimits(memory_mb=330.0, disk_mb=69.0, link_mbps=120.0),
    "110 MB of disk": ProcessLimits(memory_mb=320.0, disk_mb=110.0, link_mbps=600.0),
}


async def play_day(day: StoreDay, seconds: float, jobs_per_s: float = JOBS_PER_S) -> None:
    """Jobs at an even rate, with a burst in the middle."""
    elapsed_s = 0.0
    while elapsed_s < seconds:
        is_burst = BURST_AT_S <= elapsed_s < BURST_AT_S + BURST_S
        pause_s = 1.0 / (jobs_per_s * (BURST_FACTOR if is_burst else 1.0))
        await day.submit()
        await day.advance(pause_s)
        elapsed_s += pause_s


@pytest.mark.parametrize("machine", STORAGE_MACHINES)
def test_no_job_of_a_long_day_is_refused(machine: str) -> None:
    """Jobs that were done kept the room of their bodies and results until 150 s were over."""

    async def story() -> None:
        day = StoreDay(STORAGE_MACHINES[machine])
        await play_day(day, DAY_S)
        assert len(day.accepted) > JOBS_PER_S * DAY_S
        assert not day.refused

    asyncio.run(story())
