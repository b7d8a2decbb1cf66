"""Effective membership of the group as one replica derives it from its log; it is stored nowhere else."""

from __future__ import annotations

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.log import ReplicatedLog
from cherrycove.tier.replication.membership import IndexedMembership, Members, Membership
from cherrycove.tier.replication.quorums import JointConfiguration, target_group_size

#: Epoch of the entry that lists the initial members; this entry counts as committed.
INITIAL_EPOCH = 0


@attrs.frozen
class _CachedConfiguration:
    newest: IndexedMembership
    configuration: JointConfiguration


class GroupMembership:
    """Derives the members of the group from the log of one replica.

    Owned by ``ReplicaCore``. A committed membership is in force alone; while a membership is uncommitted, the
    previous one is in force as well (``quorums.JointConfiguration``). Truncating or replacing the log
    restores an earlier membership.
    """

    def __init__(self, identity: MemberIdentity, faults: int, log: ReplicatedLog) -> None:
        """Create the view of ``log``; ``faults`` is the number of disks whose loss the group must survive."""
        self._identity = identity
        self._faults = faults
        self._log = log
        self._cached: _CachedConfiguration | None = None

    @property
    def members(self) -> Members:
        """Return the members of the newest membership, committed or not."""
        return self._log.newest_membership.members

    @property
    def newest(self) -> Membership:
        """Return the newest membership, committed or not."""
        return self._log.newest_membership.membership

    @property
    def target_size(self) -> int:
        """Return the number of members with which a majority survives the loss of ``faults`` disks."""
        return target_group_size(self._faults)

    @property
    def is_member(self) -> bool:
        """Return whether the newest membership includes this replica."""
        return any(member.member_id == self._identity.member_id for member in self.members)

    @property
    def is_voter(self) -> bool:
        """Return whether the joint configuration includes this replica."""
        return self._voter_identity() is not None

    @property
    def is_electable(self) -> bool:
        """Return whether the joint configuration includes this replica at its current address.

        A replica that is being removed may have the only log that is up to date, so it must be electable
        until the change is committed. A disk that was moved to another address must not lead: the process at
        its earlier address answers that the replica of this disk is not running.
        """
        voter = self._voter_identity()
        return voter is not None and voter.address == self._identity.address

    def _voter_identity(self) -> MemberIdentity | None:
        voters = self.joint_configuration().voters
        return next((voter for voter in voters if voter.member_id == self._identity.member_id), None)

    def has_uncommitted_change(self) -> bool:
        """Return whether the newest membership is not known to be committed."""
        newest = self._log.newest_membership
        if newest.index <= self._log.commit_index:
            return False
        return self._log.epoch_at(newest.index) != INITIAL_EPOCH

    def joint_configuration(self) -> JointConfiguration:
        """Return the members that currently count for quorums."""
        newest = self._log.newest_membership
        cached = self._cached
        if cached is not None and cached.newest is newest:
            is_joint = cached.configuration.previous is not None
            if is_joint == self.has_uncommitted_change():
                return cached.configuration
        configuration = self._make_joint_configuration(newest)
        self._cached = _CachedConfiguration(newest, configuration)
        return configuration

    def _make_joint_configuration(self, newest: IndexedMembership) -> JointConfiguration:
        if not self.has_uncommitted_change():
            return JointConfiguration(self._faults, newest.members)
        previous = self._log.membership_at(newest.index - 1).members
        return JointConfiguration(self._faults, newest.members, previous, newest.index)

    def peers(self) -> list[MemberIdentity]:
        """Return the other replicas of the joint configuration."""
        known = {voter.member_id: voter for voter in self.joint_configuration().voters}
        known.pop(self._identity.member_id, None)
        return list(known.values())

    def identity_of(self, replica: MemberIdentity) -> MemberIdentity:
        """Return the identity of ``replica`` in the newest membership, or ``replica`` if it is not listed."""
        known = (member for member in self.members if member.member_id == replica.member_id)
        return next(known, replica)
