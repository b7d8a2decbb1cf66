"""Tests in virtual time that items get their results soon after their proxies and stores were killed."""

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
DOWNTIME_S = 0.8
# After the restart: 5 s for elections, then 5 s without faults.
RESULTS_DEADLINE_S = 10.0
STEP_S = 0.25


class JobsWorld:
    """Simulates a cluster with batch jobs, some of which are always running."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed, Topology(faults=1, machines=4, proxies=3, stores=True))
        self.world.build()
        self.operators = Operators(self.world, Workload(lost_answers_share=0.0))
        self.operators.start()
        self.clients = BatchClients(self.world)
        self.clients.start(CLIENTS)
        self.world.run_until(FORMATION_S + SUBMISSION_S)

    def open_jobs(self) -> list[Job]:
        """Return the jobs at the primary store that have items without a result."""
        for machine in self.world.cluster.machines:
            process = machine.running.get(STORE_PROGRAM)
            if isinstance(process, StoreProcess) and process.group.is_confirmed_primary():
                return [job for job in process.state.jobs.values() if not job.is_done]
        raise AssertionError("no running store is the confirmed primary")

    def kill_and_restart(self, *, proxies: bool, stores: bool) -> None:
        """Kill all proxies, all store machines, or both at the same moment, and restart them."""
        cluster, environment = self.world.cluster, self.world.environment
        killed = [*(cluster.proxies if proxies else []), *(cluster.machines if stores else [])]
        names = {machine.name for machine in killed}
        environment.fault_budget.fault_began(names)
        for machine in killed:
            cluster.kill(machine)
        self.world.run_until(self.world.now + DOWNTIME_S)
        for machine in killed:
            cluster.power_up(machine)
        environment.fault_budget.fault_ended(names)

    def wait_for_all_results(self) -> None:
        """Stop submitting, and fail if an item gets no result in time."""
        self.clients.active = False
        until = self.world.now + RESULTS_DEADLINE_S
        self.world.run_until(until - RESULTS_DEADLINE_S / 2)
        while self.open_jobs():
            unfinished = {job.job_id: job.unfinished_item_ids() for job in self.open_jobs()}
            assert self.world.now < until, unfinished
            self.world.run_until(self.world.now + STEP_S)

    def close(self) -> None:
        """Stop all processes."""
        self.world.close(self.operators.incarnation, self.clients.incarnation)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("proxies", "stores"), [(True, False), (False, True), (True, True)], ids=["proxies", "stores", "all"]
)
def test_items_get_results_soon_after_proxies_and_stores_are_killed_together(
    seed: int, proxies: bool, stores: bool
) -> None:
    jobs_world = JobsWorld(seed)
    try:
        assert jobs_world.open_jobs()
        jobs_world.kill_and_restart(proxies=proxies, stores=stores)
        jobs_world.wait_for_all_results()
    finally:
        jobs_world.close()
