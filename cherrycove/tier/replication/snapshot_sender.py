"""Sends the stored snapshot to one replica, chunk by chunk."""

from __future__ import annotations

from typing import Protocol

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, SnapshotChunk, SnapshotReply
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import decode_members, member_to_message
from cherrycove.tier.replication.pending_writes import SnapshotHeader
from cherrycove.tier.replication.timing import NEVER, microseconds


class SnapshotSource(Protocol):
    """Reads the stored snapshot."""

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        """Return ``size`` bytes of the state at entry ``index`` from ``offset`` on, fewer at its end.

        Empty if another snapshot is stored by now.
        """


@attrs.define
class SnapshotTransfer:
    """A snapshot in transit: ``offset`` bytes have arrived, and the next chunk was sent at ``sent_at``."""

    index: int
    offset: int = 0
    sent_at: float = NEVER


class SnapshotSender:
    """Transfers of the newest snapshot to one replica.

    Owned by ``PeerReplicator``. One chunk is in flight at a time and is sent again after chunk_resend_s. A
    transfer is superseded when a newer snapshot is stored, and ends when the replica has it completely.
    """

    def __init__(self, core: ReplicaCore, receiver: MemberIdentity, source: SnapshotSource) -> None:
        self._core = core
        self._receiver = receiver
        self._source = source
        self._transfer: SnapshotTransfer | None = None

    @property
    def is_active(self) -> bool:
        """Whether a transfer is not finished."""
        return self._transfer is not None

    def send_chunk(self, now: float) -> None:
        """Send the next chunk unless one is in flight; begin a transfer if none is active."""
        header = self._core.snapshot
        if header is None:
            return
        transfer = self._transfer
        if transfer is None or transfer.index != header.index:
            transfer = self._transfer = SnapshotTransfer(header.index)
        if now - transfer.sent_at < self._core.timing.chunk_resend_s:
            return
        data = self._source.read_state(header.index, transfer.offset, self._core.chunk_bytes)
        if not data and header.state_bytes > transfer.offset:
            return
        transfer.sent_at = now
        chunk = _make_chunk(header, transfer.offset, data, now)
        self._core.send(self._receiver, Message(snapshot_chunk=chunk))

    def record_reply(self, reply: SnapshotReply) -> bool:
        """Whether ``reply`` answers the active transfer, so that the next chunk is due or it is over."""
        transfer = self._transfer
        header = self._core.snapshot
        if transfer is None or transfer.index != reply.index or reply.received < transfer.offset:
            return False
        if header is None or header.index != transfer.index:
            return False
        if reply.received >= header.state_bytes:
            self._transfer = None
        else:
            transfer.offset = reply.received
            transfer.sent_at = NEVER
        return True


def _make_chunk(header: SnapshotHeader, offset: int, data: bytes, now: float) -> SnapshotChunk:
    membership = decode_members(header.members)
    return SnapshotChunk(
        sent_us=microseconds(now),
        index=header.index,
        entry_epoch=header.epoch,
        members=[member_to_message(member) for member in membership.members],
        excluded=membership.excluded,
        size=header.state_bytes,
        offset=offset,
        data=data,
    )
