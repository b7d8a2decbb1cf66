"""The controller of L, the most requests that a scheduler has out at a node: its step at a window's end.

It owns the arithmetic of the step. It must never send, refuse, or look at a clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import NodeQueue, percentile

LEAST_L = 1.0  # requests; below one nothing would be sent
ROOM = 0.9  # part of L (spare room) and of served (end of overload), from the design
SLOWEST = 0.95  # percentile of latency that must meet the aim (design)


def set_threshold(node: NodeQueue, classes: Iterable[RequestClass], window_end: float, quick: float) -> None:
    """The paper's controller (3.4.2); docs/design.md says how the garbled parts of Figure 4 are read.
    ``quick`` is how many times its present latency a node may take."""
    window = node.window
    held_due = sum(1 for r in node.held() if r.due <= window_end)
    demand = (node.out + held_due + window.new_due) / window.served
    room = min(
        (cls.aim - window.mean_wait(cls.name)) / percentile(window.latencies[cls.name], SLOWEST)
        for cls in classes
        if cls.name in window.latencies
    )
    ceiling = node.threshold * (quick if window.most_out >= node.threshold else min(quick, 1.0))
    if node.overload and demand <= ROOM:
        node.overload, node.threshold = False, max(room, demand) * window.most_out
    elif not node.overload and room < demand:
        node.overload, node.threshold = True, ceiling
    elif not node.overload and (room < 1 or window.most_out >= node.threshold):
        upper = node.threshold * (node.out + node.waiting + window.arrivals) / window.served
        node.threshold = min(room * node.threshold, max(upper, node.threshold))
    node.threshold = max(min(node.threshold, ceiling), LEAST_L)
