"""Snapshots as plain rows, and how a later process reads them. Pure: no I/O and no clock.

Times are stored as ages at the moment of writing, so that no clock matters but the one that tells how long no
process ran. What does not fit is rejected (another deployment, broker or form, a clock that was set back) or
skipped by entry (malformed, too old); no figure is invented for one that is unusable.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, NamedTuple, TypeVar

from cherrycove.scheduling.interface import NodeRestartState, RestartState, Settings, VolumeRestartState

ROWS_FORMAT = 1  # of the rows; raised where a reader of the former could misread them
MAX_NODES = 1024
MAX_VOLUMES = 4096
MAX_NAME_LENGTH = 128  # characters
MAX_AGE_S = 60.0  # past which nothing that was learned of a node or a volume counts
CLOCK_TOLERANCE_S = 1.0  # by which the wall clock may have been set back unnoticed
NEVER = -1.0  # an age: it has not happened
Rows = dict[str, Any]
Entry = TypeVar("Entry")


class UnusableError(ValueError):
    """A snapshot that cannot be used at all; the text says why."""


class _TooOldError(Exception):
    """An entry older than ``MAX_AGE_S``."""


@dataclass(frozen=True, slots=True)
class Moment:
    """One moment, on the clocks that outlive a process."""

    wall_s: float  # s, Unix
    boot_id: str  # id of the machine's present run; "" if unknown
    uptime_s: float  # s since the machine started

    def since(self, before: Moment) -> float | None:
        """Return the seconds from another moment to this one, or None if they cannot be known.

        Within one run of the machine its own clock counts, which nobody sets. Across runs the wall clock
        does; if it says that this moment came first, it was set by an unknown amount.
        """
        if self.boot_id and self.boot_id == before.boot_id:
            return max(self.uptime_s - before.uptime_s, 0.0)
        passed = self.wall_s - before.wall_s
        return None if passed < -CLOCK_TOLERANCE_S else max(passed, 0.0)


class Restored(NamedTuple):
    """What is usable of a snapshot."""

    restart_state: RestartState
    absence_s: float  # from the writing to the reading
    skipped: Counter[str]  # entries that are not usable, by reason


def deployment(settings: Settings) -> str:
    """Return an id of the deployment: of its names and sizes, not of targets that an operator may tune."""
    identity = (
        [each.name for each in settings.classes],
        [each.name for each in settings.plans],
        settings.shards,
        settings.usual_units,
        settings.max_units,
    )
    return hashlib.blake2b(repr(identity).encode(), digest_size=8).hexdigest()


def pack(
    restart_state: RestartState, now: float, moment: Moment, settings: Settings, broker: str, *, whole: bool
) -> Rows:
    """Return the rows of what the scheduler knew at ``now``, on the clock of its times.

    The nodes and volumes that restrict most are kept if there are more than the limits allow. ``whole`` says
    that nothing is sent any more.
    """
    known = [each for each in restart_state.nodes if each.last_served_at > -inf or each.failures or each.sent]
    known.sort(key=lambda each: (not each.failures, -each.last_served_at))
    volumes = sorted(restart_state.volumes, key=lambda each: each.credits)
    return {
        "form": ROWS_FORMAT,
        "deployment": deployment(settings),
        "broker": broker,
        "whole": whole,
        "wall": moment.wall_s,
        "boot": moment.boot_id,
        "up": moment.uptime_s,
        "budgets": {settings.classes[cls].name: longest for cls, longest in restart_state.budgets.items()},
        "nodes": [_pack_node(each, now) for each in known[:MAX_NODES]],
        "volumes": [
            [each.name, each.credits, _age(each.refilled_at, now), _age(each.over_reserve_at, now)]
            for each in volumes[:MAX_VOLUMES]
        ],
    }


def _pack_node(node: NodeRestartState, now: float) -> list[Any]:
    return [
        node.id,
        node.started is not None,
        0.0 if node.started is None else now - node.started,
        node.mean_latency_s,
        _age(node.last_served_at, now),
        node.threshold,
        node.overload,
        node.failures,
        max(node.backoff_until - now, 0.0),
        node.draw_window,
        node.sent,
        _age(node.sent_at, now),
    ]


def _age(when: float, now: float) -> float:
    return now - when if -inf < when <= now else NEVER


def moment_of(rows: Mapping[str, Any]) -> Moment:
    """Return when a snapshot was taken; UnusableError if it does not say so."""
    wall, boot, up = rows.get("wall"), rows.get("boot"), rows.get("up")
    has_boot = isinstance(boot, str) and len(boot) <= MAX_NAME_LENGTH
    if not (_is_number(wall) and _is_number(up) and has_boot):
        raise UnusableError("it does not say when it was written")
    return Moment(float(wall), boot, float(up))  # type: ignore[arg-type]


def unpack(rows: Any, now: float, moment: Moment, settings: Settings, broker: str) -> Restored:
    """Return what is usable of a snapshot.

    Args:
        rows: the snapshot, of unknown shape.
        now: the present, on the clock of the times that the result is to have.
        moment: the present, on the clocks that outlive a process.
        settings: of this deployment; a snapshot of another one is unusable.
        broker: this broker's name; a snapshot of another one is unusable.

    Raises:
        UnusableError: none of it is usable.
    """
    if not isinstance(rows, dict):
        raise UnusableError("it holds no table")
    if rows.get("form") != ROWS_FORMAT:
        raise UnusableError(f"its form is {rows.get('form')!r}; this program reads {ROWS_FORMAT}")
    if rows.get("deployment") != deployment(settings):
        raise UnusableError("it is of another deployment")
    if rows.get("broker") != broker:
        raise UnusableError(f"it is of another broker, {str(rows.get('broker'))[:MAX_NAME_LENGTH]!r}")
    absence_s, skipped = moment.since(moment_of(rows)), Counter[str]()
    budgets = _parse_budgets(rows.get("budgets"), settings, skipped)
    if absence_s is None:
        raise UnusableError("the clock was set back: nobody can tell how old it is")
    written = now - absence_s
    nodes = _parse_each(rows.get("nodes"), MAX_NODES, skipped, lambda row: _parse_node(row, written, now))
    volumes = _parse_each(
        rows.get("volumes"), MAX_VOLUMES, skipped, lambda row: _parse_volume(row, written, now)
    )
    return Restored(
        RestartState(nodes, volumes, budgets, whole=rows.get("whole") is True), absence_s, skipped
    )


def _parse_each(
    listed: Any, limit: int, skipped: Counter[str], parse: Callable[[Any], Entry]
) -> tuple[Entry, ...]:
    found: list[Entry] = []
    if not isinstance(listed, list):
        skipped["malformed"] += 1
        return ()
    for row in listed[:limit]:
        try:
            found.append(parse(row))
        except _TooOldError:
            skipped["old"] += 1
        except (TypeError, ValueError):
            skipped["malformed"] += 1
    skipped["beyond the bound"] += len(listed[limit:])
    return tuple(found)


def _parse_node(row: Any, written: float, now: float) -> NodeRestartState:
    """Return a node's entry; ValueError or TypeError if it is malformed, _TooOldError."""
    (name, has_start, ago, service, heard, threshold, overload, failures, rests, slot, sent, last) = row
    has_types = type(has_start) is bool and type(overload) is bool and type(slot) is type(failures) is int
    amounts = (ago, service, threshold, failures, rests, sent)
    has_amounts = all(_is_number(each, 0.0) for each in amounts)
    if not (_is_name(name) and has_types and has_amounts and _is_age(heard) and _is_age(last)):
        raise ValueError("a node's row")
    if now - written + max(heard, 0.0) > MAX_AGE_S:
        raise _TooOldError
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


