"""Mutations of the replication protocol: each disables one safety check, which must violate an invariant."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import attrs

from cherrycove.tier.replication import membership_policy, quorums
from cherrycove.tier.replication.backup import Backup
from cherrycove.tier.replication.candidate import Candidate
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.group_membership import GroupMembership
from cherrycove.tier.replication.learners import LearnerPromotion
from cherrycove.tier.replication.primary import Primary
from cherrycove.tier.replication.quorums import JointConfiguration
from cherrycove.tier.replication.voter import Voter

Patches = Iterator[Any]


def _acknowledge_before_sync() -> Patches:
    def match_index(backup: Any) -> int:
        return int(backup._verified_index)

    yield mock.patch.object(Backup, "_match_index", match_index)


def _commit_before_own_sync() -> Patches:
    append = ReplicaCore.append

    def synced_at_once(core: ReplicaCore, *arguments: Any) -> None:
        append(core, *arguments)
        core.writes.synced_index = core.log.last_index

    yield mock.patch.object(ReplicaCore, "append", synced_at_once)


def _vote_without_log_check() -> Patches:
    yield mock.patch.object(Voter, "_is_log_up_to_date", lambda voter, request: True)


def _shrink_write_quorum() -> Patches:
    election_quorum = quorums.election_quorum

    def unchanged(members: int, faults: int) -> int:
        return max(members - min(faults + 1, members) + 1, members // 2 + 1)

    assert unchanged(3, 1) == election_quorum(3, 1)
    yield mock.patch.object(quorums, "election_quorum", unchanged)
    yield mock.patch.object(quorums, "write_quorum", lambda members, faults: max(1, min(faults, members)))


def _vote_before_sync() -> Patches:
    yield mock.patch.object(ReplicaCore, "is_hard_state_durable", True)


def _vote_within_lease() -> Patches:
    yield mock.patch.object(Voter, "_must_honor_lease", lambda *arguments, **options: False)


def _commit_entries_of_older_epochs() -> Patches:
    init = Primary.__init__

    def from_the_start(primary: Any, *arguments: Any) -> None:
        init(primary, *arguments)
        primary._noop_index = 0

    yield mock.patch.object(Primary, "__init__", from_the_start)


def _use_new_members_alone() -> Patches:
    def joint_configuration(membership: Any) -> JointConfiguration:
        return JointConfiguration(membership._faults, membership.members)

    yield mock.patch.object(GroupMembership, "joint_configuration", joint_configuration)


def _ignore_leases_of_voters_not_restarted() -> Patches:
    def is_group_unbound(candidate: Any, campaign: Any, now: float) -> bool:
        core = candidate._core
        voters = {*campaign.incarnations, core.identity.member_id}
        return bool(core.membership.joint_configuration().has_election_quorum(voters))

    yield mock.patch.object(Candidate, "_is_group_without_primary", is_group_unbound)


def _ignore_incarnation_in_votes() -> Patches:
    def is_bound(voter: Any, request: Any, now: float, *, is_confirmed_primary: bool) -> bool:
        contact = voter._contact
        if request.life:
            return bool(is_confirmed_primary or contact.has_heard_primary(now))
        return bool(is_confirmed_primary or contact.may_have_renewed_lease(now))

    yield mock.patch.object(Voter, "_must_honor_lease", is_bound)


def _removed_primary_stays_confirmed() -> Patches:
    yield mock.patch.object(GroupMembership, "is_voter", True)


def _keep_unreachable_members() -> Patches:
    yield mock.patch.object(membership_policy, "_replace_unreachable_member", lambda view, standbys: None)


def _retire_while_others_are_unresponsive() -> Patches:
    view = LearnerPromotion._view

    def unaware(recruiting: Any, *arguments: Any) -> Any:
        return attrs.evolve(view(recruiting, *arguments), unresponsive=frozenset())

    yield mock.patch.object(LearnerPromotion, "_view", unaware)


MUTATIONS: dict[str, Callable[[], Patches]] = {
    "acknowledge-before-sync": _acknowledge_before_sync,
    "commit-before-own-sync": _commit_before_own_sync,
    "vote-without-log-check": _vote_without_log_check,
    "one-copy-fewer": _shrink_write_quorum,
    "vote-before-sync": _vote_before_sync,
    "vote-within-lease": _vote_within_lease,
    "count-copies-of-older-epochs": _commit_entries_of_older_epochs,
    "new-list-alone": _use_new_members_alone,
    "restarted-quorum-needs-no-lease-to-end": _ignore_leases_of_voters_not_restarted,
    "life-not-compared": _ignore_incarnation_in_votes,
    "removed-primary-stays-confirmed": _removed_primary_stays_confirmed,
    "silent-members-stay": _keep_unreachable_members,
    "retiring-while-others-are-silent": _retire_while_others_are_unresponsive,
}
WIPED_DISK_KEEPS_IDENTITY = "emptied-keeps-identity"  # a mutation of the simulated disks, not of the protocol
NAMES = (*MUTATIONS, WIPED_DISK_KEEPS_IDENTITY)


@contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply the mutation ``name`` within the context; any other name, such as "", applies none."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name]() if name in MUTATIONS else ():
            stack.enter_context(patch)
        yield
