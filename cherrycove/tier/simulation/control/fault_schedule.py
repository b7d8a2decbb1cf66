"""Decides which fault is injected into which machine, and when, from a random generator of its own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.simulation.control.fault_budget import UNKNOWN
from cherrycove.tier.simulation.control.fault_injector import FaultInjector
from cherrycove.tier.simulation.control.history import Change
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.processes import Process
from cherrycove.tier.simulation.control.scenarios import Scenario
from cherrycove.tier.simulation.control.world import World

FIRST_FAULT_S = 4.0
MIN_PAUSE_S = 0.05
UNKNOWN_RECOVERY_PAUSE_S = 1.0  # before the next fault, if the time of the next recovery is unknown
AFTER_RETIREMENT_SHARE = 0.7  # of the retirements, followed by a loss immediately
PARTITION_S = (1.0, 25.0)
# Long enough to elect another primary while orders wait at the one that was cut off.
SHORT_PARTITION_S = (1.2, 2.2)
HALF_PARTITION_S = (1.0, 8.0)
STEPWISE_PARTITION_S = (2.0, 6.0)
SLOW_S = (1.0, 8.0)
DEGRADED_NETWORK_S = (1.0, 5.0)
FREEZE_S = (0.4, 1.0, 2.5, 6.0, 15.0)
KILL_S = (0.2, 0.6, 2.0, 6.0, 20.0)
DISK_S = (0.5, 2.0, 6.0)
WIPE_S = (0.2, 0.6, 3.0)
REPLACE_S = (0.2, 1.0, 5.0)
DELAYS_AFTER_ACKNOWLEDGEMENT_S = (0.0, 0.002, 0.02)
DELAYS_AFTER_RETIREMENT_S = (0.0, 0.05, 0.5)


class FaultSchedule:
    """Injects the faults of one run of ``scenario``, from ``start`` until ``stop``.

    Faults are injected at random times, and also right after an acknowledgement or a retirement, when the
    data just acknowledged is most likely to be lost.
    """

    def __init__(
        self, scenario: Scenario, world: World, injector: FaultInjector, operators: Operators, random: Random
    ) -> None:
        self._scenario = scenario
        self._environment = world.environment
        self._cluster = world.cluster
        self._invariants = world.invariants
        self._budget = world.environment.fault_budget
        self._injector = injector
        self._operators = operators
        self._random = random
        self._is_active = True
        self._has_fault_after_acknowledgement = False  # a scheduled one

    def start(self) -> None:
        """Schedule the first fault, and observe acknowledgements and retirements."""
        self._invariants.on_acknowledged = self._follow_acknowledgement
        self._invariants.on_retired = self._follow_retirement
        self._environment.after(FIRST_FAULT_S, self._inject_random_fault)

    def stop(self) -> None:
        """Schedule no more faults, and end the active ones."""
        self._is_active = False
        self._injector.end_all()

    # Faults at random times

    def _inject_random_fault(self) -> None:
        if not self._is_active:
            return
        weights = self._scenario.weights
        kinds = list(weights)
        self._inject(self._random.choices(kinds, [weights[kind] for kind in kinds])[0])
        self._schedule_next()

    def _schedule_next(self) -> None:
        pause_s = self._random.uniform(MIN_PAUSE_S, self._scenario.pause_s)
        if self._random.random() < self._scenario.immediate_share:
            recovery = self._budget.next_recovery()
            pause_s = (
                UNKNOWN_RECOVERY_PAUSE_S
                if recovery is UNKNOWN
                else recovery - self._environment.now + MIN_PAUSE_S
            )
        self._environment.after(max(pause_s, MIN_PAUSE_S), self._inject_random_fault)

    def _inject(self, kind: str) -> None:
        if kind == "storm":
            self._injector.degrade_network(self._random.uniform(*DEGRADED_NETWORK_S))
        elif kind == "all":
            self._injector.kill_all()
        elif kind == "halves":
            self._injector.partition_into_halves(self._random.uniform(*HALF_PARTITION_S))
        elif kind == "add":
            self._add()
        elif kind == "retire":
            self._retire()
        else:
            self._inject_into_target(lambda: kind)

    def _choose_target(self) -> Machine | None:
        """Return a random machine; None if the budget doesn't allow its loss."""
        primary = self._cluster.primary()
        if primary is not None and self._random.random() < self._scenario.primary_share:
            machine = primary
        else:
            machine = self._random.choice(self._cluster.machines)
        return machine if self._budget.allows({machine.name}) else None

    def _inject_into_target(self, choose_kind: Callable[[], str]) -> None:
        machine = self._choose_target()
        if machine is not None:
            self._inject_into_machine(choose_kind(), machine)

    def _inject_into_machine(self, kind: str, machine: Machine) -> None:
        injector, random = self._injector, self._random
        faults: dict[str, Callable[[], None]] = {
            "cut": lambda: injector.partition(machine, random.uniform(*PARTITION_S)),
            "blink": lambda: injector.partition(machine, random.uniform(*SHORT_PARTITION_S)),
            "steps": lambda: injector.partition_in_steps(machine, random.uniform(*STEPWISE_PARTITION_S)),
            "freeze": lambda: injector.freeze(machine, random.choice(FREEZE_S)),
            "slow": lambda: injector.slow_down(machine, random.uniform(*SLOW_S)),
            "kill": lambda: injector.kill(machine, random.choice(KILL_S)),
            "stop": lambda: injector.restart_gracefully(machine),
            "disk": lambda: injector.degrade_disk(machine, random.choice(DISK_S)),
            "wipe": lambda: injector.wipe(machine, random.choice(WIPE_S)),
            "replace": lambda: injector.replace(machine, random.choice(REPLACE_S)),
        }
        faults[kind]()

    # Changes of the deployment

    def _add(self) -> None:
        faults = self._environment.faults
        if len(self._cluster.machines) < 2 * faults + 3 and len(self._budget.lost()) < faults:
            self._injector.add()

    def _retire(self) -> None:
        """Order one machine to retire if enough others remain; a share of the orders is for the primary's."""
        cluster, environment = self._cluster, self._environment
        staying = [machine for machine in cluster.machines if machine.name not in cluster.retiring]
        if len(staying) <= 2 * environment.faults + 1 or not environment.topology.stores:
            return
        primary = cluster.primary()
        machine = self._random.choice(staying)
        if (
            primary is not None
            and primary in staying
            and self._random.random() < self._scenario.primary_share
        ):
            machine = primary
        cluster.retiring.add(machine.name)
        environment.history.note(f"retire {machine.name}")
        self._injector.count("retire")
        environment.loop.spawn(self._operators.incarnation, self._operators.retire(machine.name))

    # Faults right after an event

    def _follow_retirement(self, _name: str) -> None:
        if self._is_active and self._random.random() < AFTER_RETIREMENT_SHARE:
            self._environment.after(self._random.choice(DELAYS_AFTER_RETIREMENT_S), self._lose_another)

    def _lose_another(self) -> None:
        self._inject_into_target(lambda: self._random.choice(["wipe", "kill", "replace"]))

    def _follow_acknowledgement(self, process: Process, change: Change) -> None:
        if not self._is_active or self._has_fault_after_acknowledgement:
            return
        if self._random.random() >= self._scenario.after_acknowledgement_share:
            return
        self._has_fault_after_acknowledgement = True
        delay_s = self._random.choice(DELAYS_AFTER_ACKNOWLEDGEMENT_S)
        self._environment.after(delay_s, lambda: self._fault_after_acknowledgement(process.machine, change))

    def _fault_after_acknowledgement(self, machine: Machine, change: Change) -> None:
        """Inject a fault into the machine that acknowledged ``change``, or into all machines at once."""
        self._has_fault_after_acknowledgement = False
        if self._budget.lost():
            return
        kind = self._random.choice(["kill", "wipe", "worst", "all"])
        if kind == "all":
            self._injector.kill_all()
        elif kind == "worst":
            self.lose_holders(change)
        elif machine in self._cluster.machines:
            self._inject_into_machine(kind, machine)

    def lose_holders(self, change: Change) -> None:
        """Wipe as many machines with ``change`` as the budget allows, and cut the power of all others."""
        holders = self._cluster.present(self._invariants.holders(change))
        self._random.shuffle(holders)
        self._injector.wipe_within_budget(holders)

    def lose_proxies(self) -> None:
        """Cut the power of all proxies, which restart within a second."""
        self._injector.lose_proxies()
