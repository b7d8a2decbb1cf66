"""Publishes topics on the primary controller by answering the RPC ``pull``."""

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

MAX_WAIT_S = 5.0  # upper limit of the time that a pull may ask to wait


class Authority(Protocol):
    """Tells whether this controller may publish, and which controller is the primary otherwise."""

    @property
    def epoch(self) -> int:
        """Return the epoch in which this controller is primary."""

    def is_confirmed_primary(self) -> bool:
        """Return whether this controller is the primary under a valid lease."""

    def primary_address(self) -> str:
        """Return the RPC address of another controller that is the primary; empty while it is unknown."""


class Publisher:
    """Answers pulls by long polling with the updates that are newer than the caller's versions.

    Each controller has one, which is in memory only. A pull waits until something newer is published or its
    wait time is over. While this controller is not the confirmed primary, pulls are rejected with NOT_PRIMARY
    and a hint to the primary.
    """

    def __init__(
        self,
        authority: Authority,
        on_pull: Callable[[PullRequest], None],
        on_rejected: Callable[[PullRequest], None] = lambda _: None,
    ) -> None:
        """``on_pull`` is called with each accepted pull, before it is answered.

        ``on_rejected`` is called with each rejected pull, since its announcement may name the primary.
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
        """Publish ``update`` if it is newer than the published one, and answer the waiting pulls."""
        if self._topics.publish(update):
            self.wake()

    def withdraw(self, topic: str) -> None:
        """Stop publishing ``topic``; pullers keep their version."""
        self._topics.withdraw(topic)

    def wake(self) -> None:
        """Let every waiting pull check again, after a publication or a change of leadership."""
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Reject waiting and later pulls immediately with NOT_PRIMARY."""
        self._closed = True
        self.wake()

    async def pull(self, request: PullRequest) -> Result[PullReply, Failure]:
        """Return the updates newer than the caller's versions, waiting for one if there is none.

        Returns NOT_PRIMARY if this controller is not, or ceases to be, the confirmed primary.
        """
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
