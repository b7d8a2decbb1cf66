"""State that every role of a replica shares: promise, log, what is synced, what is committed."""

from __future__ import annotations

from collections import deque
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
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.log import IndexedMembership, Membership, ReplicatedLog, decode_members
from cherrycove.tier.replication.quorums import JointConfiguration
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot

CHUNK_BYTES = 1024 * 1024  # of a snapshot in one message
INITIAL_EPOCH = 0  # of the entry with the initial members, which counts as committed


class Role(Enum):
    BACKUP = "backup"  # also of a standby, which has no list or is not in it
    CANDIDATE = "candidate"
    PRIMARY = "primary"


@attrs.frozen
class SnapshotHeader:
    """A snapshot without its state, which stays on disk."""

    index: int
    epoch: int
    members: bytes
    state_bytes: int

    @staticmethod
    def of(snapshot: Snapshot) -> SnapshotHeader:
        return SnapshotHeader(snapshot.index, snapshot.epoch, snapshot.members, len(snapshot.state))


@attrs.define
class PendingWrite:
    """A write handed out and not reported as done."""

    ticket: int
    started: float
    hard_state: HardState | None = None
    snapshot: SnapshotHeader | None = None
    last_index: int = 0  # highest index that will be synced by it and was not replaced since


class ReplicaCore:
    """Shared state with the operations that keep it consistent. No clock, disk or socket."""

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
        self.faults = faults
        self.timing = timing
        self.random = random
        self._kept_entries = retained_entries
        self.chunk_bytes = chunk_bytes
        self.role = Role.BACKUP
        self.primary: MemberIdentity | None = None
        self.hard_state = recovered.hard_state
        self.durable_hard_state = recovered.hard_state
        self.effects = Effects()
        self.snapshot = SnapshotHeader.of(recovered.snapshot) if recovered.snapshot else None
        self.log = self._recovered_log(recovered)
        self.synced_index = self.log.last_index
        known = min(recovered.hard_state.commit_index, self.log.last_index)
        self.commit_index = max(self.log.base_index, known)
        self.pending: deque[PendingWrite] = deque()
        self.disk_failing = False
        self._tickets = 0
        self._joint_configuration: tuple[IndexedMembership, bool, JointConfiguration] | None = None
        if recovered.snapshot is not None:
            self.effects.restore = recovered.snapshot
        self.effects.committed.extend(self.log.entries(self.log.base_index + 1, self.commit_index))

    @staticmethod
    def _recovered_log(recovered: RecoveredState) -> ReplicatedLog:
        snapshot = recovered.snapshot
        if snapshot is None:
            log = ReplicatedLog()
        else:
            log = ReplicatedLog(snapshot.index, snapshot.epoch, decode_members(snapshot.members))
        if recovered.entries:
            log.append(recovered.entries)
        return log

    # Members

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return self.log.newest_members.members

    @property
    def membership(self) -> Membership:
        """Members and excluded ids of the newest list."""
        return self.log.newest_members.membership

    @property
    def is_member(self) -> bool:
        """Whether the newest list names this replica."""
        return any(member.member_id == self.identity.member_id for member in self.members)

    @property
    def is_voter(self) -> bool:
        """Whether a list that still has a say names this replica."""
        return self._voter_identity() is not None

    def _voter_identity(self) -> MemberIdentity | None:
        joint_configuration = self.joint_configuration()
        lists = (*joint_configuration.current, *(joint_configuration.previous or ()))
        return next((member for member in lists if member.member_id == self.identity.member_id), None)

    @property
    def is_electable(self) -> bool:
        """Whether a list that still has a say names this replica, at the address that it has.

        One that is being removed may hold the only log that is new enough, so it must be able to lead until
        the change is committed. A disk that was moved to another address must not: whoever has the listed
        address answers that the replica of this disk does not run."""
        listed = self._voter_identity()
        return listed is not None and listed.address == self.identity.address

    def has_uncommitted_change(self) -> bool:
        """Whether the newest member list is not known to be committed."""
        newest = self.log.newest_members
        return newest.index > self.commit_index and self.log.epoch_at(newest.index) != INITIAL_EPOCH

    def joint_configuration(self) -> JointConfiguration:
        newest = self.log.newest_members
        known = self._joint_configuration
        if known is None or known[0] is not newest or known[1] != self.has_uncommitted_change():
            known = self._joint_configuration = (
                newest,
                self.has_uncommitted_change(),
                self._make_joint_configuration(newest),
            )
        return known[2]

    def _make_joint_configuration(self, newest: IndexedMembership) -> JointConfiguration:
        if not self.has_uncommitted_change():
            return JointConfiguration(self.faults, newest.members)
        before = self.log.members_at(newest.index - 1).members
        return JointConfiguration(self.faults, newest.members, before, newest.index)

    def peers(self) -> list[MemberIdentity]:
        """The other replicas whose votes and copies count."""
        joint_configuration = self.joint_configuration()
        known = {member.member_id: member for member in joint_configuration.previous or ()}
        known.update({member.member_id: member for member in joint_configuration.current})
        known.pop(self.identity.member_id, None)
        return list(known.values())

    # Epoch and role

    @property
    def epoch(self) -> int:
        return self.hard_state.epoch

    def adopt_epoch(self, epoch: int, voted_for: str = "") -> None:
        """HardState a newer epoch, with a vote or without, and lead or stand no longer."""
        if epoch > self.hard_state.epoch:
            self.write_hard_state(HardState(epoch, voted_for, self.hard_state.commit_index))
            self.primary = None
            self.effects.changed = True
            self.role = Role.BACKUP

    def become(self, role: Role, primary: MemberIdentity | None) -> None:
        if (role, primary) != (self.role, self.primary):
            self.role = role
            self.primary = primary
            self.effects.changed = True

    def follow(self, primary: MemberIdentity) -> None:
        """``primary`` leads the newest epoch; the member list has its full identity, if it is there."""
        listed = (member for member in self.members if member.member_id == primary.member_id)
        self.become(Role.BACKUP, next(listed, primary))

    # Messages

    def send(self, receiver: MemberIdentity, message: Message) -> None:
        message.epoch = self.epoch
        self.effects.messages.append(OutgoingMessage(receiver, message))

    # Writes

    def _ticket(self) -> int:
        self._tickets += 1
        return self._tickets

    def write_hard_state(self, hard_state: HardState) -> None:
        self.hard_state = hard_state
        ticket = self._ticket()
        self.pending.append(PendingWrite(ticket, 0.0, hard_state=hard_state))
        self.effects.writes.append(WriteHardState(ticket, hard_state))

    def append(self, entries: Sequence[Entry], now: float) -> None:
        """Add entries to the log; where the first one's index is taken, it replaces what stands there."""
        first = entries[0].index
        members_before = self.log.newest_members
        self._forget_synced(first)
        self.log.append(entries)
        ticket = self._ticket()
        self.pending.append(PendingWrite(ticket, now, last_index=self.log.last_index))
        self.effects.writes.append(WriteEntries(ticket, list(entries)))
        if self.log.newest_members != members_before:
            self.effects.changed = True

    def _forget_synced(self, first: int) -> None:
        """Entries from ``first`` on are about to be replaced: what was synced there no longer counts."""
        self.synced_index = min(self.synced_index, first - 1)
        for write in self.pending:
            write.last_index = min(write.last_index, first - 1)

    def complete_writes(self, ticket: int) -> None:
        """All writes up to ``ticket`` are durable."""
        self.disk_failing = False
        while self.pending and self.pending[0].ticket <= ticket:
            write = self.pending.popleft()
            self.synced_index = max(self.synced_index, write.last_index)
            if write.hard_state is not None:
                self.durable_hard_state = write.hard_state
            if write.snapshot is not None:
                self.snapshot = write.snapshot
                self.log.compact(write.snapshot.index, self._kept_entries)

    @property
    def is_hard_state_durable(self) -> bool:
        """Whether this replica may act on its newest promise towards others."""
        return (self.durable_hard_state.epoch, self.durable_hard_state.voted_for) == (
            self.hard_state.epoch,
            self.hard_state.voted_for,
        )

    def stalled_since(self) -> float:
        """When the oldest unfinished write of entries was handed out; infinity if there is none."""
        return next((write.started for write in self.pending if write.hard_state is None), float("inf"))

    def skip_snapshot(self, ticket: int) -> None:
        """The snapshot of ``ticket`` could not be stored; log and older snapshot stay as they are."""
        for write in self.pending:
            if write.ticket == ticket:
                write.snapshot = None

    # Commit

    def advance_commit(self, index: int) -> bool:
        """Take entries up to ``index`` as committed; whether that was news."""
        if index <= self.commit_index:
            return False
        list_was_open = self.has_uncommitted_change()
        self.effects.committed.extend(self.log.entries(self.commit_index + 1, index))
        self.commit_index = index
        if list_was_open and not self.has_uncommitted_change():
            self._note_members_committed()
        return True

    def _note_members_committed(self) -> None:
        """After a restart, this replica must know that the list before has no say any more."""
        self.write_hard_state(attrs.evolve(self.hard_state, commit_index=self.log.newest_members.index))
        self.effects.changed = True

    # Snapshots

    def write_snapshot(self, snapshot: Snapshot, now: float, required: bool = False) -> int:
        """Store ``snapshot`` in place of the log up to it; the ticket of the write."""
        ticket = self._ticket()
        tail = self.log.entries(snapshot.index + 1, self.log.last_index)
        header = SnapshotHeader.of(snapshot)
        self.pending.append(PendingWrite(ticket, now, snapshot=header, last_index=self.log.last_index))
        self.effects.writes.append(WriteSnapshot(ticket, snapshot, tail, required))
        return ticket

    def install_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Replace the log by ``snapshot``, which is of committed entries not all held here."""
        self._forget_synced(1)
        self.log = ReplicatedLog(snapshot.index, snapshot.epoch, decode_members(snapshot.members))
        self.commit_index = snapshot.index
        self.effects.committed.clear()
        self.effects.restore = snapshot
        self.effects.changed = True
        self.write_snapshot(snapshot, now, required=True)
