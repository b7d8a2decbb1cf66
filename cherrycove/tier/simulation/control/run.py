"""Runs one world of a scenario: a period with faults, one without, then reads of what was acknowledged."""

from __future__ import annotations

import asyncio
import gc
import logging
from random import Random

import attrs

from cherrycove.tier.simulation.control.batch_clients import BatchClients
from cherrycove.tier.simulation.control.deployment import ACKNOWLEDGE_S
from cherrycove.tier.simulation.control.fault_injector import FaultInjector
from cherrycove.tier.simulation.control.fault_schedule import FaultSchedule
from cherrycove.tier.simulation.control.operator_orders import read_order
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.scenarios import SCENARIOS
from cherrycove.tier.simulation.control.world import World

BATCH_CLIENTS = 4
RECOVERY_S = 6.5  # without faults, after the last scheduled fault
FINAL_RECOVERY_S = 6.5  # after the final loss, before everything is read back
LAST_ORDERS_S = 1.0  # time for the orders in flight at the end to finish
READ_STEP_S = 0.25
READ_JOBS_S = 8.0


@attrs.frozen
class Outcome:
    """Holds the result of a run.

    It contains the numbers of changes acknowledged, orders answered, jobs acknowledged, callbacks run, and
    faults by kind.
    """

    seed: int
    acknowledged: int
    reads: int
    jobs: int
    callbacks: int
    faults: dict[str, int]


class Run:
    """Runs one world of one scenario from a seed. The caller must call ``close``."""

    def __init__(self, name: str, seed: int, duration_s: float = 0.0) -> None:
        """Create the world; a ``duration_s`` other than 0 replaces the scenario's period with faults."""
        self._scenario = SCENARIOS[name]
        self._duration_s = duration_s
        self._seed = seed
        self._random = Random(f"{name}/{seed}")
        topology = self._random.choice(self._scenario.topologies)
        self.world = World(self._random.getrandbits(48), topology)
        self._injector = FaultInjector(self.world, Random(self._random.random()))
        self.operators = Operators(self.world, self._scenario.workload)
        self._clients = BatchClients(self.world)
        self._schedule = FaultSchedule(
            self._scenario, self.world, self._injector, self.operators, self._random
        )

    def run(self) -> Outcome:
        """Run to the end; raises ``InvariantBrokenError`` at the first violation."""
        world, environment, random = self.world, self.world.environment, self._random
        self.begin()
        world.run_until(self._duration_s or random.uniform(*self._scenario.duration_s))
        self._schedule.stop()
        world.run_until(world.now + RECOVERY_S)
        newest = environment.history.newest
        if random.random() < self._scenario.final_loss_share and newest is not None:
            self._schedule.lose_holders(newest)
            if self._scenario.final_loss_of_proxies:
                self._schedule.lose_proxies()
        world.run_until(world.now + FINAL_RECOVERY_S)
        self._read_configuration()
        self._read_jobs()
        return Outcome(
            self._seed,
            environment.history.acknowledged,
            self.operators.answered,
            len(environment.jobs.acknowledged()),
            environment.loop.callbacks,
            self._injector.counts,
        )

    def begin(self) -> None:
        """Start machines, operators, clients and the fault schedule."""
        self.world.build()
        self.operators.start()
        if self.world.environment.topology.stores:
            self._clients.start(BATCH_CLIENTS)
        self._schedule.start()

    def close(self) -> None:
        """End all processes, so that no task of them is left pending."""
        self.world.close(self.operators.incarnation, self._clients.incarnation)

    def _read_configuration(self) -> None:
        """Require that the configuration can be read within ACKNOWLEDGE_S, the bound without faults."""
        world, environment, operators = self.world, self.world.environment, self.operators
        history = environment.history
        history.require(history.acknowledged > 0, "no change was acknowledged in the whole run")
        answered = operators.answered
        operators.active = False
        world.run_until(world.now + LAST_ORDERS_S)
        environment.loop.spawn(operators.incarnation, operators.send(read_order()))
        deadline = world.now + ACKNOWLEDGE_S
        while operators.answered == answered and world.now < deadline:
            world.run_until(world.now + READ_STEP_S)
        history.require(
            operators.answered > answered, f"the configuration could not be read within {ACKNOWLEDGE_S} s"
        )

    def _read_jobs(self) -> None:
        """Require that every acknowledged job can be read, with the same results as earlier reads."""
        world, environment = self.world, self.world.environment
        self._clients.active = False
        unread = {job.request.job_id for job in environment.jobs.acknowledged()}

        async def read(job_id: str) -> None:
            while await self._clients.read(job_id, 0) is None:  # noqa: ASYNC110 - retries a call
                await asyncio.sleep(READ_STEP_S)
            unread.discard(job_id)

        for job_id in sorted(unread):
            environment.loop.spawn(self._clients.incarnation, read(job_id))
        deadline = world.now + READ_JOBS_S
        while unread and world.now < deadline:
            world.run_until(world.now + READ_STEP_S)
        environment.history.require(
            not unread, f"jobs {sorted(unread)} could not be read within {READ_JOBS_S} s"
        )


def run_world(name: str, seed: int, duration_s: float = 0.0) -> Outcome:
    """Run one world with logging disabled; raises ``InvariantBrokenError`` at the first violation.

    Garbage is collected only after the run, as a world creates many objects and few cycles.
    """
    disabled_before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    gc.disable()
    run = Run(name, seed, duration_s)
    try:
        return run.run()
    finally:
        run.close()
        logging.disable(disabled_before)
        gc.enable()
        gc.collect()
