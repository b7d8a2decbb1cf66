"""Estimates of the latency of an attempt at a node.

The estimate is the node's recent mean latency, which loses weight with age. With many schedulers, each of
which gets few answers from any node, the typical latency of all nodes replaces it; with few schedulers, its
lower bound falls with its age.
"""

from __future__ import annotations

from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, percentile

# Half-life of the weight of a node's own latency with few schedulers. With many it is that latency itself: by
# then an observed backlog has cleared, or another answer reports it.
HALF_LIFE_S = 4.0
MIN_NODES = 4  # nodes with a recent latency that a typical latency requires


class LatencyEstimate:
    """Recent latencies of the nodes. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.typical = 0.0  # s, median over the nodes with a recent answer; 0 if there are too few

    def expected(self, node: NodeQueue) -> float:
        """Return the expected latency (s) of an attempt sent now, which decays to the typical latency."""
        state = self._state
        half_life_s = max(node.mean_latency_s, state.settings.tick) if state.is_crowded else HALF_LIFE_S
        own_weight: float = 0.5 ** ((state.now - node.last_served_at) / half_life_s)
        return own_weight * node.mean_latency_s + (1 - own_weight) * self.typical

    def lower_bound(self, node: NodeQueue) -> float:
        """Return the latency (s) that decides whether a request would be late.

        With few schedulers it falls by one second per second without an answer: an observed backlog has
        cleared after its own duration, so no node is excluded indefinitely.
        """
        state = self._state
        return (
            self.expected(node)
            if state.is_crowded
            else node.mean_latency_s - (state.now - node.last_served_at)
        )

    def observe(self, node: NodeQueue, request: Request, latency_s: float) -> None:
        """Add the latency of a served attempt to the node's mean, scaled to a request of usual size."""
        now = self._state.now
        latency = max(latency_s, self._state.settings.tick)
        node.window.latencies.setdefault(request.cls.name, []).append(latency)
        previous_weight = 0.5 ** ((now - node.last_served_at) / REFILL_PERIOD_S)
        node.mean_latency_s += (1 - previous_weight) * (latency / request.relative_size - node.mean_latency_s)
        node.last_served_at = now

    def refresh_typical(self) -> None:
        """Recompute the typical latency from the nodes with a recent answer."""
        state = self._state
        latencies = [
            node.mean_latency_s
            for node in state.nodes.values()
            if state.now - node.last_served_at < 2 * HALF_LIFE_S
        ]
        self.typical = percentile(latencies, 0.5) if len(latencies) >= MIN_NODES else 0.0
