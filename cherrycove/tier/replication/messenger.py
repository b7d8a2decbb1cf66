"""Delivery of messages between one replica and its peers."""

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
    """A started replica, as ``PeerMessenger`` sees it."""

    @property
    def identity(self) -> MemberIdentity:
        """The member that this replica is."""

    @property
    def has_pending_writes(self) -> bool:
        """Whether any disk write is unfinished."""

    def deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        """Take the messages of ``sender``, in order."""


class PeerMessenger:
    """Sends messages to peers and delivers theirs to the attached replica.

    Lives as long as its group. Calls that come while no replica is attached are answered UNAVAILABLE; answers
    that come then are dropped.
    """

    def __init__(self, group_name: str, server: CallRegistry, client: Caller) -> None:
        """Register the call of the group ``group_name`` with ``server``."""
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
        """Send ``message`` with the answer to an open call of ``receiver``, else with a call to it."""
        if not self._call_handler.add_reply(receiver, message):
            self._transport.send(sender, receiver, message)

    def writes_finished(self) -> None:
        """Answer the calls that wait for the disk: no write is unfinished any more."""
        self._call_handler.writes_finished()

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queued messages are sent or lost, ``timeout_s`` seconds at most."""
        await self._transport.flush(timeout_s)

    async def _handle_call(self, batch: Batch) -> Result[Batch, Failure]:
        if self._replica is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"{self._group_name}: not started"))
        if batch.receiver_id != self._replica.identity.member_id:
            return Ok(Batch(stranger=True))  # meant for the disk that was here before
        return Ok(await self._call_handler.handle(batch))

    def _deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        if self._replica is not None:
            self._replica.deliver(sender, batch)

    def _has_pending_writes(self) -> bool:
        return self._replica is not None and self._replica.has_pending_writes
