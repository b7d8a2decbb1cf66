"""Starts with seeds that are all outside the controllers' group: each process must still find the primary.

A process knows only the seeds in its settings when it starts. On a deployment with more controllers than
members, the seeds may all be standbys, removed members with an old log, or machines that have lost their
disks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

import pytest
from control_worlds import acknowledge_change

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.program_names import CONTROLLER_PROGRAM, STORE_PROGRAM
from cherrycove.tier.simulation.control.cluster import SEEDS
from cherrycove.tier.simulation.control.deployment import CATCH_UP_S, CONTACT_S, Topology
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.operator_orders import Workload
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.processes import ProxyProcess, StoreProcess
from cherrycove.tier.simulation.control.world import World

FAULTS = 2
MEMBERS = 2 * FAULTS + 1
STANDBYS = 5
PROXIES = 3
FORMATION_S = 4.0
# After a power failure, for elections, announcements and the member list.
MEMBERS_KNOWN_S = CATCH_UP_S + CONTACT_S


class Deployment:
    """A simulated deployment with more controllers than members, and one acknowledged configuration."""

    def __init__(self, seed: int) -> None:
        topology = Topology(faults=FAULTS, machines=MEMBERS + STANDBYS, proxies=PROXIES, stores=True)
        self.world = World(seed, topology)
        self.cluster = self.world.cluster
        self.world.build()
        self.operators = Operators(self.world, Workload(lost_answers_share=0.0))
        self.world.run_until(FORMATION_S)
        acknowledge_change(self.world, self.operators, 1, Random(seed))

    def members(self) -> set[str]:
        """Return the hosts of the controllers' group, according to its primary."""
        primary = self.cluster.primary()
        assert primary is not None
        controller = self.cluster.controller(primary)
        assert controller is not None
        return {member.address.partition(":")[0] for member in controller.group.members}

    def machines_outside_group(self) -> list[Machine]:
        """Return the machines whose controllers are not members."""
        members = self.members()
        return [machine for machine in self.cluster.machines if machine.host not in members]

    def replace(self, machine: Machine) -> None:
        """Power a member off until another machine has replaced it, then on again."""
        budget = self.world.environment.fault_budget
        budget.fault_began({machine.name}, disk=False)
        self.cluster.kill(machine, power=True)
        self.world.run_until(self.world.now + CATCH_UP_S + CONTACT_S)
        self.cluster.power_up(machine)
        budget.fault_ended({machine.name})
        self.world.run_until(self.world.now + CATCH_UP_S)
        assert machine.host not in self.members()

    def restart_with_seeds(self, seeds: list[Machine], *, wiped: list[Machine], proxies: bool = True) -> None:
        """Restart all machines, or all except the proxies, after a power failure, with ``seeds``.

        The ``wiped`` machines lose their disks as well.
        """
        affected = [*self.cluster.machines, *(self.cluster.proxies if proxies else [])]
        names = {machine.name for machine in affected}
        self.world.environment.fault_budget.fault_began(names, disk=False)
        for machine in affected:
            self.cluster.kill(machine, power=True)
        for machine in wiped:
            self.cluster.lose_disks(machine)
        self.cluster.start_with_seeds(tuple(machine.host for machine in seeds))
        self.world.run_until(self.world.now + 1.0)
        for machine in affected:
            self.cluster.power_up(machine)
        self.world.environment.fault_budget.fault_ended(names)
        self.world.run_until(self.world.now + MEMBERS_KNOWN_S)

    def proxy_views(self) -> list[ClusterView]:
        """Return the cluster view of each proxy."""
        processes = (process for proxy in self.cluster.proxies for process in proxy.running.values())
        return [process.views for process in processes if isinstance(process, ProxyProcess)]

    def store_views(self) -> list[ClusterView]:
        """Return the cluster view of each store."""
        processes = [machine.running[STORE_PROGRAM] for machine in self.cluster.machines]
        return [process.views for process in processes if isinstance(process, StoreProcess)]

    def assert_all_follow_the_primary(self) -> None:
        """Assert that every process follows the primary, to which every machine has announced itself."""
        assert self.cluster.primary() is not None
        views = [*self.proxy_views(), *self.store_views()]
        assert len(views) == PROXIES + MEMBERS + STANDBYS
        names = {machine.name for machine in self.cluster.machines}
        for view in views:
            assert view.configuration is not None and view.configuration.version == 1
            for program in (CONTROLLER_PROGRAM, STORE_PROGRAM):
                assert {member.node_name for member in view.members if member.program == program} == names

    def close(self) -> None:
        """Stop all processes."""
        self.world.close(self.operators.incarnation)


@pytest.fixture
def deployment(request: pytest.FixtureRequest) -> Iterator[Deployment]:
    created = Deployment(request.param)
    yield created
    created.close()


def restart_with_seeds_that_were_never_members(deployment: Deployment) -> None:
    """The seeds have an empty log and start at the same time as all other machines."""
    deployment.restart_with_seeds(deployment.machines_outside_group()[:SEEDS], wiped=[])


def restart_with_seeds_that_were_replaced_or_wiped(deployment: Deployment) -> None:
    """As in an earlier incident: two seeds left the group long ago, and the last fault wipes the third."""
    seeds = deployment.cluster.machines[:SEEDS]
    for machine in seeds[:-1]:
        deployment.replace(machine)
    members = deployment.members()
    second = next(
        machine for machine in deployment.cluster.machines if machine.host in members and machine not in seeds
    )
    deployment.restart_with_seeds(seeds, wiped=[seeds[-1], second])


def restart_of_the_storage_machines_alone(deployment: Deployment) -> None:
    """The proxies still know the members, but a store that cannot announce itself is in no member list."""
    deployment.restart_with_seeds(deployment.machines_outside_group()[:SEEDS], wiped=[], proxies=False)


RESTARTS = [
    restart_with_seeds_that_were_never_members,
    restart_with_seeds_that_were_replaced_or_wiped,
    restart_of_the_storage_machines_alone,
]


@pytest.mark.parametrize("deployment", [1, 2], indirect=True)
@pytest.mark.parametrize("restart", RESTARTS)
def test_every_process_finds_the_primary_with_seeds_outside_the_group(
    deployment: Deployment, restart: Callable[[Deployment], None]
) -> None:
    restart(deployment)
    deployment.assert_all_follow_the_primary()
