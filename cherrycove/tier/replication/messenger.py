"""Exchanges messages between one replica and its peers."""

from __future__ import annotations

from typing import Protocol

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.replication_methods import replicate
from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.call_handler import CallHandler
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.transport import Transport


class MessageReceiver(Protocol):
    """Interface of a started replica that ``PeerMessenger`` delivers messages to."""

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of this replica."""

    @property
    def has_pending_writes(self) -> bool:
        """Return whether any disk write is not yet durable."""

    def deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        """Process the messages of ``sender`` in order."""


class PeerMessenger:
    """Sends messages to peers and delivers theirs to the attached replica.

    It lives as long as its group. While no replica is attached, incoming calls are answered with UNAVAILABLE,
    and answers to earlier calls are dropped.
    """

    def __init__(self, group_name: str, server: CallRegistry, client: Caller) -> None:
        """Create a messenger and register the call of the group ``group_name`` with ``server``."""
        method = replicate(group_name)
        self._group_name = group_name
        self._replica: MessageReceiver | None = None
        self._transport = Transport(client, method, self._deliver)
        self._call_handler = CallHandler(self._deliver, self._has_pending_writes)
        server.register(method, self._handle_call)

    def attach(self, replica: MessageReceiver) -> None:
        """Deliver messages to ``replica`` from now on."""
        self._replica = replica

    def close(self) -> None:
        """Detach the replica, drop the queued messages and cancel the calls in progress."""
        self._replica = None
        self._transport.stop()

    def send(self, sender: MemberIdentity, receiver: MemberIdentity, message: Message) -> None:
        """Send ``message`` with the answer to a pending call of ``receiver``, otherwise with a call to it."""
        if not self._call_handler.add_reply(receiver, message):
            self._transport.send(sender, receiver, message)

    def writes_finished(self) -> None:
        """Answer the calls that wait for the disk, because no write is pending any more."""
        self._call_handler.writes_finished()

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queued messages are sent or lost, for at most ``timeout_s`` seconds."""
        await self._transport.flush(timeout_s)

    async def _handle_call(self, batch: Batch) -> Result[Batch, Failure]:
        if self._replica is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"{self._group_name}: not started"))
        if batch.receiver_id != self._replica.identity.member_id:
            return Ok(Batch(stranger=True))  # addressed to the disk that was here before
        return Ok(await self._call_handler.handle(batch))

    def _deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        if self._replica is not None:
            self._replica.deliver(sender, batch)

    def _has_pending_writes(self) -> bool:
        return self._replica is not None and self._replica.has_pending_writes
