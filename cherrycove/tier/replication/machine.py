"""Replication protocol of one replica as a pure state machine: events are its input, effects its output.

Every event carries the current time (monotonic seconds). After each event the caller takes the effects,
submits the writes to its writer in order, applies the committed entries and sends the messages.
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
    """Implements the replication protocol of one replica of a group.

    Owned by ``ReplicaDriver``, or by a simulated process, for the lifetime of that process; a new process
    creates a new machine from the state on its disk. Its states are the roles (``core.Role``). It fails only
    with its process: after a failed write it tries once to transfer leadership, lost messages are sent again,
    and its methods raise no errors because of messages from other replicas.
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
        """Start from ``recovered``; the group must survive the loss of ``faults`` disks.

        ``membership_requests`` may change at any time. Up to ``retained_entries`` entries that a snapshot
        covers stay in memory; a snapshot is sent in chunks of ``chunk_bytes``.
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
        """Return the role in the current epoch."""
        return self._core.role

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this replica."""
        return self._core.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        """Return the primary of the current epoch; None while unknown."""
        return self._core.primary

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Return the members of the newest membership in the log, committed or not."""
        return self._core.membership.members

    @property
    def commit_index(self) -> int:
        """Return the index up to which entries are known to be committed."""
        return self._core.log.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry in the log."""
        return self._core.log.last_index

    @property
    def base_index(self) -> int:
        """Return the index up to which entries are no longer in memory but covered by a snapshot."""
        return self._core.log.base_index

    @property
    def has_pending_writes(self) -> bool:
        """Return whether any write is not yet reported as durable."""
        return not self._core.writes.is_empty

    def epoch_at(self, index: int) -> int | None:
        """Return the epoch of the log entry at ``index``; None if it is not in memory."""
        return self._core.log.epoch_at(index)

    def voting_member_ids(self) -> frozenset[str]:
        """Return the ids of all voting members; during a membership change, of both memberships."""
        voters = self._core.membership.joint_configuration().voters
        return frozenset(voter.member_id for voter in voters)

    def committed_members(self, now: float) -> CommittedMembers | None:
        """Return the members in force; None during a change, or if this is not the confirmed primary."""
        core = self._core
        if core.membership.has_uncommitted_change() or not self.is_confirmed_primary(now):
            return None
        newest = core.log.newest_membership
        return CommittedMembers(newest.index, newest.members, frozenset(newest.membership.excluded))

    def is_confirmed_primary(self, now: float) -> bool:
        """Return whether this replica is primary under a valid lease and has committed in its epoch."""
        return self._roles.is_confirmed_primary(now)

    def take_effects(self) -> Effects:
        """Return the effects collected since the last call, and clear them."""
        return self._core.take_effects()

    # Events

    def bootstrap(self, members: Sequence[MemberIdentity], now: float) -> None:
        """Initialize the group with ``members``.

        The call is ignored if the log has entries or this replica is not among ``members``. Every initial
        member writes the same entry of epoch 0, which counts as committed.
        """
        core = self._core
        is_initial_member = any(member.member_id == core.identity.member_id for member in members)
        if core.log.last_index > 0 or not is_initial_member:
            return
        core.append([Entry(1, INITIAL_EPOCH, EntryKind.MEMBERS, encode_members(members))], now)
        core.advance_commit(1)
        if core.epoch == 0:
            self._roles.elections.schedule_bootstrap_election(now)

    def propose(self, command: bytes, now: float) -> int | None:
        """Append ``command``; return its index, or None if this replica is not the confirmed primary."""
        primary = self._roles.primary
        if primary is None or not primary.is_confirmed_primary(now):
            return None
        return primary.propose(command, now)

    def tick(self, now: float) -> None:
        """Advance the time; must be called about ten times a second or more often."""
        if now - self._ticked_at > self._core.timing.election_timeout_s / 2:
            # This process was suspended: handle the messages that arrived meanwhile before it campaigns.
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
        """Record that the process at the address of ``member_id`` answered that it has another disk."""
        self._roles.elections.record_disk_replaced(member_id, now)
        self._roles.update(now)

    def transfer_leadership(self, now: float) -> bool:
        """Transfer leadership if this replica is the primary; return whether a member was asked to lead."""
        primary = self._roles.primary
        was_asked = primary is not None and primary.transfer_leadership(now)
        self._roles.update(now)
        return was_asked

    # Writes

    def complete_writes(self, ticket: int, now: float) -> None:
        """Record that all writes up to ``ticket`` are durable or skipped."""
        self._core.complete_writes(ticket)
        self._roles.elections.complete_writes(now)
        primary = self._roles.primary
        if primary is not None:
            primary.commit_synced_entries(now)
        else:
            self._roles.backup.acknowledge_synced()
        self._roles.update(now)

    def record_write_failure(self, now: float) -> None:
        """Record a failed write, which the runtime retries before it performs any later one.

        A primary tries once to transfer leadership; it stays primary if no backup is responsive.
        """
        self._core.is_disk_failing = True
        self.transfer_leadership(now)

    def save_snapshot(self, state: bytes | SnapshotState, now: float) -> int:
        """Store ``state``, which includes all committed entries, as a snapshot; return the write's ticket."""
        log = self._core.log
        membership = log.membership_at(log.commit_index).membership
        members = encode_members(membership.members, membership.excluded)
        epoch = log.epoch_at(log.commit_index) or 0
        return self._core.write_snapshot(Snapshot(log.commit_index, epoch, members, state), now)

    def skip_snapshot(self, ticket: int) -> None:
        """Record that the snapshot of ``ticket``, taken by this replica, could not be stored."""
        self._core.writes.skip_snapshot(ticket)
