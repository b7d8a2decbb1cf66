"""Whether a request may be repeated or refused after an attempt that may have been executed.

This is the rule on duplicate execution (rule 2 of the wire protocol page). A missing answer never proves that
an attempt was not executed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cherrycove.scheduling.interface import Effect, Group, RequestClass


class NodeIdentity(Protocol):
    """The identity of a node. ``incarnation`` counts the nodes and node starts seen for the shard."""

    shard: int | None
    zone: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class PossibleRun:
    """The first attempt of a request that may have been executed."""

    shard: int | None
    zone: int
    incarnation: int  # of the shard's node when the attempt was sent
    until: float  # the node's group drops repeats sent until then


def record_possible_run(
    cls: RequestClass, node: NodeIdentity, incarnation: int, sent_at: float
) -> PossibleRun:
    """Return the record of an attempt that this node may have executed."""
    return PossibleRun(node.shard, node.zone, incarnation, sent_at + cls.repeat_window)


def may_repeat(cls: RequestClass, ran: PossibleRun | None, when: float, node: NodeIdentity | None) -> bool:
    """Return whether an attempt sent at this time to this node (None: any node) cannot take effect twice."""
    if ran is None or cls.effect is Effect.SAFE:
        return True
    if cls.effect is Effect.UNSAFE or when > ran.until:
        return False
    if node is None or cls.group is Group.ALL:
        return True
    if cls.group is Group.ZONE:
        return node.zone == ran.zone
    # A replacement node, or the same node after a restart, has no record of the first attempt.
    return (node.shard, node.incarnation) == (ran.shard, ran.incarnation)


def write_within(cls: RequestClass, ran: PossibleRun | None, now: float) -> float | None:
    """Return the time (s) within which a repeat must be sent; None if there is no bound.

    Connecting may take a quarter of a second, and the window in which repeats are dropped may end meanwhile.
    """
    return None if ran is None or cls.effect is not Effect.KEYED else ran.until - now


def may_refuse(cls: RequestClass, *, may_have_run: bool) -> bool:
    """Return whether the client may safely retry: its new request may go to any node, at any time."""
    if not may_have_run or cls.effect is Effect.SAFE:
        return True
    return cls.effect is Effect.KEYED and cls.group is Group.ALL
