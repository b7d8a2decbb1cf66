"""Runs worlds of one scenario, and prints the seeds that violated an invariant."""

from __future__ import annotations

import time
from collections.abc import Iterable
from functools import partial
from multiprocessing import Pool

from cherrycove.tier.simulation.control.mutations import apply_mutation
from cherrycove.tier.simulation.control.run import Run, run_world
from cherrycove.tier.simulation.invariants import InvariantBrokenError


def _attempt(scenario: str, mutation: str, seed: int) -> tuple[int, str, float]:
    began = time.process_time()
    try:
        with apply_mutation(mutation):
            run_world(scenario, seed)
    except InvariantBrokenError as error:
        return seed, str(error), time.process_time() - began
    return seed, "", time.process_time() - began


def run_many(scenario: str, seeds: Iterable[int], processes: int, mutation: str = "") -> int:
    """Print each seed that violated an invariant and a summary; return the number of these seeds."""
    broken = worlds = 0
    processor_s = 0.0
    with Pool(processes) as pool:
        for seed, detail, used_s in pool.imap_unordered(partial(_attempt, scenario, mutation), seeds):
            worlds += 1
            processor_s += used_s
            if detail:
                broken += 1
                print(f"{scenario} {seed}: {detail}", flush=True)
    rate = 60.0 * worlds / max(processor_s, 1e-9)
    print(f"{scenario}: {worlds} worlds, {broken} broken, {rate:.1f} worlds a minute of one core")
    return broken


def print_trace(scenario: str, seed: int) -> None:
    """Run one world, and print its outcome or violation and the trace of its events."""
    run = Run(scenario, seed)
    try:
        print(run.run())
    except InvariantBrokenError as error:
        print(error)
    print("\n".join(run.world.environment.history.trace))
