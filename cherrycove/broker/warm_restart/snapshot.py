"""Codec of snapshots: the scheduler's restart state as plain rows. Pure: no I/O and no clock.

Times are stored as ages at the time of writing, so that the only clock that matters is the one that tells
how long no process ran. A snapshot of another deployment, broker or row format is rejected as a whole, and so
is one whose age is unknown because the clock was set back. Malformed and too old entries are skipped one by
one. No value is made up in place of an unusable one.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any, NamedTuple, TypeVar

from cherrycove.scheduling.interface import NodeRestartState, RestartState, Settings, VolumeRestartState

ROWS_FORMAT = 1  # raised when a reader of the previous format could misread the rows
MAX_NODES = 1024
MAX_VOLUMES = 4096
MAX_NAME_LENGTH = 128  # characters
MAX_AGE_S = 60.0  # what was learned about a node or a volume is discarded beyond this age
CLOCK_TOLERANCE_S = 1.0  # a wall clock set back by at most this counts as not set back
NEVER = -1.0  # stored as the age of an event that has not happened
Rows = dict[str, Any]
Entry = TypeVar("Entry")


class UnusableError(ValueError):
    """A snapshot cannot be used at all; the message says why."""


class _TooOldError(Exception):
    """An entry is older than ``MAX_AGE_S``."""


@dataclass(frozen=True, slots=True)
class Moment:
    """A point in time on the clocks that span processes."""

    wall_s: float  # Unix time
    boot_id: str  # of the machine's current boot; "" if unknown
    uptime_s: float  # since the machine booted

    def since(self, before: Moment) -> float | None:
        """Return the seconds from ``before`` to this moment, or None if they cannot be known.

        Within one boot of the machine the boot clock is used, which cannot be set. Across boots the wall
        clock is used; if by it this moment is the earlier one, it was set back by an unknown amount.
        """
        if self.boot_id and self.boot_id == before.boot_id:
            return max(self.uptime_s - before.uptime_s, 0.0)
        passed = self.wall_s - before.wall_s
        return None if passed < -CLOCK_TOLERANCE_S else max(passed, 0.0)


class Restored(NamedTuple):
    """The usable part of a snapshot."""

    restart_state: RestartState
    absence_s: float  # time from writing to reading the snapshot
    skipped: Counter[str]  # number of unusable entries, by reason


def deployment(settings: Settings) -> str:
    """Return an id of the deployment: a hash of names and sizes, not of targets that operators may tune."""
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
    """Return the rows of a snapshot; ``now`` is the current time on the clock of ``restart_state``.

    If there are more nodes or volumes than the limits allow, those that restrict most are kept. ``whole``
    states that no more requests will be sent.
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
    """Return when a snapshot was taken; UnusableError if it holds no valid time."""
    wall, boot, up = rows.get("wall"), rows.get("boot"), rows.get("up")
    has_boot_id = isinstance(boot, str) and len(boot) <= MAX_NAME_LENGTH
    if not (_is_number(wall) and _is_number(up) and has_boot_id):
        raise UnusableError("the snapshot does not say when it was written")
    return Moment(float(wall), boot, float(up))  # type: ignore[arg-type]


def unpack(rows: Any, now: float, moment: Moment, settings: Settings, broker: str) -> Restored:
    """Return the usable part of a snapshot.

    Args:
        rows: the snapshot, of unknown shape.
        now: the current time, on the clock that the times in the result refer to.
        moment: the current time, on the clocks that span processes.
        settings: the settings of this deployment; a snapshot of another one is unusable.
        broker: this broker's name; a snapshot of another one is unusable.

    Raises:
        UnusableError: no part of the snapshot is usable.
    """
    if not isinstance(rows, dict):
        raise UnusableError("the snapshot is not a map")
    if rows.get("form") != ROWS_FORMAT:
        raise UnusableError(
            f"row format {rows.get('form')!r} is not supported; this program reads {ROWS_FORMAT}"
        )
    if rows.get("deployment") != deployment(settings):
        raise UnusableError("the snapshot belongs to another deployment")
    if rows.get("broker") != broker:
        raise UnusableError(
            f"the snapshot belongs to another broker, {str(rows.get('broker'))[:MAX_NAME_LENGTH]!r}"
        )
    absence_s, skipped = moment.since(moment_of(rows)), Counter[str]()
    if absence_s is None:
        raise UnusableError("the wall clock was set back, so the age of the snapshot is unknown")
    written = now - absence_s
    nodes = _parse_each(rows.get("nodes"), MAX_NODES, skipped, lambda row: _parse_node(row, written, now))
    volumes = _parse_each(
        rows.get("volumes"), MAX_VOLUMES, skipped, lambda row: _parse_volume(row, written, now)
    )
    return Restored(RestartState(nodes, volumes, whole=rows.get("whole") is True), absence_s, skipped)


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
    """Return a node's entry.

    Raises ValueError or TypeError if the row is malformed, _TooOldError if it is too old to be used.
    """
    (
        name,
        has_start,
        age,
        latency,
        served_age,
        threshold,
        overload,
        failures,
        backoff,
        slot,
        sent,
        sent_age,
    ) = row
    has_types = type(has_start) is bool and type(overload) is bool and type(slot) is type(failures) is int
    amounts = (age, latency, threshold, failures, backoff, sent)
    has_amounts = all(_is_number(each, 0.0) for each in amounts)
    if not (_is_name(name) and has_types and has_amounts and _is_age(served_age) and _is_age(sent_age)):
        raise ValueError("malformed row of a node")
    if now - written + max(served_age, 0.0) > MAX_AGE_S:
        raise _TooOldError
    return NodeRestartState(
        name,
        written - age if has_start else None,
        latency,
        _time_of(served_age, written),
        max(threshold, 1.0),
        overload,
        failures,
        written + backoff,
        slot,
        sent,
        _time_of(sent_age, written),
    )


def _parse_volume(row: Any, written: float, now: float) -> VolumeRestartState:
    """Return a volume's entry.

    Raises ValueError or TypeError if the row is malformed, _TooOldError if it is too old to be used.
    """
    name, credits, refill_age, over_reserve_age = row
    if not (
        _is_name(name) and _is_number(credits) and _is_number(refill_age, 0.0) and _is_age(over_reserve_age)
    ):
        raise ValueError("malformed row of a volume")
    if now - written + refill_age > MAX_AGE_S:
        raise _TooOldError
    return VolumeRestartState(name, credits, written - refill_age, _time_of(over_reserve_age, written))


def _is_number(value: Any, minimum: float = -inf) -> bool:
    try:
        return type(value) in (int, float) and isfinite(value) and value >= minimum
    except OverflowError:  # an integer beyond the range of floats
        return False


def _is_age(value: Any) -> bool:
    return _is_number(value, NEVER)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def _time_of(age: float, written: float) -> float:
    return written - age if age >= 0 else -inf
