"""What a primary knows of one other replica, and what it sends there next."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import attrs

from cherrycove.tier.protocol.replication_pb2 import (
    Append,
    AppendReply,
    Entry,
    Message,
    SnapshotChunk,
    SnapshotReply,
)
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.log import decode_members, to_message

APPEND_BYTES = 512 * 1024  # of entries in one message
OUTSTANDING_APPENDS = 8  # messages with entries that may be unanswered
RESPONSIVE_S = 0.6  # a peer silent for longer gets heartbeats only
MICROSECONDS = 1_000_000
NEVER = float("-inf")


class SnapshotSource(Protocol):
    """Reads the stored snapshot."""

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        """Part of the state at entry ``index``; empty if another snapshot is stored by now."""


@attrs.define
class Transfer:
    """A snapshot on its way to a peer."""

    index: int
    offset: int = 0
    sent_at: float = NEVER


def microseconds(now: float) -> int:
    return int(now * MICROSECONDS)


class Peer:
    """Replication to one member or standby."""

    def __init__(self, core: ReplicaCore, member: MemberIdentity, source: SnapshotSource, now: float) -> None:
        self.member = member
        self.match_index = 0  # synced there and equal to this log
        self.acknowledged = NEVER  # sending time of the newest message that it answered
        self.heard_at = now
        self._core = core
        self._source = source
        self._next_index = core.log.last_index + 1
        self._outstanding: deque[int] = deque()  # last index of each unanswered message with entries
        self._transfer: Transfer | None = None
        self._resent_us = -1  # rejections of messages sent before this are known
        self._sent_at = NEVER
        self._told_commit = 0
        self._probing = True  # where its log joins this one is not known: one message at a time

    def responsive(self, now: float) -> bool:
        return now - self.heard_at < RESPONSIVE_S

    def heard_lately(self, now: float) -> bool:
        """Whether it has answered, in this time as primary, and not long ago."""
        return self.acknowledged > NEVER and self.responsive(now)

    def caught_up(self, within: int) -> bool:
        """Whether it lacks at most ``within`` entries of the log."""
        return self._transfer is None and self.match_index + within >= self._core.log.last_index

    # Sending

    def replicate(self, now: float) -> None:
        """Send what it lacks, as far as unanswered messages allow."""
        if not self.responsive(now):
            return
        if self._needs_snapshot():
            self._send_chunk(now)
            return
        log = self._core.log
        allowed = 1 if self._probing else OUTSTANDING_APPENDS
        while self._next_index <= log.last_index and len(self._outstanding) < allowed:
            entries = log.bounded(self._next_index, APPEND_BYTES)
            messages = [
                Entry(index=entry.index, epoch=entry.epoch, kind=entry.kind, payload=entry.payload)
                for entry in entries
            ]
            self._send_append(now, messages)
            self._next_index += len(entries)
            self._outstanding.append(entries[-1].index)

    def tick(self, now: float) -> None:
        """A heartbeat where nothing was sent for a while; news of commits; another try of what was lost."""
        news = self._told_commit < self._core.commit_index and self.responsive(now)
        if news or now - self._sent_at >= self._core.timing.heartbeat_s:
            self._send_append(now, [])
        self.replicate(now)

    def notify(self, now: float) -> None:
        """Tell the commit index at once."""
        if self.responsive(now):
            self._send_append(now, [])

    def _needs_snapshot(self) -> bool:
        return self._transfer is not None or self._next_index <= self._core.log.base_index

    def _send_append(self, now: float, entries: list[Entry]) -> None:
        previous = 0 if self._needs_snapshot() else self._next_index - 1  # position 0 joins every log
        append = Append(
            sent_us=microseconds(now),
            previous_index=previous,
            previous_epoch=self._core.log.epoch_at(previous) or 0 if previous else 0,
            commit_index=self._core.commit_index,
            entries=entries,
        )
        self._sent_at = now
        self._told_commit = self._core.commit_index
        self._core.send(self.member, Message(append=append))

    def _send_chunk(self, now: float) -> None:
        header = self._core.snapshot
        if header is None:
            return
        transfer = self._transfer
        if transfer is None or transfer.index != header.index:
            transfer = self._transfer = Transfer(header.index)
        if now - transfer.sent_at < self._core.timing.chunk_resend_s:
            return
        data = self._source.read_state(header.index, transfer.offset, self._core.chunk_bytes)
        if not data and header.state_bytes > transfer.offset:
            return
        transfer.sent_at = now
        membership = decode_members(header.members)
        chunk = SnapshotChunk(
            sent_us=microseconds(now),
            index=header.index,
            entry_epoch=header.epoch,
            members=[to_message(member) for member in membership.members],
            excluded=membership.excluded,
            size=header.state_bytes,
            offset=transfer.offset,
            data=data,
        )
        self._core.send(self.member, Message(snapshot_chunk=chunk))

    # Replies

    def _heard(self, sent_us: int, now: float) -> None:
        self.heard_at = now
        self.acknowledged = max(self.acknowledged, sent_us / MICROSECONDS)

    def receive_reply(self, reply: AppendReply, now: float) -> None:
        self._heard(reply.sent_us, now)
        if reply.accepted:
            self._probing = False
            self.match_index = max(self.match_index, reply.match_index)
            self._next_index = max(self._next_index, self.match_index + 1)
            while self._outstanding and self._outstanding[0] <= self.match_index:
                self._outstanding.popleft()
        elif reply.sent_us >= self._resent_us:
            self._resent_us = microseconds(now)
            self._outstanding.clear()
            self._probing = True
            self._next_index = max(self.match_index, min(self._next_index - 1, reply.last_index)) + 1
        self.replicate(now)

    def receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        self._heard(reply.sent_us, now)
        transfer = self._transfer
        if transfer is None or transfer.index != reply.index or reply.received < transfer.offset:
            return
        header = self._core.snapshot
        if header is None or header.index != transfer.index:
            return
        if reply.received >= header.state_bytes:
            self._transfer = None
            self._outstanding.clear()
            self._next_index = max(self.match_index, transfer.index) + 1
        else:
            transfer.offset = reply.received
            transfer.sent_at = NEVER
        self.replicate(now)
