"""Whether a request may run again, or be refused, once an attempt of it may have run.

The rule on duplicate effects (the second rule of the wire page). Silence is never proof that nothing ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cherrycove.scheduling.interface import Effect, Group, RequestClass


class NodeIdentity(Protocol):
    """A node as the rule sees it. ``incarnation`` counts the nodes and starts seen for the shard."""

    shard: int | None
    zone: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class PossibleRun:
    """The first attempt that may have run."""

    shard: int | None
    zone: int
    incarnation: int  # of the shard's node, when the attempt was sent
    until: float  # its node's group drops repeats that are sent by then


def record_possible_run(
    cls: RequestClass, node: NodeIdentity, incarnation: int, sent_at: float
) -> PossibleRun:
    """Return the record of an attempt that may have run at this node."""
    return PossibleRun(node.shard, node.zone, incarnation, sent_at + cls.repeat_window)


def may_repeat(cls: RequestClass, ran: PossibleRun | None, when: float, node: NodeIdentity | None) -> bool:
    """Whether an attempt sent then to this node (None: to some node) could not cause a second effect."""
    if ran is None or cls.effect is Effect.SAFE:
        return True
    if cls.effect is Effect.UNSAFE or when > ran.until:
        return False
    if node is None or cls.group is Group.ALL:
        return True
    if cls.group is Group.ZONE:
        return node.zone == ran.zone
    # Another node that now holds the shard, or the same one started anew, knows nothing of the first attempt.
    return (node.shard, node.incarnation) == (ran.shard, ran.incarnation)


def write_within(cls: RequestClass, ran: PossibleRun | None, now: float) -> float | None:
    """Return the time (s) within which a repeat must have left this machine; None: there is no bound.

    A connection may take a quarter of a second to come up, and the window may end meanwhile.
    """
    return None if ran is None or cls.effect is not Effect.KEYED else ran.until - now


def may_refuse(cls: RequestClass, ran: PossibleRun | None) -> bool:
    """Whether a client that asks again does no harm: its new request may go to any node, at any time."""
    return ran is None or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
