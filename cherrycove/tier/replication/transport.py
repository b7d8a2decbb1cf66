"""Sends one-way messages to peers over internal calls.

Messages are queued for each peer and sent in batches, one call at a time. Messages of a failed call are lost;
the replication protocol sends again what is still needed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from result import Ok

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.calls import Caller, RpcMethod
from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity

CALL_TIMEOUT_S = 0.5
MAX_QUEUED_MESSAGES = 512  # per peer; if exceeded, the oldest are dropped
BATCH_BYTES = 4 * 1024 * 1024  # a batch is complete once its messages reach this size

ReplyHandler = Callable[[MemberIdentity, Batch], None]


class PeerSender:
    """Sends the messages for one peer in order; owns the task that drains the queue."""

    def __init__(
        self, client: Caller, method: RpcMethod[Batch, Batch], peer: MemberIdentity, on_reply: ReplyHandler
    ) -> None:
        """Create a sender; ``method`` is the internal call, ``on_reply`` receives the answers of ``peer``."""
        self._client = client
        self._method = method
        self._peer = peer
        self._on_reply = on_reply
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._sender = MemberIdentity("", "", "")
        self._task: asyncio.Task[None] | None = None

    @property
    def task(self) -> asyncio.Task[None] | None:
        """Return the task that drains the queue; None while no task is running."""
        return self._task

    def send(self, sender: MemberIdentity, message: Message) -> None:
        """Queue ``message``; ``sender`` is the current identity of this replica."""
        self._sender = sender
        self._queue.append(message)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._send_queued())
            self._task.add_done_callback(self._clear_task)

    def cancel(self) -> None:
        """Drop the queue and cancel the call in progress."""
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()

    def _clear_task(self, _task: asyncio.Task[None]) -> None:
        self._task = None

    async def _send_queued(self) -> None:
        while self._queue:
            batch = Batch(
                sender_id=self._sender.member_id,
                sender_address=self._sender.address,
                receiver_id=self._peer.member_id,
                messages=self._next_messages(),
            )
            outcome = await self._client.call(
                self._peer.address, self._method, batch, CALL_TIMEOUT_S, self._peer.member_id
            )
            if isinstance(outcome, Ok):
                self._on_reply(self._peer, outcome.ok_value)
            elif outcome.err_value.kind is ErrorKind.MISDIRECTED:
                # Another member has the address now: report it as if the disk there had answered.
                self._on_reply(self._peer, Batch(stranger=True))

    def _next_messages(self) -> list[Message]:
        messages = [self._queue.popleft()]
        size_bytes = messages[0].ByteSize()
        while self._queue and size_bytes < BATCH_BYTES:
            size_bytes += self._queue[0].ByteSize()
            messages.append(self._queue.popleft())
        return messages


class Transport:
    """Holds a sender for each peer of one group; it is created with the first message to the peer."""

    def __init__(self, client: Caller, method: RpcMethod[Batch, Batch], on_reply: ReplyHandler) -> None:
        """Create a transport; ``method`` is the internal call, ``on_reply`` receives the peers' answers."""
        self._client = client
        self._method = method
        self._on_reply = on_reply
        self._senders: dict[tuple[str, str], PeerSender] = {}

    def send(self, sender: MemberIdentity, receiver: MemberIdentity, message: Message) -> None:
        """Queue ``message`` for ``receiver``; ``sender`` is the current identity of this replica."""
        key = (receiver.member_id, receiver.address)
        peer = self._senders.get(key)
        if peer is None:
            peer = self._senders[key] = PeerSender(self._client, self._method, receiver, self._on_reply)
        peer.send(sender, message)

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queued messages are sent or lost, for at most ``timeout_s`` seconds."""
        tasks = [sender.task for sender in self._senders.values() if sender.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def stop(self) -> None:
        """Drop all queued messages and cancel the calls in progress."""
        for sender in self._senders.values():
            sender.cancel()
        self._senders.clear()
