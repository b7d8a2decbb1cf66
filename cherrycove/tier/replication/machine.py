"""The replica as a pure machine: events in, effects out.

Every event brings the time (monotonic seconds). After each event the caller takes the effects, hands the
writes to its writer in order, applies what was committed and sends the messages.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.backup import Backup
from cherrycove.tier.replication.core import CHUNK_BYTES, INITIAL_EPOCH, ReplicaCore, Role
from cherrycove.tier.replication.effects import Effects
from cherrycove.tier.replication.elections import Elections
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.log import KEPT_ENTRIES, encode_members
from cherrycove.tier.replication.peers import SnapshotSource
from cherrycove.tier.replication.primary import Primary
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot


class ReplicaMachine:
    """One replica of a group."""

    def __init__(
        self,
        identity: MemberIdentity,
        faults: int,
        recovered: RecoveredState,
        source: SnapshotSource,
        random: Random,
        now: float,
        timing: Timing | None = None,
        membership_requests: MembershipRequests | None = None,
        retained_entries: int = KEPT_ENTRIES,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        """``membership_requests`` may change at any time.

        ``retained_entries`` before a snapshot stay in memory; it is sent in chunks of ``chunk_bytes``."""
        timing = timing or Timing()
        empty = recovered.snapshot is None and not recovered.entries and recovered.hard_state.epoch == 0
        self._core = ReplicaCore(identity, faults, recovered, timing, random, retained_entries, chunk_bytes)
        self._elections = Elections(self._core, now, fresh=empty)
        self._backup = Backup(self._core)
        self._primary: Primary | None = None
        self._source = source
        self._membership_requests = membership_requests or MembershipRequests()
        self._ticked_at = now

    # What is known

    @property
    def role(self) -> Role:
        return self._core.role

    @property
    def epoch(self) -> int:
        return self._core.epoch

    @property
    def primary(self) -> MemberIdentity | None:
        return self._core.primary

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return self._core.members

    @property
    def commit_index(self) -> int:
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        return self._core.log.last_index

    @property
    def has_pending_writes(self) -> bool:
        """Whether any write is unfinished."""
        return bool(self._core.pending)

    def epoch_at(self, index: int) -> int | None:
        """Epoch of the log entry at ``index``; None where it is not in memory."""
        return self._core.log.epoch_at(index)

    @property
    def base_index(self) -> int:
        """Entries up to here are in the snapshot only."""
        return self._core.log.base_index

    def voting_member_ids(self) -> frozenset[str]:
        """Ids of all members whose votes count here, also those of the list before while a change is open."""
        joint_configuration = self._core.joint_configuration()
        return frozenset(
            member.member_id
            for member in (*joint_configuration.current, *(joint_configuration.previous or ()))
        )

    def committed_members(self, now: float) -> CommittedMembers | None:
        """The member list in force; None while a change is open or this replica is not confirmed."""
        core = self._core
        if core.has_uncommitted_change() or not self.is_confirmed_primary(now):
            return None
        newest = core.log.newest_members
        return CommittedMembers(newest.index, newest.members, frozenset(newest.membership.excluded))

    def is_confirmed_primary(self, now: float) -> bool:
        """Whether this replica leads under a valid lease and has committed an entry of its epoch."""
        primary = self._leading()
        return primary is not None and primary.is_confirmed_primary(now)

    def _leading(self) -> Primary | None:
        return self._primary if self._core.role is Role.PRIMARY else None

    def smallest_list(self) -> int:
        """Size of the smallest member list that has a say here."""
        joint_configuration = self._core.joint_configuration()
        sizes = [
            len(joint_configuration.current),
            len(joint_configuration.previous or joint_configuration.current),
        ]
        return min(sizes)

    def take_effects(self) -> Effects:
        """What is to be done since effects were taken last."""
        effects, self._core.effects = self._core.effects, Effects()
        return effects

    # Events

    def bootstrap(self, members: Sequence[MemberIdentity], now: float) -> None:
        """Begin the group with ``members``; ignored where anything is logged or this replica is not in it.

        Every initial member writes the same entry, of epoch 0, which counts as committed."""
        listed = any(member.member_id == self._core.identity.member_id for member in members)
        if self._core.log.last_index > 0 or not listed:
            return
        self._core.append([Entry(1, INITIAL_EPOCH, EntryKind.MEMBERS, encode_members(members))], now)
        self._core.advance_commit(1)
        if self._core.epoch == 0:
            self._elections.hasten_first_election(now)

    def propose(self, command: bytes, now: float) -> int | None:
        """The index of the entry with ``command``; None if this replica does not lead under a valid lease."""
        primary = self._leading()
        if primary is None or not primary.is_confirmed_primary(now):
            return None
        return primary.propose(command, now)

    def tick(self, now: float) -> None:
        """Time has passed; due some ten times a second or more."""
        if now - self._ticked_at > self._core.timing.election_timeout_s / 2:
            self._elections.postpone(now)  # this process was frozen: hear the others first
        self._ticked_at = now
        primary = self._leading()
        if primary is not None:
            primary.tick(now)
        else:
            self._elections.tick(now)
        self._settle(now)

    def complete_writes(self, ticket: int, now: float) -> None:
        """All writes up to ``ticket`` are durable."""
        self._core.complete_writes(ticket)
        self._elections.send_pending_grant()
        self._elections.start_synced_campaign(now)
        primary = self._leading()
        if primary is not None:
            primary.advance(now)
        else:
            self._backup.acknowledge_synced()
        self._settle(now)

    def skip_snapshot(self, ticket: int) -> None:
        """The snapshot of ``ticket``, taken here, did not fit on the disk."""
        self._core.skip_snapshot(ticket)

    def record_write_failure(self, now: float) -> None:
        """A write did not succeed; the runtime goes on trying, in order."""
        self._core.disk_failing = True
        self.transfer_leadership(now)

    def transfer_leadership(self, now: float) -> bool:
        """Have another member lead, if this one does; whether one was asked to."""
        primary = self._leading()
        asked = primary is not None and primary.transfer_leadership(now)
        self._settle(now)
        return asked

    def save_snapshot(self, state: bytes, now: float) -> int:
        """Store ``state``, that of the state machine after all committed entries; the ticket of the write."""
        core = self._core
        index = core.commit_index
        membership = core.log.members_at(index).membership
        members = encode_members(membership.members, membership.excluded)
        snapshot = Snapshot(index, core.log.epoch_at(index) or 0, members, state)
        return core.write_snapshot(snapshot, now)

    def receive(self, sender: MemberIdentity, message: Message, now: float) -> None:
        """A message from ``sender``, addressed to this replica's member id."""
        body = message.WhichOneof("body")
        if body == "vote_request":
            confirmed = self.is_confirmed_primary(now)
            self._elections.receive_vote_request(sender, message.vote_request, confirmed, now)
        elif body == "vote_reply":
            self._elections.receive_vote_reply(sender, message.epoch, message.vote_reply, now)
        elif body in ("append", "snapshot_chunk"):
            self._receive_from_primary(sender, message, now)
        elif body in ("append_reply", "snapshot_reply"):
            self._receive_from_backup(sender, message, now)
        elif body == "hand_over":
            self._receive_hand_over(sender, message, now)
        self._settle(now)

    def record_disk_replaced(self, member_id: str, now: float) -> None:
        """The process at the address of ``member_id`` answered that it has another disk."""
        self._elections.record_disk_replaced(member_id, now)
        self._settle(now)

    def _receive_from_primary(self, sender: MemberIdentity, message: Message, now: float) -> None:
        if message.epoch < self._core.epoch:
            self._backup.refuse(sender)
            return
        self._core.adopt_epoch(message.epoch)
        self._elections.record_primary_contact(now)
        self._backup.follow(sender)
        if message.HasField("append"):
            self._backup.receive_append(sender, message.append, now)
        else:
            self._backup.receive_chunk(sender, message.snapshot_chunk, now)

    def _receive_from_backup(self, sender: MemberIdentity, message: Message, now: float) -> None:
        if message.epoch > self._core.epoch:
            self._core.adopt_epoch(message.epoch)
            return
        primary = self._leading()
        if primary is None or message.epoch < self._core.epoch:
            return
        if message.HasField("append_reply"):
            primary.receive_reply(sender, message.append_reply, now)
        else:
            primary.receive_snapshot_reply(sender, message.snapshot_reply, now)

    def _receive_hand_over(self, sender: MemberIdentity, message: Message, now: float) -> None:
        core = self._core
        from_primary = core.primary is not None and core.primary.member_id == sender.member_id
        if message.epoch == core.epoch and from_primary and core.is_electable and not core.disk_failing:
            self._elections.campaign(now, handed_over=True)

    def _settle(self, now: float) -> None:
        """Follow up on a won election or a lost role."""
        core = self._core
        if self._elections.won:
            self._elections.won = False
            core.become(Role.PRIMARY, core.identity)
            self._primary = Primary(core, self._membership_requests, self._source, now)
            self._primary.advance(now)
        if self._primary is not None and core.role is not Role.PRIMARY:
            self._primary = None
            if core.role is Role.BACKUP:
                self._elections.postpone(now)
