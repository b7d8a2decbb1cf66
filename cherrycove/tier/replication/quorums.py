"""Sizes of quorums, and why committed entries survive.

With f faults to survive and n members in force: an entry commits when W = min(f + 1, n) members have
synced it, and a candidate needs E = max(n - W + 1, n // 2 + 1) votes.

*One configuration.* E + W > n, so every election quorum meets every commit quorum; and E > n / 2, so two
election quorums meet and, with one synced vote for each epoch, an epoch has at most one primary. A voter
grants its vote only to a log at least as up to date as its own (epoch of the last entry, then index: Raft,
section 5.4.1), and accepts nothing of an epoch below its own. A primary counts replicas only up to entries of
its own epoch, beginning with the no-op that it appends first (Raft, section 5.4.2). Hence whoever is elected
has every entry committed in an epoch before: take the first primary for which it fails; a voter of it had
synced the entry when it voted, so the candidate's last entry is of the same epoch as the voter's (then its
log contains the entry, since an epoch has one primary that never rewrites its log), or of a newer epoch,
whose primary had the entry and replicated its complete log.

*Joint configurations.* A members entry M replaces configuration C by C' as soon as it is appended; it is
appended only when the primary's no-op is committed and no other change is uncommitted. A change may swap one
member for another, so a majority of C and one of C' need not meet. Therefore:

- M and what follows commits only when synced on W' members of C' and, besides, on n - E + 1 members of C.
- A replica that does not know whether its newest members entry M is committed is elected, or confirmed in
  its lease, only by E' members of C' and by E members of C.

Two candidates of one epoch then meet in a voter: both without M meet in C; one with M uncommitted also
needs E of C; and one that knows M to be committed meets no candidate without M, since n - E + 1 synced
replicas in C leave fewer than E voters there that would grant their vote to a log without M. An entry before
M commits with W of C; a candidate without M needs E of C, and a candidate with M has the entry anyway. An
entry after M commits only together with M or later, when candidates without M cannot win and those with M
need E' of C', which meets the W' replicas. Every entry committed under C is on W' members of C' once M is
committed, because logs have no gaps; so f disks may be lost again from then on.

A voter reports what it knows to be committed. A candidate whose log has the same entry there, that is, an
entry of the same epoch at the same index, has the same log up to it, and so may know that M is committed.

A replica that M removes may have the only log with M that is left, so it may lead until M is committed; its
own replica and vote count in C alone. Then it transfers its leadership.

A voter needs no configuration of its own: it is asked under its member id by a candidate whose configuration
has that id, and the argument counts voters by the candidate's configuration. A wiped disk has a new id, is
asked by nobody, and so neither acknowledges nor votes before a members entry names it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import TypeVar

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.timing import NEVER

Value = TypeVar("Value", int, float)


def target_group_size(faults: int) -> int:
    """Return the number of members with which a majority survives the loss of ``faults`` of them."""
    return 2 * faults + 1


def write_quorum(members: int, faults: int) -> int:
    """Return how many of ``members`` must have synced an entry that commits."""
    return min(faults + 1, members)


def election_quorum(members: int, faults: int) -> int:
    """Return how many of ``members`` must vote for a candidate that is elected."""
    return max(members - write_quorum(members, faults) + 1, members // 2 + 1)


def _reached_by(
    count: int, members: Sequence[MemberIdentity], values: Mapping[str, Value], missing: Value
) -> Value:
    """Return the highest value that ``count`` of ``members`` have reached; ``missing`` stands for none."""
    ordered = sorted([values.get(member.member_id, missing) for member in members], reverse=True)
    return ordered[count - 1] if 0 < count <= len(ordered) else missing


@attrs.frozen
class JointConfiguration:
    """The members whose votes and replicas count: the current ones, and the previous ones during a change.

    ``previous`` is None when the current members are committed. Otherwise ``change_index`` is the index of
    the uncommitted members entry, and decisions need a quorum of both (Raft, section 6; here a change of one
    member, or a swap of two, becomes committed without a further entry).
    """

    faults: int
    current: tuple[MemberIdentity, ...]
    previous: tuple[MemberIdentity, ...] | None = None
    change_index: int = 0

    @property
    def voters(self) -> tuple[MemberIdentity, ...]:
        """All members that count, each once, at the address that the newest configuration gives."""
        by_id = {member.member_id: member for member in self.previous or ()}
        by_id.update({member.member_id: member for member in self.current})
        return tuple(by_id.values())

    def has_election_quorum(self, voters: Collection[str]) -> bool:
        """Whether the votes of ``voters`` (member ids) elect a primary."""
        if not self._is_quorum(self.current, voters):
            return False
        return self.previous is None or self._is_quorum(self.previous, voters)

    def _is_quorum(self, members: tuple[MemberIdentity, ...], voters: Collection[str]) -> bool:
        votes = sum(member.member_id in voters for member in members)
        return bool(members) and votes >= election_quorum(len(members), self.faults)

    def lease_start(self, acknowledged: Mapping[str, float]) -> float:
        """Return the time up to which an election quorum has acknowledged this primary.

        ``acknowledged`` holds, by member id, the sending time in seconds of the newest message answered.
        """
        since = self._quorum_since(self.current, acknowledged)
        if self.previous is None:
            return since
        return min(since, self._quorum_since(self.previous, acknowledged))

    def _quorum_since(self, members: tuple[MemberIdentity, ...], acknowledged: Mapping[str, float]) -> float:
        return _reached_by(election_quorum(len(members), self.faults), members, acknowledged, NEVER)

    def committable_index(self, synced: Mapping[str, int]) -> int:
        """Return the highest index synced on enough replicas; its epoch is the caller's to check.

        ``synced`` holds the match index of each replica by member id.
        """
        reached = _reached_by(write_quorum(len(self.current), self.faults), self.current, synced, 0)
        if self.previous is None:
            return reached
        size = len(self.previous)
        blocking_size = size - election_quorum(size, self.faults) + 1
        joint = min(reached, _reached_by(blocking_size, self.previous, synced, 0))
        if joint >= self.change_index:
            return joint
        before_change = _reached_by(write_quorum(size, self.faults), self.previous, synced, 0)
        return min(before_change, self.change_index - 1)
