"""How long an attempt is expected to take at a node.

The estimate is the node's own recent mean latency, which loses weight as it ages: among many schedulers, each
of which has few answers of any node, against the typical latency of all nodes; among few, by its own age.
"""

from __future__ import annotations

from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Request, percentile

HALF_LIFE_S = 4.0  # time in which a node's own latency loses half of its weight among few schedulers; among
# many it is the latency target, in which a queue seen once has gone, or another answer reports it
MIN_NODES = 4  # nodes with a recent latency, below which there is no typical one


class LatencyEstimate:
    """SlidingWindowSum latencies of the nodes. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.typical = 0.0  # s, median over the nodes with a recent answer; 0: too few of them
        self._half_life_s = state.latency_target_s if state.is_crowded else HALF_LIFE_S

    def expected(self, node: NodeQueue) -> float:
        """Return the latency (s) of an attempt sent now: the node's own, fading into the typical one."""
        known: float = 0.5 ** ((self._state.now - node.last_served_at) / self._half_life_s)
        return known * node.mean_latency_s + (1 - known) * self.typical

    def lower_bound(self, node: NodeQueue) -> float:
        """Return the latency (s) by which a request is judged to be late already.

        Among few schedulers it falls by a second in each second without an answer: a backlog that was seen
        is gone once its own time is over, so no node stays closed for good.
        """
        state = self._state
        return (
            self.expected(node)
            if state.is_crowded
            else node.mean_latency_s - (state.now - node.last_served_at)
        )

    def observe(self, node: NodeQueue, request: Request, latency_s: float) -> None:
        """Count the latency of a served attempt, per usual request, in the node's mean."""
        now = self._state.now
        latency = max(latency_s, self._state.settings.tick)
        node.window.latencies.setdefault(request.cls.name, []).append(latency)
        before = 0.5 ** ((now - node.last_served_at) / REFILL_PERIOD_S)
        node.mean_latency_s += (1 - before) * (latency / request.relative_size - node.mean_latency_s)
        node.last_served_at = now

    def refresh_typical(self) -> None:
        """Work out the typical latency anew from the nodes with a recent answer."""
        state = self._state
        heard = [
            node.mean_latency_s
            for node in state.nodes.values()
            if state.now - node.last_served_at < 2 * HALF_LIFE_S
        ]
        self.typical = percentile(heard, 0.5) if len(heard) >= MIN_NODES else 0.0
