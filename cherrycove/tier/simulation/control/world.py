"""One simulated deployment with its checks."""

from __future__ import annotations

from cherrycove.tier.simulation.control.cluster import Cluster
from cherrycove.tier.simulation.control.deployment import Topology
from cherrycove.tier.simulation.control.environment import Environment
from cherrycove.tier.simulation.control.invariants import Invariants
from cherrycove.tier.simulation.control.loop import Incarnation


class World:
    """Puts together the environment, the machines and the invariants of one seed."""

    def __init__(self, seed: int, topology: Topology) -> None:
        self.environment = Environment(seed, topology)
        self.cluster = Cluster(self.environment)
        self.invariants = Invariants(self.environment, self.cluster)

    @property
    def now(self) -> float:
        """Virtual time in seconds since the world began."""
        return self.environment.now

    def build(self) -> None:
        """Place the machines, which start soon, and begin with the periodic checks."""
        self.cluster.build()
        self.invariants.check_periodically()

    def run_until(self, end: float) -> None:
        """Run up to virtual time ``end``; raises ``InvariantBrokenError`` if an invariant does not hold."""
        self.environment.run_until(end)

    def close(self, *others: Incarnation) -> None:
        """End all processes, and ``others``, so that no task of them is left pending."""
        loop = self.environment.loop
        for machine in (*self.cluster.machines, *self.cluster.proxies):
            for process in machine.running.values():
                loop.end(process.incarnation)
        for incarnation in others:
            loop.end(incarnation)
