"""The node list and the maintenance that operators apply to it."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import nan

from cherrycove.scheduling import interface as api


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the node list, from whichever source."""

    name: str
    address: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # Unix time of its last start; 0: unknown, long ago
    state: api.NodeState = api.NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list of one version, or what has changed up to that version."""

    version: int
    full: bool  # otherwise only what has changed
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Nodes that operators took out, and nodes put back whose restart discovery does not know yet."""

    out: Mapping[str, float] = field(
        default_factory=dict
    )  # by name: the start that discovery had reported before
    back: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )  # that start, and the time of its return

    def with_node_out(self, name: str, since_ms: float) -> Maintenance:
        """Return the state with this node out, whose reported start is ``since_ms``."""
        if name in self.out:
            return self
        return Maintenance({**self.out, name: since_ms}, {k: v for k, v in self.back.items() if k != name})

    def with_node_back(self, name: str, returned_ms: float) -> Maintenance:
        """Return the state with this node back since ``returned_ms``, in Unix time."""
        if name not in self.out:
            return self
        return Maintenance(
            {k: v for k, v in self.out.items() if k != name},
            {**self.back, name: (self.out[name], returned_ms)},
        )

    def apply_to(self, reported: Member) -> Member:
        """Return the node as discovery reported it, with maintenance applied."""
        since, returned = self.back.get(reported.name, (nan, 0.0))
        if since == reported.since_ms:
            # It was restarted while out, and discovery may report that seconds late.
            reported = replace(reported, since_ms=returned)
        if reported.name in self.out and reported.state is api.NodeState.UP:
            return replace(reported, state=api.NodeState.DRAINING)
        return reported

    def without_superseded(self, members: Mapping[str, Member]) -> Maintenance:
        """Return the state without returned nodes that have left or whose restart discovery now reports."""
        back = {
            name: times
            for name, times in self.back.items()
            if name in members and members[name].since_ms == times[0]
        }
        return replace(self, back=back)


class NodeTable:
    """The nodes as their source reported them, joined with maintenance on request. The core owns it."""

    def __init__(self, loop_time: float) -> None:
        self.version: int | None = None  # None: there is no list yet
        self.updates = 0  # how often the list has changed
        self.maintenance = Maintenance()
        self.members: dict[str, Member] = {}  # by name, without maintenance
        # Fixed once: a node's start must not move when the wall clock is adjusted.
        self._unix_offset = time.time() - loop_time

    def apply(self, update: NodeList) -> None:
        """Apply a list or its changes; the version is the caller's to set."""
        self.updates += 1
        before = {} if update.full else self.members
        self.members = before | {m.name: m for m in update.members if m.state is not api.NodeState.GONE}
        for member in update.members:
            if member.state is api.NodeState.GONE:
                self.members.pop(member.name, None)
        self.maintenance = self.maintenance.without_superseded(self.members)

    def set_maintenance(self, state: Maintenance) -> list[Member]:
        """Replace the maintenance state; return the members that it changes, as reported."""
        before, self.maintenance = self.maintenance, state
        return [m for m in self.members.values() if before.apply_to(m) != state.apply_to(m)]

    def is_up(self, name: str) -> bool:
        """Return whether the node is in the list, and neither it nor its operators drain it."""
        member = self.members.get(name)
        return member is not None and self.maintenance.apply_to(member).state is api.NodeState.UP

    def any_up(self) -> bool:
        """Return whether any node is up."""
        return any(
            self.maintenance.apply_to(member).state is api.NodeState.UP for member in self.members.values()
        )

    def loop_time(self, since_ms: float) -> float | None:
        """Return a start in Unix time on the loop's clock; None if it is unknown."""
        return since_ms / 1000 - self._unix_offset if since_ms > 0 else None

    def scheduler_update(
        self, version: int, kind: api.ListKind, members: Iterable[Member]
    ) -> api.NodeListUpdate:
        """Return the scheduler's event for these members, with maintenance applied."""
        return api.NodeListUpdate(
            version,
            kind,
            tuple(
                api.Node(m.name, m.shard, m.zone, m.weight, self.loop_time(m.since_ms), m.state)
                for m in map(self.maintenance.apply_to, members)
            ),
        )
