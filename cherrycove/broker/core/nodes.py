"""The node list, and the maintenance state that operators apply to it."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import nan

from cherrycove.scheduling import interface as api


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the node list, from any source."""

    name: str
    address: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # Unix time of its last start in ms; 0: unknown, taken as long ago
    state: api.NodeState = api.NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeList:
    """The node list at a version, or the changes up to that version."""

    version: int
    full: bool  # False: only changes
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Maintenance:
    """The maintenance state of the nodes.

    ``out``: nodes that operators took out of service. ``back``: nodes that were returned to service and whose
    restart is not reported by discovery yet.
    """

    # By name: the start time that discovery reported before.
    out: Mapping[str, float] = field(default_factory=dict)
    # By name: that start time, and the time of the return; both Unix time in ms.
    back: Mapping[str, tuple[float, float]] = field(default_factory=dict)

    def with_node_out(self, name: str, since_ms: float) -> Maintenance:
        """Return the state with this node out of service; ``since_ms`` is its reported start time."""
        if name in self.out:
            return self
        return Maintenance({**self.out, name: since_ms}, {k: v for k, v in self.back.items() if k != name})

    def with_node_back(self, name: str, returned_ms: float) -> Maintenance:
        """Return the state with this node back in service since ``returned_ms``, in Unix time."""
        if name not in self.out:
            return self
        return Maintenance(
            {k: v for k, v in self.out.items() if k != name},
            {**self.back, name: (self.out[name], returned_ms)},
        )

    def apply_to(self, reported: Member) -> Member:
        """Return the reported node with the maintenance state applied."""
        since, returned = self.back.get(reported.name, (nan, 0.0))
        if since == reported.since_ms:
            # The node was restarted while out of service, and discovery may report that seconds late.
            reported = replace(reported, since_ms=returned)
        if reported.name in self.out and reported.state is api.NodeState.UP:
            return replace(reported, state=api.NodeState.DRAINING)
        return reported

    def without_superseded(self, members: Mapping[str, Member]) -> Maintenance:
        """Return the state without returned nodes that were removed or whose restart is now reported."""
        back = {
            name: times
            for name, times in self.back.items()
            if name in members and members[name].since_ms == times[0]
        }
        return replace(self, back=back)


class NodeTable:
    """The reported nodes, and the maintenance state to apply to them. Owned by the core."""

    def __init__(self, loop_time: float) -> None:
        self.version: int | None = None  # of the node list; None: none was received yet
        self.update_count = 0  # number of updates applied
        self.maintenance = Maintenance()
        self.members: dict[str, Member] = {}  # by name, without maintenance
        # Computed once: a node's start time must not change when the wall clock is adjusted.
        self._unix_offset = time.time() - loop_time

    def apply(self, update: NodeList) -> None:
        """Apply a list or changes to it; the caller sets ``version``."""
        self.update_count += 1
        before = {} if update.full else self.members
        self.members = before | {m.name: m for m in update.members if m.state is not api.NodeState.GONE}
        for member in update.members:
            if member.state is api.NodeState.GONE:
                self.members.pop(member.name, None)
        self.maintenance = self.maintenance.without_superseded(self.members)

    def set_maintenance(self, state: Maintenance) -> list[Member]:
        """Replace the maintenance state; return the members it changes, without maintenance applied."""
        before, self.maintenance = self.maintenance, state
        return [m for m in self.members.values() if before.apply_to(m) != state.apply_to(m)]

    def is_up(self, name: str) -> bool:
        """Return whether the node is listed as up and not under maintenance."""
        member = self.members.get(name)
        return member is not None and self.maintenance.apply_to(member).state is api.NodeState.UP

    def any_up(self) -> bool:
        """Return whether any node is up and not under maintenance."""
        return any(
            self.maintenance.apply_to(member).state is api.NodeState.UP for member in self.members.values()
        )

    def loop_time(self, since_ms: float) -> float | None:
        """Convert a start time from Unix time to the event loop's clock; None if it is unknown (0)."""
        return since_ms / 1000 - self._unix_offset if since_ms > 0 else None

    def scheduler_update(
        self, version: int, kind: api.ListKind, members: Iterable[Member]
    ) -> api.NodeListUpdate:
        """Return the event that tells the scheduler of these members, with maintenance applied."""
        return api.NodeListUpdate(
            version,
            kind,
            tuple(
                api.Node(m.name, m.shard, m.zone, m.weight, self.loop_time(m.since_ms), m.state)
                for m in map(self.maintenance.apply_to, members)
            ),
        )
