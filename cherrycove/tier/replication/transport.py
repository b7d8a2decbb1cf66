"""One-way messages between replicas over internal calls: queued for each peer, sent in batches, lost on
failure."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from result import Ok

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.interface import Caller
from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity

CALL_TIMEOUT_S = 0.5
QUEUE_MESSAGES = 512  # waiting for one peer; the oldest are dropped beyond
BATCH_BYTES = 4 * 1024 * 1024

ReplyHandler = Callable[[MemberIdentity, Batch], None]


class PeerSender:
    """Sends what is queued for one peer, one call at a time."""

    def __init__(self, client: Caller, call: str, peer: MemberIdentity, on_reply: ReplyHandler) -> None:
        self._client = client
        self._call = call
        self._peer = peer
        self._on_reply = on_reply
        self._queue: deque[Message] = deque(maxlen=QUEUE_MESSAGES)
        self._sender = MemberIdentity("", "", "")
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> asyncio.Task[None] | None:
        """The task that empties the queue, if one runs."""
        return self._task

    def send(self, sender: MemberIdentity, message: Message) -> None:
        self._sender = sender
        self._queue.append(message)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
            self._task.add_done_callback(self._done)

    def _done(self, _task: asyncio.Task[None]) -> None:
        self._task = None

    async def _run(self) -> None:
        while self._queue:
            batch = Batch(
                sender_id=self._sender.member_id,
                sender_address=self._sender.address,
                receiver_id=self._peer.member_id,
                messages=self._take(),
            )
            outcome = await self._client.call(
                self._peer.address, self._call, batch, Batch, CALL_TIMEOUT_S, self._peer.member_id
            )
            if isinstance(outcome, Ok):
                self._on_reply(self._peer, outcome.ok_value)
            elif outcome.err_value.kind is ErrorKind.MISDIRECTED:
                self._on_reply(self._peer, Batch(stranger=True))

    def _take(self) -> list[Message]:
        messages = [self._queue.popleft()]
        size = messages[0].ByteSize()
        while self._queue and size < BATCH_BYTES:
            size += self._queue[0].ByteSize()
            messages.append(self._queue.popleft())
        return messages

    def cancel(self) -> None:
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()


class Transport:
    """Senders to all peers of one group."""

    def __init__(self, client: Caller, call: str, on_reply: ReplyHandler) -> None:
        self._client = client
        self._call = call
        self._on_reply = on_reply
        self._senders: dict[tuple[str, str], PeerSender] = {}

    def send(self, sender: MemberIdentity, receiver: MemberIdentity, message: Message) -> None:
        key = (receiver.member_id, receiver.address)
        peer = self._senders.get(key)
        if peer is None:
            peer = self._senders[key] = PeerSender(self._client, self._call, receiver, self._on_reply)
        peer.send(sender, message)

    async def flush(self, timeout_s: float) -> None:
        """Wait until what is queued has been sent or lost, but not longer than ``timeout_s``."""
        tasks = [sender.running for sender in self._senders.values() if sender.running is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def stop(self) -> None:
        for sender in self._senders.values():
            sender.cancel()
        self._senders.clear()
