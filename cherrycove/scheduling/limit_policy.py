"""When the concurrency limit of each node is updated, and up to which latency it may grow.

``concurrency_limit.set_threshold`` computes the update. A statistics window lasts one refill period, or
longer if it has too few answers.
"""

from __future__ import annotations

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Window

# The limit may let a node's latency grow up to a fraction of the shortest latency target:
CROWDED_CEILING = 0.5  # with many schedulers, each of which has few requests at any node,
MEAN_CEILING = 0.2  # and with few.
BUSY_FRACTION = 0.67  # of the ceiling, above which a node is busy; 0.5 is close to the level of quiet nodes
MIN_ANSWERS = 4  # that an update requires; a window with fewer is extended


class LimitPolicy:
    """Ends the statistics windows of the nodes. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def end_windows(self) -> None:
        """Update the limit of each node with enough answers, and touch all nodes.

        A node that served nothing has stalled, which is no evidence of overload.
        """
        state = self._state
        ceiling_s = (CROWDED_CEILING if state.is_crowded else MEAN_CEILING) * state.latency_target_s
        for node in state.nodes.values():
            if sum(map(len, node.window.latencies.values())) >= MIN_ANSWERS:
                max_slowdown = ceiling_s / max(node.mean_latency_s, state.settings.tick)
                set_threshold(node, state.settings.classes, state.window_end, max_slowdown)
                node.window = Window(max_in_flight=node.in_flight)
            state.touch(node)
