"""Queries of the decision log, and their answers in lines.

A query runs in slices, so that it never holds up the event loop for longer than ``SLICE``, and ends after
``ANSWER_TIME`` with what it has found. Every answer says what the log no longer holds.
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
from cherrycove.broker.decision_log import words
from cherrycove.broker.decision_log.book import DecisionLog, story_of
from cherrycove.broker.decision_log.pack import VERDICTS, RequestRecord
from cherrycove.broker.local_codes import code as code_of

SLICE = 0.002  # s of the loop at a time
ANSWER_TIME = 0.6  # s in which an answer is due, whatever it has found by then
MOST_LINES = 2000
SPAN = re.compile(r"([0-9]{1,6})(ms|s|m|h)", re.ASCII)
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class AskError(ValueError):
    """Arguments that are no query; the text says why."""


@dataclass(frozen=True, slots=True)
class Question:
    """A query: of one id, of recent requests by volume and verdict, or of the summary."""

    id: str = ""
    volume: str = ""
    since: float = 300.0  # s ago
    only: frozenset[str] = frozenset()
    summary: bool = False
    json: bool = False
    most: int = 100  # requests


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise AskError(message)


def span(text: str) -> float:
    """Parse a length of time such as 90s or 5m; return seconds."""
    found = SPAN.fullmatch(text)
    if not found:
        raise argparse.ArgumentTypeError(f"a time is such as 500ms, 90s, 5m or 1h, not {words.plain(text)}")
    return int(found[1]) * UNITS[found[2]]


def _only(text: str) -> frozenset[str]:
    chosen = frozenset(text.split(","))
    if not chosen <= set(VERDICTS):
        raise argparse.ArgumentTypeError(f"one or more of {','.join(VERDICTS)}")
    return chosen


def _most(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MOST_LINES:
        raise argparse.ArgumentTypeError(f"a whole number from 1 to {MOST_LINES}")
    return int(text)


_PARSER = _Parser(prog="why", add_help=False, allow_abbrev=False)
_PARSER.add_argument("id", nargs="?", default="")
_PARSER.add_argument("--volume", default="")
_PARSER.add_argument("--since", type=span, default=300.0)
_PARSER.add_argument("--only", type=_only, default=frozenset())
_PARSER.add_argument("--summary", action="store_true")
_PARSER.add_argument("--json", action="store_true")
_PARSER.add_argument("--most", type=_most, default=100)


def parse(arguments: list[str]) -> Question:
    """Parse the arguments of ``why``; AskError if they are no query."""
    try:
        given = _PARSER.parse_args(arguments)
    except argparse.ArgumentError as error:
        raise AskError(str(error)) from None
    question = Question(**vars(given))
    if question.id and (question.volume or question.summary or question.only):
        raise AskError("an id stands alone")
    return question


class _Pace:
    """Yields to the event loop after each slice, and says when the answer is due."""

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self._clock = clock
        self._due = clock() + ANSWER_TIME
        self._slice = clock() + SLICE

    async def over(self) -> bool:
        now = self._clock()
        if now >= self._slice:
            await asyncio.sleep(0)
            self._slice = self._clock() + SLICE
        return now >= self._due


async def answer(
    question: Question,
    book: DecisionLog,
    now: Callable[[], float],
    still_open: Callable[[str], list[RequestSummary]],
) -> list[str]:
    """Return the lines of the answer, of which the first begins with YES or NO.

    Args:
        question: the query.
        book: the decision log.
        now: the machine's monotonic clock.
        still_open: returns the open requests of an id.
    """
    wall = time.time()
    pace = _Pace()
    if question.summary:
        return await _summary(question, book, now(), wall, pace)
    if question.id:
        return _one(question, book, now(), wall, still_open(question.id))
    found: list[RequestRecord] = []
    stopped = ""
    async for story in _walk(question, book, now(), pace):
        if story is None:
            stopped = "; it stopped where its time was over, so ask for less"
            break
        found.append(story)
        if len(found) > 4 * question.most:  # the newest are wanted, and one ring is walked after the other
            found = sorted(found, key=lambda each: each.ended)[-question.most :]
    more = len(found) > question.most
    found = sorted(found, key=lambda each: each.ended)[-question.most :]
    said = [line for story in found for line in _say(question, book, story, now(), wall)]
    shown = f"the last {len(found)} of more" if more else str(len(found))
    return [f"YES {shown} requests{stopped}", *said, *_gaps(book, now(), wall)]


async def _walk(
    question: Question, book: DecisionLog, now: float, pace: _Pace
) -> AsyncIterator[RequestRecord | None]:
    for story in book.walk(now - question.since, question.volume, question.only, now):
        if await pace.over():
            yield None
            return
        if story is not None:
            yield story


def _say(
    question: Question,
    book: DecisionLog,
    story: RequestRecord,
    now: float,
    wall: float,
    still_open: bool = False,
) -> list[str]:
    if question.json:
        return [json.dumps(words.fields(story, book.settings, now, wall, still_open))]
    return words.lines(story, book.settings, now, wall, still_open)


def _one(
    question: Question, book: DecisionLog, now: float, wall: float, still_open: list[RequestSummary]
) -> list[str]:
    said: list[str] = []
    for ended in still_open:
        said += _say(question, book, story_of(ended), now, wall, still_open=True)
    # For a retry, the first attempt and all its retries are shown.
    told: set[tuple[str, float]] = set()
    for story in book.find(question.id, now):
        for root in (book.find(story.first, now) or [story]) if story.first else [story]:
            for each in [root, *book.retries_of(root, now)]:
                if (each.id, each.ended) not in told:
                    told.add((each.id, each.ended))
                    said += _say(question, book, each, now, wall)
    if said:
        return [f"YES {len(told) + len(still_open)} requests", *said, *_gaps(book, now, wall)]
    return [f"NO {_unknown(question.id, book, now, wall)}", *_gaps(book, now, wall)]


def _unknown(id: str, book: DecisionLog, now: float, wall: float) -> str:
    """Return whether an id never arrived, was dropped, or may be from before the start."""
    begun = words.when(book.seen.since, now, wall)
    if hash(id) in book.seen:
        return f"this id was here since {begun}; its record has been given up (1 stranger in 50 is told so)"
    if book.seen.since > book.start:
        return f"this id has not been here since {begun}; what came before that is no longer known"
    return f"this id has not been here since the record began at {begun}; of before nothing is known"


def _gaps(book: DecisionLog, now: float, wall: float) -> list[str]:
    """Return what the log no longer holds, in lines."""
    said = [f"# the record begins at {words.when(book.start, now, wall)}"]
    names = {
        "kept": "refused, failed, retried or left",
        "plain": "served at once",
        "former": "handed over by the process before this one",
    }
    for gap in book.gaps():
        if gap.lost:
            since = words.when(gap.whole_since or now, now, wall)
            said.append(
                f"# {gap.held} held, {gap.lost} given up of those {names[gap.ring]}; "
                f"all since {since} are here"
            )
    if book.former_lost:
        said.append(f"# {book.former_lost} pieces from the process before this one did not come")
    return said


async def _summary(question: Question, book: DecisionLog, now: float, wall: float, pace: _Pace) -> list[str]:
    if book.sketches is None:
        return ["NO the record's bound is too small for summaries", *_gaps(book, now, wall)]
    book.flush()
    since = now - question.since
    whole: dict[str, Any] = {"reasons": [], "volumes": [], "nodes": [], "minutes": []}
    for (verdict, number), count in book.sketches.counts(since).most_common():
        whole["reasons"].append({"verdict": verdict, "code": code_of(number).name.lower(), "count": count})
    await pace.over()
    for (volume, number), count, error in book.sketches.volumes(since).top(10):
        whole["volumes"].append(
            {"volume": volume, "code": code_of(number).name.lower(), "count": count, "error": error}
        )
    await pace.over()
    for (node, cls), sketch in sorted(book.sketches.latency(since).items()):
        ms = {f"p{part}_ms": round(sketch.get_quantile_value(part / 100) * 1000, 1) for part in (50, 95, 99)}
        whole["nodes"].append(
            {"node": node, "class": book.settings.classes[cls].name, "count": int(sketch.count), **ms}
        )
        await pace.over()
    for minute in book.sketches.minutes(since):
        totals = dict.fromkeys(VERDICTS, 0)
        for (verdict, _), count in minute.counts.items():
            totals[verdict] += count
        whole["minutes"].append({"minute": words.when(minute.number * 60, now, wall), **totals})
        await pace.over()
    if question.json:
        return ["YES", json.dumps(whole), *_gaps(book, now, wall)]
    said = ["YES"]
    said += [f"reason {row['verdict']} {row['code']}: {row['count']}" for row in whole["reasons"]]
    said += [
        f"volume {words.plain(row['volume']) or 'unknown'} {row['code']}: {row['count']}"
        + (f" (at most {row['error']} too many)" if row["error"] else "")
        for row in whole["volumes"]
    ]
    said += [
        f"node {words.plain(row['node'])} {row['class']}: {row['count']} served, "
        f"half within {row['p50_ms']} ms, 95% within {row['p95_ms']} ms, 99% within {row['p99_ms']} ms"
        for row in whole["nodes"]
    ]
    said += [
        f"minute {row['minute']}: {row['served']} served, {row['refused']} refused, "
        f"{row['failed']} failed, {row['gone']} left"
        for row in whole["minutes"]
    ]
    return [*said, *_gaps(book, now, wall)]
