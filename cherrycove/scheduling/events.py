"""Events that the caller passes to the scheduler.

Pure data. Every time and duration is in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How an attempt or a probe ended.

    ``NOT_EXECUTED``: the request was not executed, for a reason that says nothing of the node's health.
    """

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
        """Whether this outcome proves that the attempt was not executed."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)


class NodeState(Enum):
    """The state of a node in a node list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Whether a node list holds changes since the last one, all nodes, or all nodes after a reconnect."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"


@dataclass(frozen=True, slots=True)
class RequestArrival:
    """A client's request has arrived; it must get one final answer within its budget."""

    request: int
    cls: int  # index in Settings.classes
    plan: int  # index in Settings.plans
    volume: str
    units: float
    shard: int | None  # shard that holds the data; None: a new object, which any node may store
    hosts: int  # number of schedulers that receive requests of the volume
    budget: float  # time for which the client waits for this attempt
    key: str | None = None
    repeat: bool = False  # marked by the client as a retry, where clients do so
    upload: bool = False  # its last byte has not arrived yet; its budget counts from then on


@dataclass(frozen=True, slots=True)
class UploadEnd:
    """The last byte of a request that arrived with ``upload`` was received and sent to its node."""

    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt has ended; each attempt that was sent ends exactly once."""

    request: int
    attempt: int
    node: str
    outcome: Outcome
    closed: bool  # the request has its final answer; otherwise one is still due
    latency: float
    use: float | None = None  # use of the volume in a past meter period, as a multiple of its usual rate
    # Units served for the volume through other schedulers since the node's last answer here.
    elsewhere: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamStart:
    """The first byte of the response to an attempt has arrived."""

    request: int
    attempt: int
    node: str
    latency: float


@dataclass(frozen=True, slots=True)
class ClientDeparture:
    """The client has disconnected; the request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Node:
    """An entry of a node list."""

    id: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    started: float | None = None  # time of its last start on the scheduler's clock; None: long ago
    state: NodeState = NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    """A node list has arrived, or changes to the last one."""

    version: int
    kind: ListKind
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """Several processes temporarily count as one scheduler; this one may use a fraction of its budgets."""

    fraction: float  # above 0; 1: it is the only process
    sent: Mapping[str, float] = field(default_factory=dict)  # units recently sent by the others, by node


@dataclass(frozen=True, slots=True)
class NodeRestartState:
    """Exported state of one start of a node. Times are on the current clock."""

    id: str
    started: float | None
    mean_latency_s: float  # recent mean latency of served requests
    last_served_at: float  # time of the latest served answer
    threshold: float
    overload: bool = False
    failures: int = 0  # consecutive
    backoff_until: float = -math.inf
    draw_window: int = -1  # the latest slow-start window in which a random draw was made
    sent: float = 0.0  # units within ``Settings.fall_window``
    sent_at: float = -math.inf  # time of the latest of them


@dataclass(frozen=True, slots=True)
class VolumeRestartState:
    """Exported state of a volume. Times are on the current clock."""

    name: str
    credits: float  # units; negative: overdrawn
    refilled_at: float  # time of the latest refill that they include
    over_reserve_at: float = -math.inf  # when the meter last reported use above the reserve


@dataclass(frozen=True, slots=True)
class RestartState:
    """State exported by an earlier incarnation of this scheduler. It is restored once and only restricts."""

    nodes: tuple[NodeRestartState, ...] = ()
    volumes: tuple[VolumeRestartState, ...] = ()
    whole: bool = False  # the earlier incarnation has sent nothing since the export


@dataclass(frozen=True, slots=True)
class CapacityPool:
    """Sets which fraction of cold nodes' capacity schedulers lend to each other; the rest is split evenly."""

    pooled_fraction: float


@dataclass(frozen=True, slots=True)
class CapacityLoan:
    """Capacity at a cold node, in addition to this scheduler's even part. It replaces an earlier loan."""

    node: str
    units: float
    duration: float  # time for which it may be used


@dataclass(frozen=True, slots=True)
class OpenRequestLimit:
    """Sets how many requests may be open on this host. Without this event there is no limit."""

    max_open: int


@dataclass(frozen=True, slots=True)
class NodeListFailure:
    """A request for the node list failed, or the subscription broke; the last list stays in force."""


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
