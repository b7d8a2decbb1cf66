"""Calls from other replicas: what answers a call goes back with it, so that one exchange does for two.

A reply that waits for the disk is waited for, but not for long: a later one is sent by a call of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity

HOLD_S = 0.03


@attrs.define(eq=False)
class _Call:
    """A call that is being answered."""

    sender_id: str
    written: asyncio.Future[None]
    replies: list[Message] = attrs.field(factory=list)


def _waits_for_disk(message: Message) -> bool:
    """Whether the reply to ``message`` may come only after a write."""
    return bool(message.append.entries) or message.HasField("vote_request")


class Inbox:
    """Answers calls. ``deliver`` hands a batch to the machine; ``writing``: whether writes are unfinished."""

    def __init__(self, deliver: Callable[[MemberIdentity, Batch], None], writing: Callable[[], bool]) -> None:
        self._deliver = deliver
        self._writing = writing
        self._calls: list[_Call] = []

    async def receive(self, batch: Batch) -> Batch:
        """Deliver ``batch``; the answer holds the messages that its sender gets in return."""
        sender = MemberIdentity(batch.sender_id, "", batch.sender_address)
        call = _Call(batch.sender_id, asyncio.get_running_loop().create_future())
        self._calls.append(call)
        try:
            self._deliver(sender, batch)
            if self._writing() and any(_waits_for_disk(message) for message in batch.messages):
                await asyncio.wait([call.written], timeout=HOLD_S)
        finally:
            self._calls.remove(call)
        return Batch(messages=call.replies)

    def collect(self, receiver: MemberIdentity, message: Message) -> bool:
        """Send ``message`` with the answer to a call of ``receiver``; False if there is none."""
        for call in self._calls:
            if call.sender_id == receiver.member_id:
                call.replies.append(message)
                return True
        return False

    def written(self) -> None:
        """All writes are finished: nothing more is to be waited for."""
        for call in self._calls:
            if not call.written.done():
                call.written.set_result(None)
