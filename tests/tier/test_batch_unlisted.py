"""No item of an open job stays unlisted in calm times, whatever struck those who ran it. In virtual time."""

from __future__ import annotations

import pytest

from cherrycove.tier.batch.jobs.model import Job
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.simulation.control.batch_clients import BatchClients
from cherrycove.tier.simulation.control.deployment import Topology
from cherrycove.tier.simulation.control.operator_orders import Workload
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.processes import StoreProcess
from cherrycove.tier.simulation.control.world import World

CLIENTS = 6
FORMATION_S = 4.0
SUBMISSION_S = 4.0
AWAY_S = 0.8
LISTED_WITHIN_S = 10.0  # of the return of all: 5 calm seconds, and as many for the elections before
STEP_S = 0.25


class JobsWorld:
    """A world with batch jobs, some of which run at any time."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed, Topology(faults=1, machines=4, proxies=3, stores=True))
        self.world.build()
        self.operators = Operators(self.world, Workload(lost_answers_share=0.0))
        self.operators.start()
        self.clients = BatchClients(self.world)
        self.clients.start(CLIENTS)
        self.world.run_until(FORMATION_S + SUBMISSION_S)

    def open_jobs(self) -> list[Job]:
        """Jobs of the stores' primary whose items are not all listed."""
        for machine in self.world.cluster.machines:
            process = machine.running.get(STORE_PROGRAM)
            if isinstance(process, StoreProcess) and process.group.is_confirmed_primary():
                return [job for job in process.state.jobs.values() if not job.is_done]
        raise AssertionError("no store leads")

    def strike(self, *, proxies: bool, stores: bool) -> None:
        """Kill all proxies, all machines of stores, or both at the same moment, and start them again."""
        cluster, environment = self.world.cluster, self.world.environment
        struck = [*(cluster.proxies if proxies else []), *(cluster.machines if stores else [])]
        names = {machine.name for machine in struck}
        environment.fault_budget.fault_began(names)
        for machine in struck:
            cluster.kill(machine)
        self.world.run_until(self.world.now + AWAY_S)
        for machine in struck:
            cluster.power_up(machine)
        environment.fault_budget.fault_ended(names)

    def wait_until_listed(self) -> None:
        """Submit nothing more; fails if an item stays unlisted."""
        self.clients.active = False
        until = self.world.now + LISTED_WITHIN_S
        self.world.run_until(until - LISTED_WITHIN_S / 2)
        while self.open_jobs():
            unlisted = {job.job_id: job.unfinished_item_ids() for job in self.open_jobs()}
            assert self.world.now < until, unlisted
            self.world.run_until(self.world.now + STEP_S)

    def close(self) -> None:
        """End all processes."""
        self.world.close(self.operators.incarnation, self.clients.incarnation)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("proxies", "stores"), [(True, False), (False, True), (True, True)], ids=["proxies", "stores", "all"]
)
def test_items_of_those_who_were_killed_together_are_listed_soon(
    seed: int, proxies: bool, stores: bool
) -> None:
    struck = JobsWorld(seed)
    try:
        assert struck.open_jobs()
        struck.strike(proxies=proxies, stores=stores)
        struck.wait_until_listed()
    finally:
        struck.close()
