"""Events: what has happened, from the caller to the scheduler.

Pure data. Every time and duration is in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_EXECUTED = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)


class NodeState(Enum):
    """What a node list says of a node."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Whether a node list is the changes since the last one, all nodes, or all nodes after a reconnect."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"


@dataclass(frozen=True, slots=True)
class RequestArrival:
    """A client's request has come in; it must get one final answer within its budget."""

    request: int
    cls: int  # index in Settings.classes
    plan: int  # index in Settings.plans
    volume: str
    units: float
    shard: int | None  # whose node holds the data; None: a new object, which any node may take
    hosts: int  # through how many schedulers the volume's requests come
    budget: float  # time before the client stops waiting for this attempt
    key: str | None = None
    repeat: bool = False  # a client's second attempt, where clients mark it
    upload: bool = False  # its last byte is still to come; its budget counts from then on


@dataclass(frozen=True, slots=True)
class UploadEnd:
    """The last byte of a request taken with ``upload`` has come, and has left for its node."""

    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt has ended, whatever its outcome; each attempt that was sent ends once."""

    request: int
    attempt: int
    node: str
    outcome: Outcome
    closed: bool  # the request is over; otherwise a final answer is still owed
    latency: float
    use: float | None = None  # the volume's use in a finished meter period, in usual rates; late
    elsewhere: float = 0.0  # units served for the volume through others since the node's last answer here
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamStart:
    """The first byte of an attempt's answer has come."""

    request: int
    attempt: int
    node: str
    latency: float


@dataclass(frozen=True, slots=True)
class ClientDeparture:
    """The client has left; nothing more is owed for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class Node:
    """An entry of a node list."""

    id: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    started: float | None = None  # clock time of its last start; None: long ago
    state: NodeState = NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """A node list has come, or changes of the last one."""

    version: int
    kind: ListKind
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """Several processes count as one scheduler for a while; this one may use a part of its budgets."""

    fraction: float  # above 0; 1: it is alone (again)
    sent: Mapping[str, float] = field(default_factory=dict)  # units that the others sent to nodes of late


@dataclass(frozen=True, slots=True)
class NodeRestartState:
    """What an earlier incarnation knew of one start of a node. Times are on the present clock."""

    id: str
    started: float | None
    mean_latency_s: float  # s, recent mean latency of what was served
    last_served_at: float  # when that was last seen
    threshold: float
    overload: bool = False
    failures: int = 0  # in a row
    backoff_until: float = -math.inf
    draw_window: int = -1  # the last window of the rule on cold nodes in which a lot was drawn
    sent: float = 0.0  # units within that rule's window,
    sent_at: float = -math.inf  # the last of them


@dataclass(frozen=True, slots=True)
class VolumeRestartState:
    """What an earlier incarnation knew of a volume. Times are on the present clock."""

    name: str
    credits: float  # units, below 0: overdrawn
    refilled_at: float  # the refill up to which they are reckoned
    over_reserve_at: float = -math.inf  # when the meter last reported a use beyond the reserve


@dataclass(frozen=True, slots=True)
class RestartState:
    """What an earlier incarnation of this scheduler left. It is taken up once, and only holds back."""

    nodes: tuple[NodeRestartState, ...] = ()
    volumes: tuple[VolumeRestartState, ...] = ()
    budgets: Mapping[int, float] = field(default_factory=dict)  # s, the longest seen, by class
    whole: bool = False  # complete: the earlier incarnation has sent nothing since this was collected


@dataclass(frozen=True, slots=True)
class CapacityPool:
    """So much of cold nodes' capacity is lent among the schedulers from now on; 0: all of it is split."""

    pooled_fraction: float


@dataclass(frozen=True, slots=True)
class CapacityLoan:
    """Capacity at a cold node, beside this scheduler's own part. A later loan replaces the former one."""

    node: str
    units: float
    duration: float  # for which it may be used


@dataclass(frozen=True, slots=True)
class OpenRequestLimit:
    """How many requests may be open here before others find no way in. Without it: any number."""

    max_open: int


@dataclass(frozen=True, slots=True)
class NodeListFailure:
    """A call for the node list failed, or the subscription broke; the old list stands."""


@dataclass(frozen=True, slots=True)
class TimerExpiry:
    """The timer of a ``SetTimer`` action has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnd:
    """A probe has ended."""

    node: str
    outcome: Outcome
    latency: float
    load: Mapping[str, float] = field(default_factory=dict)


Event = (
    RequestArrival
    | UploadEnd
    | AttemptEnd
    | StreamStart
    | ClientDeparture
    | NodeListUpdate
    | BudgetShare
    | RestartState
    | CapacityPool
    | CapacityLoan
    | OpenRequestLimit
    | NodeListFailure
    | TimerExpiry
    | ProbeEnd
)
