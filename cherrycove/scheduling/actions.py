"""Actions that the caller must execute in the given order, with the reasons for them.

Pure data. Every time and duration is in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple


class Code(IntEnum):
    """Why an attempt was sent, or why none will be. The values are stored in records and must not change."""

    CREDIT = 1  # its volume had credit, and fewer than L requests were in flight at its node
    SPARE = 2  # its volume had no credit, but its node had spare capacity
    AGAIN = 3  # a further attempt: after a pause, or redirected to another shard
    OVERDUE = 4  # past its latency target at a node that keeps up: sent although L requests are in flight
    TRIAL = 5  # sent to a node that did not answer before; one at a time
    NO_CREDIT = 16  # it waited for credit of its volume until no answer could reach its client in time
    OVER_LIMIT = 17  # its plan's limit would admit it only after its client's time
    NODE_BUSY = 18  # in its node's queue, no answer could reach its client in time
    NODE_SLOW = 19  # its node is expected to answer after its client's time
    NODE_RESTS = 20  # its node does not answer, or has rejected other requests
    NODE_COLD = 21  # its node is in slow start and may not be sent more yet
    NO_NODE = 22  # no node holds its shard now
    DRAINED = 23  # the node that holds its shard is draining
    PLACES = 24  # too many requests were open; further clients could not have connected
    # 25 was a code of earlier releases.
    MAY_HAVE_RUN = 26  # an attempt may have been executed, and its class does not allow a second execution
    LAST_ATTEMPT = 27  # the maximum number of attempts was reached
    NO_TIME = 28  # too little time was left for an attempt
    EXTRAS = 29  # the deployment's budget of further attempts was used up
    TURN = 30  # it waited for earlier requests with its key
    NOT_THERE = 31  # its node says that it has ended or belongs elsewhere, and no other shard is known


class Reason(NamedTuple):
    """The figures behind a decision, as they were at that moment."""

    code: Code
    node: str = ""  # "" if there is none
    place: str = ""  # where the request waited: "lane" (credit), "queue" (its node) or "" (neither)
    threshold: float = 0.0  # L of the node
    out: int = 0  # requests in flight at the node, without this one
    queued: int = 0  # requests in the node's queue, without this one if it has left
    credits: float = 0.0  # units of its volume; at 0 or less it has no credit
    wait: float = 0.0  # estimated time until an answer
    # Time until its latency target ends, of a send; until its client's time ends, of an answer without one.
    left: float = 0.0
    refill: float = 0.0  # time until the next credit refill
    epoch: int = 0  # number of credit refills so far


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of sending."""

    request: int
    node: str
    timeout: float | None = None  # None: until the request's budget ends
    why: Reason | None = field(default=None, compare=False)
    # The last byte must be sent within this time, else nothing may be; None: no bound.
    write_within: float | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the client may safely retry."""

    request: int
    retry_after: float = 0.0
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; whether the request took effect is unknown."""

    request: int
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

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
    """Probe a node; ``ProbeEnd`` reports the outcome."""

    node: str


@dataclass(frozen=True, slots=True)
class BorrowCapacity:
    """Request a loan of units at a cold node from other schedulers; a ``CapacityLoan`` may answer it."""

    node: str
    units: float


@dataclass(frozen=True, slots=True)
class WatchNodes:
    """Subscribe to changes of the node list, including those that were missed."""


@dataclass(frozen=True, slots=True)
class Report:
    """A line of status text for the host's report."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | BorrowCapacity | WatchNodes | Report
