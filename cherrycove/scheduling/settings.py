"""The settings of a scheduler: request classes, plans of volumes, and the rules and limits of a deployment.

Every time, duration and rate is in seconds. Units are those that requests are counted in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


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
    """What the requests of a class have in common. Raises ``ValueError`` for a value out of its range."""

    name: str
    aim: float  # latency target: an answer within this time earns the full value
    deadline: float  # how long a client waits in all, over all its attempts
    effect: Effect
    worth: float = 1.0  # value of an answer
    late_worth: float = 0.0  # part of the value that a late answer earns
    group: Group = Group.ALL
    repeat_window: float = 0.0  # keyed: how long repeats are dropped, from the first send that may have run
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
    """Figures for each volume of the plan, over all schedulers and nodes together, in units.

    Raises ``ValueError`` for a value out of its range.
    """

    name: str
    usual: float  # units a second that a volume is sized for
    reserve: float = 0.0  # units a second that earn their full value
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0  # units a second; 0: no limit
    burst: float = 0.0  # the most that the limit's store holds
    slack: float = 0.0  # how far the store may drop below 0

    def __post_init__(self) -> None:
        owner = f"plan {self.name}"
        _require_above_0(owner, self, "usual")
        _require_not_negative(owner, self, "reserve", "weight", "price", "limit", "burst", "slack")
        if self.limit and not self.burst:
            raise ValueError(f"plan {self.name}.burst must be above 0 where the plan has a limit")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one scheduler. Raises ``ValueError`` for a value out of its range."""

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
    share_worth: float = 0.0  # part of the value that units beyond the reserve earn within the volume's share
    spare_worth: float = 0.0  # part of the value that units beyond reserve and share earn
    meter_period: float = 0.0  # 0: answers do not report a volume's use
    tells_elsewhere: bool = False
    shards: int = 0  # numbered from 0; 0: not known
    fall_multiple: float = 1.0  # of what it can do; sent more within fall_window, a cold node falls over
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
