"""Simulates the execution of batch items by a proxy, in place of a model server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from cherrycove.tier.batch.execution import ExecutorLoad, ItemOutcome, ItemState, RecordFailures
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.simulation.control.environment import Environment

SLOTS = 6  # items that one proxy runs at once
RUN_S = (0.05, 1.2)
FAILURE_SHARE = 0.1  # of the runs, which fail with status 500
MAX_ATTEMPTS = 3


class SimulatedExecutor:
    """Runs batch items for one proxy; implements ``ItemExecutor``."""

    def __init__(self, environment: Environment, proxy_name: str, random: Random) -> None:
        self._environment = environment
        self._proxy_name = proxy_name
        self._random = random
        self._running = 0

    def free_slots(self) -> int:
        """Return how many more items can run at once."""
        return SLOTS - self._running

    def load(self) -> ExecutorLoad:
        """Return an empty load, as these items run without a broker."""
        return ExecutorLoad(broker_slots=0, live_requests=0)

    async def run_item(
        self, item: pb.LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        """Run ``item`` until it succeeds, has failed MAX_ATTEMPTS times, or ``may_send`` returns False."""
        self._running += 1
        try:
            return await self._run(item, may_send, record_failures)
        finally:
            self._running -= 1

    async def _run(
        self, item: pb.LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        failed = item.failed_attempts
        jobs, random = self._environment.jobs, self._random
        while may_send():
            jobs.started(self._proxy_name, item.job_id, self._environment.now)
            await asyncio.sleep(random.uniform(*RUN_S))
            if random.random() >= FAILURE_SHARE:
                text = f"{item.job_id}/{item.item.item_id}/{random.getrandbits(40):x}".encode()
                jobs.jobs[item.job_id].texts.add(text)
                return ItemOutcome(ItemState.COMPLETED, text)
            failed += 1
            await record_failures(failed)
            if failed >= MAX_ATTEMPTS:
                return ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=failed)
        return ItemOutcome(ItemState.RETURNED, failed_attempts=failed)
