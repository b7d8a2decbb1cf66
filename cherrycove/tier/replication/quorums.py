"""Sizes of quorums, and why committed entries survive.

With f faults to be borne and n members in force: an entry commits when W = min(f + 1, n) members have
synced it, and a candidate needs E = max(n - W + 1, n // 2 + 1) votes.

*One list.* E + W > n, so every election quorum meets every commit quorum; and E > n / 2, so two election
quorums meet and, with one synced vote for each epoch, an epoch has at most one primary. A voter grants its
vote only to a log at least as new as its own (epoch of the last entry, then index), and accepts nothing of
an epoch below its promise. A primary counts copies only up to entries of its own epoch, beginning with the
no-op that it appends first. Hence whoever is elected holds every entry committed in an epoch before: take
the first primary for which it fails; a voter of it had synced the entry when it voted, so the candidate's
last entry is of the same epoch as the voter's (then its log contains the entry, since an epoch has one
primary that never rewrites its log), or of a newer epoch, whose primary held the entry and passed on its
log whole.

*Changed lists.* A members entry M replaces list C by C' as soon as it is appended; it is appended only when
the primary's no-op is committed and no other change is uncommitted. A change may swap one member for
another, so a majority of C and one of C' need not meet. Therefore:

- M and what follows commits only when synced on W' members of C' and, besides, on n - E + 1 members of C.
- A replica that does not know whether its newest members entry M is committed is elected, or confirmed in
  its lease, only by E' members of C' and by E members of C.

Two candidates of one epoch then meet in a voter: both without M meet in C; one with M uncommitted also
needs E of C; and one that knows M to be committed meets no candidate without M, since n - E + 1 synced
copies in C leave fewer than E voters there that would grant their vote to a log without M. An entry before
M commits with W of C; a candidate without M needs E of C, and a candidate with M holds the entry anyway. An
entry behind M commits only together with M or after it, when candidates without M are shut out and those
with M need E' of C', which meets the W' copies. Every entry committed under C stands on W' members of C'
once M is committed, because logs have no gaps; so f disks may be lost again from then on.

A voter tells what it knows to be committed. A candidate whose log has the same entry there, that is, an entry
of the same epoch at the same index, has the same log up to it, and so may know that M is committed.

A replica that M removes may hold the only log with M that is left, so it may lead until M is committed; its
own copy and vote count in C alone. Then it hands over.

A voter needs no list of its own: it is asked under its member id by a candidate that holds a list with that
id, and the argument counts voters by the candidate's list. An emptied disk has a new id, is asked by
nobody, and so neither promises nor votes before a members entry names it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import TypeVar

import attrs

from cherrycove.tier.replication.interface import MemberIdentity

NEVER = float("-inf")
Value = TypeVar("Value", int, float)


def write_quorum(members: int, faults: int) -> int:
    """Synced copies that commit an entry, of ``members`` in force."""
    return min(faults + 1, members)


def election_quorum(members: int, faults: int) -> int:
    """Votes that elect a primary, of ``members`` in force."""
    return max(members - write_quorum(members, faults) + 1, members // 2 + 1)


def _reached(
    values: Mapping[str, Value], members: Sequence[MemberIdentity], count: int, lowest: Value
) -> Value:
    """The highest value that ``count`` of ``members`` have reached; ``lowest`` for those without one."""
    ordered = sorted([values.get(member.member_id, lowest) for member in members], reverse=True)
    return ordered[count - 1] if 0 < count <= len(ordered) else lowest


@attrs.frozen
class JointConfiguration:
    """The members whose votes and copies count: the list in force; the one before while a change is open."""

    faults: int
    current: tuple[MemberIdentity, ...]
    previous: tuple[MemberIdentity, ...] | None = None  # None: the list in force is committed
    changed_at: int = 0  # index of the uncommitted members entry

    def has_election_quorum(self, voters: Collection[str]) -> bool:
        """Whether the votes of ``voters`` (member ids) make a primary."""
        if not self._majority(self.current, voters):
            return False
        return self.previous is None or self._majority(self.previous, voters)

    def _majority(self, members: tuple[MemberIdentity, ...], voters: Collection[str]) -> bool:
        votes = sum(member.member_id in voters for member in members)
        return bool(members) and votes >= election_quorum(len(members), self.faults)

    def confirmed_since(self, acknowledged: Mapping[str, float]) -> float:
        """The time up to which an election quorum has acknowledged this primary."""
        since = self._majority_since(self.current, acknowledged)
        if self.previous is None:
            return since
        return min(since, self._majority_since(self.previous, acknowledged))

    def _majority_since(
        self, members: tuple[MemberIdentity, ...], acknowledged: Mapping[str, float]
    ) -> float:
        return _reached(acknowledged, members, election_quorum(len(members), self.faults), NEVER)

    def committable_index(self, synced: Mapping[str, int]) -> int:
        """The highest index with enough synced copies; its epoch is the caller's to check."""
        count = write_quorum(len(self.current), self.faults)
        reached = _reached(synced, self.current, count, 0)
        if self.previous is None:
            return reached
        size = len(self.previous)
        blocking = size - election_quorum(size, self.faults) + 1
        joint = min(reached, _reached(synced, self.previous, blocking, 0))
        before = _reached(synced, self.previous, write_quorum(size, self.faults), 0)
        return joint if joint >= self.changed_at else min(before, self.changed_at - 1)
