"""State shared by the policies of one scheduler: current time, pending actions, requests, volumes, nodes.

Each policy module (docs/design.md lists them) receives the ``SchedulerState`` of its scheduler and makes the
decisions of one concern. This state makes none.
"""

from __future__ import annotations

import random
from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.concurrency_limit import MIN_THRESHOLD
from cherrycove.scheduling.slow_start import SlowStart
from cherrycove.scheduling.state import NodeQueue, Request, SlidingWindowSum, Volume
from cherrycove.scheduling.timer_queue import TimerQueue

INITIAL_LIMIT = 4.0  # requests in flight at a node without statistics (from the design)
# Limit of all schedulers together: where it is lower, each starts at its even part of it.
FLEET_INITIAL_LIMIT = 16.0


class SchedulerState:
    """Shared state of one scheduler. Owned by ``Scheduler``; lives as long as it does."""

    __slots__ = (
        "actions",
        "timers",
        "epoch",
        "initial_limit",
        "is_crowded",
        "latency_target_s",
        "nodes",
        "now",
        "random",
        "requests",
        "settings",
        "slow_start",
        "started",
        "touched",
        "volumes",
        "window_end",
    )

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = -inf  # time of the current call; never decreases
        self.started = inf  # time of the first call
        self.epoch = 0  # number of credit refills so far
        self.window_end = inf  # time of the next refill
        self.actions: list[api.Action] = []  # of the current call, in execution order
        self.timers = TimerQueue()
        self.requests: dict[int, Request] = {}  # requests without a final answer, by id
        self.volumes: dict[str, Volume] = {}
        self.nodes: dict[
            int | None, NodeQueue
        ] = {}  # by shard; None: queue in which new objects wait for credit
        self.touched: dict[int | None, NodeQueue] = {}  # nodes to process before the call ends, by shard
        self.slow_start = SlowStart(settings, self.random)
        self.latency_target_s = min(cls.aim for cls in settings.classes)
        even_part = FLEET_INITIAL_LIMIT / settings.schedulers
        self.is_crowded = even_part < MIN_THRESHOLD  # so many schedulers that each has few requests at a node
        self.initial_limit = max(min(INITIAL_LIMIT, even_part), MIN_THRESHOLD)

    def node(self, shard: int | None) -> NodeQueue:
        """Return the queue of the node that holds this shard; create it when the shard is first seen."""
        if shard not in self.nodes:
            span = self.settings.fall_window
            self.nodes[shard] = NodeQueue(
                shard, self.initial_limit, SlidingWindowSum(span), SlidingWindowSum(span)
            )
        return self.nodes[shard]

    def has_nodes(self) -> bool:
        """Return whether any node accepts requests."""
        return any(node.id is not None for node in self.nodes.values())

    def touch(self, node: NodeQueue) -> None:
        """Mark the node for processing before the call ends; the queue of new objects marks all nodes."""
        for each in (node,) if node.shard is not None else self.nodes.values():
            self.touched[each.shard] = each

    def is_cold(self, node: NodeQueue) -> bool:
        """Return whether the node is in slow start, which bounds the units that it may be sent."""
        return self.slow_start.is_cold(node, self.now)

    def keeps_up(self, node: NodeQueue) -> bool:
        """Return whether the node is up, not failing, not overloaded and past its slow start."""
        return node.id is not None and not (node.overload or node.failures or self.is_cold(node))
