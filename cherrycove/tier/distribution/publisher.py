"""The publisher's side of pulling: answers the call "pull" while this replica is the confirmed primary."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from cherrycove.tier.distribution.topics import PublishedTopics, VersionVector
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import PullReply, PullRequest

MAX_WAIT_S = 5.0  # a call is never held longer, whatever it asks for


class Authority(Protocol):
    """Whether this process may speak for the tier, and who else may."""

    @property
    def epoch(self) -> int: ...

    def is_confirmed_primary(self) -> bool: ...

    def primary_address(self) -> str:
        """RPC address of another replica that leads; empty while unknown."""


class Publisher:
    """Holds pulls until something newer than the caller's vector is published, or their wait is over."""

    def __init__(self, authority: Authority, on_pull: Callable[[PullRequest], None]) -> None:
        self.topics = PublishedTopics()
        self._authority = authority
        self._on_pull = on_pull
        self._changed = asyncio.Event()
        self._closed = False

    def serve_on(self, server: CallRegistry) -> None:
        server.register(PULL, self.pull)

    def wake(self) -> None:
        """Let every held pull look again: something was published, or the leadership changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Answer held and later pulls at once, as a replica that does not lead."""
        self._closed = True
        self.wake()

    async def pull(self, request: PullRequest) -> Result[PullReply, Failure]:
        if not self._leads():
            return Err(self._not_primary())
        self._on_pull(request)
        vector = VersionVector(request.versions)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(request.wait_ms / 1000.0, MAX_WAIT_S)
        while self._leads():
            updates = self.topics.newer_than(vector)
            remaining = deadline - loop.time()
            if updates or remaining <= 0:
                return Ok(PullReply(updates=updates, epoch=self._authority.epoch))
            await _wait(self._changed, remaining)
        return Err(self._not_primary())

    def _leads(self) -> bool:
        return not self._closed and self._authority.is_confirmed_primary()

    def _not_primary(self) -> Failure:
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary keeper", self._authority.primary_address())


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
