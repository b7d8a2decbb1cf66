"""A group of controllers as the control plane sees it: one log, of which a new primary keeps any prefix.

It has the properties that the exploration of the group shows: one confirmed primary, which has applied all
that is committed; of the entries that were not committed when another becomes primary, some first ones are
kept in order, and the others are never committed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
from result import Err, Result

from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.pending_proposals import PendingProposals

NO_PRIMARY = -1


@attrs.frozen
class LogEntry:
    """An entry of the shared log; without a command it is a no-op."""

    index: int
    epoch: int
    command: bytes


@attrs.define(eq=False)
class SharedLog:
    """The group's log and its primary."""

    epoch: int = 1
    primary: int = 0  # index of a controller; NO_PRIMARY after that one has restarted
    lease: bool = True  # whether its lease is valid
    committed: list[LogEntry] = attrs.field(factory=list)
    pending: list[LogEntry] = attrs.field(factory=list)  # proposed in this epoch and not committed

    def append(self, command: bytes) -> LogEntry:
        """Append a proposal of the primary."""
        entry = LogEntry(len(self.committed) + len(self.pending) + 1, self.epoch, command)
        self.pending.append(entry)
        return entry

    def commit_first(self) -> None:
        """Commit the first pending entry."""
        self.committed.append(self.pending.pop(0))

    def take_over(self, controller: int, kept: int) -> None:
        """Make ``controller`` primary of a new epoch, which commits ``kept`` pending entries and a no-op."""
        self.committed.extend(self.pending[:kept])
        self.epoch += 1
        self.committed.append(LogEntry(len(self.committed) + 1, self.epoch, b""))
        self.pending.clear()
        self.primary = controller
        self.lease = True


class ControllerGroup:
    """One controller's member; implements ``Group`` as far as decisions on configurations need it."""

    def __init__(self, log: SharedLog, controller: int) -> None:
        self._log = log
        self._controller_index = controller
        self.state = ControlState()
        self.proposals = PendingProposals()
        self.applied = 0

    @property
    def identity(self) -> MemberIdentity:
        """Identity of this member."""
        return _identity(self._controller_index)

    @property
    def epoch(self) -> int:
        """Epoch of the log."""
        return self._log.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        """The primary, if there is one."""
        return None if self._log.primary == NO_PRIMARY else _identity(self._log.primary)

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """The members, which are not modelled."""
        return ()

    def is_confirmed_primary(self) -> bool:
        """Whether this member leads under a valid lease."""
        return self._log.lease and self._log.primary == self._controller_index

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Propose ``command``, and wait until it is committed or superseded, for ``timeout_s`` at most."""
        if not self.is_confirmed_primary():
            return Err(Failure(ErrorKind.NOT_PRIMARY, "does not lead"))
        entry = self._log.append(command)
        future = self.proposals.add(entry.index, entry.epoch)
        return await self.proposals.wait(future, timeout_s)

    def apply_committed(self) -> None:
        """Apply what is committed, and resolve the proposals among it."""
        for entry in self._log.committed[self.applied :]:
            self.applied = entry.index
            outcome = self.state.apply(entry.index, entry.command) if entry.command else None
            self.proposals.resolve(entry.index, entry.epoch, outcome)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Do nothing: changes of members are not modelled."""

    def committed_members(self) -> None:
        """Return nothing: members are not modelled."""

    def voting_member_ids(self) -> frozenset[str]:
        """Member ids, which are not modelled."""
        return frozenset()

    def set_retiring(self, names: frozenset[str]) -> None:
        """Do nothing: changes of members are not modelled."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Do nothing: changes of role are not modelled."""


def _identity(controller: int) -> MemberIdentity:
    return MemberIdentity(f"keeper{controller}", f"node{controller}", f"node{controller}:1")
