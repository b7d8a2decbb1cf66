"""Requests, attempts and answers: what the core exchanges with the servers and with their backends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Protocol

from cherrycove.broker.core.endings import Ending
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling import interface as api


@dataclass(slots=True, eq=False)
class Request:
    """What the core must know of a request; its content is known to the backend alone."""

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    deadline: float  # on the loop's clock: when the client stops waiting
    key: str | None = None
    repeat: bool = False
    upload: bool = False  # its last byte is still to be received; its deadline counts from then on
    id: str = ""  # the client's id of it
    front: str = "http"


@dataclass(slots=True, eq=False)
class Attempt:
    """Permission to send a request to a node, once, until ``expires``. Times are on the loop's clock."""

    request: int
    number: int
    node: str
    address: str
    expires: float
    started_at: float
    response_timeout_s: float = 0.0  # s that the broker waits for the response
    incarnation: str = ""  # the node's incarnation: name and start
    written: bool = False  # the last byte may have been sent
    body_started: bool = False  # a part of a streamed body may have been sent
    on_written: Callable[[Attempt], None] | None = None
    timeout: asyncio.Timeout | None = None  # while a backend carries it out
    cancelled: bool = False
    reported: bool = False
    why: api.Reason | None = None
    duration_s: float = 0.0  # s, once it has ended
    ending: Ending | None = None
    write_by: float = inf  # by then the last byte has been sent, or the attempt is cancelled

    def mark_written(self) -> None:
        """Mark the attempt as written; its backend calls this once the last byte may have left."""
        if not self.written:
            self.written = True
            if self.on_written is not None:
                self.on_written(self)


@dataclass(frozen=True, slots=True)
class Reply:
    """How an attempt ended, and what the node sent."""

    ending: Ending
    body: bytes = b""
    media_type: str = ""  # the media type of the body, if the protocol has one
    use: float | None = None  # the volume's use in a finished period, as a multiple of its plan's rate
    elsewhere: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    relay: Callable[[], Awaitable[Ending]] | None = (
        None  # streams the rest of a long response, which begins with body
    )


class Verdict(Enum):
    """What the final answer to a request tells its client."""

    SERVED = "served"
    REFUSED = "refused"  # it did not run: a retry is safe
    FAILED = "failed"  # it may have taken effect


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    reply: Reply | None = None
    retry_after: float = 0.0  # s
    last_ending: Ending | None = None  # how the last attempt ended, if there was one
    why: api.Reason | None = None  # the scheduler's
    local_code: LocalCode = LocalCode.NOTHING  # the core's, if the scheduler had no part in it


class Backend(Protocol):
    """Carries out attempts of one request over one protocol; cancelled, it closes the connection it used."""

    async def attempt(self, attempt: Attempt) -> Reply:
        """Send the request to the attempt's node and return how that ended."""
