"""Incoming calls from peers, answered with the messages that the replica has for their sender.

A reply that is ready in time is piggybacked on the answer of the call, so that one exchange over the network
carries both directions. The others are sent by ``transport`` in a call of their own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity

MAX_REPLY_DELAY_S = 0.03  # a call waits at most so long for a reply that needs a disk write first


@attrs.define(eq=False)
class _OpenCall:
    """A call that is not answered yet."""

    sender_id: str
    writes_finished: asyncio.Future[None]
    replies: list[Message] = attrs.field(factory=list)


def _needs_write(message: Message) -> bool:
    """Whether the reply to ``message`` may be sent only after a disk write."""
    return bool(message.append.entries) or message.HasField("vote_request")


class CallHandler:
    """Handles the calls that peers make to one replica. Runs in the event loop."""

    def __init__(
        self, deliver: Callable[[MemberIdentity, Batch], None], has_pending_writes: Callable[[], bool]
    ) -> None:
        """Create a handler.

        ``deliver`` hands a batch to the replica; ``has_pending_writes`` says whether the replica has disk
        writes that are not finished.
        """
        self._deliver = deliver
        self._has_pending_writes = has_pending_writes
        self._open_calls: list[_OpenCall] = []

    async def handle(self, batch: Batch) -> Batch:
        """Deliver ``batch`` and return the messages for its sender, after ``MAX_REPLY_DELAY_S`` at most."""
        sender = MemberIdentity(batch.sender_id, "", batch.sender_address)
        call = _OpenCall(batch.sender_id, asyncio.get_running_loop().create_future())
        self._open_calls.append(call)
        try:
            self._deliver(sender, batch)
            if self._has_pending_writes() and any(_needs_write(message) for message in batch.messages):
                await asyncio.wait([call.writes_finished], timeout=MAX_REPLY_DELAY_S)
        finally:
            self._open_calls.remove(call)
        return Batch(messages=call.replies)

    def add_reply(self, receiver: MemberIdentity, message: Message) -> bool:
        """Send ``message`` with the answer to an open call of ``receiver``; False if there is none."""
        for call in self._open_calls:
            if call.sender_id == receiver.member_id:
                call.replies.append(message)
                return True
        return False

    def writes_finished(self) -> None:
        """Answer the calls that wait for the disk: no write is unfinished any more."""
        for call in self._open_calls:
            if not call.writes_finished.done():
                call.writes_finished.set_result(None)
