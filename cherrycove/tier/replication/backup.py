"""What a backup, or a standby, does with the entries and snapshots of a primary."""

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
from cherrycove.tier.replication.log import encode_members, from_message
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.define
class IncomingSnapshot:
    """A snapshot of which a part has come."""

    index: int
    entry_epoch: int
    data: BytesIO = attrs.field(factory=BytesIO)  # gives what it holds without another copy of it


class Backup:
    """Follows the primary of the newest epoch."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._followed_epoch = 0
        self._verified = 0  # up to here the log equals that of the primary of the followed epoch
        self._acknowledged = 0
        self._sent_us = 0  # newest message of the primary
        self._incoming: IncomingSnapshot | None = None

    def follow(self, primary: MemberIdentity) -> None:
        """``primary`` leads the newest epoch."""
        core = self._core
        if self._followed_epoch != core.epoch:
            self._followed_epoch = core.epoch
            self._verified = 0
            self._acknowledged = 0
            self._sent_us = 0
            self._incoming = None
        core.follow(primary)

    def receive_append(self, sender: MemberIdentity, append: Append, now: float) -> None:
        self._sent_us = max(self._sent_us, append.sent_us)
        hint = self._mismatch(append)
        if hint is not None:
            self._reply(sender, accepted=False, sent_us=append.sent_us, last_index=hint)
            return
        self._take(append, now)
        self._core.advance_commit(min(append.commit_index, self._verified))
        self._reply(sender, accepted=True, sent_us=append.sent_us)

    def _mismatch(self, append: Append) -> int | None:
        """Where the primary should go on instead, if its entries do not join this log."""
        log = self._core.log
        if append.previous_index > log.last_index:
            return log.last_index
        if append.previous_index <= self._core.commit_index:
            return None
        if log.epoch_at(append.previous_index) != append.previous_epoch:
            return self._core.commit_index
        return None

    def _take(self, append: Append, now: float) -> None:
        log = self._core.log
        new: list[Entry] = []
        for message in append.entries:
            known = message.index <= self._core.commit_index or log.epoch_at(message.index) == message.epoch
            if new or not known:
                new.append(Entry(message.index, message.epoch, EntryKind(message.kind), message.payload))
        if new:
            self._core.append(new, now)
        self._verified = max(self._verified, append.previous_index + len(append.entries))

    def acknowledge_synced(self) -> None:
        """The disk made progress: tell the primary what is synced by now."""
        primary = self._core.primary
        if primary is None or self._followed_epoch != self._core.epoch:
            return
        if self._match_index() > self._acknowledged:
            self._reply(primary, accepted=True, sent_us=self._sent_us)

    def _match_index(self) -> int:
        return min(self._verified, self._core.synced_index)

    def _reply(self, receiver: MemberIdentity, accepted: bool, sent_us: int, last_index: int = 0) -> None:
        if not self._core.is_hard_state_durable:
            return  # a promise that could be forgotten is not acted on
        match_index = self._match_index()
        if accepted:
            self._acknowledged = match_index
        reply = AppendReply(
            sent_us=sent_us, accepted=accepted, match_index=match_index, last_index=last_index
        )
        self._core.send(receiver, Message(append_reply=reply))

    def refuse(self, sender: MemberIdentity) -> None:
        """Tell a primary of an older epoch that there is a newer one."""
        self._core.send(sender, Message(append_reply=AppendReply(accepted=False)))

    def receive_chunk(self, sender: MemberIdentity, chunk: SnapshotChunk, now: float) -> None:
        self._sent_us = max(self._sent_us, chunk.sent_us)
        received = self._collect(chunk, now)
        if self._core.is_hard_state_durable:
            reply = SnapshotReply(sent_us=chunk.sent_us, index=chunk.index, received=received)
            self._core.send(sender, Message(snapshot_reply=reply))

    def _collect(self, chunk: SnapshotChunk, now: float) -> int:
        """How much of the snapshot is here, with this chunk."""
        if chunk.index <= self._core.commit_index:
            self._verified = max(self._verified, chunk.index)
            return chunk.size
        incoming = self._incoming
        if incoming is None or (incoming.index, incoming.entry_epoch) != (chunk.index, chunk.entry_epoch):
            incoming = self._incoming = IncomingSnapshot(chunk.index, chunk.entry_epoch)
        if chunk.offset == incoming.data.tell():
            incoming.data.write(chunk.data)
        received = incoming.data.tell()
        if received == chunk.size:
            self._incoming = None
            self._install(chunk, incoming.data.getvalue(), now)
        return received

    def _install(self, chunk: SnapshotChunk, state: bytes, now: float) -> None:
        core = self._core
        self._verified = max(self._verified, chunk.index)
        if core.log.epoch_at(chunk.index) == chunk.entry_epoch:
            core.advance_commit(chunk.index)
            return
        members = encode_members([from_message(member) for member in chunk.members], chunk.excluded)
        core.install_snapshot(Snapshot(chunk.index, chunk.entry_epoch, members, state), now)
