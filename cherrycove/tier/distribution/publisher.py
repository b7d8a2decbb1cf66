"""The publishing side of pulls: the call "pull", answered by the primary controller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from result import Err, Ok, Result

from cherrycove.tier.distribution.topics import PublishedTopics, VersionVector
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import PullReply, PullRequest, TopicUpdate

MAX_WAIT_S = 5.0  # a pull is answered after so long, however long it asks to wait


class Authority(Protocol):
    """Whether this controller may publish, and which one else may."""

    @property
    def epoch(self) -> int:
        """The epoch in which this controller is primary."""

    def is_confirmed_primary(self) -> bool:
        """Whether this controller is the primary under a valid lease."""

    def primary_address(self) -> str:
        """RPC address of another controller that is the primary; empty while unknown."""


class Publisher:
    """Answers pulls with what is newer than the caller's versions, by long poll.

    One per controller, in memory only. A pull waits until something newer is published or its wait is over.
    It is answered NOT_PRIMARY, with a hint to the primary, while this controller is not the confirmed one.
    """

    def __init__(
        self,
        authority: Authority,
        on_pull: Callable[[PullRequest], None],
        on_rejected: Callable[[PullRequest], None] = lambda _: None,
    ) -> None:
        """``on_pull`` is called with each pull that is not rejected, before it is answered.

        ``on_rejected`` is called with each other one: its announcement may tell of the primary.
        """
        self._topics = PublishedTopics()
        self._authority = authority
        self._on_pull = on_pull
        self._on_rejected = on_rejected
        self._changed = asyncio.Event()
        self._closed = False

    def serve_on(self, server: CallRegistry) -> None:
        """Register the call with ``server``."""
        server.register(PULL, self.pull)

    def publish(self, update: TopicUpdate) -> None:
        """Publish ``update`` if it is newer than what is published, and answer the pulls that wait."""
        if self._topics.publish(update):
            self.wake()

    def withdraw(self, topic: str) -> None:
        """Publish nothing under ``topic`` any more; pullers keep what they have."""
        self._topics.withdraw(topic)

    def wake(self) -> None:
        """Let every waiting pull check again: something was published, or the leadership changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Answer waiting and later pulls at once with NOT_PRIMARY."""
        self._closed = True
        self.wake()

    async def pull(self, request: PullRequest) -> Result[PullReply, Failure]:
        """Answer one pull."""
        if not self._leads():
            self._on_rejected(request)
            return Err(self._not_primary())
        self._on_pull(request)
        vector = VersionVector(request.versions)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(request.wait_ms / 1000.0, MAX_WAIT_S)
        while self._leads():
            updates = self._topics.newer_than(vector)
            remaining_s = deadline - loop.time()
            if updates or remaining_s <= 0:
                return Ok(PullReply(updates=updates, epoch=self._authority.epoch))
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)
        return Err(self._not_primary())

    def _leads(self) -> bool:
        return not self._closed and self._authority.is_confirmed_primary()

    def _not_primary(self) -> Failure:
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary keeper", self._authority.primary_address())
