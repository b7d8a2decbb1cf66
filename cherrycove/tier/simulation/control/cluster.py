"""Manages the machines of a simulated deployment and the processes on them."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from cherrycove.tier.program_names import CONTROLLER_PROGRAM, PROXY_PROGRAM, STORE_PROGRAM
from cherrycove.tier.simulation.control.environment import Environment
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.processes import PROCESS_TYPES, ControllerProcess

START_S = 0.3  # the machines of a new deployment start within this time of each other
SEEDS = 3
ZONES = 3
SEED_LAG_S = 3.0  # age of the machine list from which the seeds of a start are drawn
STALE_SEEDS_SHARE = 0.1  # of the starts, which keep the seeds of the previous start
ADDRESS_REUSE_S = 2.0  # an address is given to another machine only after this time
ADDRESS_REUSE_SHARE = 0.5


def zone_of(address_number: int) -> str:
    """Return the zone of the machine at the address with this number."""
    return f"zone-{address_number % ZONES}"


def first_of_each_zone(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the first host of each zone, in the order of ``hosts``."""
    first: dict[str, str] = {}
    for host in hosts:
        first.setdefault(zone_of(int(host.rpartition(".")[2])), host)
    return tuple(first.values())


class Cluster:
    """Owns the machines of one world. ``machines`` can be members of groups; ``proxies`` cannot."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.machines: list[Machine] = []
        self.proxies: list[Machine] = []
        self.retiring: set[str] = set()  # names of machines with a retire order that are not yet removed
        self._addresses = 0  # number of addresses assigned so far
        self._machines_created = 0
        self._freed_addresses: dict[int, float] = {}  # time when each address number became free
        self._past_hosts: list[tuple[float, list[str]]] = []  # (time, hosts of all machines at that time)
        self._fixed_seeds: tuple[str, ...] = ()  # of all future starts; empty if each start draws its own

    # Building

    def build(self) -> None:
        """Create the machines of the topology, and start all within START_S with the same seeds."""
        environment, topology = self._environment, self._environment.topology
        programs = (CONTROLLER_PROGRAM, STORE_PROGRAM) if topology.stores else (CONTROLLER_PROGRAM,)
        self.machines = [self.create_machine("storage", programs) for _ in range(topology.machines)]
        self.proxies = [self.create_machine("frontend", (PROXY_PROGRAM,)) for _ in range(topology.proxies)]
        seeds = tuple(machine.host for machine in self.machines[: max(SEEDS, 2 * topology.faults + 1)])
        if topology.one_seed_per_zone:
            seeds = first_of_each_zone([machine.host for machine in self.machines])
        for machine in (*self.machines, *self.proxies):
            machine.seeds = seeds
            machine.first_start = True
            delay_s = environment.random.uniform(0.0, START_S)
            environment.after(delay_s, partial(self.power_up, machine))

    def create_machine(self, kind: str, programs: tuple[str, ...]) -> Machine:
        """Return a new machine that has not been started, at an address that no other machine uses."""
        number = self._free_address()
        self._machines_created += 1
        return Machine(f"{kind}-{self._machines_created}", f"10.0.0.{number}", zone_of(number), programs)

    def _free_address(self) -> int:
        now, random = self._environment.now, self._environment.random
        free = [number for number, at in self._freed_addresses.items() if now - at >= ADDRESS_REUSE_S]
        if free and random.random() < ADDRESS_REUSE_SHARE:
            del self._freed_addresses[free[0]]
            return free[0]
        self._addresses += 1
        return self._addresses

    def record_hosts(self) -> None:
        """Record the present machines, as seeds of starts SEED_LAG_S later."""
        now = self._environment.now
        self._past_hosts.append((now, [machine.host for machine in self.machines]))
        while len(self._past_hosts) > 1 and self._past_hosts[1][0] <= now - SEED_LAG_S:
            self._past_hosts.pop(0)

    def start_with_seeds(self, hosts: tuple[str, ...]) -> None:
        """Use ``hosts`` as the seeds of all future starts."""
        self._fixed_seeds = hosts

    def _draw_seeds(self) -> tuple[str, ...]:
        if self._fixed_seeds:
            return self._fixed_seeds
        hosts = self._past_hosts[0][1]
        if self._environment.topology.one_seed_per_zone:
            return first_of_each_zone(hosts)
        return tuple(self._environment.random.sample(hosts, min(SEEDS, len(hosts))))

    def _keeps_seeds(self) -> bool:
        """Return whether the next start keeps the seeds of the previous one."""
        if self._fixed_seeds:
            return False
        return self._environment.random.random() < STALE_SEEDS_SHARE

    # Power and processes

    def power_up(self, machine: Machine) -> None:
        """Power ``machine`` up and start its processes; do nothing if it is running or was removed."""
        if machine.removed or machine.running:
            return
        self._environment.network.powered.add(machine.host)
        self._start(machine)

    def _start(self, machine: Machine) -> None:
        if not machine.first_start and (not machine.seeds or not self._keeps_seeds()):
            machine.seeds = self._draw_seeds()
        for program in machine.programs:
            process = PROCESS_TYPES[program](self._environment, machine)
            machine.running[program] = process
            process.begin()
        self.update_contacts()

    def kill(self, machine: Machine, *, power: bool = False) -> None:
        """Kill the processes of ``machine``; with ``power`` the machine also loses power.

        Some of the writes in progress may have reached the disks.
        """
        machine.first_start = False
        for process in machine.running.values():
            self._environment.loop.end(process.incarnation)
        machine.running.clear()
        for disk in machine.disks.values():
            disk.crash(self._environment.random)
        if power:
            self._environment.network.powered.discard(machine.host)
        self.update_contacts()

    def lose_disks(self, machine: Machine) -> None:
        """Kill the processes of ``machine``, and discard its disks."""
        self.kill(machine)
        machine.disks = {}
        machine.first_start = False

    def remove(self, machine: Machine) -> None:
        """Power ``machine`` off and remove it permanently, with its disks."""
        self.kill(machine, power=True)
        machine.removed = True
        machine.disks = {}
        self.retiring.discard(machine.name)
        self._freed_addresses[int(machine.host.rpartition(".")[2])] = self._environment.now
        if machine in self.machines:
            self.machines.remove(machine)

    def freeze(self, machine: Machine) -> None:
        """Suspend the processes of ``machine``, as SIGSTOP does."""
        for process in machine.running.values():
            process.incarnation.frozen = True
        self.update_contacts()

    def thaw(self, machine: Machine) -> None:
        """Resume the frozen processes of ``machine``."""
        for process in machine.running.values():
            if process.incarnation.frozen:
                self._environment.loop.thaw(process.incarnation)
        self.update_contacts()

    # Look-ups

    def controller(self, machine: Machine) -> ControllerProcess | None:
        """Return the running controller of ``machine``; None if there is none."""
        process = machine.running.get(CONTROLLER_PROGRAM)
        return process if isinstance(process, ControllerProcess) else None

    def primary(self) -> Machine | None:
        """Return the machine with the confirmed primary, for faults that target it; None if there is none."""
        for machine in self.machines:
            process = self.controller(machine)
            if process is not None and process.group.is_confirmed_primary():
                return machine
        return None

    def present(self, names: Iterable[str]) -> list[Machine]:
        """Return the machines of ``names`` that have not been removed, running or not."""
        wanted = set(names)
        return [machine for machine in self.machines if machine.name in wanted]

    # Contact to a quorum

    def update_contacts(self) -> None:
        """Record for each machine since when it can't reach as many others as a quorum needs.

        Must be called after each change of processes or links.
        """
        for machine in self.machines:
            reachable = sum(self._is_in_contact(machine, other) for other in self.machines)
            if reachable >= self._environment.faults:
                machine.isolated_since = None
            elif machine.isolated_since is None:
                machine.isolated_since = self._environment.now

    def _is_in_contact(self, machine: Machine, other: Machine) -> bool:
        process = other.running.get(CONTROLLER_PROGRAM)
        network = self._environment.network
        return (
            other is not machine
            and process is not None
            and not process.incarnation.frozen
            and not network.is_cut(machine.host, other.host)
            and not network.is_cut(other.host, machine.host)
        )
