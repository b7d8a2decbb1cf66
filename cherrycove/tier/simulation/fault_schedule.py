"""Decides which fault is injected into which replica, and when."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.simulation.fault_injector import FaultInjector
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.targeted_faults import TargetedFaults
from cherrycove.tier.simulation.world import CATCH_UP_S, World

FIRST_FAULT_S = 1.0
FAULT_PAUSE_S = 0.5  # between two faults, on average
NEXT_LOSS_DELAY_S = 0.005  # from the time when the fault budget allows another loss
NEXT_LOSS_SHARE = 0.7  # of the faults, followed by another loss as early as the budget allows
PRIMARY_SHARE = 0.3  # of the faults, which target a primary deliberately
WITHIN_BUDGET_SHARE = 0.6  # of the worlds, in which faults of single machines stay within the fault budget
COMMON_FAULT_SHARE = 0.2  # of the faults in these worlds, which may affect all machines
EXHAUSTED_SHARE = 0.15  # of the faults in these worlds, injected though the budget allows no further loss
AFTER_RETIREMENT_SHARE = 0.5  # of the retirements, followed by a loss immediately
SAME_ADDRESS_SHARE = 0.5  # of the replaced machines, whose successor gets the same address
SHORT_S = (0.3, 0.8, 1.5, 3.0)
LONG_S = (0.3, 0.8, 1.5, 3.0, 8.0, 25.0)
WIPE_S = (0.1, 0.6, 3.0)
REPLACE_S = (0.0, 0.5, 3.0)
RESTART_ALL_S = (0.1, 1.0)
DEGRADED_NETWORK_S = (0.5, 2.0)

ReplicaFault = Callable[[Replica], None]


class FaultSchedule:
    """Injects the faults of one run, from ``start`` until ``stop``."""

    def __init__(
        self,
        world: World,
        random: Random,
        injector: FaultInjector,
        targeted: TargetedFaults,
    ) -> None:
        self._world = world
        self._random = random
        self._injector = injector
        self._targeted = targeted
        self._keeps_to_budget = random.random() < WITHIN_BUDGET_SHARE
        self._is_active = True
        injector.on_end = self._lose_next

    def start(self) -> None:
        """Schedule the first fault."""
        self._world.after(FIRST_FAULT_S, self._inject_fault)

    def stop(self) -> None:
        """Schedule no more faults."""
        self._is_active = False
        self._targeted.disarm()

    def _inject_fault(self) -> None:
        if not self._is_active:
            return
        if self._world.replicas and not self._should_pause():
            self._world.check_fault_tolerance()
            self._random.choice(self._possible_faults())(self._choose_target())
        self._world.after(self._random.uniform(0, 2 * FAULT_PAUSE_S), self._inject_fault)

    def _should_pause(self) -> bool:
        """Return whether to skip this fault; true for most calls while the budget allows no further loss."""
        lost = len(self._world.fault_budget.lost(self._world.now))
        return (
            self._keeps_to_budget and lost >= self._world.faults and self._random.random() > EXHAUSTED_SHARE
        )

    def _choose_target(self) -> Replica:
        """Return a random replica for a fault, if possible one that the budget allows to be lost."""
        candidates = list(self._world.replicas)
        primaries = self._world.primaries()
        if primaries and self._random.random() < PRIMARY_SHARE:
            candidates = list(primaries)
        allowed = [replica for replica in candidates if self._injector.may_lose(replica)]
        return self._random.choice(allowed or candidates)

    def _possible_faults(self) -> list[ReplicaFault]:
        """Return the faults to choose from.

        A world within the budget seldom has faults of all machines, or all would be lost at all times.
        """
        if self._keeps_to_budget and self._random.random() > COMMON_FAULT_SHARE:
            return self._single_faults()
        return [*self._single_faults(), *self._common_faults()]

    def _single_faults(self) -> list[ReplicaFault]:
        injector = self._injector
        return [
            self._if_allowed(lambda replica: injector.kill(replica, self._draw_duration_s())),
            self._if_allowed(lambda replica: injector.freeze(replica, self._draw_duration_s())),
            self._if_allowed(lambda replica: injector.isolate(replica, self._draw_duration_s())),
            self._if_allowed(lambda replica: injector.cut_one_way(replica, self._draw_duration_s())),
            self._if_allowed(lambda replica: injector.stall(replica, self._draw_duration_s())),
            self._wipe,
            self._wipe,
            self._replace,
            self._retire,
        ]

    def _common_faults(self) -> list[ReplicaFault]:
        return [
            lambda _: self._transfer_leadership(),
            lambda _: self._targeted.arm(),
            lambda _: self._targeted.arm(),
            lambda _: self._targeted.arm(),
            lambda _: self._kill_all(),
            lambda _: self._injector.degrade_network(self._random.uniform(*DEGRADED_NETWORK_S)),
        ]

    def _draw_duration_s(self) -> float:
        return self._random.choice(LONG_S if self._keeps_to_budget else SHORT_S)

    def _if_allowed(self, fault: ReplicaFault) -> ReplicaFault:
        """Return ``fault``, restricted in a world within the budget to replicas that may be lost."""

        def inject(replica: Replica) -> None:
            if not self._keeps_to_budget or self._injector.may_lose(replica):
                fault(replica)

        return inject

    def _kill_all(self) -> None:
        for replica in self._world.replicas:
            self._injector.kill(replica, self._random.uniform(*RESTART_ALL_S))

    def _wipe(self, replica: Replica) -> None:
        if self._injector.may_lose(replica):
            self._injector.wipe(replica, self._random.choice(WIPE_S))

    def _replace(self, replica: Replica) -> None:
        if self._injector.may_lose(replica):
            pause_s = self._random.choice(REPLACE_S)
            same_address = self._random.random() < SAME_ADDRESS_SHARE
            self._injector.replace(replica, pause_s, same_address=same_address)

    def _transfer_leadership(self) -> None:
        """Make each primary hand over leadership, as on a stalled disk or a shutdown.

        It counts as a fault of its machine.
        """
        for primary in self._world.primaries():
            self._world.transfer_leadership(primary)
            self._injector.stall(primary, 0.0)

    # Retire orders

    def _retire(self, replica: Replica) -> None:
        """Order a machine to retire if enough others remain. An order is never revoked."""
        world = self._world
        staying = [other for other in world.replicas if other.name not in world.retiring]
        if len(staying) > 2 * world.faults + 1:
            world.retiring |= {replica.name}

    def switch_off_retired(self) -> None:
        """Switch off a machine whose retire order has completed, possibly while others are lost.

        A share of the retirements is followed by another loss at once.
        """
        if not self._is_active:
            return
        world = self._world
        for replica in world.replicas:
            if replica.name in world.retiring and world.has_retired(replica):
                self._injector.switch_off(replica)
                if self._random.random() < AFTER_RETIREMENT_SHARE:
                    self._lose_another()
                return

    # Further losses as early as the budget allows

    def _lose_next(self) -> None:
        if self._is_active and self._random.random() < NEXT_LOSS_SHARE:
            self._world.after(CATCH_UP_S + NEXT_LOSS_DELAY_S, self._lose_another)

    def _lose_another(self) -> None:
        """Lose a machine if the budget allows it; in a quarter of the cases all others lose power too."""
        if not self._is_active or not self._world.replicas:
            return
        target = self._choose_target()
        if not self._injector.may_lose(target):
            return
        self._world.check_fault_tolerance()
        kind = self._random.randrange(4)
        if kind == 0:
            self._replace(target)
        elif kind == 1:
            self._injector.freeze(target, self._draw_duration_s())
        else:
            self._injector.wipe(target)
        if kind == 3:
            self._kill_all()
