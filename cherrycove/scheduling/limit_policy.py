"""When the concurrency limit of each node is updated, and up to which latency it may grow.

``concurrency_limit.set_threshold`` computes the update. A statistics window lasts one refill period, or
longer if it has too few answers. The limit's ceiling is where the node's mean latency reaches the shortest
latency target of the classes: more in flight would leave none of them answered in time.
"""

from __future__ import annotations

from cherrycove.scheduling.concurrency_limit import set_threshold
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Window

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
        for node in state.nodes.values():
            if sum(map(len, node.window.latencies.values())) >= MIN_ANSWERS:
                max_slowdown = state.latency_target_s / max(node.mean_latency_s, state.settings.tick)
                set_threshold(node, state.settings.classes, state.window_end, max_slowdown)
                node.window = Window(max_in_flight=node.in_flight)
            state.touch(node)
