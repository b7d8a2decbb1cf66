"""What the policies of one scheduler share: the time and actions of the call, requests, volumes, nodes.

Each policy module (docs/design.md lists them) receives the one ``SchedulerState`` of its scheduler and owns
the decisions of its concern; the shared records decide nothing.
"""

from __future__ import annotations

import random
from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.concurrency_limit import MIN_THRESHOLD
from cherrycove.scheduling.slow_start import SlowStart
from cherrycove.scheduling.state import NodeQueue, Request, SlidingWindowSum, Volume
from cherrycove.scheduling.timer_queue import TimerQueue

INITIAL_LIMIT = 4.0  # requests out at a node of which nothing is known (design),
FLEET_INITIAL_LIMIT = 16.0  # as long as all schedulers together keep to this many; else its even part of them


class SchedulerState:
    """Shared records of one scheduler. Owned by ``Scheduler``; lives as long as it does."""

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
        self.now = -inf  # time of the current call; never goes back
        self.started = inf  # time of the first call
        self.epoch = 0  # number of joint refills so far
        self.window_end = inf  # time of the next one
        self.actions: list[api.Action] = []  # of the current call, in the order in which they are carried out
        self.timers = TimerQueue()
        self.requests: dict[int, Request] = {}  # those that are owed an answer
        self.volumes: dict[str, Volume] = {}
        self.nodes: dict[int | None, NodeQueue] = {}  # by shard; None: where new objects wait for credit
        self.touched: dict[int | None, NodeQueue] = {}  # nodes that are drained before the call ends
        self.slow_start = SlowStart(settings, self.random)
        self.latency_target_s = min(cls.aim for cls in settings.classes)
        even_part = FLEET_INITIAL_LIMIT / settings.schedulers
        self.is_crowded = even_part < MIN_THRESHOLD  # so many schedulers that each has little at any node
        self.initial_limit = max(min(INITIAL_LIMIT, even_part), MIN_THRESHOLD)

    def node(self, shard: int | None) -> NodeQueue:
        """Return the queue of the node that holds this shard; a shard seen for the first time gets one."""
        if shard not in self.nodes:
            span = self.settings.fall_window
            self.nodes[shard] = NodeQueue(
                shard, self.initial_limit, SlidingWindowSum(span), SlidingWindowSum(span)
            )
        return self.nodes[shard]

    def touch(self, node: NodeQueue) -> None:
        """Look at this node's queue before the call ends; where new objects wait, at each node's."""
        for each in (node,) if node.shard is not None else self.nodes.values():
            self.touched[each.shard] = each

    def is_cold(self, node: NodeQueue) -> bool:
        """Whether slow start still bounds what this node may be sent."""
        return self.slow_start.is_cold(node, self.now)

    def keeps_up(self, node: NodeQueue) -> bool:
        """Whether the node is up, answers, is not overloaded and is past its slow start."""
        return node.id is not None and not (node.overload or node.failures or self.is_cold(node))
