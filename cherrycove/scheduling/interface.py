"""The types, events and actions of the decision module.

Pure data, in the field's terms. Every time, duration and rate is in seconds. A caller builds a ``Settings``,
hands it to ``cherrycove.scheduling.scheduler.Scheduler`` and from then on exchanges events for actions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
    """What happens when a request runs twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class NodeState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"


def _positive(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not (math.isfinite(value) and value > 0):
            raise ValueError(f"{owner}.{name} must be above 0, not {value!r}")


def _not_negative(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not (math.isfinite(value) and value >= 0):
            raise ValueError(f"{owner}.{name} must not be negative, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float  # an answer within this time earns the full worth
    deadline: float  # how long a client waits in all, over all its tries
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0  # part of the worth that a late answer earns
    group: Group = Group.ALL
    repeat_window: float = 0.0  # keyed: how long repeats are dropped, from the first send that may have run
    ordered: bool = False  # requests that share a key run one at a time, in order of arrival
    writes: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.effect, Effect):
            raise ValueError(f"class {self.name}.effect is unknown: {self.effect!r}")
        if not isinstance(self.group, Group):
            raise ValueError(f"class {self.name}.group is unknown: {self.group!r}")
        _positive(f"class {self.name}", aim=self.aim, deadline=self.deadline)
        _not_negative(
            f"class {self.name}",
            worth=self.worth,
            late_worth=self.late_worth,
            repeat_window=self.repeat_window,
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """Figures for each volume of the plan, over all schedulers and nodes together, in units."""

    name: str
    usual: float  # units a second that a volume is sized for
    reserve: float = 0.0  # units a second that earn their full worth
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0  # units a second; 0: no limit
    burst: float = 0.0  # the most that the limit's store holds
    slack: float = 0.0  # how far the store may drop below 0

    def __post_init__(self) -> None:
        _positive(f"plan {self.name}", usual=self.usual)
        _not_negative(
            f"plan {self.name}",
            reserve=self.reserve,
            weight=self.weight,
            price=self.price,
            limit=self.limit,
            burst=self.burst,
            slack=self.slack,
        )
        if self.limit and not self.burst:
            raise ValueError(f"plan {self.name}.burst must be above 0 where the plan has a limit")


@dataclass(frozen=True, slots=True)
class Settings:
    schedulers: int  # how many schedulers serve these nodes, this one included
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    tick: float  # the shortest time between two calls of handle()
    answer_grace: float  # an answer this long after the request's end still counts
    cold_units: float  # what a cold node always bears from all schedulers within fall_window
    fall_window: float
    start_capacity: float  # part of its capacity with which a node starts
    warm_after: float  # time after which it has all of it
    drain_grace: float = 0.0
    order_settle: float = 0.0  # rest of a key after an attempt that may still run
    extra_spare: float | None = None  # attempts past the first: this many (None: no such budget),
    extra_ratio: float = 0.0  # plus this part of the requests taken within extra_window
    extra_window: float = 0.0
    list_on_request: bool = False  # the node list must be asked for
    ask_within: float = 0.0
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    retry_advice: float = 0.0  # the longest advice on when to retry that clients follow; 0: none
    max_units: float = 1.0
    usual_units: float = 1.0
    share_worth: float = 0.0  # part of the worth that units beyond the reserve earn within the volume's share
    spare_worth: float = 0.0  # part of the worth that units beyond reserve and share earn
    meter_period: float = 0.0  # 0: answers do not tell a volume's use
    tells_elsewhere: bool = False
    shards: int = 0  # numbered from 0; 0: not told
    fall_multiple: float = 1.0  # of what it can do; sent more within fall_window, a cold node falls over
    load_names: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        if self.schedulers < 1:
            raise ValueError(f"schedulers must be at least 1, not {self.schedulers!r}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts must be at least 1, not {self.max_attempts!r}")
        for name, value in (("classes", self.classes), ("plans", self.plans)):
            if not value:
                raise ValueError(f"{name} must not be empty")
        _positive(
            "settings",
            tick=self.tick,
            fall_window=self.fall_window,
            start_capacity=self.start_capacity,
            usual_units=self.usual_units,
            max_units=self.max_units,
        )
        _not_negative(
            "settings",
            answer_grace=self.answer_grace,
            cold_units=self.cold_units,
            warm_after=self.warm_after,
            drain_grace=self.drain_grace,
            order_settle=self.order_settle,
            extra_ratio=self.extra_ratio,
            extra_window=self.extra_window,
            ask_within=self.ask_within,
            retry_advice=self.retry_advice,
            share_worth=self.share_worth,
            spare_worth=self.spare_worth,
            meter_period=self.meter_period,
            shards=self.shards,
            fall_multiple=self.fall_multiple,
        )
        if self.start_capacity > 1:
            raise ValueError(f"settings.start_capacity must be at most 1, not {self.start_capacity}")
        if self.extra_spare is not None:
            _not_negative("settings", extra_spare=self.extra_spare)
            _positive("settings", extra_window=self.extra_window)


# Events, from the caller to the module.


@dataclass(frozen=True, slots=True)
class RequestArrival:
    """A client's request has come in; it must get one final answer within its budget."""

    request: int
    cls: int  # place in Settings.classes
    plan: int  # place in Settings.plans
    volume: str
    units: float
    shard: int | None  # whose node holds the data; None: a new object, which any node may take
    hosts: int  # through how many schedulers the volume's requests come
    budget: float  # time before the client stops waiting for this try
    key: str | None = None
    repeat: bool = False  # a client's second try, where clients mark it
    upload: bool = False  # its last byte is still to come; its budget counts from then on


@dataclass(frozen=True, slots=True)
class UploadEnd:
    """The last byte of a request taken with ``upload`` has come, and has left for its node."""

    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnd:
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
    id: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    started: float | None = None  # clock time of its last start; None: long ago
    state: NodeState = NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeListUpdate:
    version: int
    kind: ListKind
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class BudgetShare:
    """This scheduler is one of several that count as one for a while, and may use a part of its budgets."""

    part: float  # above 0; 1: it is alone (again)
    sent: Mapping[str, float] = field(default_factory=dict)  # units that the others sent to nodes of late


@dataclass(frozen=True, slots=True)
class NodeRestartState:
    """What an earlier life of this scheduler knew of one start of a node. Times are on the present clock."""

    id: str
    started: float | None
    service: float  # s, recent mean latency of what was served
    heard: float  # when that was last seen
    threshold: float
    overload: bool = False
    failures: int = 0  # in a row
    resting_until: float = -math.inf
    slot: int = -1  # the last window of the rule on cold nodes in which a lot was drawn
    sent: float = 0.0  # units within that rule's window,
    sent_at: float = -math.inf  # the last of them


@dataclass(frozen=True, slots=True)
class VolumeRestartState:
    name: str
    credits: float  # units, below 0: overdrawn
    at: float  # the refill up to which they are reckoned
    beyond: float = -math.inf  # when the meter last told of a use beyond the reserve


@dataclass(frozen=True, slots=True)
class RestartState:
    """What an earlier life of this scheduler left. It is taken up once, and permits nothing."""

    nodes: tuple[NodeRestartState, ...] = ()
    volumes: tuple[VolumeRestartState, ...] = ()
    budgets: Mapping[int, float] = field(default_factory=dict)  # s, the longest seen, by class
    whole: bool = False  # the earlier life has sent nothing since this was taken down


@dataclass(frozen=True, slots=True)
class CapacityPool:
    """From now on this part of what cold nodes bear is lent among the schedulers; 0: all of it is split."""

    lent: float


@dataclass(frozen=True, slots=True)
class CapacityLoan:
    """Room at a cold node, beside this scheduler's split part. A later loan takes the former's place."""

    node: str
    units: float
    time: float  # for which it may be used


@dataclass(frozen=True, slots=True)
class OpenRequestLimit:
    """How many requests may be open here before others find no way in. Not told: any number."""

    most: int


@dataclass(frozen=True, slots=True)
class NodeListFailure:
    """A call for the node list failed, or the subscription broke; the old list stands."""


@dataclass(frozen=True, slots=True)
class TimerExpiry:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnd:
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


# Actions, from the module to the caller, carried out in the order given.


class Code(IntEnum):
    """Why an attempt was sent, or why none will be. The values are kept in records and never change."""

    CREDIT = 1  # its volume had credit, and fewer than L were out at its node
    SPARE = 2  # its volume had none, but its node had room to spare
    AGAIN = 3  # a further attempt, after a pause
    OVERDUE = 4  # past its aim at a node that keeps up: sent whatever is out there
    TRIAL = 5  # one at a time tries a node at which nobody answered
    NO_CREDIT = 16  # it waited for its volume's credit until an attempt would have been late
    OVER_LIMIT = 17  # its plan's limit would let it through only when too late
    NODE_BUSY = 18  # it waited in its node's queue until an attempt would have been late
    NODE_SLOW = 19  # its node is expected to answer too late
    NODE_RESTS = 20  # nobody answers at its node, or it turned others away
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
    """What a decision was taken on, as it was at that moment."""

    code: Code
    node: str = ""  # "": none
    place: str = ""  # where the request waited: "lane" for credit, "queue" at its node, or nowhere
    threshold: float = 0.0  # L of the node
    out: int = 0  # requests out at the node, this one not counted
    queued: int = 0  # in the node's queue, this one not counted once it leaves
    credits: float = 0.0  # units of its volume; 0 or less: it had none
    wait: float = 0.0  # s until an answer, as reckoned with
    left: float = 0.0  # s until its aim; below 0: past it
    refill: float = 0.0  # s until the next joint refill
    epoch: int = 0  # joint refills so far


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0 in the order of their sends."""

    request: int
    node: str
    timeout: float | None = None  # None: until the request's budget ends
    why: Reason | None = field(default=None, compare=False)
    within: float | None = None  # the last byte must leave in this time, else none of it may; None: any time


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no, and a new try does no harm."""

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
    request: int
    attempt: int
    why: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    node: str


@dataclass(frozen=True, slots=True)
class BorrowCapacity:
    """Ask the others for room at a cold node, for so many units. An answer is CapacityLoan, or nothing."""

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
