"""Queries of the decision log, and their answers in lines.

A query runs in slices, so that it blocks the event loop for at most ``SLICE_S`` at a time, and ends after
``ANSWER_TIMEOUT_S`` with what it has found. Every answer says what the log no longer holds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, NoReturn

from cherrycove.broker.core import RequestSummary
from cherrycove.broker.decision_log import formatting
from cherrycove.broker.decision_log.codec import VERDICTS, RequestRecord
from cherrycove.broker.decision_log.log import DecisionLog, to_record
from cherrycove.broker.local_codes import code as code_of

SLICE_S = 0.002
ANSWER_TIMEOUT_S = 0.6  # after which the answer has what was found by then
MAX_REQUESTS = 2000  # in one answer
DURATION = re.compile(r"([0-9]{1,6})(ms|s|m|h)", re.ASCII)
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class QueryError(ValueError):
    """Invalid arguments of a query."""


@dataclass(frozen=True, slots=True)
class Query:
    """A query for one id, for recent requests by volume and verdict, or for the summary."""

    id: str = ""
    volume: str = ""
    since: float = 300.0  # s before now
    only: frozenset[str] = frozenset()  # verdicts; empty for all
    summary: bool = False
    json: bool = False
    most: int = 100  # requests, of which the newest are shown


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise QueryError(message)


def parse_duration(text: str) -> float:
    """Parse a length of time such as 90s or 5m. Return seconds."""
    found = DURATION.fullmatch(text)
    if not found:
        raise argparse.ArgumentTypeError(
            f"a time must be such as 500ms, 90s, 5m or 1h, not {formatting.to_printable(text)}"
        )
    return int(found[1]) * UNITS[found[2]]


def _parse_verdicts(text: str) -> frozenset[str]:
    chosen = frozenset(text.split(","))
    if not chosen <= set(VERDICTS):
        raise argparse.ArgumentTypeError(f"must be one or more of {','.join(VERDICTS)}, separated by commas")
    return chosen


def _parse_limit(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_REQUESTS:
        raise argparse.ArgumentTypeError(f"must be a whole number from 1 to {MAX_REQUESTS}")
    return int(text)


_PARSER = _Parser(prog="why", add_help=False, allow_abbrev=False)
_PARSER.add_argument("id", nargs="?", default="")
_PARSER.add_argument("--volume", default="")
_PARSER.add_argument("--since", type=parse_duration, default=300.0)
_PARSER.add_argument("--only", type=_parse_verdicts, default=frozenset())
_PARSER.add_argument("--summary", action="store_true")
_PARSER.add_argument("--json", action="store_true")
_PARSER.add_argument("--most", type=_parse_limit, default=100)


def parse(arguments: list[str]) -> Query:
    """Parse the arguments of the operators' call ``why``.

    Raises:
        QueryError: the arguments are invalid.
    """
    try:
        namespace = _PARSER.parse_args(arguments)
    except argparse.ArgumentError as error:
        raise QueryError(str(error)) from None
    query = Query(**vars(namespace))
    if query.id and (query.volume or query.summary or query.only):
        raise QueryError("an id cannot be combined with --volume, --summary or --only")
    return query


class _TimeSlices:
    """Yields to the event loop after each slice, and tells when the time for an answer is over."""

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self._clock = clock
        self._due = clock() + ANSWER_TIMEOUT_S
        self._slice_end = clock() + SLICE_S

    async def yield_and_check_due(self) -> bool:
        """Yield to the event loop if the slice is over. Return whether the answer is due."""
        now = self._clock()
        if now >= self._slice_end:
            await asyncio.sleep(0)
            self._slice_end = self._clock() + SLICE_S
        return now >= self._due


async def answer(
    query: Query,
    decision_log: DecisionLog,
    now: Callable[[], float],
    still_open: Callable[[str], list[RequestSummary]],
) -> list[str]:
    """Return the lines of the answer, of which the first begins with YES or NO.

    Args:
        query: the query.
        decision_log: the log to query.
        now: the machine's monotonic clock, in seconds.
        still_open: returns the open requests of an id.
    """
    wall = time.time()
    slices = _TimeSlices()
    if query.summary:
        return await _summary(query, decision_log, now(), wall, slices)
    if query.id:
        return _answer_id(query, decision_log, now(), wall, still_open(query.id))
    found: list[RequestRecord] = []
    stopped = ""
    async for record in _scan(query, decision_log, now(), slices):
        if record is None:
            stopped = "; stopped early as the time limit was reached, so narrow the query"
            break
        found.append(record)
        if len(found) > 4 * query.most:  # the newest can be in any of the ring buffers
            found = sorted(found, key=lambda each: each.ended_at)[-query.most :]
    more = len(found) > query.most
    found = sorted(found, key=lambda each: each.ended_at)[-query.most :]
    lines = [line for record in found for line in _format_record(query, decision_log, record, now(), wall)]
    shown = f"the last {len(found)} of more" if more else str(len(found))
    return [f"YES {shown} requests{stopped}", *lines, *_format_gaps(decision_log, now(), wall)]


async def _scan(
    query: Query, decision_log: DecisionLog, now: float, slices: _TimeSlices
) -> AsyncIterator[RequestRecord | None]:
    for record in decision_log.walk(now - query.since, query.volume, query.only, now):
        if await slices.yield_and_check_due():
            yield None
            return
        if record is not None:
            yield record


def _format_record(
    query: Query,
    decision_log: DecisionLog,
    record: RequestRecord,
    now: float,
    wall: float,
    still_open: bool = False,
) -> list[str]:
    if query.json:
        return [json.dumps(formatting.to_fields(record, decision_log.settings, now, wall, still_open))]
    return formatting.format_lines(record, decision_log.settings, now, wall, still_open)


def _answer_id(
    query: Query, decision_log: DecisionLog, now: float, wall: float, still_open: list[RequestSummary]
) -> list[str]:
    lines: list[str] = []
    for ended in still_open:
        lines += _format_record(query, decision_log, to_record(ended), now, wall, still_open=True)
    # For a retry, the original request and all its retries are shown.
    shown: set[tuple[str, float]] = set()
    for record in decision_log.find(query.id, now):
        for original in (
            (decision_log.find(record.original_id, now) or [record]) if record.original_id else [record]
        ):
            for each in [original, *decision_log.retries_of(original, now)]:
                if (each.id, each.ended_at) not in shown:
                    shown.add((each.id, each.ended_at))
                    lines += _format_record(query, decision_log, each, now, wall)
    if lines:
        return [
            f"YES {len(shown) + len(still_open)} requests",
            *lines,
            *_format_gaps(decision_log, now, wall),
        ]
    return [
        f"NO {_explain_missing(query.id, decision_log, now, wall)}",
        *_format_gaps(decision_log, now, wall),
    ]


def _explain_missing(id: str, decision_log: DecisionLog, now: float, wall: float) -> str:
    """Say whether an id without a record has not arrived, or its record was dropped."""
    start = formatting.format_time(decision_log.recent_ids.since, now, wall)
    if hash(id) in decision_log.recent_ids:
        return f"this id arrived since {start}, but its record was dropped (wrong for 1 unknown id in 50)"
    if decision_log.recent_ids.since > decision_log.start:
        return f"this id has not arrived since {start}; earlier ids are no longer known"
    return f"this id has not arrived since the decision log began at {start}; earlier ids are not known"


def _format_gaps(decision_log: DecisionLog, now: float, wall: float) -> list[str]:
    """Return lines about what the log no longer holds."""
    lines = [f"# the decision log begins at {formatting.format_time(decision_log.start, now, wall)}"]
    names = {
        "notable": "refused, failed, retried or abandoned by their clients",
        "routine": "served at the first attempt",
        "predecessor": "handed over by the previous process",
    }
    for gap in decision_log.gaps():
        if gap.dropped:
            since = formatting.format_time(gap.complete_since or now, now, wall)
            lines.append(
                f"# {gap.held} held, {gap.dropped} dropped of those {names[gap.ring]}; "
                f"all since {since} are held"
            )
    if decision_log.lost_chunks:
        lines.append(f"# {decision_log.lost_chunks} chunks from the previous process were lost or malformed")
    return lines


async def _summary(
    query: Query, decision_log: DecisionLog, now: float, wall: float, slices: _TimeSlices
) -> list[str]:
    if decision_log.sketches is None:
        return [
            "NO the decision log's limit of bytes is too small for summaries",
            *_format_gaps(decision_log, now, wall),
        ]
    decision_log.flush()
    since = now - query.since
    summary: dict[str, Any] = {"reasons": [], "volumes": [], "nodes": [], "minutes": []}
    for (verdict, number), count in decision_log.sketches.counts(since).most_common():
        summary["reasons"].append({"verdict": verdict, "code": code_of(number).name.lower(), "count": count})
    await slices.yield_and_check_due()
    for (volume, number), count, error in decision_log.sketches.volumes(since).top(10):
        summary["volumes"].append(
            {"volume": volume, "code": code_of(number).name.lower(), "count": count, "error": error}
        )
    await slices.yield_and_check_due()
    for (node, cls), sketch in sorted(decision_log.sketches.latency(since).items()):
        ms = {f"p{part}_ms": round(sketch.get_quantile_value(part / 100) * 1000, 1) for part in (50, 95, 99)}
        summary["nodes"].append(
            {"node": node, "class": decision_log.settings.classes[cls].name, "count": int(sketch.count), **ms}
        )
        await slices.yield_and_check_due()
    for minute in decision_log.sketches.minutes(since):
        totals = dict.fromkeys(VERDICTS, 0)
        for (verdict, _), count in minute.counts.items():
            totals[verdict] += count
        summary["minutes"].append({"minute": formatting.format_time(minute.number * 60, now, wall), **totals})
        await slices.yield_and_check_due()
    if query.json:
        return ["YES", json.dumps(summary), *_format_gaps(decision_log, now, wall)]
    lines = ["YES"]
    lines += [f"reason {row['verdict']} {row['code']}: {row['count']}" for row in summary["reasons"]]
    lines += [
        f"volume {formatting.to_printable(row['volume']) or 'unknown'} {row['code']}: {row['count']}"
        + (f" (overcounted by at most {row['error']})" if row["error"] else "")
        for row in summary["volumes"]
    ]
    lines += [
        f"node {formatting.to_printable(row['node'])} {row['class']}: {row['count']} served, "
        f"half within {row['p50_ms']} ms, 95% within {row['p95_ms']} ms, 99% within {row['p99_ms']} ms"
        for row in summary["nodes"]
    ]
    lines += [
        f"minute {row['minute']}: {row['served']} served, {row['refused']} refused, "
        f"{row['failed']} failed, {row['gone']} abandoned"
        for row in summary["minutes"]
    ]
    return [*lines, *_format_gaps(decision_log, now, wall)]
