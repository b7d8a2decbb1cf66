"""Runs one world from a seed: clients propose under faults, and the group must recover after the last one."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from random import Random

import attrs

from cherrycove.tier.simulation.fault_injector import FaultInjector
from cherrycove.tier.simulation.fault_schedule import FaultSchedule
from cherrycove.tier.simulation.targeted_faults import TargetedFaults
from cherrycove.tier.simulation.world import CATCH_UP_S, World

FAULT_PERIOD_S = 12.0  # duration of the period with faults
RECOVERY_S = 9.0  # entries must commit within this time after the last fault
STEP_S = 0.5
START_S = 0.3  # the replicas start within this time of each other
BOOTSTRAP_S = 2.5  # a new group has caught up after this time instead of the CATCH_UP_S of the budget
CLIENT_PAUSE_S = 0.06  # between two proposals, on average
CONTROL_INTERVAL_S = 0.4
CHECK_INTERVAL_S = 0.25


@attrs.frozen
class Topology:
    """Describes a group: ``faults`` to tolerate, ``initial`` members, and ``standbys`` outside the group."""

    faults: int
    initial: int
    standbys: int


TOPOLOGIES = (
    Topology(1, 3, 1),
    Topology(1, 3, 0),
    Topology(1, 3, 2),
    Topology(1, 4, 0),
    Topology(1, 4, 1),
    Topology(1, 5, 0),
    Topology(2, 5, 0),
    Topology(2, 5, 1),
    Topology(2, 5, 2),
    Topology(1, 2, 2),
    Topology(0, 1, 1),
)


@attrs.frozen
class Outcome:
    """Holds the result of a run: proposals acknowledged, entries committed, and the simulated time."""

    seed: int
    acknowledged: int
    committed: int
    simulated_s: float


class Scenario:
    """Runs one world, with clients, faults and checks, from one seed."""

    def __init__(
        self, seed: int, fault_period_s: float = FAULT_PERIOD_S, *, wiped_disk_keeps_identity: bool = False
    ) -> None:
        """Create the world.

        ``wiped_disk_keeps_identity`` violates the rule that a machine with a wiped disk is a new member.
        """
        self._seed = seed
        self._fault_period_s = fault_period_s
        self._random = Random(seed)
        topology = self._random.choice(TOPOLOGIES)
        world_random = Random(self._random.random())
        self.world = World(world_random, topology.faults, topology.initial, topology.standbys)
        injector = FaultInjector(
            self.world, self._random, wiped_disk_keeps_identity=wiped_disk_keeps_identity
        )
        self._targeted = TargetedFaults(self.world, self._random, injector)
        self._schedule = FaultSchedule(self.world, self._random, injector, self._targeted)
        self._proposals = 0

    def run(self) -> Outcome:
        """Run to the end; raises ``InvariantBrokenError`` at the first violation."""
        world = self.world
        for replica in world.replicas:
            world.fault_budget.started(replica.name, BOOTSTRAP_S - CATCH_UP_S)
            world.after(self._random.uniform(0, START_S), partial(world.start, replica))
        self._propose()
        self._update_group()
        self._check()
        self._schedule.start()
        world.run_until(self._fault_period_s)
        self._end_faults()
        self._require_recovery()
        return Outcome(self._seed, world.effects.acknowledged, world.invariants.last_index, world.now)

    def _propose(self) -> None:
        """Propose at any replica that acts as primary, as clients do that may know a deposed one."""
        world = self.world
        self._proposals += 1
        primaries = world.primaries()
        if primaries and world.now >= self._targeted.clients_idle_until:
            world.propose(self._random.choice(primaries), b"%d" % self._proposals)
        world.after(self._random.uniform(0, 2 * CLIENT_PAUSE_S), self._propose)

    def _update_group(self) -> None:
        """Perform the periodic work of the control plane."""
        self.world.update_membership_requests()
        self._schedule.switch_off_retired()
        self.world.after(CONTROL_INTERVAL_S, self._update_group)

    def _check(self) -> None:
        self.world.check_fault_tolerance()
        self.world.after(CHECK_INTERVAL_S, self._check)

    def _end_faults(self) -> None:
        self._schedule.stop()
        self.world.network.cuts.clear()
        for replica in self.world.replicas:
            replica.stalled_until = 0.0
            if replica.machine is None:
                self.world.start(replica)
            elif replica.is_frozen:
                self.world.thaw(replica)

    def _require_recovery(self) -> None:
        """Require that a confirmed primary commits further entries within RECOVERY_S.

        A confirmed primary has all acknowledged entries.
        """
        world = self.world
        acknowledged = world.effects.acknowledged
        while world.now < self._fault_period_s + RECOVERY_S:
            world.run_until(world.now + STEP_S)
            if world.confirmed_primary() is not None and world.effects.acknowledged > acknowledged:
                return
        world.invariants.require(
            False, f"no proposal was acknowledged within {RECOVERY_S} s after the last fault"
        )


def run_seed(
    seed: int, fault_period_s: float = FAULT_PERIOD_S, *, wiped_disk_keeps_identity: bool = False
) -> Outcome:
    """Run the world of ``seed``; raises ``InvariantBrokenError`` at the first violation."""
    with _without_garbage_collection():
        return Scenario(seed, fault_period_s, wiped_disk_keeps_identity=wiped_disk_keeps_identity).run()


@contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Disable garbage collection: a world creates many small objects and hardly any cycles."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()
