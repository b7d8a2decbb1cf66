"""Handles the entries and snapshots that a backup or a standby receives from a primary."""

from __future__ import annotations

from io import BytesIO

import attrs

from cherrycove.tier.protocol.replication_pb2 import (
    Append,
    AppendReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
)
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import encode_members, member_from_message
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.snapshot_state import SnapshotState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.define
class IncomingSnapshot:
    """A partially received snapshot."""

    index: int
    entry_epoch: int
    is_encoded: bool = False
    data: BytesIO = attrs.field(factory=BytesIO)  # getvalue() does not copy the data

    def matches(self, chunk: SnapshotChunk) -> bool:
        """Return whether ``chunk`` belongs to the same snapshot in the same form."""
        return (self.index, self.entry_epoch, self.is_encoded) == (
            chunk.index,
            chunk.entry_epoch,
            chunk.encoded,
        )


class Backup:
    """Follows the primary of the newest epoch.

    Owned by ``ReplicaRoles`` for the lifetime of the process, and used whenever a primary sends a message.
    Each new epoch resets its progress: nothing is verified or acknowledged. An incomplete snapshot is dropped
    at the end of the process or the epoch, and the primary sends it again.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._followed_epoch = 0
        self._verified_index = 0  # up to here the log equals that of the followed primary
        self._acknowledged_index = 0
        self._newest_sent_us = 0  # send time of the newest message of the primary
        self._incoming: IncomingSnapshot | None = None

    def follow(self, primary: MemberIdentity) -> None:
        """Become a backup of ``primary``, the primary of the newest epoch."""
        core = self._core
        if self._followed_epoch != core.epoch:
            self._followed_epoch = core.epoch
            self._verified_index = 0
            self._acknowledged_index = 0
            self._newest_sent_us = 0
            self._incoming = None
        core.follow(primary)

    # Entries

    def receive_append(self, sender: MemberIdentity, append: Append, now: float) -> None:
        """Append the entries of ``append`` if they continue this log, and reply (Raft, section 5.3)."""
        self._newest_sent_us = max(self._newest_sent_us, append.sent_us)
        hint = self._find_mismatch(append)
        if hint is not None:
            self._reply(sender, accepted=False, sent_us=append.sent_us, last_index=hint)
            return
        self._append_new(append, now)
        self._core.advance_commit(min(append.commit_index, self._verified_index))
        self._reply(sender, accepted=True, sent_us=append.sent_us)

    def _find_mismatch(self, append: Append) -> int | None:
        """Return the index after which the primary should continue; None if its entries fit this log."""
        log = self._core.log
        if append.previous_index > log.last_index:
            return log.last_index
        if append.previous_index <= log.commit_index:
            return None
        if log.epoch_at(append.previous_index) != append.previous_epoch:
            return log.commit_index
        return None

    def _append_new(self, append: Append, now: float) -> None:
        """Append the entries from the first one that is missing here or conflicts in its epoch."""
        log = self._core.log
        new: list[Entry] = []
        for message in append.entries:
            known = message.index <= log.commit_index or log.epoch_at(message.index) == message.epoch
            if new or not known:
                new.append(Entry(message.index, message.epoch, EntryKind(message.kind), message.payload))
        if new:
            self._core.append(new, now)
        self._verified_index = max(self._verified_index, append.previous_index + len(append.entries))

    def acknowledge_synced(self) -> None:
        """Acknowledge newly synced entries to the primary."""
        primary = self._core.primary
        if primary is None or self._followed_epoch != self._core.epoch:
            return
        if self._match_index() > self._acknowledged_index:
            self._reply(primary, accepted=True, sent_us=self._newest_sent_us)

    def _match_index(self) -> int:
        """Return the index up to which the log is synced here and equals that of the primary."""
        return min(self._verified_index, self._core.writes.synced_index)

    def _reply(self, receiver: MemberIdentity, *, accepted: bool, sent_us: int, last_index: int = 0) -> None:
        if not self._core.is_hard_state_durable:
            return  # a crash could return this replica to an older epoch
        match_index = self._match_index()
        if accepted:
            self._acknowledged_index = match_index
        reply = AppendReply(
            sent_us=sent_us, accepted=accepted, match_index=match_index, last_index=last_index
        )
        self._core.send(receiver, Message(append_reply=reply))

    def reject_older_epoch(self, sender: MemberIdentity) -> None:
        """Reply to a primary of an older epoch with the current epoch."""
        self._core.send(sender, Message(append_reply=AppendReply(accepted=False)))

    # Snapshots

    def receive_chunk(self, sender: MemberIdentity, chunk: SnapshotChunk, now: float) -> None:
        """Store one chunk, install the snapshot once it is complete, and reply."""
        self._newest_sent_us = max(self._newest_sent_us, chunk.sent_us)
        received = self._collect(chunk, now)
        if self._core.is_hard_state_durable:
            reply = SnapshotReply(
                sent_us=chunk.sent_us,
                index=chunk.index,
                received=received,
                takes_encoded=chunk.offers_encoded,
            )
            self._core.send(sender, Message(snapshot_reply=reply))

    def _collect(self, chunk: SnapshotChunk, now: float) -> int:
        """Store ``chunk``; return the number of contiguous bytes received from the start of the snapshot."""
        if chunk.index <= self._core.log.commit_index:
            self._verified_index = max(self._verified_index, chunk.index)
            return chunk.size
        incoming = self._incoming
        if incoming is None or not incoming.matches(chunk):
            incoming = IncomingSnapshot(chunk.index, chunk.entry_epoch, chunk.encoded)
            self._incoming = incoming
        if chunk.offset == incoming.data.tell():
            incoming.data.write(chunk.data)
        received = incoming.data.tell()
        if received == chunk.size:
            self._incoming = None
            data = incoming.data.getvalue()
            self._install(chunk, SnapshotState.decode(data) if chunk.encoded else data, now)
        return received

    def _install(self, chunk: SnapshotChunk, state: bytes | SnapshotState, now: float) -> None:
        core = self._core
        self._verified_index = max(self._verified_index, chunk.index)
        if core.log.epoch_at(chunk.index) == chunk.entry_epoch:
            core.advance_commit(chunk.index)
            return
        members = encode_members([member_from_message(member) for member in chunk.members], chunk.excluded)
        core.install_snapshot(Snapshot(chunk.index, chunk.entry_epoch, members, state), now)
