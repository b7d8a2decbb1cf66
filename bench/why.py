"""Measures the decision log against a plain implementation: bytes per record, time per insert and look-up.

    python -m bench.why [--records N] [--bound BYTES] [--markdown]

The plain implementation keeps each record as a dataclass in a deque, with dicts by id and by volume. Both
receive the same records, generated from a fixed seed, in one process, in turns. Times hold for this machine
and one core.
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


def make_records(
    count: int, refused: float, start: float = 1000.0, rate: float = 800.0
) -> list[RequestRecord]:
    """Return the records of a busy broker; ``refused`` is the fraction of requests that are refused."""
    rng = random.Random(SEED)
    volumes = [f"{rng.getrandbits(64):016x}" for _ in range(60)]
    nodes = [f"s-{rng.getrandbits(32):08x}" for _ in range(10)]
    made = []
    for number in range(count):
        node, ended = rng.choice(nodes), start + number / rate
        ident, volume, cls = f"{rng.getrandbits(64):016x}", rng.choice(volumes), rng.randrange(3)
        if rng.random() < refused:
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
            took = rng.lognormvariate(-3.8, 0.5)
            sent = Reason(
                Code.CREDIT, node, "", 4.0, rng.randrange(4), 0, 3.0, 0.02, 0.15, 0.5, number // 800
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


def to_summary(record: RequestRecord) -> RequestSummary:
    """Return the summary of the same request as the core passes it to the log."""
    request = Request(
        record.cls or 0,
        record.plan or 0,
        record.volume,
        record.units,
        record.shard,
        1,
        0.0,
        "7f3a9c21e0b4d655",
        id=record.id,
    )
    arrived_at = record.ended_at - record.duration
    tries = [
        Attempt(
            0,
            0,
            each.node,
            "",
            0.0,
            arrived_at + each.started_after,
            why=each.reason,
            duration_s=each.duration,
            ending=each.ending,
        )
        for each in record.attempts
    ]
    verdict = Verdict.SERVED if record.verdict == "served" else Verdict.REFUSED
    return RequestSummary(
        arrived_at, record.ended_at, verdict, why=record.reason, request=request, attempts=tries
    )


class PlainLog:
    """A straightforward log, without packing, as a baseline."""

    def __init__(self, most: int) -> None:
        self.records: deque[RequestRecord] = deque()
        self.by_id: dict[str, list[RequestRecord]] = defaultdict(list)
        self.by_volume: dict[str, deque[RequestRecord]] = defaultdict(deque)
        self.most = most

    def add(self, record: RequestRecord) -> None:
        self.records.append(record)
        self.by_id[record.id].append(record)
        self.by_volume[record.volume].append(record)
        if len(self.records) > self.most:
            old = self.records.popleft()
            self.by_volume[old.volume].popleft()
            same = self.by_id[old.id]
            same.pop(0)
            if not same:
                del self.by_id[old.id]


def add_to_plain(log: PlainLog, end: RequestSummary) -> None:
    log.add(to_record(end))


def mean_cpu_ns(work: Callable[[Any], None], items: list[Any]) -> float:
    """Return the mean CPU time of ``work`` per item in nanoseconds."""
    gc.collect()
    started_at = time.process_time_ns()
    for record in items:
        work(record)
    return (time.process_time_ns() - started_at) / len(items)


def generate(count: int, refused: float) -> list[RequestRecord]:
    return make_records(count, refused)


def bytes_per_record(
    make: Callable[[], Callable[[RequestRecord], None]], count: int, refused: float
) -> float:
    """Return the memory per record in bytes, measured by tracemalloc.

    The records are generated within the measurement, and each is released once it has been added.
    """
    tracemalloc.start()
    add, kept = make(), generate(count, refused)
    for place in range(count):  # the list drops each record once it has been added
        record = kept[place]
        kept[place] = None  # type: ignore[call-overload]
        add(record)
        del record
    del kept
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / count


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--records", type=int, default=60_000, help="inserts per figure")
    parser.add_argument("--bound", type=int, default=2 << 20, help="size limit of the log in bytes")
    parser.add_argument(
        "--million", type=int, default=5, help="millions of inserts in the run whose RSS is measured"
    )
    options = parser.parse_args()
    raw_config = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())
    settings = config.parse_platform_config(raw_config, {}).settings
    rows: list[tuple[str, str]] = []

    def new_log(sketches: bool = False) -> DecisionLog:
        made = DecisionLog(settings, options.bound, 0.0)
        if not sketches:
            made.sketches = None
        return made

    for name, refused in (("served", 0.0), ("refused", 1.0)):
        sample = make_records(options.records, refused)
        each = len(pack(sample[0], {}))
        log = new_log()
        for record in sample:
            log.add(record)
        ring = log.notable if refused else log.routine
        rows.append((f"{name}: packed record", f"{each} bytes"))
        rows.append(
            (f"{name}: including its share of the index", f"{ring.footprint() / ring.count:.1f} bytes")
        )
        rows.append((f"{name}: records held at {options.bound >> 10} KiB", str(ring.count)))
        plain = bytes_per_record(lambda: PlainLog(1 << 30).add, options.records, refused)
        rows.append((f"{name}: plain implementation", f"{plain:.0f} bytes"))
        ends = [to_summary(record) for record in sample]
        turns: dict[str, list[float]] = defaultdict(list)
        for _ in range(5):
            turns["from the core's summary"].append(mean_cpu_ns(new_log().record, ends))
            turns["from the core's summary, with sketches"].append(mean_cpu_ns(new_log(True).record, ends))
            plain_form = PlainLog(20_000)
            turns["plain implementation, same input"].append(
                mean_cpu_ns(partial(add_to_plain, plain_form), ends)
            )
        for form, times in turns.items():
            rows.append((f"{name}: insert, {form}", f"{sorted(times)[2]:.0f} ns"))
    mixed = make_records(options.records, 0.4)
    mixed_log = new_log(True)
    for record in mixed:
        mixed_log.add(record)
    now = mixed[-1].ended_at
    recent = [record.id for record in mixed if mixed_log.find(record.id, now)]
    rng = random.Random(SEED)
    times = []
    for _ in range(2000):
        ident = rng.choice(recent)
        started_at = time.perf_counter_ns()
        assert mixed_log.find(ident, now)
        times.append(time.perf_counter_ns() - started_at)
    times.sort()
    rows.append(
        (
            "look-up by id in a full log",
            f"median {times[1000] / 1000:.0f} us, 99% {times[1980] / 1000:.0f} us",
        )
    )
    rate = mixed_log.notable.count / 300
    rows.append(("highest rate at which 5 minutes of refusals fit", f"{rate:.0f} per second"))
    assert SERVED_RECORD.size <= 64
    measured_log = DecisionLog(settings, options.bound, 0.0)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    inserted = 0
    block = make_records(20_000, 0.4)
    for turn in range(options.million * 50):
        for record in block:
            record.ended_at += 25.0
            measured_log.add(record)
        inserted += len(block)
        if turn == 0:
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    rows.append(
        (f"{inserted / 1e6:.0f} million inserts: growth of RSS after the first 20,000", f"{grown} KiB")
    )
    rows.append(("footprint as the log computes it", f"{measured_log.footprint()} of {options.bound} bytes"))
    print("| what | figure |\n| --- | --- |")
    for what, figure in rows:
        print(f"| {what} | {figure} |")


if __name__ == "__main__":
    main()
