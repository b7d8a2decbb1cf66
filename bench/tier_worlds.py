"""Measures the speed of simulated replicated groups and their time to a primary after a full restart.

``python -m bench.tier_worlds --worlds 60`` prints simulated worlds and seconds per minute of CPU time, and
the time from the restart of all killed replicas to a confirmed primary. The latter is measured with the
shortcut that lets elections skip the wait for leases, and without it.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from contextlib import ExitStack
from random import Random
from unittest import mock

from cherrycove.tier.replication.candidate import Candidate
from cherrycove.tier.simulation.fault_injector import FaultInjector
from cherrycove.tier.simulation.network import NetworkConditions
from cherrycove.tier.simulation.scenario import FAULT_PERIOD_S, run_seed
from cherrycove.tier.simulation.world import World

MINUTE_S = 60.0
STEP_S = 0.005
RESTART_S = 0.5
TIMEOUT_S = 10.0


def measure_speed(worlds: int, faulty_s: float) -> str:
    """Return a report of the worlds and the simulated seconds per minute of CPU time."""
    cpu_before = time.process_time()
    simulated = sum(run_seed(seed, faulty_s).simulated_s for seed in range(worlds))
    cpu_s = time.process_time() - cpu_before
    per_minute = MINUTE_S / cpu_s
    return (
        f"{worlds} worlds, {simulated:.0f} simulated s in {cpu_s:.1f} s of CPU time: "
        f"{worlds * per_minute:.0f} worlds, {simulated * per_minute:.0f} simulated s per minute"
    )


def time_to_primary(seed: int) -> float:
    """Return the simulated seconds from the restart of all replicas to a confirmed primary."""
    world = World(Random(seed), 1, 3, 0)
    world.network.conditions = NetworkConditions(slow_share=0.0, loss=0.0, duplicated=0.0)
    for replica in world.replicas:
        world.start(replica)
    while world.confirmed_primary() is None:
        world.run_until(world.now + STEP_S)
    faults = FaultInjector(world, Random(seed), wiped_disk_keeps_identity=False)
    for replica in world.replicas:
        faults.kill(replica, RESTART_S)
    world.run_until(world.now + RESTART_S)
    started_at = world.now
    while world.confirmed_primary() is None and world.now - started_at < TIMEOUT_S:
        world.run_until(world.now + STEP_S)
    return world.now - started_at


def measure_restart(groups: int, waits_for_leases: bool) -> str:
    """Return a report of the time to a primary after all replicas were killed.

    With ``waits_for_leases``, every election waits for leases to expire.
    """
    with ExitStack() as stack:
        if waits_for_leases:
            stack.enter_context(
                mock.patch.object(Candidate, "_is_group_without_primary", lambda *arguments: False)
            )
        times = sorted(time_to_primary(seed) for seed in range(groups))
    name = "waiting for leases" if waits_for_leases else "not waiting for leases"
    return f"all killed, {name}: median {statistics.median(times):.2f} s, worst {times[-1]:.2f} s"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.tier_worlds", description=__doc__)
    parser.add_argument("--worlds", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=FAULT_PERIOD_S)
    parser.add_argument("--groups", type=int, default=200)
    options = parser.parse_args()
    print(measure_speed(options.worlds, options.seconds))
    for waits_for_leases in (False, True):
        print(measure_restart(options.groups, waits_for_leases))
    return 0


if __name__ == "__main__":
    sys.exit(main())
