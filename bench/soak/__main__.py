"""``python -m bench.soak``: runs the soak test for a list of seeds and reports violations.

    python -m bench.soak --seeds 1-50 --seconds 45 --jobs 3 --report soak.json
    python -m bench.soak --seeds 7 --machines 10 --proxies 40 --failures 2

The directory of a run with violations (settings, logs, disks) is copied to ``--keep``. Exit code: 0 without
violations, otherwise 1.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import attrs

from bench.soak.run import Outcome, Plan, run_plan
from examples.tier_processes import Sizes

EXIT_VIOLATIONS = 1


def run_seed(plan: Plan, keep: Path) -> Outcome:
    """Run one seed in a temporary directory, which is copied to ``keep`` if there were violations."""
    directory = Path(tempfile.mkdtemp(prefix=f"cherrycove-soak-{plan.seed}-"))
    try:
        outcome = asyncio.run(run_plan(plan, directory))
        if outcome.violations:
            keep.mkdir(parents=True, exist_ok=True)
            shutil.copytree(directory, keep / f"seed-{plan.seed}", dirs_exist_ok=True)
        return outcome
    finally:
        shutil.rmtree(directory)


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and ranges, such as ``3``, ``1-50`` or ``1-5,9``."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="3, 1-50 or 1-5,9")
    parser.add_argument(
        "--seconds", type=float, default=40.0, help="duration of the faults and changes in each run"
    )
    parser.add_argument(
        "--machines", type=int, default=5, help="machines that run a controller and a store each"
    )
    parser.add_argument("--proxies", type=int, default=4)
    parser.add_argument("--failures", type=int, default=1, help="machines that may be lost at once")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument(
        "--keep", type=Path, default=Path("soak-kept"), help="directory for runs with violations"
    )
    parser.add_argument("--report", type=Path, help="a JSON file for all outcomes")
    return parser.parse_args()


def main() -> int:
    arguments = parse_arguments()
    sizes = Sizes(
        keepers=arguments.machines,
        stores=arguments.machines,
        proxies=arguments.proxies,
        machine_failures=arguments.failures,
    )
    plans = [Plan(seed=seed, duration_s=arguments.seconds, sizes=sizes) for seed in arguments.seeds]
    outcomes: list[Outcome] = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for future in as_completed([pool.submit(run_seed, plan, arguments.keep) for plan in plans]):
            outcomes.append(future.result())
            print_outcome(outcomes[-1])
    with_violations = [outcome for outcome in outcomes if outcome.violations]
    print(f"{len(outcomes)} runs, {len(with_violations)} with violations")
    if arguments.report is not None:
        arguments.report.write_text(json.dumps([attrs.asdict(outcome) for outcome in outcomes], indent=1))
    return EXIT_VIOLATIONS if with_violations else 0


def print_outcome(outcome: Outcome) -> None:
    counts = ", ".join(f"{name} {count}" for name, count in outcome.counts.items())
    print(f"seed {outcome.seed}: {len(outcome.violations)} violations; {counts}", flush=True)
    for violation in outcome.violations[:20]:
        print(f"  {violation}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
