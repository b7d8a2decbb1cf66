"""Handles incoming calls from peers and answers each with the messages that are ready for its sender.

A reply that is ready in time is piggybacked on the answer of the call, so that one network round trip carries
both directions. ``transport`` sends all others in separate calls.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity

MAX_REPLY_DELAY_S = 0.03  # maximum wait of a call for a reply that depends on a disk write


@attrs.define(eq=False)
class _PendingCall:
    """A call that has not been answered yet."""

    sender_id: str
    writes_finished: asyncio.Future[None]
    replies: list[Message] = attrs.field(factory=list)


def _needs_write(message: Message) -> bool:
    """Return whether the reply to ``message`` may be sent only after a disk write."""
    return bool(message.append.entries) or message.HasField("vote_request")


class CallHandler:
    """Handles the calls of peers to one replica in the event loop."""

    def __init__(
        self, deliver: Callable[[MemberIdentity, Batch], None], has_pending_writes: Callable[[], bool]
    ) -> None:
        """Create a handler.

        ``deliver`` passes a batch to the replica; ``has_pending_writes`` returns whether the replica has disk
        writes that are not yet durable.
        """
        self._deliver = deliver
        self._has_pending_writes = has_pending_writes
        self._pending_calls: list[_PendingCall] = []

    async def handle(self, batch: Batch) -> Batch:
        """Deliver ``batch``; return the messages for its sender after at most ``MAX_REPLY_DELAY_S``."""
        sender = MemberIdentity(batch.sender_id, "", batch.sender_address)
        call = _PendingCall(batch.sender_id, asyncio.get_running_loop().create_future())
        self._pending_calls.append(call)
        try:
            self._deliver(sender, batch)
            if self._has_pending_writes() and any(_needs_write(message) for message in batch.messages):
                await asyncio.wait([call.writes_finished], timeout=MAX_REPLY_DELAY_S)
        finally:
            self._pending_calls.remove(call)
        return Batch(messages=call.replies)

    def add_reply(self, receiver: MemberIdentity, message: Message) -> bool:
        """Add ``message`` to the answer of a pending call of ``receiver``; return False if there is none."""
        for call in self._pending_calls:
            if call.sender_id == receiver.member_id:
                call.replies.append(message)
                return True
        return False

    def writes_finished(self) -> None:
        """Answer the calls that wait for the disk, because no write is pending any more."""
        for call in self._pending_calls:
            if not call.writes_finished.done():
                call.writes_finished.set_result(None)
