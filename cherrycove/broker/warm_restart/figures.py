"""A memory as plain rows, and how it is read back by a later life. No I/O and no clock.

It owns the rows, what may stand in them, and the rule for every way in which they may not fit: another
deployment, another broker, another form, a clock that leapt, figures too old. Times are kept as ages at the
moment of writing, so that no clock but the one that tells the absence matters. It must never invent a figure
for one that it cannot use.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any

from cherrycove.scheduling.interface import NodeRestartState, RestartState, Settings, VolumeRestartState

FORM = 1  # of the rows; raised where a reader of the former could misread them
MOST_NODES = 1024
MOST_VOLUMES = 4096
MOST_NAME = 128  # characters
MOST_AGE = 60.0  # s past which nothing that was learned of a node or a volume counts
LEAP = 1.0  # s by which a wall clock may have been set back without a word
NEVER = -1.0  # an age: it has not happened
Rows = dict[str, Any]


class UnusableError(ValueError):
    """Rows that cannot be used at all; the message says why."""


@dataclass(frozen=True, slots=True)
class Moment:
    """One moment, on the clocks that outlive a process."""

    wall: float  # s, Unix
    boot: str  # of the machine's present run; "": not told
    up: float  # s since then

    def since(self, before: Moment) -> float | None:
        """Seconds from another moment to this one; None: nobody can tell.

        Within one run of the machine its own clock tells, which nobody sets. Beyond that the wall clock does;
        where it says that this came first, it was set, and by how much nobody knows.
        """
        if self.boot and self.boot == before.boot:
            return max(self.up - before.up, 0.0)
        passed = self.wall - before.wall
        return None if passed < -LEAP else max(passed, 0.0)


def deployment(settings: Settings) -> str:
    """What tells one deployment from another: names and sizes, not aims that an operator may tune."""
    told = (
        [each.name for each in settings.classes],
        [each.name for each in settings.plans],
        settings.shards,
        settings.usual_units,
        settings.max_units,
    )
    return hashlib.blake2b(repr(told).encode(), digest_size=8).hexdigest()


def pack(
    told: RestartState, now: float, moment: Moment, settings: Settings, broker: str, whole: bool
) -> Rows:
    """The rows of what was taken down at ``now``, on the clock of its times."""

    def age(when: float) -> float:
        return now - when if -inf < when <= now else NEVER

    known = [each for each in told.nodes if each.heard > -inf or each.failures or each.sent]
    known.sort(key=lambda each: (not each.failures, -each.heard))  # what restrains most comes first
    nodes = [
        [
            each.id,
            each.started is not None,
            _ago(each.started, now),
            each.service,
            age(each.heard),
            each.threshold,
            each.overload,
            each.failures,
            max(each.resting_until - now, 0.0),
            each.slot,
            each.sent,
            age(each.sent_at),
        ]
        for each in known[:MOST_NODES]
    ]
    volumes = [
        [each.name, each.credits, age(each.at), age(each.beyond)]
        for each in sorted(told.volumes, key=lambda each: each.credits)[:MOST_VOLUMES]
    ]
    return {
        "form": FORM,
        "deployment": deployment(settings),
        "broker": broker,
        "whole": whole,
        "wall": moment.wall,
        "boot": moment.boot,
        "up": moment.up,
        "budgets": {settings.classes[cls].name: longest for cls, longest in told.budgets.items()},
        "nodes": nodes,
        "volumes": volumes,
    }


def _ago(started: float | None, now: float) -> float:
    return 0.0 if started is None else now - started


def moment_of(rows: Mapping[str, Any]) -> Moment:
    """When they were written."""
    wall, boot, up = rows.get("wall"), rows.get("boot"), rows.get("up")
    if not (_number(wall) and _number(up) and isinstance(boot, str) and len(boot) <= MOST_NAME):
        raise UnusableError("it does not say when it was written")
    return Moment(float(wall), boot, float(up))  # type: ignore[arg-type]


def unpack(
    rows: Any, now: float, moment: Moment, settings: Settings, broker: str
) -> tuple[RestartState, float, Counter[str]]:
    """What may be taken up of these rows at ``now`` (on the clock of the times it is to have), the absence
    (s), and how many entries were left aside, by reason. UnusableError where none of it is of use."""
    if not isinstance(rows, dict):
        raise UnusableError("it holds no table")
    if rows.get("form") != FORM:
        raise UnusableError(f"its form is {rows.get('form')!r}; this program reads {FORM}")
    if rows.get("deployment") != deployment(settings):
        raise UnusableError("it is of another deployment")
    if rows.get("broker") != broker:
        raise UnusableError(f"it is of another broker, {str(rows.get('broker'))[:MOST_NAME]!r}")
    absence, aside = moment.since(moment_of(rows)), Counter[str]()
    budgets = _budgets(rows.get("budgets"), settings, aside)
    if absence is None:
        raise UnusableError("the clock was set back: nobody can tell how old it is")
    nodes = tuple(_each(rows, "nodes", MOST_NODES, aside, lambda row: _node(row, now - absence, now)))
    volumes = tuple(_each(rows, "volumes", MOST_VOLUMES, aside, lambda row: _volume(row, now - absence, now)))
    return (RestartState(nodes, volumes, budgets, whole=rows.get("whole") is True), absence, aside)


def _each(rows: Mapping[str, Any], key: str, most: int, aside: Counter[str], read: Any) -> list[Any]:
    found, listed = [], rows.get(key)
    if not isinstance(listed, list):
        aside["malformed"] += 1
        return []
    for row in listed[:most]:
        try:
            found.append(read(row))
        except LookupError:
            aside["old"] += 1
        except (TypeError, ValueError):
            aside["malformed"] += 1
    aside["beyond the bound"] += len(listed[most:])
    return found


def _number(value: Any, least: float = -inf) -> bool:
    try:
        return type(value) in (int, float) and isfinite(value) and value >= least
    except OverflowError:  # a whole number past all floats
        return False


def _node(row: Any, written: float, now: float) -> NodeRestartState:
    """LookupError: too old."""
    (name, has_start, ago, service, heard, threshold, overload, failures, rests, slot, sent, last) = row
    figures = (ago, service, threshold, failures, rests, sent)
    if not (
        _name(name)
        and type(has_start) is bool
        and type(overload) is bool
        and type(slot) is int
        and all(_number(each, 0.0) for each in figures)
        and type(failures) is int
        and _number(heard, NEVER)
        and _number(last, NEVER)
    ):
        raise ValueError("a node's row")
    if now - written + max(heard, 0.0) > MOST_AGE:
        raise LookupError
    return NodeRestartState(
        name,
        written - ago if has_start else None,
        service,
        _when(heard, written),
        max(threshold, 1.0),
        overload,
        failures,
        written + rests,
        slot,
        sent,
        _when(last, written),
    )


def _volume(row: Any, written: float, now: float) -> VolumeRestartState:
    name, credits, at, beyond = row
    if not (_name(name) and _number(credits) and _number(at, 0.0) and _number(beyond, NEVER)):
        raise ValueError("a volume's row")
    if now - written + at > MOST_AGE:
        raise LookupError
    return VolumeRestartState(name, credits, written - at, _when(beyond, written))


def _budgets(raw: Any, settings: Settings, aside: Counter[str]) -> dict[int, float]:
    """They hold no time, and last. One longer than its class allows would make all others late repeats."""
    found: dict[int, float] = {}
    for place, cls in enumerate(settings.classes):
        longest = raw.get(cls.name) if isinstance(raw, dict) else None
        if longest is None:
            continue
        if _number(longest, 0.0) and longest <= cls.deadline:
            found[place] = longest
        else:
            aside["malformed"] += 1
    return found


def _name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MOST_NAME


def _when(age: float, written: float) -> float:
    return written - age if age >= 0 else -inf
