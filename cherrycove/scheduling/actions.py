"""Actions: what the caller must do, in the order given, and the reasons for it.

Pure data. Every time and duration is in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple


class Code(IntEnum):
    """Why an attempt was sent, or why none will be. The values are kept in records and never change."""

    CREDIT = 1  # its volume had credit, and fewer than L were out at its node
    SPARE = 2  # its volume had none, but its node had capacity to spare
    AGAIN = 3  # a further attempt, after a pause
    OVERDUE = 4  # past its latency target at a node that keeps up: sent whatever is out there
    TRIAL = 5  # one at a time is sent to a node at which nobody answered
    NO_CREDIT = 16  # it waited for its volume's credit until an attempt would have been late
    OVER_LIMIT = 17  # its plan's limit would let it through only when too late
    NODE_BUSY = 18  # it waited in its node's queue until an attempt would have been late
    NODE_SLOW = 19  # its node is expected to answer too late
    NODE_RESTS = 20  # nobody answers at its node, or it rejected others
    NODE_COLD = 21  # its node has just started and may not get more yet
    NO_NODE = 22  # no node holds its shard now
    DRAINED = 23  # the node that holds its shard takes no new work
    PLACES = 24  # so many requests were open that others would have found no way in
    HALF_TIME = 25  # half of its client's time was over, and it had not been sent
    MAY_HAVE_RUN = 26  # an attempt may have run, and its class allows no second effect
    LAST_ATTEMPT = 27  # as many attempts were made as may be
    NO_TIME = 28  # too little of its time was left for an attempt
    EXTRAS = 29  # further attempts have used up what the deployment allows of them
    TURN = 30  # it waited for the request before it on the same key
    NOT_THERE = 31  # its node says that it is over or not its to serve, and nothing else is known of it


class Reason(NamedTuple):
    """The figures that a decision was taken on, as they were at that moment."""

    code: Code
    node: str = ""  # "": none
    place: str = ""  # where the request waited: "lane" for credit, "queue" at its node, or nowhere
    threshold: float = 0.0  # L of the node
    out: int = 0  # requests out at the node, this one not counted
    queued: int = 0  # in the node's queue, this one not counted once it leaves
    credits: float = 0.0  # units of its volume; 0 or less: it had none
    wait: float = 0.0  # s until an answer, as reckoned with
    left: float = 0.0  # s until its latency target ends; below 0: past it
    refill: float = 0.0  # s until the next joint refill
    epoch: int = 0  # joint refills so far


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0 in the order of their sends."""

    request: int
    node: str
    timeout: float | None = None  # None: until the request's budget ends
    why: Reason | None = field(default=None, compare=False)
    write_within: float | None = (
        None  # the last byte must leave in this time, else none of it may; None: any time
    )


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, and a new attempt of the client does no harm."""

    request: int
    retry_after: float = 0.0
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no claim on whether it took effect."""

    request: int
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call an attempt off."""

    request: int
    attempt: int
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Return a ``TimerExpiry`` with this token after the delay (s)."""

    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a node; a ``ProbeEnd`` says how that ended."""

    node: str


@dataclass(frozen=True, slots=True)
class BorrowCapacity:
    """Ask other schedulers for a loan of units at a cold node; ``CapacityLoan`` answers it, or nothing."""

    node: str
    units: float


@dataclass(frozen=True, slots=True)
class WatchNodes:
    """Ask for the node list's changes, missed ones first."""


@dataclass(frozen=True, slots=True)
class Report:
    """A line for the report."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | BorrowCapacity | WatchNodes | Report
