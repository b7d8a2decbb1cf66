"""Simulates days of a site in virtual time and prints their metrics: the median and the range over all seeds.

python -m bench.admission SITE.toml --day scale-1 --seeds 5 --processes 3
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from bench.admission.constants import ConstantSetting
from bench.admission.experiment import Experiment, Result
from bench.admission.site import load_site


def run_day(path: Path, day_name: str, settings: Sequence[ConstantSetting], seed: int) -> Result:
    """Apply the settings and simulate one day with one seed."""
    for setting in settings:
        setting.apply()
    site = load_site(path)
    return Experiment(site, site.day(day_name), seed).run()


def main() -> None:
    """Simulate the days and seeds that the arguments name, and print their metrics."""
    parser = argparse.ArgumentParser(prog="python -m bench.admission", description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("--day", action="append", help="name of a day; may be repeated; default: all days")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument(
        "--set", action="append", default=[], type=ConstantSetting.parse, metavar="MODULE.NAME=VALUE",
        help="override a constant, such as dataplane.admission._broker_state.BATCH_FRACTION=0.5",
    )  # fmt: skip
    arguments = parser.parse_args()
    days = arguments.day or [day.name for day in load_site(arguments.site).days]
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    with ProcessPoolExecutor(arguments.processes) as pool:
        for day_name in days:
            began = time.monotonic()
            results = list(pool.map(partial(run_day, arguments.site, day_name, arguments.set), seeds))
            _print(day_name, results, time.monotonic() - began)


def _print(day_name: str, results: list[Result], seconds: float) -> None:
    scores = [result.figures.score for result in results]
    print(f"{day_name}: score {_summary(scores)}; mean {_summary([each.figures.mean for each in results])}")
    print(f"  worst window {_summary([each.figures.worst_window for each in results])}")
    for kind in sorted(results[0].figures.by_kind):
        shares = [each.figures.by_kind[kind] for each in results]
        p50 = statistics.median(each.figures.p50_ms[kind] for each in results)
        p99 = statistics.median(each.figures.p99_ms[kind] for each in results)
        losses: Counter[str] = Counter()
        for result in results:
            losses.update(result.losses.get(kind, {}))
        counts = ", ".join(f"{cause} {count / len(results):.0f}" for cause, count in losses.most_common())
        print(f"  {kind}: {_summary(shares)}; p50 {p50:.0f} ms, p99 {p99:.0f} ms; {counts}")
    waiting = statistics.median(result.max_waiting for result in results)
    connections = statistics.median(result.new_connections for result in results)
    print(f"  longest queue {waiting:.0f}; new connections {connections:.0f}; simulated in {seconds:.0f} s")
    if results[0].skipped_faults:
        print(f"  skipped faults: {', '.join(results[0].skipped_faults)}")


def _summary(values: list[float]) -> str:
    return f"{statistics.median(values):.3f} ({min(values):.3f} to {max(values):.3f})"


if __name__ == "__main__":
    main()
