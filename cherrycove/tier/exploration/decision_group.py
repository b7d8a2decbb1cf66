"""A group of keepers as their plane sees it: one log, of which a change of primary keeps what it likes.

What is relied on here is what the exploration of the group shows: one confirmed primary that has applied all
that is committed; entries that were not committed when another took over are kept in order up to some point,
and those behind it are never committed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
from result import Err, Result

from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.pending_proposals import PendingProposals

NOBODY = -1


@attrs.frozen
class LogEntry:
    index: int
    epoch: int
    command: bytes


@attrs.define(eq=False)
class SharedLog:
    """The group's log, and who leads."""

    epoch: int = 1
    primary: int = 0  # place of the keeper that leads; NOBODY after it started again
    lease: bool = True  # whether its lease is valid
    committed: list[LogEntry] = attrs.field(factory=list)
    pending: list[LogEntry] = attrs.field(factory=list)  # proposed in this epoch and not committed

    def append(self, command: bytes) -> LogEntry:
        entry = LogEntry(len(self.committed) + len(self.pending) + 1, self.epoch, command)
        self.pending.append(entry)
        return entry

    def commit_first(self) -> None:
        self.committed.append(self.pending.pop(0))

    def take_over(self, place: int, kept: int) -> None:
        """The keeper at ``place`` leads a new epoch, and commits ``kept`` entries before it is confirmed.

        Its no-op takes the place of the next entry."""
        self.committed.extend(self.pending[:kept])
        self.epoch += 1
        self.committed.append(LogEntry(len(self.committed) + 1, self.epoch, b""))
        self.pending.clear()
        self.primary = place
        self.lease = True


class KeeperGroup:
    """Implements ``Group`` for one keeper as far as the decisions on configurations need it."""

    def __init__(self, log: SharedLog, place: int) -> None:
        self._log = log
        self._place = place
        self.state = ControlState()
        self.proposals = PendingProposals()
        self.applied = 0

    @property
    def identity(self) -> MemberIdentity:
        return _identity(self._place)

    @property
    def epoch(self) -> int:
        return self._log.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        return None if self._log.primary == NOBODY else _identity(self._log.primary)

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return ()

    def is_confirmed_primary(self) -> bool:
        return self._log.lease and self._log.primary == self._place

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        if not self.is_confirmed_primary():
            return Err(Failure(ErrorKind.NOT_PRIMARY, "does not lead"))
        entry = self._log.append(command)
        future = self.proposals.add(entry.index, entry.epoch)
        return await self.proposals.wait(future, timeout_s)

    def learn(self) -> None:
        """Apply what is committed, and tell whoever waits for it."""
        for entry in self._log.committed[self.applied :]:
            self.applied = entry.index
            outcome = self.state.apply(entry.index, entry.command) if entry.command else None
            self.proposals.resolve(entry.index, entry.epoch, outcome)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Members do not change here."""

    def committed_members(self) -> None:
        """Members are not asked for here."""

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset()

    def retire(self, names: frozenset[str]) -> None:
        """Members do not change here."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Nothing here listens to changes of role."""


def _identity(place: int) -> MemberIdentity:
    return MemberIdentity(f"keeper{place}", f"node{place}", f"node{place}:1")
