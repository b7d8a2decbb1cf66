"""The update of a node's concurrency limit L (its threshold) at the end of a statistics window.

L is the maximum number of requests that one scheduler has in flight at a node. It follows section 3.4.2 of
"Storage Performance Virtualization via Throughput and Latency Control"; docs/design.md says how the illegible
Figure 4 is read.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrycove.scheduling.interface import RequestClass
from cherrycove.scheduling.state import NodeQueue, percentile

MIN_THRESHOLD = 1.0  # requests; below 1 nothing would be sent
SPARE_FRACTION = 0.9  # of L (spare capacity) and of served requests (end of overload), from the design
TARGET_PERCENTILE = 0.95  # the latency percentile that must meet the target (from the design)


def set_threshold(
    node: NodeQueue, classes: Iterable[RequestClass], window_end: float, max_slowdown: float
) -> None:
    """Set ``node.threshold`` and ``node.overload`` from the window's statistics.

    ``max_slowdown`` is the factor by which the node's current latency may grow. At least one request must
    have been served within the window. ``window_end`` is the end (s) of the next window: the requests due
    before it are the demand that the node must keep up with.
    """
    window = node.window
    due_before_end = sum(1 for request in node.waiting_requests() if request.due <= window_end)
    demand = (node.in_flight + due_before_end + window.new_due) / window.served
    headroom = min(
        (cls.aim - window.mean_wait(cls.name)) / percentile(window.latencies[cls.name], TARGET_PERCENTILE)
        for cls in classes
        if cls.name in window.latencies
    )
    ceiling = node.threshold * (
        max_slowdown if window.max_in_flight >= node.threshold else min(max_slowdown, 1.0)
    )
    if node.overload and demand <= SPARE_FRACTION:
        node.overload, node.threshold = False, max(headroom, demand) * window.max_in_flight
    elif not node.overload and headroom < demand:
        node.overload, node.threshold = True, ceiling
    elif not node.overload and (headroom < 1 or window.max_in_flight >= node.threshold):
        upper = node.threshold * (node.in_flight + node.waiting + window.arrivals) / window.served
        node.threshold = min(headroom * node.threshold, max(upper, node.threshold))
    node.threshold = max(min(node.threshold, ceiling), MIN_THRESHOLD)
