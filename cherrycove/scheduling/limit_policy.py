"""When the concurrency limit of each node is set anew, and up to which latency it may grow.

The step itself is ``concurrency_limit.set_threshold``. A window of statistics lasts one period, or longer
where too few answers came in it.
"""

from __future__ import annotations

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Window

CROWDED_CEILING = 0.5  # part of the shortest latency target up to which the limit may let a node's latency
MEAN_CEILING = 0.2  # grow among many schedulers, each of which has little at any node; and among few
BUSY_FRACTION = 0.67  # part of the ceiling over which a node is busy; half is near the work of quiet nodes
MIN_ANSWERS = 4  # answers that a new limit is worked out from; a window that has fewer goes on


class LimitPolicy:
    """Ends the statistics windows of the nodes. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def end_windows(self) -> None:
        """Set the limit of each node with enough answers, and look at all nodes.

        A node that served nothing has stalled; that is no evidence of overload.
        """
        state = self._state
        ceiling_s = (CROWDED_CEILING if state.is_crowded else MEAN_CEILING) * state.latency_target_s
        for node in state.nodes.values():
            if sum(map(len, node.window.latencies.values())) >= MIN_ANSWERS:
                max_slowdown = ceiling_s / max(node.mean_latency_s, state.settings.tick)
                set_threshold(node, state.settings.classes, state.window_end, max_slowdown)
                node.window = Window(max_in_flight=node.in_flight)
            state.touch(node)
