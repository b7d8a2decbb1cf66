"""State that all roles of a replica share: hard state, log, synced index and commit index."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.effects import (
    Effects,
    OutgoingMessage,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from cherrycove.tier.replication.group_membership import GroupMembership
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.log import ReplicatedLog
from cherrycove.tier.replication.membership import decode_members
from cherrycove.tier.replication.pending_writes import PendingWrites, SnapshotHeader
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot

#: Maximum size of the snapshot data in one message.
CHUNK_BYTES = 1024 * 1024


class Role(Enum):
    """The role of a replica in its epoch. A standby, which is not a member, also has the role BACKUP."""

    BACKUP = "backup"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


def _recovered_log(recovered: RecoveredState) -> ReplicatedLog:
    snapshot = recovered.snapshot
    if snapshot is None:
        log = ReplicatedLog()
    else:
        log = ReplicatedLog(snapshot.index, snapshot.epoch, decode_members(snapshot.members))
    if recovered.entries:
        log.append(recovered.entries)
    log.commit_to(max(log.base_index, min(recovered.hard_state.commit_index, log.last_index)))
    return log


class ReplicaCore:
    """Holds the state shared by the roles and keeps it consistent; uses no clock, disk or socket.

    Owned by ``ReplicaMachine``; the roles (``Elections``, ``Backup``, ``Primary``) change it only through its
    methods. A call that changes state that must survive a restart also emits the write of it, and the change
    is acknowledged to other replicas only after ``writes`` reports it as durable.
    """

    def __init__(
        self,
        identity: MemberIdentity,
        faults: int,
        recovered: RecoveredState,
        timing: Timing,
        random: Random,
        retained_entries: int,
        chunk_bytes: int,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.random = random
        self.chunk_bytes = chunk_bytes
        self.role = Role.BACKUP
        self.primary: MemberIdentity | None = None
        self.hard_state = recovered.hard_state
        self.log = _recovered_log(recovered)
        self.membership = GroupMembership(identity, faults, self.log)
        self.writes = PendingWrites(recovered.hard_state, self.log.last_index)
        self.snapshot = SnapshotHeader.of(recovered.snapshot) if recovered.snapshot else None
        self.is_disk_failing = False
        self._retained_entries = retained_entries
        self._effects = Effects(restore=recovered.snapshot)
        self._effects.committed.extend(self.log.entries(self.log.base_index + 1, self.log.commit_index))

    def take_effects(self) -> Effects:
        """Return the effects collected since the last call, and clear them."""
        effects, self._effects = self._effects, Effects()
        return effects

    # Epoch and role

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this replica."""
        return self.hard_state.epoch

    def adopt_epoch(self, epoch: int, voted_for: str = "") -> None:
        """Become a backup in ``epoch`` if it is newer, with a vote for ``voted_for`` unless that is empty."""
        if epoch <= self.epoch:
            return
        self.write_hard_state(HardState(epoch, voted_for, self.hard_state.commit_index))
        self.primary = None
        self.role = Role.BACKUP
        self._effects.changed = True

    def start_epoch_as_candidate(self) -> None:
        """Become a candidate of the next epoch and vote for itself in it."""
        vote = HardState(self.epoch + 1, self.identity.member_id, self.hard_state.commit_index)
        self.write_hard_state(vote)
        self.become(Role.CANDIDATE, None)
        self._effects.changed = True

    def vote_for(self, candidate: MemberIdentity) -> None:
        """Vote for ``candidate`` in the current epoch, in which no vote may have been cast yet."""
        self.write_hard_state(attrs.evolve(self.hard_state, voted_for=candidate.member_id))

    def become(self, role: Role, primary: MemberIdentity | None) -> None:
        """Take ``role`` in the current epoch; ``primary`` is the primary of that epoch, None if unknown."""
        if (role, primary) != (self.role, self.primary):
            self.role = role
            self.primary = primary
            self._effects.changed = True

    def follow(self, primary: MemberIdentity) -> None:
        """Become a backup of ``primary``, the primary of the current epoch."""
        self.become(Role.BACKUP, self.membership.identity_of(primary))

    # Messages

    def send(self, receiver: MemberIdentity, message: Message) -> None:
        """Send ``message`` to ``receiver`` with the current epoch."""
        message.epoch = self.epoch
        self._effects.messages.append(OutgoingMessage(receiver, message))

    # Writes

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace the hard state and emit its write."""
        self.hard_state = hard_state
        ticket = self.writes.add_hard_state(hard_state)
        self._effects.writes.append(WriteHardState(ticket, hard_state))

    def append(self, entries: Sequence[Entry], now: float) -> None:
        """Append entries to the log; they replace those from the first one's index on."""
        membership_before = self.log.newest_membership
        self.writes.invalidate_from(entries[0].index)
        self.log.append(entries)
        ticket = self.writes.add_entries(self.log.last_index, now)
        self._effects.writes.append(WriteEntries(ticket, list(entries)))
        if self.log.newest_membership != membership_before:
            self._effects.changed = True

    def complete_writes(self, ticket: int) -> None:
        """Record that all writes up to ``ticket`` are durable; compact the log after a durable snapshot."""
        self.is_disk_failing = False
        for snapshot in self.writes.complete(ticket):
            self.snapshot = snapshot
            self.log.compact(snapshot.index, self._retained_entries)

    @property
    def is_hard_state_durable(self) -> bool:
        """Return whether epoch and vote are durable, so that messages to others may depend on them."""
        durable = self.writes.durable_hard_state
        return (durable.epoch, durable.voted_for) == (self.hard_state.epoch, self.hard_state.voted_for)

    # Commit

    def advance_commit(self, index: int) -> bool:
        """Commit the entries up to ``index``; return whether any of them was not committed before."""
        if index <= self.log.commit_index:
            return False
        had_uncommitted_change = self.membership.has_uncommitted_change()
        self._effects.committed.extend(self.log.commit_to(index))
        if had_uncommitted_change and not self.membership.has_uncommitted_change():
            self._record_committed_membership()
        return True

    def _record_committed_membership(self) -> None:
        """Persist that the change is committed, so that the previous members have no vote after a restart."""
        index = self.log.newest_membership.index
        self.write_hard_state(attrs.evolve(self.hard_state, commit_index=index))
        self._effects.changed = True

    # Snapshots

    def write_snapshot(self, snapshot: Snapshot, now: float, *, required: bool = False) -> int:
        """Replace the log up to ``snapshot`` with it on disk; return the ticket of the write."""
        tail = self.log.entries(snapshot.index + 1, self.log.last_index)
        ticket = self.writes.add_snapshot(SnapshotHeader.of(snapshot), self.log.last_index, now)
        self._effects.writes.append(WriteSnapshot(ticket, snapshot, tail, required=required))
        return ticket

    def install_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Replace the log with ``snapshot``, which covers committed entries that this replica lacks."""
        self.writes.invalidate_from(1)
        self.log.reset(snapshot.index, snapshot.epoch, decode_members(snapshot.members))
        self._effects.committed.clear()
        self._effects.restore = snapshot
        self._effects.changed = True
        self.write_snapshot(snapshot, now, required=True)