def _parse_volume(row: Any, written: float, now: float) -> VolumeRestartState:
    """Return a volume's entry; ValueError or TypeError if it is malformed, _TooOldError."""
    name, credits, at, beyond = row
    if not (_is_name(name) and _is_number(credits) and _is_number(at, 0.0) and _is_age(beyond)):
        raise ValueError("a volume's row")
    if now - written + at > MAX_AGE_S:
        raise _TooOldError
    return VolumeRestartState(name, credits, written - at, _when(beyond, written))


def _parse_budgets(raw: Any, settings: Settings, skipped: Counter[str]) -> dict[int, float]:
    """Return the longest budget seen of each class; they hold no time and do not age.

    One that is longer than its class allows would make all others late retries.
    """
    found: dict[int, float] = {}
    for index, cls in enumerate(settings.classes):
        longest = raw.get(cls.name) if isinstance(raw, dict) else None
        if longest is None:
            continue
        if _is_number(longest, 0.0) and longest <= cls.deadline:
            found[index] = longest
        else:
            skipped["malformed"] += 1
    return found


def _is_number(value: Any, least: float = -inf) -> bool:
    try:
        return type(value) in (int, float) and isfinite(value) and value >= least
    except OverflowError:  # an integer greater than all floats
        return False


def _is_age(value: Any) -> bool:
    return _is_number(value, NEVER)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def _when(age: float, written: float) -> float:
    return written - age if age >= 0 else -inf
