"""Plays deployments drawn from seeds and prints each broken rule with the seed that plays it again.

python -m bench.rules                         # 300 deployments, seeds 0 to 299
python -m bench.rules --seeds 20000
python -m bench.rules --seed 4711             # one, with its settings and all that is broken there
python -m bench.rules --mutants               # takes guards out of the module one at a time
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from bench.rules.draw import draw
from bench.rules.mutants import MUTANTS, found_by
from bench.rules.play import Day


def played(seed: int) -> tuple[int, list[tuple[str, str]]]:
    try:
        return seed, Day(draw(seed)).play()
    except Exception as error:  # whatever the module raises is a finding of its own
        return seed, [("crash", f"{type(error).__name__}: {error}")]


def first_broken(seeds: range) -> tuple[int, str] | None:
    """The first of these seeds on which a rule is broken, and which."""
    for seed in seeds:
        _, broken = played(seed)
        if broken:
            return seed, broken[0][0]
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
        "--until-broken", action="store_true", help="one process, to the first that breaks one"
    )
    asked = parser.parse_args()
    seeds = range(asked.first, asked.first + asked.seeds)
    if asked.seed is not None:
        print(draw(asked.seed).describe())
        _, broken = played(asked.seed)
        for rule, words in broken:
            print(f"{rule:10s} {words}")
        return bool(broken)
    if asked.until_broken:
        found = first_broken(seeds)
        print(f"{found[0]} {found[1]}" if found else "none")
        return found is not None
    if asked.mutants:
        missed = 0
        for mutant in MUTANTS:
            said = found_by(mutant, seeds)
            missed += said == "none"
            print(f"{mutant.name:40s} {said}")
        return missed > 0
    began, total = time.monotonic(), Counter[str]()
    with ProcessPoolExecutor() as pool:
        for seed, broken in pool.map(played, seeds, chunksize=10):
            total.update({rule for rule, _ in broken})
            if broken:
                rule, words = broken[0]
                print(f"seed {seed}: {rule}: {words} ({len(broken)} in all)")
    print(
        f"{len(seeds)} deployments in {time.monotonic() - began:.1f} s; "
        f"{sum(total.values())} broken: {dict(total)}"
    )
    return total.total() > 0


if __name__ == "__main__":
    sys.exit(main())
