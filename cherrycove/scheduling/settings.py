"""The settings of a scheduler: request classes, volume plans, and the rules and limits of a deployment.

Times and durations are in seconds, rates per second. A unit is the measure of a request's size.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed twice: always, only with its key (see ``Group``), or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The nodes that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


_ABOVE_0 = ("tick", "fall_window", "start_capacity", "usual_units", "max_units")
_NOT_NEGATIVE = (
    "answer_grace",
    "cold_units",
    "warm_after",
    "drain_grace",
    "order_settle",
    "extra_ratio",
    "extra_window",
    "ask_within",
    "retry_advice",
    "share_worth",
    "spare_worth",
    "meter_period",
    "shards",
    "fall_multiple",
)


def _require_above_0(owner: str, record: object, *names: str) -> None:
    for name in names:
        value = getattr(record, name)
        if not (math.isfinite(value) and value > 0):
            raise ValueError(f"{owner}.{name} must be above 0, not {value!r}")


def _require_not_negative(owner: str, record: object, *names: str) -> None:
    for name in names:
        value = getattr(record, name)
        if not (math.isfinite(value) and value >= 0):
            raise ValueError(f"{owner}.{name} must not be negative, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. Raises ``ValueError`` for a value out of its range."""

    name: str
    aim: float  # latency target; an answer within it earns the full value
    deadline: float  # total time that a client waits, over all its attempts
    effect: Effect
    worth: float = 1.0  # value of an answer
    late_worth: float = 0.0  # fraction of the value that a late answer earns
    group: Group = Group.ALL
    # Keyed: repeats are dropped for this time after the first attempt that may have been executed.
    repeat_window: float = 0.0
    ordered: bool = False  # requests that share a key run one at a time, in order of arrival
    writes: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.effect, Effect):
            raise ValueError(f"class {self.name}.effect is unknown: {self.effect!r}")
        if not isinstance(self.group, Group):
            raise ValueError(f"class {self.name}.group is unknown: {self.group!r}")
        owner = f"class {self.name}"
        _require_above_0(owner, self, "aim", "deadline")
        _require_not_negative(owner, self, "worth", "late_worth", "repeat_window")


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits and guarantees of each volume of the plan, in units, over all schedulers and nodes together.

    Raises ``ValueError`` for a value out of its range.
    """

    name: str
    usual: float  # units/s that a volume is sized for
    reserve: float = 0.0  # units/s that earn their full value
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0  # units/s; 0: no limit
    burst: float = 0.0  # size of the limit's token bucket
    slack: float = 0.0  # how far the bucket may drop below 0

    def __post_init__(self) -> None:
        owner = f"plan {self.name}"
        _require_above_0(owner, self, "usual")
        _require_not_negative(owner, self, "reserve", "weight", "price", "limit", "burst", "slack")
        if self.limit and not self.burst:
            raise ValueError(f"plan {self.name}.burst must be above 0 where the plan has a limit")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one scheduler. Raises ``ValueError`` for a value out of its range."""

    schedulers: int  # number of schedulers that serve these nodes, including this one
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    tick: float  # minimum time between two calls of handle()
    answer_grace: float  # an answer up to this long after the request's deadline still counts
    cold_units: (
        float  # units within fall_window that a cold node always handles, from all schedulers together
    )
    fall_window: float  # within it a cold node fails if it is sent more than fall_multiple times its capacity
    start_capacity: float  # fraction of its full capacity with which a node starts
    warm_after: float  # time after which a node has its full capacity
    drain_grace: float = 0.0
    order_settle: float = 0.0  # pause of a key after an attempt that may still be running
    extra_spare: float | None = None  # budget of further attempts: this many (None: unlimited),
    extra_ratio: float = 0.0  # plus this fraction of the requests that arrived within extra_window
    extra_window: float = 0.0
    list_on_request: bool = False  # the node list is sent only on request
    ask_within: float = 0.0
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    retry_advice: float = 0.0  # maximum retry delay that clients honor; 0: they honor none
    max_units: float = 1.0
    usual_units: float = 1.0
    # Fraction of the value that units above the reserve, within the volume's share, earn.
    share_worth: float = 0.0
    spare_worth: float = 0.0  # fraction of the value that units above reserve and share earn
    meter_period: float = 0.0  # 0: answers do not report the use of a volume
    tells_elsewhere: bool = False
    shards: int = 0  # number of shards, numbered from 0; 0: unknown
    fall_multiple: float = 1.0  # of a cold node's capacity; see fall_window
    load_names: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        for name in ("schedulers", "max_attempts"):
            value = getattr(self, name)
            if value < 1:
                raise ValueError(f"{name} must be at least 1, not {value!r}")
        for name in ("classes", "plans"):
            if not getattr(self, name):
                raise ValueError(f"{name} must not be empty")
        _require_above_0("settings", self, *_ABOVE_0)
        _require_not_negative("settings", self, *_NOT_NEGATIVE)
        if self.start_capacity > 1:
            raise ValueError(f"settings.start_capacity must be at most 1, not {self.start_capacity}")
        if self.extra_spare is not None:
            _require_not_negative("settings", self, "extra_spare")
            _require_above_0("settings", self, "extra_window")
