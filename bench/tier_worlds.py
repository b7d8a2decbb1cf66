"""How fast worlds of a replicated group run, and how long a group needs for a primary after all were killed.

``python -m bench.tier_worlds --worlds 60`` prints worlds and simulated seconds a minute of processor time,
and the time from the start of the last killed replica to a confirmed primary, with and without elections that
wait for no lease.
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
LIMIT_S = 10.0


def measure_speed(worlds: int, faulty_s: float) -> str:
    """Worlds and simulated seconds a minute of processor time."""
    began = time.process_time()
    simulated = sum(run_seed(seed, faulty_s).simulated_s for seed in range(worlds))
    used = time.process_time() - began
    per_minute = MINUTE_S / used
    return (
        f"{worlds} worlds, {simulated:.0f} simulated s in {used:.1f} s of processor time: "
        f"{worlds * per_minute:.0f} worlds, {simulated * per_minute:.0f} simulated s a minute"
    )


def time_to_primary(seed: int) -> float:
    """Simulated seconds from the moment that all run again to a confirmed primary."""
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
    began = world.now
    while world.confirmed_primary() is None and world.now - began < LIMIT_S:
        world.run_until(world.now + STEP_S)
    return world.now - began


def measure_restart(groups: int, waits: bool) -> str:
    """Time to a primary after all were killed; ``waits``: every election waits for leases to end."""
    with ExitStack() as stack:
        if waits:
            stack.enter_context(
                mock.patch.object(Candidate, "_is_group_without_primary", lambda *arguments: False)
            )
        times = sorted(time_to_primary(seed) for seed in range(groups))
    name = "waiting for leases" if waits else "waiting for no lease"
    return f"all killed, {name}: median {statistics.median(times):.2f} s, worst {times[-1]:.2f} s"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.tier_worlds", description=__doc__)
    parser.add_argument("--worlds", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=FAULT_PERIOD_S)
    parser.add_argument("--groups", type=int, default=200)
    options = parser.parse_args()
    print(measure_speed(options.worlds, options.seconds))
    for waits in (False, True):
        print(measure_restart(options.groups, waits))
    return 0


if __name__ == "__main__":
    sys.exit(main())
