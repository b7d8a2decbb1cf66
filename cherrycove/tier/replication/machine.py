"""The replica as a pure machine: events in, effects out.

Every event brings the time (monotonic seconds). After each event the caller takes the effects, hands the
writes to its writer in order, applies what was committed and sends the messages.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.core import CHUNK_BYTES, ReplicaCore, Role
from cherrycove.tier.replication.effects import Effects
from cherrycove.tier.replication.group_membership import INITIAL_EPOCH
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.log import RETAINED_ENTRIES
from cherrycove.tier.replication.membership import encode_members
from cherrycove.tier.replication.message_dispatcher import MessageDispatcher
from cherrycove.tier.replication.roles import ReplicaRoles
from cherrycove.tier.replication.snapshot_sender import SnapshotSource
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshot_state import SnapshotState
from cherrycove.tier.storage.snapshots import Snapshot


class ReplicaMachine:
    """One replica of a group.

    Owned by ``ReplicaDriver``, or by a simulated process, for the lifetime of that process; a new process
    makes a new machine from what its disk has. States are the roles (``core.Role``). The machine fails only
    with its process: a failed write makes it try once to transfer leadership, a lost message is repeated, and
    its methods raise nothing for what other replicas send.
    """

    def __init__(
        self,
        identity: MemberIdentity,
        faults: int,
        recovered: RecoveredState,
        source: SnapshotSource,
        random: Random,
        now: float,
        *,
        timing: Timing | None = None,
        membership_requests: MembershipRequests | None = None,
        retained_entries: int = RETAINED_ENTRIES,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        """Start from ``recovered``, with the loss of ``faults`` disks to survive.

        ``membership_requests`` may change at any time. ``retained_entries`` that a snapshot covers stay in
        memory; a snapshot is sent in chunks of ``chunk_bytes``.
        """
        timing = timing or Timing()
        is_disk_new = recovered.snapshot is None and not recovered.entries and recovered.hard_state.epoch == 0
        self._core = ReplicaCore(identity, faults, recovered, timing, random, retained_entries, chunk_bytes)
        requests = membership_requests or MembershipRequests()
        self._roles = ReplicaRoles(self._core, requests, source, now, is_disk_new=is_disk_new)
        self._dispatcher = MessageDispatcher(self._core, self._roles)
        self._ticked_at = now

    # State

    @property
    def role(self) -> Role:
        """The role in the present epoch."""
        return self._core.role

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""
        return self._core.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        """The primary of the present epoch; None while unknown."""
        return self._core.primary

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Members of the newest membership in the log, committed or not."""
        return self._core.membership.members

    @property
    def commit_index(self) -> int:
        """Entries up to here are known to be committed."""
        return self._core.log.commit_index

    @property
    def last_index(self) -> int:
        """Index of the newest entry of the log."""
        return self._core.log.last_index

    @property
    def base_index(self) -> int:
        """Entries up to here are in the snapshot only."""
        return self._core.log.base_index

    @property
    def has_pending_writes(self) -> bool:
        """Whether any write is not reported as durable."""
        return not self._core.writes.is_empty

    def epoch_at(self, index: int) -> int | None:
        """Return the epoch of the log entry at ``index``; None where it is not in memory."""
        return self._core.log.epoch_at(index)

    def voting_member_ids(self) -> frozenset[str]:
        """Return the ids of all members whose votes count here, during a change also the previous ones."""
        voters = self._core.membership.joint_configuration().voters
        return frozenset(voter.member_id for voter in voters)

    def committed_members(self, now: float) -> CommittedMembers | None:
        """Return the members in force; None during a change, or if this replica is not confirmed."""
        core = self._core
        if core.membership.has_uncommitted_change() or not self.is_confirmed_primary(now):
            return None
        newest = core.log.newest_membership
        return CommittedMembers(newest.index, newest.members, frozenset(newest.membership.excluded))

    def is_confirmed_primary(self, now: float) -> bool:
        """Whether this replica leads under a valid lease and has committed an entry of its epoch."""
        return self._roles.is_confirmed_primary(now)

    def take_effects(self) -> Effects:
        """Return what is to be done since effects were taken last."""
        return self._core.take_effects()

    # Events

    def bootstrap(self, members: Sequence[MemberIdentity], now: float) -> None:
        """Begin the group with ``members``; ignored where anything is logged or this replica is not in it.

        Every initial member writes the same entry, of epoch 0, which counts as committed.
        """
        core = self._core
        is_initial_member = any(member.member_id == core.identity.member_id for member in members)
        if core.log.last_index > 0 or not is_initial_member:
            return
        core.append([Entry(1, INITIAL_EPOCH, EntryKind.MEMBERS, encode_members(members))], now)
        core.advance_commit(1)
        if core.epoch == 0:
            self._roles.elections.expect_first_election(now)

    def propose(self, command: bytes, now: float) -> int | None:
        """Append ``command``; return its index, or None if this replica is not the confirmed primary."""
        primary = self._roles.primary
        if primary is None or not primary.is_confirmed_primary(now):
            return None
        return primary.propose(command, now)

    def tick(self, now: float) -> None:
        """Time has passed; due some ten times a second or more."""
        if now - self._ticked_at > self._core.timing.election_timeout_s / 2:
            # This process was suspended: messages that arrived meanwhile are handled before it campaigns.
            self._roles.elections.postpone(now)
        self._ticked_at = now
        primary = self._roles.primary
        if primary is not None:
            primary.tick(now)
        else:
            self._roles.elections.tick(now)
        self._roles.update(now)

    def receive(self, sender: MemberIdentity, message: Message, now: float) -> None:
        """Handle a message from ``sender``, addressed to this replica's member id."""
        self._dispatcher.dispatch(sender, message, now)
        self._roles.update(now)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """The process at the address of ``member_id`` answered that it has another disk."""
        self._roles.elections.record_disk_replaced(member_id, now)
        self._roles.update(now)

    def transfer_leadership(self, now: float) -> bool:
        """Have another member lead, if this one does; whether one was asked to."""
        primary = self._roles.primary
        was_asked = primary is not None and primary.transfer_leadership(now)
        self._roles.update(now)
        return was_asked

    # Writes

    def complete_writes(self, ticket: int, now: float) -> None:
        """All writes up to ``ticket`` are durable."""
        self._core.complete_writes(ticket)
        self._roles.elections.complete_writes(now)
        primary = self._roles.primary
        if primary is not None:
            primary.advance(now)
        else:
            self._roles.backup.acknowledge_synced()
        self._roles.update(now)

    def record_write_failure(self, now: float) -> None:
        """A write failed; the runtime repeats it before any later one.

        A primary tries once to transfer its leadership; without a responsive backup it goes on leading.
        """
        self._core.is_disk_failing = True
        self.transfer_leadership(now)

    def save_snapshot(self, state: bytes | SnapshotState, now: float) -> int:
        """Store ``state``, that after all committed entries, as a snapshot; return the write's ticket."""
        log = self._core.log
        membership = log.membership_at(log.commit_index).membership
        members = encode_members(membership.members, membership.excluded)
        epoch = log.epoch_at(log.commit_index) or 0
        return self._core.write_snapshot(Snapshot(log.commit_index, epoch, members, state), now)

    def skip_snapshot(self, ticket: int) -> None:
        """The snapshot of ``ticket``, taken here, did not fit on the disk."""
        self._core.writes.skip_snapshot(ticket)
