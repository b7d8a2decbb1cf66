"""Whether a request may run again, and be refused, once an attempt of it may have run.

It owns what is known of that first attempt and the rule on duplicate effects (the wire page's second). It
must never choose a node or a time, and never take silence for proof that nothing ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cherrycove.scheduling.interface import Effect, Group, RequestClass


class Place(Protocol):
    """A node as the rule sees it. ``life`` counts the nodes and starts seen for the shard."""

    shard: int | None
    zone: int
    life: int


@dataclass(frozen=True, slots=True)
class Ran:
    """The first attempt that may have run."""

    shard: int | None
    zone: int
    life: int  # of the shard's node, when it was sent
    until: float  # its node's group drops repeats sent by then


def ran_at(cls: RequestClass, node: Place, life: int, sent_at: float) -> Ran:
    return Ran(node.shard, node.zone, life, sent_at + cls.repeat_window)


def may_repeat(cls: RequestClass, ran: Ran | None, when: float, node: Place | None) -> bool:
    """Whether an attempt sent then to this node (None: to some node) could not cause a second effect."""
    if ran is None or cls.effect is Effect.SAFE:
        return True
    if cls.effect is Effect.UNSAFE or when > ran.until:
        return False
    if node is None or cls.group is Group.ALL:
        return True
    if cls.group is Group.ZONE:
        return node.zone == ran.zone
    # Guard: another node that now holds the shard, or the same one started anew, knows nothing of the first.
    return (node.shard, node.life) == (ran.shard, ran.life)


def write_within(cls: RequestClass, ran: Ran | None, now: float) -> float | None:
    """The time that a repeat has to leave this machine whole, if there is a bound."""
    # Guard: a connection may take a quarter of a second to come up, and the window may end meanwhile.
    return None if ran is None or cls.effect is not Effect.KEYED else ran.until - now


def may_refuse(cls: RequestClass, ran: Ran | None) -> bool:
    """Whether a client that asks again does no harm: its new try may go to any node, at any time."""
    return ran is None or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
