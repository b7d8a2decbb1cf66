"""What the record costs: bytes a record, time of an insert and of a look-up, against the plain form of both.

    python -m bench.why [--records N] [--bound BYTES] [--markdown]

The plain form keeps each story as a dataclass in a deque, with dicts by id and by volume. Both are fed the
same stories, drawn from a fixed seed, in one process, in turns. Times are of this machine and of one core.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import resource
import time
import tracemalloc
from collections import defaultdict, deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from cherrycove.broker import config
from cherrycove.broker.core import Attempt, Ending, Request, RequestSummary, Verdict
from cherrycove.broker.decision_log.codec import SERVED_RECORD, AttemptRecord, RequestRecord, pack
from cherrycove.broker.decision_log.log import DecisionLog, to_record
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling.interface import Code, Reason

SEED = 11


def stories(count: int, refused: float, start: float = 1000.0, rate: float = 800.0) -> list[RequestRecord]:
    """Requests as a busy broker sees them; ``refused`` is the part that gets no served answer."""
    dice = random.Random(SEED)
    volumes = [f"{dice.getrandbits(64):016x}" for _ in range(60)]
    nodes = [f"s-{dice.getrandbits(32):08x}" for _ in range(10)]
    made = []
    for number in range(count):
        node, ended = dice.choice(nodes), start + number / rate
        ident, volume, cls = f"{dice.getrandbits(64):016x}", dice.choice(volumes), dice.randrange(3)
        if dice.random() < refused:
            why = Reason(Code.NO_CREDIT, node, "lane", 4.0, 4, 2, -3.0, 0.02, -0.01, 0.6, number // 800)
            made.append(
                RequestRecord(
                    ident,
                    volume,
                    ended,
                    0.15,
                    "refused",
                    Code.NO_CREDIT,
                    "http",
                    cls,
                    0,
                    2.0,
                    1,
                    reason=why,
                    object_hash=number,
                )
            )
        else:
            took = dice.lognormvariate(-3.8, 0.5)
            sent = Reason(
                Code.CREDIT, node, "", 4.0, dice.randrange(4), 0, 3.0, 0.02, 0.15, 0.5, number // 800
            )
            made.append(
                RequestRecord(
                    ident,
                    volume,
                    ended,
                    took,
                    "served",
                    LocalCode.SERVED,
                    "http",
                    cls,
                    0,
                    2.0,
                    1,
                    attempts=[AttemptRecord(node, sent, 0.002, took, Ending.SERVED)],
                )
            )
    return made


def ended(story: RequestRecord) -> RequestSummary:
    """The same as the core tells it."""
    request = Request(
        story.cls or 0,
        story.plan or 0,
        story.volume,
        story.units,
        story.shard,
        1,
        0.0,
        "7f3a9c21e0b4d655",
        id=story.id,
    )
    came = story.ended_at - story.duration
    tries = [
        Attempt(
            0,
            0,
            each.node,
            "",
            0.0,
            came + each.started_after,
            why=each.reason,
            duration_s=each.duration,
            ending=each.ending,
        )
        for each in story.attempts
    ]
    verdict = Verdict.SERVED if story.verdict == "served" else Verdict.REFUSED
    return RequestSummary(came, story.ended_at, verdict, why=story.reason, request=request, attempts=tries)


class Plain:
    """The record as anybody would write it first."""

    def __init__(self, most: int) -> None:
        self.stories: deque[RequestRecord] = deque()
        self.by_id: dict[str, list[RequestRecord]] = defaultdict(list)
        self.by_volume: dict[str, deque[RequestRecord]] = defaultdict(deque)
        self.most = most

    def add(self, story: RequestRecord) -> None:
        self.stories.append(story)
        self.by_id[story.id].append(story)
        self.by_volume[story.volume].append(story)
        if len(self.stories) > self.most:
            old = self.stories.popleft()
            self.by_volume[old.volume].popleft()
            same = self.by_id[old.id]
            same.pop(0)
            if not same:
                del self.by_id[old.id]


def plainly(form: Plain, end: RequestSummary) -> None:
    form.add(to_record(end))


def timed(work: Callable[[Any], None], given: list[Any]) -> float:
    """Nanoseconds for one, in CPU time."""
    gc.collect()
    began = time.process_time_ns()
    for story in given:
        work(story)
    return (time.process_time_ns() - began) / len(given)


def fresh(count: int, refused: float) -> list[RequestRecord]:
    return stories(count, refused)


def bytes_each(make: Callable[[], Callable[[RequestRecord], None]], count: int, refused: float) -> float:
    """Bytes that one more record makes a process grow by, by tracemalloc; the stories are made as they
    come."""
    tracemalloc.start()
    add, kept = make(), fresh(count, refused)
    for place in range(count):  # the list gives each up once it is told
        story = kept[place]
        kept[place] = None  # type: ignore[call-overload]
        add(story)
        del story
    del kept
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / count


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--records", type=int, default=60_000, help="inserts for each figure")
    parser.add_argument("--bound", type=int, default=2 << 20, help="bytes of the record")
    parser.add_argument(
        "--million", type=int, default=5, help="million inserts of the run that is watched by RSS"
    )
    given = parser.parse_args()
    whole_file = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())
    settings = config.parse_platform_config(whole_file, {}).settings
    rows: list[tuple[str, str]] = []

    def book(sketches: bool = False) -> DecisionLog:
        made = DecisionLog(settings, given.bound, 0.0)
        if not sketches:
            made.sketches = None
        return made

    for name, refused in (("served", 0.0), ("refused", 1.0)):
        sample = stories(given.records, refused)
        each = len(pack(sample[0], {}))
        whole = book()
        for story in sample:
            whole.add(story)
        ring = whole.notable if refused else whole.routine
        rows.append((f"{name}: packed record", f"{each} bytes"))
        rows.append((f"{name}: with its part of the index", f"{ring.footprint() / ring.count:.1f} bytes"))
        rows.append((f"{name}: records held at {given.bound >> 10} KiB", str(ring.count)))
        plain = bytes_each(lambda: Plain(1 << 30).add, given.records, refused)
        rows.append((f"{name}: plain form", f"{plain:.0f} bytes"))
        ends = [ended(story) for story in sample]
        turns: dict[str, list[float]] = defaultdict(list)
        for _ in range(5):
            turns["record as the core feeds it"].append(timed(book().record, ends))
            turns["the same with sketches"].append(timed(book(True).record, ends))
            plain_form = Plain(20_000)
            turns["plain form, fed alike"].append(timed(partial(plainly, plain_form), ends))
        for form, times in turns.items():
            rows.append((f"{name}: insert, {form}", f"{sorted(times)[2]:.0f} ns"))
    mixed = stories(given.records, 0.4)
    full = book(True)
    for story in mixed:
        full.add(story)
    now = mixed[-1].ended_at
    recent = [story.id for story in mixed if full.find(story.id, now)]
    dice = random.Random(SEED)
    times = []
    for _ in range(2000):
        ident = dice.choice(recent)
        began = time.perf_counter_ns()
        assert full.find(ident, now)
        times.append(time.perf_counter_ns() - began)
    times.sort()
    rows.append(
        (
            "look-up by id in a full record",
            f"median {times[1000] / 1000:.0f} us, 99% {times[1980] / 1000:.0f} us",
        )
    )
    rate = full.notable.count / 300
    rows.append(("every refusal of 5 minutes is held up to", f"{rate:.0f} a second"))
    assert SERVED_RECORD.size <= 64
    watched = DecisionLog(settings, given.bound, 0.0)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    told = 0
    block = stories(20_000, 0.4)
    for turn in range(given.million * 50):
        for story in block:
            story.ended_at += 25.0
            watched.add(story)
        told += len(block)
        if turn == 0:
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    rows.append((f"{told / 1e6:.0f} million inserts: growth of RSS after the first 20,000", f"{grown} KiB"))
    rows.append(("footprint by its own account", f"{watched.footprint()} of {given.bound} bytes"))
    print("| what | figure |\n| --- | --- |")
    for what, figure in rows:
        print(f"| {what} | {figure} |")


if __name__ == "__main__":
    main()
