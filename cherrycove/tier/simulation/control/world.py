"""The simulated world: machines, links, processes, and the checks of what they do."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

import attrs

from cherrycove.tier.simulation.control.history import LEASE_BOUND_S, Change, History, holds
from cherrycove.tier.simulation.control.job_history import JobHistory, JobRecord, holds_job
from cherrycove.tier.simulation.control.loop import VirtualLoop
from cherrycove.tier.simulation.control.machines import (
    CATCH_UP_S,
    CONFIG_APPLY_S,
    CONTACT_S,
    CONTROL_PORT,
    Machine,
    Surroundings,
)
from cherrycove.tier.simulation.control.network import Network
from cherrycove.tier.simulation.control.processes import (
    KEEPER,
    PROGRAMS,
    PROXY,
    STORE,
    KeeperProcess,
    Process,
    ProxyProcess,
)
from cherrycove.tier.simulation.control.terms import Terms

OPERATOR_HOST = "operator"
CHECK_PAUSE_S = 0.25
START_S = 0.3  # machines start within this time of each other
SEEDS = 3
SEED_LAG_S = 3.0
OLD_SEEDS = 0.1  # share of starts with the seeds of the start before
ADDRESS_REUSE_S = 2.0
SPREAD_S = 1.0  # in calm, a change has reached every member so long after its acknowledgement


@attrs.frozen
class Shape:
    """Sizes of a world."""

    faults: int = 1
    machines: int = 3
    proxies: int = 2
    stores: bool = False


class World:
    """One deployment on virtual time."""

    def __init__(self, seed: int, shape: Shape) -> None:
        self.random = Random(seed)
        self.shape = shape
        self.faults = shape.faults
        self.loop = VirtualLoop(Random(self.random.random()))  # type: ignore[abstract]
        self.network = Network(self.loop, Random(self.random.random()))
        self.surroundings = Surroundings(self.loop, self.network, Random(self.random.random()), self.faults)
        self.history = History(self.loop.time)
        self.jobs = JobHistory(self.history)
        self.terms = Terms(self.faults, self.loop.time)
        self.machines: list[Machine] = []  # those that count
        self.proxies: list[Machine] = []
        self.on_acknowledged: Callable[[Process, Change], None] = lambda process, change: None
        self.on_retired: Callable[[str], None] = lambda name: None
        self.retiring: set[str] = set()  # ordered to be emptied, and still there
        self.failure: BaseException | None = None
        self._hosts = 0
        self._made = 0
        self._left: dict[int, float] = {}  # addresses of machines that were taken away, and since when
        self._listed: list[tuple[float, list[str]]] = []

    @property
    def now(self) -> float:
        return self.loop.time()

    # Building

    def build(self) -> None:
        """Make the machines; all start within START_S with the same seeds."""
        programs = (KEEPER, STORE) if self.shape.stores else (KEEPER,)
        self.machines = [self.place("storage", programs) for _ in range(self.shape.machines)]
        self.proxies = [self.place("frontend", (PROXY,)) for _ in range(self.shape.proxies)]
        seeds = tuple(machine.host for machine in self.machines[: max(SEEDS, 2 * self.faults + 1)])
        for machine in (*self.machines, *self.proxies):
            machine.seeds = seeds
            machine.first_start = True
            self.after(self.random.uniform(0.0, START_S), partial(self.power_up, machine))
        self._check()

    def place(self, kind: str, programs: tuple[str, ...]) -> Machine:
        """A new machine, not started yet, that knows some of those that serve now as its seeds."""
        number = self._free_number()
        self._made += 1
        return Machine(f"{kind}-{self._made}", f"10.0.0.{number}", f"zone-{number % 3}", programs)

    def _free_number(self) -> int:
        """Of a new address, or of one that a machine left a while ago."""
        left = [number for number, at in self._left.items() if self.now - at >= ADDRESS_REUSE_S]
        if left and self.random.random() < 0.5:
            del self._left[left[0]]
            return left[0]
        self._hosts += 1
        return self._hosts

    def _seeds(self) -> tuple[str, ...]:
        """Some of the machines that served a while ago, as the operator's list has them."""
        listed = self._listed[0][1]
        return tuple(self.random.sample(listed, min(SEEDS, len(listed))))

    def _note_list(self) -> None:
        """The operator's list trails by SEED_LAG_S."""
        self._listed.append((self.now, [machine.host for machine in self.machines]))
        while len(self._listed) > 1 and self._listed[1][0] <= self.now - SEED_LAG_S:
            self._listed.pop(0)

    # Time

    def after(self, delay: float, action: Callable[[], Any]) -> None:
        """Do ``action`` as the world, later."""
        self.loop.call_in(None, delay, self._guarded, action)

    def _guarded(self, action: Callable[[], Any]) -> None:
        try:
            action()
        except BaseException as error:
            self.failure = self.failure or error

    def run_until(self, end: float) -> None:
        """Run up to ``end``; what broke on the way is raised."""
        step = 0.5
        while self.now < end:
            self.loop.run_until(min(self.now + step, end))
            if self.history.broken is not None:
                raise self.history.broken
            if self.failure is not None:
                raise self.failure

    # Machines

    def power_up(self, machine: Machine) -> None:
        if machine.gone or machine.running:
            return
        self.network.powered.add(machine.host)
        self.start(machine)

    def start(self, machine: Machine) -> None:
        """Start the processes of a machine that has power."""
        if machine.gone or machine.running:
            return
        if not machine.first_start and (not machine.seeds or self.random.random() >= OLD_SEEDS):
            machine.seeds = self._seeds()
        for program in machine.programs:
            process = PROGRAMS[program](self, machine)
            machine.running[program] = process
            process.begin()
        self.update_contacts()

    def kill(self, machine: Machine, power: bool = False) -> None:
        """End the processes of a machine at once."""
        machine.first_start = False
        for process in machine.running.values():
            self.loop.end(process.life)
        machine.running.clear()
        for disk in machine.disks.values():
            disk.process_ended(self.random)
        if power:
            self.network.powered.discard(machine.host)
        self.update_contacts()

    def lose_disks(self, machine: Machine) -> None:
        """The machine's processes are gone, and what they stored."""
        self.kill(machine)
        machine.disks = {}
        machine.first_start = False

    def remove(self, machine: Machine) -> None:
        """The machine is taken away for good."""
        self.kill(machine, power=True)
        machine.gone = True
        machine.disks = {}
        self.retiring.discard(machine.name)
        self._left[int(machine.host.rpartition(".")[2])] = self.now
        if machine in self.machines:
            self.machines.remove(machine)

    def freeze(self, machine: Machine) -> None:
        for process in machine.running.values():
            process.life.frozen = True
        self.update_contacts()

    def thaw(self, machine: Machine) -> None:
        for process in machine.running.values():
            if process.life.frozen:
                self.loop.thaw(process.life)
        self.update_contacts()

    def keeper(self, machine: Machine) -> KeeperProcess | None:
        process = machine.running.get(KEEPER)
        return process if isinstance(process, KeeperProcess) else None

    def primary(self) -> Machine | None:
        """The machine whose keeper leads; only faults that seek it out ask for it."""
        for machine in self.machines:
            process = self.keeper(machine)
            if process is not None and process.group.is_confirmed_primary():
                return machine
        return None

    # Contacts

    def update_contacts(self) -> None:
        """Note since when each machine that counts is without contact to as many others as a quorum needs."""
        for machine in self.machines:
            reachable = sum(self._in_contact(machine, other) for other in self.machines)
            if reachable >= self.faults:
                machine.isolated_since = None
            elif machine.isolated_since is None:
                machine.isolated_since = self.now

    def _in_contact(self, machine: Machine, other: Machine) -> bool:
        process = other.running.get(KEEPER)
        return (
            other is not machine
            and process is not None
            and not process.life.frozen
            and not self.network.is_cut(machine.host, other.host)
            and not self.network.is_cut(other.host, machine.host)
        )

    def spoke_for_the_tier(self, process: Process, what: str) -> None:
        """``process`` confirmed, refused for good or handed out: only one with a majority may."""
        since = process.machine.isolated_since
        alone = 0.0 if since is None else self.now - since
        self.history.require(alone <= LEASE_BOUND_S, f"{process.life.name} {what}, {alone:.2f} s cut off")

    # Configurations

    def accepted(self, process: Process, index: int, change: Change) -> None:
        self.history.accepted(process.life.name, index, change)

    def holders(self, change: Change) -> list[str]:
        """Machines on whose disk ``change`` is synced."""
        return [
            machine.name
            for machine in self.machines
            if KEEPER in machine.disks and holds(machine.disks[KEEPER], change)
        ]

    def holders_of_job(self, job_id: str) -> list[str]:
        """Machines on whose disk the job is synced."""
        return [
            machine.name
            for machine in self.machines
            if STORE in machine.disks and holds_job(machine.disks[STORE], job_id)
        ]

    def copies_wanted(self) -> int:
        """f + 1, but for disks that the terms allowed to be lost and that had no time to be made up for."""
        return max(1, self.faults + 1 - self.terms.lost_disks())

    def acknowledged(self, process: Process, change: Change) -> None:
        """A 200 for ``change`` leaves ``process``."""
        self.spoke_for_the_tier(process, "confirmed")
        self.history.acknowledge(process.life.name, change, self.holders(change), self.copies_wanted())
        self.on_acknowledged(process, change)

    def serve_operators(self, process: KeeperProcess) -> None:
        self.network.open(process.endpoint, f"{process.machine.host}:{CONTROL_PORT}")
        process.endpoint.process = process

    # Checks in calm

    def _check(self) -> None:
        self.terms.settle()
        self._note_list()
        calm = self.terms.calm_for()
        if calm >= CONTACT_S + CONFIG_APPLY_S:
            self._check_views()
            self._check_copies()
        self.after(CHECK_PAUSE_S, self._check)

    def _check_views(self) -> None:
        due = self.history.acknowledged_before(self.now - CONFIG_APPLY_S)
        for machine in self.proxies:
            process = machine.running.get(PROXY)
            if isinstance(process, ProxyProcess):
                detail = f"{process.life.name} in touch has version {process.version}, not {due}"
                self.history.require(process.version >= due, detail)

    def _check_copies(self) -> None:
        """Every acknowledged change has reached as many machines as the group ought to have members."""
        due = self.history.acknowledged_change(self.now - SPREAD_S)
        if due is None:
            return
        places = self.holders(due)
        members = min(2 * self.faults + 1, len(self.machines))
        if len(places) < members:
            self.history.fail(f"{due} only on {places} in calm")
        self._check_copies_of_jobs(members)

    def _check_copies_of_jobs(self, members: int) -> None:
        for job in self.jobs.acknowledged():
            if job.acknowledged_at is None or self.now - job.acknowledged_at < SPREAD_S:
                continue
            places = self.holders_of_job(job.request.job_id)
            if len(places) < members:
                self.history.fail(f"{job.request.job_id} only on {places} in calm")

    # RetirementService

    def retired(self, process: Process, name: str) -> None:
        """``completed`` leaves ``process``: the machine and its disk are taken away at once, as no loss."""
        if name in self.history.retired:
            return
        self.history.retired.add(name)
        self.history.note(f"{process.life.name} completed {name}")
        newest = self.history.newest
        if newest is not None:
            left = [place for place in self.holders(newest) if place != name]
            detail = f"{name} may go, and {newest} is left on {left} only"
            self.history.require(len(left) >= self.copies_wanted(), detail)
        for job in self.jobs.acknowledged():
            self._judge_job_left(job, name)
        for machine in self.present([name]):
            self.after(0.0, partial(self.remove, machine))
        self.on_retired(name)

    def _judge_job_left(self, job: JobRecord, name: str) -> None:
        """Enough copies of ``job`` are left without the machine ``name``."""
        places = [place for place in self.holders_of_job(job.request.job_id) if place != name]
        if len(places) < self.copies_wanted():
            self.history.fail(f"{name} may go, and {job.request.job_id} is left on {places} only")

    def judge_retire_refusal(self, process: Process, name: str, status: int) -> None:
        """A machine that is there is known; 409 only where too few would remain."""
        if not self.present([name]) or self.terms.calm_for() < CATCH_UP_S:
            return
        self.history.require(status != 404, f"{process.life.name} does not know {name}")
        staying = len(self.machines) - len(self.retiring | {name})
        detail = f"{process.life.name} answered {status} to the order to empty {name}, {staying} would stay"
        self.history.require(staying < 2 * self.faults + 1, detail)

    def present(self, names: Iterable[str]) -> list[Machine]:
        wanted = set(names)
        return [machine for machine in self.machines if machine.name in wanted]
