"""Simulates random deployments and prints each rule violation with the seed that reproduces it.

python -m bench.rules                         # 300 deployments, seeds 0 to 299
python -m bench.rules --seeds 20000
python -m bench.rules --seed 4711             # one seed, with its settings and all its violations
python -m bench.rules --mutants               # checks that each removed guard is detected
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from bench.rules.draw import draw
from bench.rules.mutants import MUTANTS, detected_by
from bench.rules.simulation import Simulation


def run_seed(seed: int) -> tuple[int, list[tuple[str, str]]]:
    try:
        return seed, Simulation(draw(seed)).run()
    except Exception as error:  # any exception of the module counts as a violation
        return seed, [("crash", f"{type(error).__name__}: {error}")]


def first_violation(seeds: range) -> tuple[int, str] | None:
    """Return the first of these seeds with a violation and the rule violated, or None."""
    for seed in seeds:
        _, violations = run_seed(seed)
        if violations:
            return seed, violations[0][0]
    return None


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--mutants", action="store_true")
    parser.add_argument(
        "--until-broken", action="store_true", help="run in one process, stop at the first violation"
    )
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    if options.seed is not None:
        print(draw(options.seed).describe())
        _, violations = run_seed(options.seed)
        for rule, message in violations:
            print(f"{rule:10s} {message}")
        return bool(violations)
    if options.until_broken:
        violation = first_violation(seeds)
        print(f"{violation[0]} {violation[1]}" if violation else "none")
        return violation is not None
    if options.mutants:
        missed = 0
        for mutant in MUTANTS:
            detected = detected_by(mutant, seeds)
            missed += detected == "none"
            print(f"{mutant.name:40s} {detected}")
        return missed > 0
    began, total = time.monotonic(), Counter[str]()
    with ProcessPoolExecutor() as pool:
        for seed, violations in pool.map(run_seed, seeds, chunksize=10):
            total.update({rule for rule, _ in violations})
            if violations:
                rule, message = violations[0]
                print(f"seed {seed}: {rule}: {message} ({len(violations)} violations)")
    print(
        f"{len(seeds)} deployments in {time.monotonic() - began:.1f} s; "
        f"{sum(total.values())} rules violated: {dict(total)}"
    )
    return total.total() > 0


if __name__ == "__main__":
    sys.exit(main())
