"""Tests the control plane under a CPU quota, in virtual time.

A process with a quota runs at full speed until the quota is used up, and then not at all for the rest of the
period. Periods are 0.1 s. All processes of a machine pause in every period, at an offset that differs between
machines.
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
    """Simulates processes that run only for ``share`` of each period, from ``FORMATION_S`` on."""

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
                self.random.uniform(0.0, PERIOD_S), lambda target=machine: self._pause(target)
            )

    def epoch(self) -> int:
        """Return the epoch of the controllers' primary."""
        primary = self.world.cluster.primary()
        assert primary is not None
        controller = self.world.cluster.controller(primary)
        assert controller is not None
        return controller.group.epoch

    def change(self, version: int) -> float:
        """Send one change; return the seconds until its acknowledgement."""
        began_at = self.world.now
        acknowledge_change(self.world, self.operators, version, self.random)
        return self.world.now - began_at

    def proxy_versions(self) -> set[int]:
        """Return the configuration versions that the proxies use."""
        processes = [proxy.running[PROXY_PROGRAM] for proxy in self.world.cluster.proxies]
        return {process.version for process in processes if isinstance(process, ProxyProcess)}

    def close(self) -> None:
        """Stop all processes."""
        self.world.close(self.operators.incarnation)

    def _pause(self, machine: Machine) -> None:
        if self.world.now < self._until:
            self.world.cluster.freeze(machine)
            self.world.environment.after(PERIOD_S * (1.0 - self._share), lambda: self._resume(machine))

    def _resume(self, machine: Machine) -> None:
        self.world.cluster.thaw(machine)
        self.world.environment.after(PERIOD_S * self._share, lambda: self._pause(machine))


@pytest.mark.parametrize("share", [0.5, 0.2])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_cpu_quota_causes_no_change_of_primary_and_no_late_acknowledgement(seed: int, share: float) -> None:
    throttled = QuotaWorld(seed, share)
    try:
        epoch = throttled.epoch()
        for version in range(1, CHANGES + 1):
            assert throttled.change(version) < ACKNOWLEDGE_S / 2
            throttled.world.run_until(throttled.world.now + CONFIG_APPLY_S / 2)
            assert throttled.proxy_versions() == {version}
        assert throttled.world.now > FORMATION_S + CHANGES * CONFIG_APPLY_S / 2
        assert throttled.epoch() == epoch
    finally:
        throttled.close()
