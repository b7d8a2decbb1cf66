"""Defines one simulated deployment with its invariants."""

from __future__ import annotations

from cherrycove.tier.simulation.control.cluster import Cluster
from cherrycove.tier.simulation.control.deployment import Topology
from cherrycove.tier.simulation.control.environment import Environment
from cherrycove.tier.simulation.control.invariants import Invariants
from cherrycove.tier.simulation.control.loop import Incarnation


class World:
    """Combines the environment, the cluster and the invariants of one seed."""

    def __init__(self, seed: int, topology: Topology) -> None:
        self.environment = Environment(seed, topology)
        self.cluster = Cluster(self.environment)
        self.invariants = Invariants(self.environment, self.cluster)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds since the start of the world."""
        return self.environment.now

    def build(self) -> None:
        """Create the machines, which start soon, and start the periodic checks."""
        self.cluster.build()
        self.invariants.check_periodically()

    def run_until(self, end: float) -> None:
        """Run until virtual time ``end``; raises ``InvariantBrokenError`` if an invariant is violated."""
        self.environment.run_until(end)

    def close(self, *others: Incarnation) -> None:
        """End all processes and ``others``, so that none of their tasks is left pending."""
        loop = self.environment.loop
        for machine in (*self.cluster.machines, *self.cluster.proxies):
            for process in machine.running.values():
                loop.end(process.incarnation)
        for incarnation in others:
            loop.end(incarnation)
