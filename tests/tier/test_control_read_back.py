"""Tests reads of the configuration from every controller after a power failure or a loss of disks.

All machines lose power, or as many disks are lost as the group tolerates. Each response must be the newest
acknowledged configuration, byte for byte, or none (503, 307 or no answer).
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from control_worlds import acknowledge_change

from cherrycove.tier.simulation.control.deployment import ACKNOWLEDGE_S, CONTACT_S, Topology
from cherrycove.tier.simulation.control.fault_injector import FaultInjector
from cherrycove.tier.simulation.control.operator_orders import Reply, Workload, read_order
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.world import World

READ_INTERVAL_S = 0.05
CHANGES = 4


class ReadBack:
    """Simulates a deployment: commits changes, injects the fault, then reads from every machine."""

    def __init__(self, seed: int, faults: int) -> None:
        self.random = Random(seed)
        self.world = World(seed, Topology(faults=faults, machines=2 * faults + 2, proxies=0))
        self.world.build()
        self.operators = Operators(self.world, Workload(lost_answers_share=0.0))
        self.injector = FaultInjector(self.world, Random(seed))
        self.newest = b""
        self.replies: list[tuple[str, Reply]] = []

    def acknowledge_changes(self) -> None:
        for version in range(1, CHANGES + 1):
            self.newest = acknowledge_change(self.world, self.operators, version, self.random)

    def read_everywhere(self, duration_s: float) -> None:
        until = self.world.now + duration_s

        async def read(host: str) -> None:
            while self.world.now < until:
                reply = await self.operators._ask(host, read_order())
                if reply is not None:
                    self.replies.append((host, reply))
                await asyncio.sleep(READ_INTERVAL_S)

        for machine in self.world.cluster.machines:
            self.world.environment.loop.spawn(self.operators.incarnation, read(machine.host))
        self.world.run_until(until)

    def close(self) -> None:
        self.world.close(self.operators.incarnation)


@pytest.mark.parametrize("loss", ["power", "disks"])
@pytest.mark.parametrize("faults", [1, 2])
@pytest.mark.parametrize("seed", range(4))
def test_each_machine_returns_the_newest_acknowledged_configuration_or_none(
    seed: int, faults: int, loss: str
) -> None:
    read_back = ReadBack(seed, faults)
    try:
        read_back.acknowledge_changes()
        if loss == "power":
            read_back.injector.kill_all()
        else:
            primary = read_back.world.cluster.primary()
            machines = sorted(read_back.world.cluster.machines, key=lambda machine: machine is not primary)
            read_back.injector.wipe_within_budget(machines)
        read_back.read_everywhere(CONTACT_S + ACKNOWLEDGE_S)
    finally:
        read_back.close()
    assert {reply.status for _, reply in read_back.replies} <= {200, 307, 503}
    served = [reply.body for _, reply in read_back.replies if reply.status == 200]
    assert served and set(served) == {read_back.newest}
