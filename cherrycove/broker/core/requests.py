"""Requests, attempts, replies and answers: the types that the core shares with servers and backends."""

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
    """The properties of a request that the core needs; only the backend knows the content."""

    cls: int  # index in ``Settings.classes``
    plan: int  # index in ``Settings.plans``
    volume: str
    units: float
    shard: int | None  # shard that holds the data; None: a new object, which any node may store
    hosts: int  # number of brokers that receive requests of the volume
    deadline: float  # when the client stops waiting, on the event loop's clock
    key: str | None = None
    repeat: bool = False  # the client marked it as a retry
    upload: bool = False  # its last byte has not arrived yet; the deadline counts from then on
    id: str = ""  # assigned by the client
    front: str = "http"  # server that received it: "http" or "nbd"


@dataclass(slots=True, eq=False)
class Attempt:
    """Permission to send a request to a node once, until ``expires``. Times are on the event loop's clock."""

    request: int
    number: int
    node: str
    address: str
    expires: float
    started_at: float
    response_timeout_s: float = 0.0  # how long the broker waits for the response
    incarnation: str = ""  # identifies the node's process: name and start time
    written: bool = False  # the last byte may have been sent
    body_started: bool = False  # a part of a streamed body may have been sent
    on_written: Callable[[Attempt], None] | None = None
    timeout: asyncio.Timeout | None = None  # set while a backend carries the attempt out
    cancelled: bool = False  # by the scheduler
    reported: bool = False  # its end was reported to the scheduler
    why: api.Reason | None = None
    duration_s: float = 0.0  # set when the attempt ends
    ending: Ending | None = None
    write_by: float = inf  # cancelled if the last byte has not been sent by then

    def mark_written(self) -> None:
        """Mark the attempt as written; the backend calls this once the last byte may have been sent."""
        if not self.written:
            self.written = True
            if self.on_written is not None:
                self.on_written(self)


@dataclass(frozen=True, slots=True)
class Reply:
    """How an attempt ended, and the node's response."""

    ending: Ending
    body: bytes = b""
    media_type: str = ""  # of the body; "" if the protocol has none
    use: float | None = None  # use of the volume in a past meter period, as a multiple of its plan's rate
    elsewhere: float = 0.0  # units served for the volume through other brokers
    load: Mapping[str, float] = field(default_factory=dict)  # reported by the node
    relay: Callable[[], Awaitable[Ending]] | None = (
        None  # streams the rest of a long response, after ``body``
    )


class Verdict(Enum):
    """What the final answer tells the client."""

    SERVED = "served"
    REFUSED = "refused"  # not executed: a retry is safe
    FAILED = "failed"  # may have been executed


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    reply: Reply | None = None
    retry_after: float = 0.0  # seconds; 0: no advice
    last_ending: Ending | None = None  # how the last attempt ended, if there was one
    why: api.Reason | None = None  # the scheduler's reason, if it decided
    local_code: LocalCode = LocalCode.NOTHING  # the core's reason, if the scheduler did not decide


class Backend(Protocol):
    """Carries out the attempts of one request over one protocol."""

    async def attempt(self, attempt: Attempt) -> Reply:
        """Send the request to the attempt's node and return how that ended.

        If cancelled, it closes the connection that it used.
        """
