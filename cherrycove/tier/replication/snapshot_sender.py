"""Sends the stored snapshot to one replica in chunks."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message, SnapshotChunk, SnapshotReply
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import decode_members, member_to_message
from cherrycove.tier.replication.pending_writes import SnapshotHeader
from cherrycove.tier.replication.timing import NEVER, microseconds


class SnapshotSource(Protocol):
    """Interface for reading the stored snapshot."""

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Return ``size`` bytes of the state at entry ``index`` from ``offset`` on, fewer at its end.

        With ``encoded``, ``offset`` and ``size`` refer to the encoded form. The result is empty if another
        snapshot has been stored since.
        """


class StateForm(Enum):
    """Form in which a snapshot's state is sent."""

    OFFERED = "offered"  # the receiver has not yet answered whether it accepts the encoded form
    PLAIN = "plain"
    ENCODED = "encoded"


@attrs.define
class SnapshotTransfer:
    """A snapshot in transit, of which ``offset`` bytes have arrived; a chunk was last sent at ``sent_at``."""

    header: SnapshotHeader
    form: StateForm
    offset: int = 0
    sent_at: float = NEVER

    @property
    def size_bytes(self) -> int:
        """Return the length of the state in the form in which it is sent."""
        if self.form is StateForm.ENCODED:
            return self.header.encoded_bytes
        return self.header.state_bytes


class SnapshotSender:
    """Transfers the newest snapshot to one replica.

    Owned by ``PeerReplicator``. One chunk is in flight at a time and is sent again after chunk_resend_s. A
    transfer is superseded when a newer snapshot is stored, and ends when the replica has received all of it.

    A state with final blocks is sent in its encoded form, which is shorter, if the replica accepts that: the
    first chunk of the transfer is empty and offers it. A replica of an older release ignores the offer.
    """

    def __init__(self, core: ReplicaCore, receiver: MemberIdentity, source: SnapshotSource) -> None:
        self._core = core
        self._receiver = receiver
        self._source = source
        self._transfer: SnapshotTransfer | None = None

    @property
    def is_active(self) -> bool:
        """Return whether a transfer is in progress."""
        return self._transfer is not None

    def send_chunk(self, now: float) -> None:
        """Send the next chunk unless one is in flight; start a transfer if none is active."""
        header = self._core.snapshot
        if header is None:
            return
        transfer = self._transfer
        if transfer is None or transfer.header.index != header.index:
            form = StateForm.OFFERED if header.encoded_bytes else StateForm.PLAIN
            transfer = self._transfer = SnapshotTransfer(header, form)
        if now - transfer.sent_at < self._core.timing.chunk_resend_s:
            return
        data = self._read(transfer)
        if not data and transfer.size_bytes > transfer.offset and transfer.form is not StateForm.OFFERED:
            return
        transfer.sent_at = now
        chunk = _make_chunk(transfer, data, now)
        self._core.send(self._receiver, Message(snapshot_chunk=chunk))

    def _read(self, transfer: SnapshotTransfer) -> bytes:
        if transfer.form is StateForm.OFFERED:
            return b""
        return self._source.read_state(
            transfer.header.index,
            transfer.offset,
            self._core.chunk_bytes,
            encoded=transfer.form is StateForm.ENCODED,
        )

    def record_reply(self, reply: SnapshotReply) -> bool:
        """Process ``reply``; return whether it advanced or completed the active transfer."""
        transfer = self._transfer
        header = self._core.snapshot
        if transfer is None or transfer.header.index != reply.index or reply.received < transfer.offset:
            return False
        if header is None or header.index != transfer.header.index:
            return False
        if reply.received >= transfer.size_bytes:
            self._transfer = None
        elif transfer.form is StateForm.OFFERED:
            transfer.form = StateForm.ENCODED if reply.takes_encoded else StateForm.PLAIN
            transfer.sent_at = NEVER
        else:
            transfer.offset = reply.received
            transfer.sent_at = NEVER
        return True


def _make_chunk(transfer: SnapshotTransfer, data: bytes, now: float) -> SnapshotChunk:
    header = transfer.header
    membership = decode_members(header.members)
    return SnapshotChunk(
        sent_us=microseconds(now),
        index=header.index,
        entry_epoch=header.epoch,
        members=[member_to_message(member) for member in membership.members],
        excluded=membership.excluded,
        size=transfer.size_bytes,
        offset=transfer.offset,
        data=data,
        offers_encoded=transfer.form is StateForm.OFFERED,
        encoded=transfer.form is StateForm.ENCODED,
    )
