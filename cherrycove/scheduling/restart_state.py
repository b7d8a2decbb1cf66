"""State of nodes and volumes that one incarnation of a scheduler exports and the next one restores.

Restored state only restricts the scheduler or ranks nodes: it never permits anything that the scheduler would
not do without it. Each entry is restored once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf

from cherrycove.scheduling.interface import NodeRestartState, RestartState, VolumeRestartState
from cherrycove.scheduling.state import REFILL_PERIOD_S, NodeQueue, Volume

THRESHOLD_HALF_LIFE_S = 10.0  # in which a restored threshold moves half of the way to the initial one
FAILURE_VALID_S = 5.0  # after which restored failures of a node are ignored
OVERLOAD_VALID_S = 2.0  # after which a restored overload is ignored
SAME_START_TOLERANCE_S = 0.001  # difference allowed between two readings of one start time


class FormerIncarnation:
    """State of an earlier incarnation, restored when its nodes and volumes are first seen."""

    def __init__(self, former: RestartState | None = None) -> None:
        self._nodes: dict[str, NodeRestartState] = {node.id: node for node in former.nodes} if former else {}
        self._volumes: dict[str, VolumeRestartState] = (
            {each.name: each for each in former.volumes} if former else {}
        )

    def restore_node(self, node: NodeQueue, initial_threshold: float, now: float) -> float:
        """Restore the state of a node; return the end of its backoff, or ``now`` if that has passed.

        ``initial_threshold`` is the threshold of a node without statistics. State of another node
        with this name, or of another start of it, is discarded.
        """
        former = self._nodes.pop(node.id or "", None)
        if former is None or not _is_same_start(former.started, node.started):
            return now
        _restore_speed(node, former, initial_threshold, now)
        _restore_failures(node, former, now)
        _restore_slow_start(node, former, now)
        return max(node.backoff_until, now)

    def restore_volume(self, volume: Volume, epoch: int, now: float) -> None:
        """Restore the credits of a volume that is seen for the first time.

        Otherwise each incarnation would start with a full refill, and a broker restarted several times within
        a refill period would spend a volume's credits as many times.
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


def _restore_speed(node: NodeQueue, former: NodeRestartState, initial_threshold: float, now: float) -> None:
    """Restore latency, threshold and overload; the latency ages like an observed one."""
    age = max(now - former.last_served_at, 0.0)
    if node.last_served_at < former.last_served_at <= now:
        node.mean_latency_s, node.last_served_at = former.mean_latency_s, former.last_served_at
    if former.threshold < initial_threshold:
        node.threshold = min(
            node.threshold,
            initial_threshold + (former.threshold - initial_threshold) * 0.5 ** (age / THRESHOLD_HALF_LIFE_S),
        )
    node.overload = node.overload or (former.overload and age < OVERLOAD_VALID_S)


def _restore_failures(node: NodeQueue, former: NodeRestartState, now: float) -> None:
    if former.failures and now < former.backoff_until + FAILURE_VALID_S:
        node.failures = max(node.failures, former.failures)
        node.backoff_until = max(node.backoff_until, min(former.backoff_until, now + FAILURE_VALID_S))


def _restore_slow_start(node: NodeQueue, former: NodeRestartState, now: float) -> None:
    """Restore the units sent and the latest draw: otherwise each incarnation would draw in the same window.

    All units count as sent at the time of the latest of them, so that none expires too early.
    """
    if former.sent > 0 and former.sent_at <= now:
        node.sent_window.add(former.sent_at, former.sent)
    if node.draw_window < 0:
        node.draw_window = former.draw_window


def collect_restart_state(
    nodes: Iterable[NodeQueue],
    volumes: Mapping[str, Volume],
    epoch: int,
    now: float,
    refilled_at: float,
) -> RestartState:
    """Return the state for the next incarnation, with times on this one's clock.

    ``epoch`` is the number of the current refill, ``refilled_at`` the time at which it began.
    """
    node_states = tuple(_node_restart_state(node, now) for node in nodes if node.id is not None)
    volume_states = (_volume_restart_state(volume, epoch, refilled_at) for volume in volumes.values())
    known = tuple(each for each in volume_states if each is not None)
    return RestartState(node_states, known)


def _volume_restart_state(volume: Volume, epoch: int, refilled_at: float) -> VolumeRestartState | None:
    """Return the state of a volume; None if it has a full refill, as a new volume has."""
    credits = volume.credits + volume.refill_units * (epoch - volume.epoch)
    over_reserve_at = volume.use_reported_at if not volume.reserve_shortfall else -inf
    if volume.epoch < 0 or not (credits < volume.refill_units or over_reserve_at > -inf):
        return None
    return VolumeRestartState(volume.name, min(credits, volume.refill_units), refilled_at, over_reserve_at)


def _node_restart_state(node: NodeQueue, now: float) -> NodeRestartState:
    sent = node.sent_window.total(now)
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
        node.sent_window.last() if sent else -inf,
    )
