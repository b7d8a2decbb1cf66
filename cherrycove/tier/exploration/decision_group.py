"""Models the replicated group of the controllers as one shared log.

The model has the properties that the exploration of the group verifies. There is at most one confirmed
primary, and it has applied all committed entries. When another controller becomes primary, any prefix of the
uncommitted entries is kept in order; the others are never committed.
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
    """Represents an entry of the shared log; an empty command makes it a no-op."""

    index: int
    epoch: int
    command: bytes


@attrs.define(eq=False)
class SharedLog:
    """Holds the log of the group, its primary and whether the lease of the primary is valid."""

    epoch: int = 1
    primary: int = 0  # index of the controller; NO_PRIMARY once that controller has restarted
    is_lease_valid: bool = True
    committed: list[LogEntry] = attrs.field(factory=list)
    pending: list[LogEntry] = attrs.field(factory=list)  # proposed in this epoch and not committed yet

    def append(self, command: bytes) -> LogEntry:
        """Append ``command`` as a proposal of the primary and return its entry."""
        entry = LogEntry(len(self.committed) + len(self.pending) + 1, self.epoch, command)
        self.pending.append(entry)
        return entry

    def commit_first(self) -> None:
        """Commit the first pending entry."""
        self.committed.append(self.pending.pop(0))

    def take_over(self, controller: int, kept: int) -> None:
        """Make ``controller`` the primary of a new epoch.

        It commits the first ``kept`` pending entries and a no-op; the other pending entries are discarded.
        """
        self.committed.extend(self.pending[:kept])
        self.epoch += 1
        self.committed.append(LogEntry(len(self.committed) + 1, self.epoch, b""))
        self.pending.clear()
        self.primary = controller
        self.is_lease_valid = True


class ControllerGroup:
    """Implements ``Group`` for one controller, as far as decisions on configurations need it."""

    def __init__(self, log: SharedLog, controller: int) -> None:
        self._log = log
        self._controller_index = controller
        self.state = ControlState()
        self.proposals = PendingProposals()
        self.applied = 0

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of this member."""
        return _identity(self._controller_index)

    @property
    def epoch(self) -> int:
        """Return the current epoch of the log."""
        return self._log.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        """Return the primary; None if there is none."""
        return None if self._log.primary == NO_PRIMARY else _identity(self._log.primary)

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Return no members: they are not modelled."""
        return ()

    def is_confirmed_primary(self) -> bool:
        """Return whether this member leads under a valid lease."""
        return self._log.is_lease_valid and self._log.primary == self._controller_index

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Propose ``command`` and wait up to ``timeout_s`` until it is committed or superseded."""
        if not self.is_confirmed_primary():
            return Err(Failure(ErrorKind.NOT_PRIMARY, "this controller is not the confirmed primary"))
        entry = self._log.append(command)
        future = self.proposals.add(entry.index, entry.epoch)
        return await self.proposals.wait(future, timeout_s)

    def apply_committed(self) -> None:
        """Apply the newly committed entries and resolve their proposals."""
        for entry in self._log.committed[self.applied :]:
            self.applied = entry.index
            outcome = self.state.apply(entry.index, entry.command) if entry.command else None
            self.proposals.resolve(entry.index, entry.epoch, outcome)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Do nothing: changes of members are not modelled."""

    def committed_members(self) -> None:
        """Return None: members are not modelled."""

    def voting_member_ids(self) -> frozenset[str]:
        """Return no member ids: members are not modelled."""
        return frozenset()

    def set_retiring(self, names: frozenset[str]) -> None:
        """Do nothing: changes of members are not modelled."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Do nothing: changes of role are not modelled."""


def _identity(controller: int) -> MemberIdentity:
    return MemberIdentity(f"controller{controller}", f"node{controller}", f"node{controller}:1")
