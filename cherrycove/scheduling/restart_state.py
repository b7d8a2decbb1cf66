"""What one life of a scheduler leaves to the next: figures of nodes and volumes, taken down and taken up.

It owns which figures these are, how each has aged when it is taken up, and what it may do then: hold back, or
put in order. It must never permit what the scheduler would not do without it, and never be taken up twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf

from cherrycove.scheduling.interface import NodeMemory, Recalled, VolumeMemory
from cherrycove.scheduling.state import PERIOD, NodeQueue, Volume

HALF_LIFE = 10.0  # s in which a threshold of an earlier life has gone half of the way back to a new node's
FAILING = 5.0  # s after which a node at which nobody answered is tried as any other
OVERLOADED = 2.0  # s after which one that was overloaded counts as others do
SAME_START = 0.001  # s by which two readings of one start may differ


class Former:
    """The evidence of an earlier life, taken up as its nodes and volumes come."""

    def __init__(self, told: Recalled | None = None) -> None:
        self._nodes: dict[str, NodeMemory] = {node.id: node for node in told.nodes} if told else {}
        self._volumes: dict[str, VolumeMemory] = {each.name: each for each in told.volumes} if told else {}

    def meet(self, node: NodeQueue, new: float, now: float) -> float:
        """A node has begun a life here, or was there before its evidence came; ``new`` is the threshold of
        one that nothing is known of. Returns until when it rests, at least ``now``.

        Guard: evidence of another node under this name, or of an earlier start of it, is none.
        """
        told = self._nodes.pop(node.id or "", None)
        if told is None or not _same(told.started, node.started):
            return now
        age = max(now - told.heard, 0.0)
        if node.heard < told.heard <= now:
            node.service, node.heard = told.service, told.heard  # it fades as all that was heard does
        if told.threshold < new:
            node.threshold = min(node.threshold, new + (told.threshold - new) * 0.5 ** (age / HALF_LIFE))
        node.overload = node.overload or (told.overload and age < OVERLOADED)
        if told.failures and now < told.resting_until + FAILING:
            node.failures = max(node.failures, told.failures)
            node.resting_until = max(node.resting_until, min(told.resting_until, now + FAILING))
        if told.sent > 0 and told.sent_at <= now:
            # Guard: all of it as late as the last of it; what an earlier life sent is never counted too soon.
            node.recent.add(told.sent_at, told.sent)
        if node.slot < 0:
            node.slot = told.slot  # Guard: a lot drawn anew in each life is more than a lot
        return max(node.resting_until, now)

    def charge(self, volume: Volume, epoch: int, now: float) -> None:
        """A volume is seen here for the first time. Guard: each life's first refill was a whole one, so that
        a broker that was restarted in each period spent a volume's credit as often."""
        told = self._volumes.pop(volume.name, None)
        if told is None or told.at > now:
            return
        volume.epoch = epoch
        volume.credits = min(told.credits + volume.full * (now - told.at) / PERIOD, volume.full)
        if told.beyond <= now and told.beyond > volume.told:
            volume.short, volume.told = 0.0, told.beyond


def _same(one: float | None, other: float | None) -> bool:
    return one is other if one is None or other is None else abs(one - other) < SAME_START


def taken_down(
    nodes: Iterable[NodeQueue],
    volumes: Mapping[str, Volume],
    budgets: Mapping[int, float],
    epoch: int,
    now: float,
    refilled: float,
) -> Recalled:
    """What the next life may know, in this one's clock; ``refilled`` is when the present period began."""
    kept = []
    for each in volumes.values():
        credits = each.credits + each.full * (epoch - each.epoch)
        beyond = each.told if not each.short else -inf
        # One with a whole refill is as one unknown.
        if each.epoch >= 0 and (credits < each.full or beyond > -inf):
            kept.append(VolumeMemory(each.name, min(credits, each.full), refilled, beyond))
    return Recalled(
        tuple(_node(node, now) for node in nodes if node.id is not None), tuple(kept), dict(budgets)
    )


def _node(node: NodeQueue, now: float) -> NodeMemory:
    sent = node.recent.total(now)
    return NodeMemory(
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
