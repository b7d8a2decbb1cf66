"""Runs simulated worlds of one replicated group, or of one scenario of the control plane.

``--seeds 2000`` runs worlds of one group, ``--scenario cut-off --seeds 100`` worlds of the control plane, and
``--scenario cut-off --trace 17`` prints the events of one of them.
"""

from __future__ import annotations

import argparse
import sys
import time
from functools import partial
from multiprocessing import Pool

from cherrycove.tier.simulation.control import command as control
from cherrycove.tier.simulation.control import mutations as control_mutations
from cherrycove.tier.simulation.control import scenarios
from cherrycove.tier.simulation.invariants import InvariantBrokenError
from cherrycove.tier.simulation.mutations import NAMES, WIPED_DISK_KEEPS_IDENTITY, apply_mutation
from cherrycove.tier.simulation.scenario import FAULT_PERIOD_S, run_seed

NO_COMMIT = "-"  # detail of a run without a violation in which no proposal was acknowledged


def _run_seed(mutation: str, fault_period_s: float, seed: int) -> tuple[int, str]:
    """Return the seed, and the violated invariant, "" if there is none, or NO_COMMIT."""
    keeps_identity = mutation == WIPED_DISK_KEEPS_IDENTITY
    try:
        with apply_mutation(mutation):
            outcome = run_seed(seed, fault_period_s, wiped_disk_keeps_identity=keeps_identity)
    except InvariantBrokenError as error:
        return seed, str(error)
    return seed, "" if outcome.acknowledged else NO_COMMIT


def _run_group(options: argparse.Namespace) -> int:
    started = time.monotonic()
    broken = idle = 0
    seeds = range(options.first, options.first + options.seeds)
    with Pool(options.processes) as pool:
        run = partial(_run_seed, options.without, options.seconds)
        for seed, detail in pool.imap_unordered(run, seeds, chunksize=4):
            if detail == NO_COMMIT:
                idle += 1
            elif detail:
                broken += 1
                print(f"seed {seed}: {detail}", flush=True)
    duration_s = time.monotonic() - started
    print(f"{options.seeds} seeds in {duration_s:.1f} s: {broken} broken, {idle} without any commit")
    return 1 if broken else 0


def _run_scenario(options: argparse.Namespace) -> int:
    if options.trace is not None:
        control.print_trace(options.scenario, options.trace)
        return 0
    seeds = range(options.first, options.first + options.seeds)
    return 1 if control.run_many(options.scenario, seeds, options.processes, options.without) else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m cherrycove.tier.simulation", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--without", default="", help="disable one safety check of the protocol")
    parser.add_argument("--scenario", choices=scenarios.NAMES, default="", help="simulate the control plane")
    parser.add_argument(
        "--trace", type=int, default=None, help="print the events of the scenario's world with this seed"
    )
    parser.add_argument("--seconds", type=float, default=FAULT_PERIOD_S, help="simulated seconds with faults")
    return parser


def main() -> int:
    """Run what the command line asks for; return 1 if an invariant was violated."""
    parser = _parser()
    options = parser.parse_args()
    known = control_mutations.NAMES if options.scenario else NAMES
    if options.without and options.without not in known:
        parser.error(f"--without: one of {', '.join(known)}")
    return _run_scenario(options) if options.scenario else _run_group(options)


if __name__ == "__main__":
    sys.exit(main())
