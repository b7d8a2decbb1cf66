"""Sizes of quorums, and the proof that committed entries survive.

With f faults to survive and n members in force, an entry commits when W = min(f + 1, n) members have
synced it, and a candidate needs E = max(n - W + 1, n // 2 + 1) votes.

*One configuration.* E + W > n, so every election quorum intersects every commit quorum. E > n / 2, so any two
election quorums intersect and, with one synced vote per epoch, an epoch has at most one primary. A voter
grants its vote only to a log at least as up to date as its own (epoch of the last entry, then index: Raft,
section 5.4.1), and accepts no message of an epoch below its own. A primary counts replicas only for entries
of its own epoch, beginning with the no-op that it appends first (Raft, section 5.4.2). Hence an elected
primary has every entry that was committed in an earlier epoch. Otherwise, consider the first primary that
lacks such an entry. One of its voters had synced the entry when it voted, so the candidate's last entry is of
the same epoch as the voter's (then its log contains the entry, since an epoch has one primary, which never
rewrites its log), or of a newer epoch, whose primary had the entry and replicated its complete log.

*Joint configurations.* A members entry M replaces configuration C with C' as soon as it is appended; it is
appended only when the primary's no-op is committed and no other change is uncommitted. A change may swap one
member for another, so a majority of C and a majority of C' need not intersect. Therefore:

- M and the entries after it commit only when synced on W' members of C' and also on n - E + 1 members of C.
- A replica that does not know whether its newest members entry M is committed is elected, or confirmed in
  its lease, only by E' members of C' and by E members of C.

Two candidates of one epoch then share a voter: two candidates without M share one in C; a candidate with M
uncommitted also needs E members of C; and if a candidate knows M to be committed, no candidate without M can
win, since n - E + 1 synced replicas in C leave fewer than E voters there that would grant their vote to a log
without M. An entry before M commits with W members of C; a candidate without M needs E members of C, and a
candidate with M has the entry anyway. An entry after M commits only together with M or later, when candidates
without M cannot win and those with M need E' members of C', which intersect the W' replicas. Every entry
committed under C is on W' members of C' once M is committed, because logs have no gaps; so f disks may be
lost again from then on.

A voter reports its commit index. A candidate whose log has an entry of the same epoch at that index has the
same log up to it, and can thereby learn that M is committed.

A replica that M removes may have the only remaining log with M, so it may be primary until M is committed;
its own replica and vote count in C alone. Then it transfers its leadership.

A voter needs no configuration of its own: a candidate whose configuration contains the voter's member id
sends the request to that id, and the proof counts voters by the candidate's configuration. A wiped disk has a
new id and receives no requests, so it neither acknowledges nor votes before a members entry names it.
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
    """Return how many of ``members`` must have synced an entry before it commits."""
    return min(faults + 1, members)


def election_quorum(members: int, faults: int) -> int:
    """Return how many of ``members`` must vote for a candidate before it is elected."""
    return max(members - write_quorum(members, faults) + 1, members // 2 + 1)


def _highest_reached_by(
    count: int, members: Sequence[MemberIdentity], values: Mapping[str, Value], missing: Value
) -> Value:
    """Return the highest value that at least ``count`` of ``members`` have reached.

    ``missing`` is the value of members that are not in ``values``, and the result if there are fewer members
    than ``count``.
    """
    ordered = sorted([values.get(member.member_id, missing) for member in members], reverse=True)
    return ordered[count - 1] if 0 < count <= len(ordered) else missing


@attrs.frozen
class JointConfiguration:
    """Holds the members that count for quorums: the current ones and, during a change, the previous ones.

    ``previous`` is None when the current members are committed. Otherwise ``change_index`` is the index of
    the uncommitted members entry, and decisions need a quorum of both (Raft, section 6; here a change of one
    member, or a swap of two, is committed without a further entry).
    """

    faults: int
    current: tuple[MemberIdentity, ...]
    previous: tuple[MemberIdentity, ...] | None = None
    change_index: int = 0

    @property
    def voters(self) -> tuple[MemberIdentity, ...]:
        """Return all members that count, each once, with its address in the newest configuration."""
        by_id = {member.member_id: member for member in self.previous or ()}
        by_id.update({member.member_id: member for member in self.current})
        return tuple(by_id.values())

    def has_election_quorum(self, voters: Collection[str]) -> bool:
        """Return whether the votes of ``voters`` (member ids) elect a primary."""
        if not self._is_quorum(self.current, voters):
            return False
        return self.previous is None or self._is_quorum(self.previous, voters)

    def _is_quorum(self, members: tuple[MemberIdentity, ...], voters: Collection[str]) -> bool:
        votes = sum(member.member_id in voters for member in members)
        return bool(members) and votes >= election_quorum(len(members), self.faults)

    def lease_start(self, acknowledged: Mapping[str, float]) -> float:
        """Return the start of the lease: an election quorum has acknowledged messages sent then or later.

        ``acknowledged`` holds, by member id, the send time in seconds of the newest message answered.
        """
        since = self._quorum_lease_start(self.current, acknowledged)
        if self.previous is None:
            return since
        return min(since, self._quorum_lease_start(self.previous, acknowledged))

    def _quorum_lease_start(
        self, members: tuple[MemberIdentity, ...], acknowledged: Mapping[str, float]
    ) -> float:
        return _highest_reached_by(election_quorum(len(members), self.faults), members, acknowledged, NEVER)

    def committable_index(self, synced: Mapping[str, int]) -> int:
        """Return the highest index synced on enough replicas; the caller must check the epoch of its entry.

        ``synced`` holds the match index of each replica by member id.
        """
        reached = _highest_reached_by(write_quorum(len(self.current), self.faults), self.current, synced, 0)
        if self.previous is None:
            return reached
        size = len(self.previous)
        blocking_size = size - election_quorum(size, self.faults) + 1
        joint = min(reached, _highest_reached_by(blocking_size, self.previous, synced, 0))
        if joint >= self.change_index:
            return joint
        before_change = _highest_reached_by(write_quorum(size, self.faults), self.previous, synced, 0)
        return min(before_change, self.change_index - 1)
