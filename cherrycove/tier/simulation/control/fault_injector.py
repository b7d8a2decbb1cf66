"""Injects faults into a world. Each affects machines or links, and ends after a given time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from cherrycove.tier.simulation.control.deployment import OPERATOR_HOST
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.network import NetworkConditions
from cherrycove.tier.simulation.control.world import World

Links = set[tuple[str, str]]  # directed: hosts of sender and receiver

RESTART_S = (0.2, 0.9)
GRACEFUL_RESTART_S = (1.5, 3.0)
BURST_S = 0.1  # unit of the running and frozen times of a slowed machine
RUNNING_SHARE = (0.1, 0.5)  # of BURST_S, at least and at most
FROZEN_SHARE = (0.5, 0.9)  # of BURST_S, at least and at most
SECOND_PARTITION_S = (0.8, 1.6)  # after the first step of a stepwise partition
DEGRADED_NETWORK = {"loss": 0.1, "resets": 0.1, "misdelivered": 0.1}


class _ActiveFault:
    """An active fault, which ends once: at its time, or earlier when all faults are ended."""

    def __init__(self, on_end: Callable[[], None]) -> None:
        self._on_end = on_end
        self.has_ended = False

    def end(self) -> None:
        """Undo the fault, unless it has ended already."""
        if not self.has_ended:
            self.has_ended = True
            self._on_end()


class FaultInjector:
    """Injects faults on request, and reports lost machines to the fault budget.

    ``counts`` contains the number of faults by kind.
    """

    def __init__(self, world: World, random: Random) -> None:
        self._environment = world.environment
        self._cluster = world.cluster
        self._network = world.environment.network
        self._random = random
        self.counts: dict[str, int] = {}
        self._active: list[_ActiveFault] = []

    def count(self, kind: str) -> None:
        """Count one fault, or one retire order, which is scheduled like a fault."""
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def _begin(
        self, kind: str, machine: Machine, duration_s: float, undo: Callable[[], None], *, disk: bool = False
    ) -> None:
        """Record a fault of one machine, and undo it after ``duration_s``; with ``disk`` its disk is lost."""
        environment = self._environment
        self.count(kind)
        environment.history.note(f"{kind} {machine.name} for {duration_s:.2f} s")
        environment.fault_budget.fault_began({machine.name}, disk=disk)
        self._cluster.update_contacts()

        def end() -> None:
            undo()
            environment.fault_budget.fault_ended({machine.name})
            self._cluster.update_contacts()
            environment.history.note(f"{kind} {machine.name} is over")

        self._end_later(duration_s, end)

    def _end_later(self, duration_s: float, on_end: Callable[[], None]) -> None:
        fault = _ActiveFault(on_end)
        self._active.append(fault)
        self._environment.after(duration_s, fault.end)

    def end_all(self) -> None:
        """End every active fault now."""
        for fault in self._active:
            fault.end()
        self._active.clear()
        self._network.conditions = NetworkConditions()

    # Links

    def partition(self, machine: Machine, duration_s: float) -> None:
        """Cut a machine off from all or some others and possibly operators, in one or both directions."""
        cluster, random = self._cluster, self._random
        others = [other.host for other in (*cluster.machines, *cluster.proxies) if other is not machine]
        if random.random() < 0.3:
            others = random.sample(others, random.randint(1, len(others)))
        inward = {(other, machine.host) for other in others}
        outward = {(machine.host, other) for other in others}
        links = random.choice([inward | outward, inward | outward, inward, outward])
        if random.random() < 0.2:
            links |= {(OPERATOR_HOST, machine.host), (machine.host, OPERATOR_HOST)}
        self._network.cut(links)
        self._begin("cut", machine, duration_s, lambda: self._network.heal(links))

    def partition_in_steps(self, machine: Machine, duration_s: float) -> None:
        """Cut a machine off from one other machine, which then campaigns, and soon after from the rest.

        Proxies and operators can still reach it.
        """
        others = [other.host for other in self._cluster.machines if other is not machine]
        self._random.shuffle(others)
        first, rest = _both_ways(machine.host, others[:1]), _both_ways(machine.host, others[1:])
        cut_links = set(first)
        has_ended = False

        def cut_rest() -> None:
            if not has_ended:
                cut_links.update(rest)
                self._network.cut(rest)
                self._cluster.update_contacts()

        def undo() -> None:
            nonlocal has_ended
            has_ended = True
            self._network.heal(cut_links)

        self._network.cut(first)
        self._environment.after(self._random.uniform(*SECOND_PARTITION_S), cut_rest)
        self._begin("cut in steps", machine, duration_s, undo)

    def partition_into_halves(self, duration_s: float) -> None:
        """Cut the links between two halves of the machines; proxies and operators can reach both."""
        hosts = [machine.host for machine in self._cluster.machines]
        self._random.shuffle(hosts)
        first, second = hosts[: len(hosts) // 2], hosts[len(hosts) // 2 :]
        links: Links = set()
        for host in first:
            links |= _both_ways(host, second)
        environment = self._environment
        names = {machine.name for machine in self._cluster.machines if machine.host in first}
        self._network.cut(links)
        environment.history.note(f"halves for {duration_s:.2f} s: {sorted(names)} alone")
        self.count("halves")
        environment.fault_budget.fault_began(names)
        self._cluster.update_contacts()

        def end() -> None:
            self._network.heal(links)
            environment.fault_budget.fault_ended(names)
            self._cluster.update_contacts()

        self._end_later(duration_s, end)

    def degrade_network(self, duration_s: float) -> None:
        """Lose packets, reset connections and misdeliver replies on all links; no machine counts as lost."""
        environment = self._environment
        conditions = NetworkConditions(**DEGRADED_NETWORK)
        self._network.conditions = conditions
        environment.history.note(f"storm for {duration_s:.2f} s")
        self.count("storm")
        environment.fault_budget.fault_began(set())

        def end() -> None:
            environment.fault_budget.fault_ended(set())
            if self._network.conditions is conditions:
                self._network.conditions = NetworkConditions()

        self._end_later(duration_s, end)

    # Processes

    def freeze(self, machine: Machine, duration_s: float) -> None:
        """Suspend the processes, and resume them after ``duration_s``."""
        self._cluster.freeze(machine)
        self._begin("freeze", machine, duration_s, partial(self._cluster.thaw, machine))

    def slow_down(self, machine: Machine, duration_s: float) -> None:
        """Let the processes run in short bursts only."""
        environment, cluster, random = self._environment, self._cluster, self._random
        ends_at = environment.now + duration_s
        has_ended = False

        def pause() -> None:
            if environment.now < ends_at and not has_ended:
                cluster.freeze(machine)
                environment.after(BURST_S * random.uniform(*FROZEN_SHARE), run)

        def run() -> None:
            cluster.thaw(machine)
            if environment.now < ends_at and not has_ended:
                environment.after(BURST_S * random.uniform(*RUNNING_SHARE), pause)

        def undo() -> None:
            nonlocal has_ended
            has_ended = True
            cluster.thaw(machine)

        self._begin("slow", machine, duration_s, undo)
        pause()

    def kill(self, machine: Machine, duration_s: float) -> None:
        """Kill the processes or cut the machine's power; the disk is kept."""
        power = self._random.random() < 0.5
        self._cluster.kill(machine, power=power)
        kind = "power" if power else "kill"
        self._begin(kind, machine, duration_s, partial(self._cluster.power_up, machine))

    def restart_gracefully(self, machine: Machine) -> None:
        """Shut the processes down as on SIGTERM, and restart them within GRACEFUL_RESTART_S."""
        duration_s = self._random.uniform(*GRACEFUL_RESTART_S)
        for process in machine.running.values():
            self._environment.loop.spawn(process.incarnation, process.stop())

        def start_again() -> None:
            self._cluster.kill(machine)
            self._cluster.power_up(machine)

        self._begin("stop", machine, duration_s, start_again)

    def kill_all(self) -> None:
        """Kill all processes or cut the power of all machines, and restart them within RESTART_S."""
        power = self._random.random() < 0.5
        for machine in list(self._cluster.machines):
            self._cluster.kill(machine, power=power)
            restart_s = self._random.uniform(*RESTART_S)
            self._begin("all", machine, restart_s, partial(self._cluster.power_up, machine))

    # Disks

    def degrade_disk(self, machine: Machine, duration_s: float) -> None:
        """Make the disks slow or full, or stall them so that no write completes."""
        disks = list(machine.disks.values())
        kind = self._random.choice(["slow", "full", "standing"])
        for disk in disks:
            disk.slow = kind == "slow"
            disk.full = kind == "full"
            disk.stalled_until = self._environment.now + duration_s if kind == "standing" else 0.0

        def undo() -> None:
            for disk in disks:
                disk.slow = disk.full = False
                disk.stalled_until = 0.0

        self._begin(f"disk {kind}", machine, duration_s, undo)

    def wipe(self, machine: Machine, duration_s: float) -> None:
        """Restart the machine at its address with empty disks."""
        self._cluster.lose_disks(machine)
        self._begin("wipe", machine, duration_s, partial(self._cluster.power_up, machine), disk=True)

    # Machines

    def replace(self, machine: Machine, duration_s: float) -> None:
        """Replace the machine by one with empty disks at another address."""
        cluster = self._cluster
        successor = cluster.create_machine("storage", machine.programs)
        successor.name = machine.name
        cluster.remove(machine)
        cluster.machines.append(successor)
        cluster.update_contacts()
        self._begin("replace", successor, duration_s, partial(cluster.power_up, successor), disk=True)

    def add(self) -> None:
        """Add a machine, which counts as lost until it has caught up."""
        cluster = self._cluster
        machine = cluster.create_machine("storage", cluster.machines[0].programs)
        cluster.machines.append(machine)
        cluster.power_up(machine)
        self._begin("add", machine, 0.0, lambda: None)

    def wipe_within_budget(self, holders: list[Machine]) -> None:
        """Wipe the first of ``holders``, as many as the budget allows, and cut the power of all others."""
        budget = self._environment.fault_budget
        targets = [machine for machine in holders if budget.allows({machine.name})]
        remaining = self._environment.faults - len(budget.lost())
        wiped = targets[: max(remaining, 0)]
        for machine in list(self._cluster.machines):
            restart_s = self._random.uniform(*RESTART_S)
            if machine in wiped:
                self.wipe(machine, restart_s)
            else:
                self._cluster.kill(machine, power=True)
                self._begin("power", machine, restart_s, partial(self._cluster.power_up, machine))

    def lose_proxies(self) -> None:
        """Cut the power of all proxies, and restart them within RESTART_S."""
        for proxy in self._cluster.proxies:
            self._cluster.kill(proxy, power=True)
            restart_s = self._random.uniform(*RESTART_S)
            self._environment.after(restart_s, partial(self._cluster.power_up, proxy))


def _both_ways(host: str, others: list[str]) -> Links:
    return {(host, other) for other in others} | {(other, host) for other in others}
