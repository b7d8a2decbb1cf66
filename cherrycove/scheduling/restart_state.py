"""What one incarnation of a scheduler leaves to the next: figures of nodes and volumes.

Taken up, the figures only hold the scheduler back or put nodes in order: they never permit what it would not
do without them, and each is taken up once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf

from cherrycove.scheduling.interface import NodeRestartState, RestartState, VolumeRestartState
from cherrycove.scheduling.state import PERIOD, NodeQueue, Volume

THRESHOLD_HALF_LIFE_S = 10.0  # in which a threshold taken up goes half of the way back to the initial one
FAILURE_MEMORY_S = 5.0  # after which a node at which nobody answered is tried as any other
OVERLOAD_MEMORY_S = 2.0  # after which one that was overloaded counts as others do
SAME_START_TOLERANCE_S = 0.001  # by which two readings of one start may differ


class FormerIncarnation:
    """The figures of an earlier incarnation, each taken up as its node or volume is first seen."""

    def __init__(self, told: RestartState | None = None) -> None:
        self._nodes: dict[str, NodeRestartState] = {node.id: node for node in told.nodes} if told else {}
        self._volumes: dict[str, VolumeRestartState] = (
            {each.name: each for each in told.volumes} if told else {}
        )

    def restore_node(self, node: NodeQueue, new: float, now: float) -> float:
        """Take up what is known of a node that has begun here, or was here before the figures came.

        ``new`` is the initial threshold of a node that nothing is known of. Returns until when the node
        rests, at least ``now``. Figures of another node under this name, or of an earlier start of it, are
        not taken up.
        """
        told = self._nodes.pop(node.id or "", None)
        if told is None or not _is_same_start(told.started, node.started):
            return now
        _restore_speed(node, told, new, now)
        _restore_failures(node, told, now)
        _restore_slow_start(node, told, now)
        return max(node.resting_until, now)

    def restore_volume(self, volume: Volume, epoch: int, now: float) -> None:
        """Take up the credits of a volume that is seen here for the first time.

        Otherwise each incarnation's first refill would be a whole one, and a broker that is restarted in each
        period would spend a volume's credit as often.
        """
        told = self._volumes.pop(volume.name, None)
        if told is None or told.at > now:
            return
        volume.epoch = epoch
        volume.credits = min(told.credits + volume.full * (now - told.at) / PERIOD, volume.full)
        if told.beyond <= now and told.beyond > volume.told:
            volume.short, volume.told = 0.0, told.beyond


def _is_same_start(one: float | None, other: float | None) -> bool:
    return one is other if one is None or other is None else abs(one - other) < SAME_START_TOLERANCE_S


def _restore_speed(node: NodeQueue, told: NodeRestartState, new: float, now: float) -> None:
    """Take up latency, threshold and overload; the latency fades as all that was observed does."""
    age = max(now - told.heard, 0.0)
    if node.heard < told.heard <= now:
        node.service, node.heard = told.service, told.heard
    if told.threshold < new:
        node.threshold = min(
            node.threshold, new + (told.threshold - new) * 0.5 ** (age / THRESHOLD_HALF_LIFE_S)
        )
    node.overload = node.overload or (told.overload and age < OVERLOAD_MEMORY_S)


def _restore_failures(node: NodeQueue, told: NodeRestartState, now: float) -> None:
    if told.failures and now < told.resting_until + FAILURE_MEMORY_S:
        node.failures = max(node.failures, told.failures)
        node.resting_until = max(node.resting_until, min(told.resting_until, now + FAILURE_MEMORY_S))


def _restore_slow_start(node: NodeQueue, told: NodeRestartState, now: float) -> None:
    """Take up what was sent, and the lot: one drawn anew in each incarnation would be more than one.

    All of what was sent counts as late as the last of it, so that none is forgotten too soon.
    """
    if told.sent > 0 and told.sent_at <= now:
        node.recent.add(told.sent_at, told.sent)
    if node.slot < 0:
        node.slot = told.slot


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
    credits = volume.credits + volume.full * (epoch - volume.epoch)
    beyond = volume.told if not volume.short else -inf
    if volume.epoch < 0 or not (credits < volume.full or beyond > -inf):
        return None
    return VolumeRestartState(volume.name, min(credits, volume.full), refilled, beyond)


def _node_memory(node: NodeQueue, now: float) -> NodeRestartState:
    sent = node.recent.total(now)
    return NodeRestartState(
        node.id or "",
        node.started,
        node.service,
        node.heard,
        node.threshold,
        node.overload,
        node.failures,
        node.resting_until,
        node.slot,
        sent,
        node.recent.last() if sent else -inf,
    )
