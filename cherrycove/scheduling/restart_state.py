"""What one incarnation of a scheduler leaves to the next: figures of nodes and volumes.

Taken up, the figures only hold the scheduler back or put nodes in order: they never permit what it would not
do without them, and each is taken up once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf

from cherrycove.scheduling.interface import NodeRestartState, RestartState, VolumeRestartState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Volume

THRESHOLD_HALF_LIFE_S = 10.0  # in which a threshold taken up goes half of the way back to the initial one
FAILURE_MEMORY_S = 5.0  # after which a node at which nobody answered is tried as any other
OVERLOAD_MEMORY_S = 2.0  # after which one that was overloaded counts as others do
SAME_START_TOLERANCE_S = 0.001  # by which two readings of one start may differ


class FormerIncarnation:
    """The figures of an earlier incarnation, each taken up as its node or volume is first seen."""

    def __init__(self, former: RestartState | None = None) -> None:
        self._nodes: dict[str, NodeRestartState] = {node.id: node for node in former.nodes} if former else {}
        self._volumes: dict[str, VolumeRestartState] = (
            {each.name: each for each in former.volumes} if former else {}
        )

    def restore_node(self, node: NodeQueue, new: float, now: float) -> float:
        """Take up what is known of a node that has begun here, or was here before the figures came.

        ``new`` is the initial threshold of a node that nothing is known of. Returns until when the node
        rests, at least ``now``. Figures of another node under this name, or of an earlier start of it, are
        not taken up.
        """
        former = self._nodes.pop(node.id or "", None)
        if former is None or not _is_same_start(former.started, node.started):
            return now
        _restore_speed(node, former, new, now)
        _restore_failures(node, former, now)
        _restore_slow_start(node, former, now)
        return max(node.backoff_until, now)

    def restore_volume(self, volume: Volume, epoch: int, now: float) -> None:
        """Take up the credits of a volume that is seen here for the first time.

        Otherwise each incarnation's first refill would be a whole one, and a broker that is restarted in each
        period would spend a volume's credit as often.
        """
        former = self._volumes.pop(volume.name, None)
        if former is None or former.refilled_at > now:
            return
        volume.epoch = epoch
        volume.credits = min(
            former.credits + volume.refill_units * (now - former.refilled_at) / REFILL_PERIOD_S,
            volume.refill_units,
        )
        if former.over_reserve_at <= now and former.over_reserve_at > volume.use_reported_at:
            volume.reserve_shortfall, volume.use_reported_at = 0.0, former.over_reserve_at


def _is_same_start(one: float | None, other: float | None) -> bool:
    return one is other if one is None or other is None else abs(one - other) < SAME_START_TOLERANCE_S


def _restore_speed(node: NodeQueue, former: NodeRestartState, new: float, now: float) -> None:
    """Take up latency, threshold and overload; the latency fades as all that was observed does."""
    age = max(now - former.last_served_at, 0.0)
    if node.last_served_at < former.last_served_at <= now:
        node.mean_latency_s, node.last_served_at = former.mean_latency_s, former.last_served_at
    if former.threshold < new:
        node.threshold = min(
            node.threshold, new + (former.threshold - new) * 0.5 ** (age / THRESHOLD_HALF_LIFE_S)
        )
    node.overload = node.overload or (former.overload and age < OVERLOAD_MEMORY_S)


def _restore_failures(node: NodeQueue, former: NodeRestartState, now: float) -> None:
    if former.failures and now < former.backoff_until + FAILURE_MEMORY_S:
        node.failures = max(node.failures, former.failures)
        node.backoff_until = max(node.backoff_until, min(former.backoff_until, now + FAILURE_MEMORY_S))


def _restore_slow_start(node: NodeQueue, former: NodeRestartState, now: float) -> None:
    """Take up what was sent, and the lot: one drawn anew in each incarnation would be more than one.

    All of what was sent counts as late as the last of it, so that none is forgotten too soon.
    """
    if former.sent > 0 and former.sent_at <= now:
        node.recent.add(former.sent_at, former.sent)
    if node.draw_window < 0:
        node.draw_window = former.draw_window


def collect_restart_state(
    nodes: Iterable[NodeQueue],
    volumes: Mapping[str, Volume],
    budgets: Mapping[int, float],
    epoch: int,
    now: float,
    refilled: float,
) -> RestartState:
    """Return what the next incarnation may know, in this one's clock.

    ``epoch`` is the number of the present refill, ``refilled`` the time at which it began.
    """
    node_memories = tuple(_node_memory(node, now) for node in nodes if node.id is not None)
    volume_memories = (_volume_memory(volume, epoch, refilled) for volume in volumes.values())
    known = tuple(memory for memory in volume_memories if memory is not None)
    return RestartState(node_memories, known, dict(budgets))


def _volume_memory(volume: Volume, epoch: int, refilled: float) -> VolumeRestartState | None:
    """Return what is kept of a volume; None for one with a full refill, which is as one unknown."""
    credits = volume.credits + volume.refill_units * (epoch - volume.epoch)
    beyond = volume.use_reported_at if not volume.reserve_shortfall else -inf
    if volume.epoch < 0 or not (credits < volume.refill_units or beyond > -inf):
        return None
    return VolumeRestartState(volume.name, min(credits, volume.refill_units), refilled, beyond)


def _node_memory(node: NodeQueue, now: float) -> NodeRestartState:
    sent = node.recent.total(now)
    return NodeRestartState(
        node.id or "",
        node.started,
        node.mean_latency_s,
        node.last_served_at,
        node.threshold,
        node.overload,
        node.failures,
        node.backoff_until,
        node.draw_window,
        sent,
        node.recent.last() if sent else -inf,
    )
