"""Replicates the log of a primary to one other replica."""

from __future__ import annotations

from cherrycove.tier.protocol.replication_pb2 import Append, AppendReply, Message, SnapshotReply
from cherrycove.tier.protocol.replication_pb2 import Entry as EntryMessage
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.progress import ReplicationProgress
from cherrycove.tier.replication.snapshot_sender import SnapshotSender, SnapshotSource
from cherrycove.tier.replication.timing import NEVER, microseconds
from cherrycove.tier.storage.entries import Entry

#: Maximum size of the entries in one message, except that a single entry may be larger.
MAX_APPEND_BYTES = 512 * 1024


def _to_message(entry: Entry) -> EntryMessage:
    return EntryMessage(index=entry.index, epoch=entry.epoch, kind=entry.kind, payload=entry.payload)


class PeerReplicator:
    """Sends entries, heartbeats and snapshots to one member or learner.

    Owned by ``PeerSet`` (a member) or ``LearnerPromotion`` (a learner) for one period as primary. Lost
    messages are detected by a later rejection or the chunk time-out and sent again; a replica that stops
    answering receives heartbeats only, until it answers again.
    """

    def __init__(self, core: ReplicaCore, member: MemberIdentity, source: SnapshotSource, now: float) -> None:
        self.member = member
        self.progress = ReplicationProgress(next_index=core.log.last_index + 1, heard_at=now)
        self._core = core
        self._snapshots = SnapshotSender(core, member, source)
        self._sent_at = NEVER  # send time of the newest append, with or without entries
        self._announced_commit_index = 0

    def is_caught_up(self, within: int) -> bool:
        """Return whether the replica lacks at most ``within`` entries of the log."""
        if self._snapshots.is_active:
            return False
        return self.progress.match_index + within >= self._core.log.last_index

    # Sending

    def replicate(self, now: float) -> None:
        """Send the missing entries or snapshot, as far as the limit of unanswered messages allows."""
        if not self.progress.is_responsive(now):
            return
        if self._needs_snapshot():
            self._snapshots.send_chunk(now)
            return
        log = self._core.log
        while self.progress.next_index <= log.last_index and self.progress.is_window_open:
            entries = log.entries_within(self.progress.next_index, MAX_APPEND_BYTES)
            self._send_append(now, entries)
            self.progress.record_sent(len(entries), entries[-1].index)

    def tick(self, now: float) -> None:
        """Send a heartbeat if one is due or the commit index has advanced; resend lost data."""
        has_unannounced_commit = self._announced_commit_index < self._core.log.commit_index
        is_heartbeat_due = now - self._sent_at >= self._core.timing.heartbeat_s
        if is_heartbeat_due or (has_unannounced_commit and self.progress.is_responsive(now)):
            self._send_append(now, [])
        self.replicate(now)

    def announce_commit(self, now: float) -> None:
        """Send the commit index at once."""
        if self.progress.is_responsive(now):
            self._send_append(now, [])

    def _needs_snapshot(self) -> bool:
        return self._snapshots.is_active or self.progress.next_index <= self._core.log.base_index

    def _send_append(self, now: float, entries: list[Entry]) -> None:
        log = self._core.log
        # Index 0 precedes every log: during a snapshot transfer it turns the message into a heartbeat.
        previous_index = 0 if self._needs_snapshot() else self.progress.next_index - 1
        append = Append(
            sent_us=microseconds(now),
            previous_index=previous_index,
            previous_epoch=log.epoch_at(previous_index) or 0,
            commit_index=log.commit_index,
            entries=[_to_message(entry) for entry in entries],
        )
        self._sent_at = now
        self._announced_commit_index = log.commit_index
        self._core.send(self.member, Message(append=append))

    # Replies

    def receive_append_reply(self, reply: AppendReply, now: float) -> None:
        """Handle the reply to an append, and send the next messages."""
        self.progress.record_answer(reply.sent_us, now)
        self.progress.record_append_reply(reply, now)
        self.replicate(now)

    def receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handle the reply to a snapshot chunk, and send the next messages."""
        self.progress.record_answer(reply.sent_us, now)
        if not self._snapshots.record_reply(reply):
            return
        if not self._snapshots.is_active:
            self.progress.record_snapshot_received(reply.index)
        self.replicate(now)
