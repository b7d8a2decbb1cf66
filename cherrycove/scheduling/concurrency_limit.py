"""The step of a node's concurrency limit L (its threshold) at the end of a window of statistics.

L is the most requests that one scheduler has out at a node. After section 3.4.2 of "Storage Performance
Virtualization via Throughput and Latency Control"; docs/design.md says how its garbled Figure 4 is read.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import NodeQueue, percentile

LEAST_L = 1.0  # requests; below one nothing would be sent
ROOM = 0.9  # part of L (spare room) and of served (end of overload), from the design
SLOWEST = 0.95  # percentile of latency that must meet the aim (design)


def set_threshold(node: NodeQueue, classes: Iterable[RequestClass], window_end: float, quick: float) -> None:
    """Set ``node.threshold`` and ``node.overload`` from the window's statistics.

    ``quick`` is how many times its present latency the node may take. At least one request must have been
    served within the window. ``window_end`` is the end (s) of the next window: what is due before it is the
    demand that the node must keep up with.
    """
    window = node.window
    due_before_end = sum(1 for request in node.held() if request.due <= window_end)
    demand = (node.out + due_before_end + window.new_due) / window.served
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
