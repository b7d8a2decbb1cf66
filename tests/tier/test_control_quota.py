"""A processor share that is a quota: full speed until it is spent, then nothing for the rest of its period.

Periods are a tenth of a second. In virtual time: every process of every machine stands still in each period,
each at its own offset.
"""

from __future__ import annotations

from random import Random

import pytest
from control_worlds import acknowledge_change

from cherrycove.tier.program_names import PROXY_PROGRAM
from cherrycove.tier.simulation.control.deployment import ACKNOWLEDGE_S, CONFIG_APPLY_S, Topology
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.operator_orders import Workload
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.processes import ProxyProcess
from cherrycove.tier.simulation.control.world import World

PERIOD_S = 0.1
FORMATION_S = 4.0
LENGTH_S = 20.0
CHANGES = 10


class QuotaWorld:
    """A world whose processes run for ``share`` of each period only, from ``FORMATION_S`` on."""

    def __init__(self, seed: int, share: float) -> None:
        self.world = World(seed, Topology(faults=1, machines=4, proxies=2, stores=True))
        self.world.build()
        self.operators = Operators(self.world, Workload(lost_answers_share=0.0))
        self.random = Random(seed)
        self.world.run_until(FORMATION_S)
        self._share = share
        self._until = FORMATION_S + LENGTH_S
        for machine in (*self.world.cluster.machines, *self.world.cluster.proxies):
            self.world.environment.after(
                self.random.uniform(0.0, PERIOD_S), lambda one=machine: self._stop(one)
            )

    def epoch(self) -> int:
        """Epoch of the controllers' primary."""
        primary = self.world.cluster.primary()
        assert primary is not None
        controller = self.world.cluster.controller(primary)
        assert controller is not None
        return controller.group.epoch

    def change(self, version: int) -> float:
        """Send one change; return the seconds to its acknowledgement."""
        began_at = self.world.now
        acknowledge_change(self.world, self.operators, version, self.random)
        return self.world.now - began_at

    def proxy_versions(self) -> set[int]:
        """Versions by which the proxies work."""
        processes = [proxy.running[PROXY_PROGRAM] for proxy in self.world.cluster.proxies]
        return {process.version for process in processes if isinstance(process, ProxyProcess)}

    def close(self) -> None:
        """End all processes."""
        self.world.close(self.operators.incarnation)

    def _stop(self, machine: Machine) -> None:
        if self.world.now < self._until:
            self.world.cluster.freeze(machine)
            self.world.environment.after(PERIOD_S * (1.0 - self._share), lambda: self._go_on(machine))

    def _go_on(self, machine: Machine) -> None:
        self.world.cluster.thaw(machine)
        self.world.environment.after(PERIOD_S * self._share, lambda: self._stop(machine))


@pytest.mark.parametrize("share", [0.5, 0.2])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_quota_deposes_no_primary_and_delays_no_change_beyond_its_bound(seed: int, share: float) -> None:
    slowed = QuotaWorld(seed, share)
    try:
        epoch = slowed.epoch()
        for version in range(1, CHANGES + 1):
            assert slowed.change(version) < ACKNOWLEDGE_S / 2
            slowed.world.run_until(slowed.world.now + CONFIG_APPLY_S / 2)
            assert slowed.proxy_versions() == {version}
        assert slowed.world.now > FORMATION_S + CHANGES * CONFIG_APPLY_S / 2
        assert slowed.epoch() == epoch
    finally:
        slowed.close()
