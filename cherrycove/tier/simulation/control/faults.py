"""The troubles of a world: each strikes machines or links, and is over after a while."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.network import NetworkConditions
from cherrycove.tier.simulation.control.world import OPERATOR_HOST, World

RESTART_S = (0.2, 0.9)
BURST_S = 0.1  # a slowed machine runs for a small part of each such time
CUTS_S = (1.0, 25.0)


class Faults:
    """Strikes, and reports to the terms what is lost by it."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self.struck: dict[str, int] = {}
        self._undo: list[Callable[[], None]] = []

    def _lasting(
        self, kind: str, machine: Machine, duration: float, undo: Callable[[], None], disk: bool
    ) -> None:
        world = self._world
        self.struck[kind] = self.struck.get(kind, 0) + 1
        world.history.note(f"{kind} {machine.name} for {duration:.2f} s")
        world.terms.begin({machine.name}, disk)
        world.update_contacts()
        self._later(duration, machine, kind, undo)

    def _later(self, duration: float, machine: Machine, kind: str, undo: Callable[[], None]) -> None:
        done = False

        def over() -> None:
            nonlocal done
            if done:
                return
            done = True
            undo()
            self._world.terms.end({machine.name})
            self._world.update_contacts()
            self._world.history.note(f"{kind} {machine.name} is over")

        self._undo.append(over)
        self._world.after(duration, over)

    def mend(self) -> None:
        """All that still lasts is over at once."""
        for undo in self._undo:
            undo()
        self._undo.clear()
        self._world.network.conditions = NetworkConditions()

    # Links

    def cut(self, machine: Machine, duration: float) -> None:
        """Cut a machine off: from all others or some, both ways or one way, also from operators."""
        world, random = self._world, self._random
        others = [other.host for other in (*world.machines, *world.proxies) if other is not machine]
        if random.random() < 0.3:
            others = random.sample(others, random.randint(1, len(others)))
        inward = {(other, machine.host) for other in others}
        outward = {(machine.host, other) for other in others}
        links = random.choice([inward | outward, inward | outward, inward, outward])
        if random.random() < 0.2:
            links |= {(OPERATOR_HOST, machine.host), (machine.host, OPERATOR_HOST)}
        world.network.cut(links)
        self._lasting("cut", machine, duration, lambda: world.network.join(links), disk=False)

    def cut_in_steps(self, machine: Machine, duration: float) -> None:
        """Cut a machine off from one other, which so stands for election, and soon after from the rest.

        Proxies and operators still reach it."""
        world, random = self._world, self._random
        others = [other.host for other in world.machines if other is not machine]
        random.shuffle(others)
        first, rest = _both_ways(machine.host, others[:1]), _both_ways(machine.host, others[1:])
        held = set(first)
        over: list[bool] = []

        def second() -> None:
            if not over:
                held.update(rest)
                world.network.cut(rest)
                world.update_contacts()

        def undo() -> None:
            over.append(True)
            world.network.join(held)

        world.network.cut(first)
        world.after(random.uniform(0.8, 1.6), second)
        self._lasting("cut in steps", machine, duration, undo, disk=False)

    def storm(self, duration: float) -> None:
        """Packets are lost and connections reset everywhere; no machine counts as lost by it."""
        world = self._world
        conditions = NetworkConditions(loss=0.1, resets=0.1, strays=0.1)
        world.network.conditions = conditions
        world.history.note(f"storm for {duration:.2f} s")
        self.struck["storm"] = self.struck.get("storm", 0) + 1
        world.terms.begin(set())
        done = False

        def calm() -> None:
            nonlocal done
            if not done:
                done = True
                world.terms.end(set())
                if world.network.conditions is conditions:
                    world.network.conditions = NetworkConditions()

        self._undo.append(calm)
        world.after(duration, calm)

    # Processes

    def freeze(self, machine: Machine, duration: float) -> None:
        world = self._world
        world.freeze(machine)
        self._lasting("freeze", machine, duration, lambda: world.thaw(machine), disk=False)

    def slow(self, machine: Machine, duration: float) -> None:
        world = self._world
        ends = world.now + duration

        def burst() -> None:
            if world.now < ends and not over:
                world.freeze(machine)
                world.after(BURST_S * self._random.uniform(0.5, 0.9), pause)

        def pause() -> None:
            world.thaw(machine)
            if world.now < ends and not over:
                world.after(BURST_S * self._random.uniform(0.1, 0.5), burst)

        over: list[bool] = []

        def undo() -> None:
            over.append(True)
            world.thaw(machine)

        self._lasting("slow", machine, duration, undo, disk=False)
        burst()

    def kill(self, machine: Machine, duration: float) -> None:
        """The process is killed, or the machine loses power; the disk stays."""
        world = self._world
        power = self._random.random() < 0.5
        world.kill(machine, power)
        self._lasting("power" if power else "kill", machine, duration, lambda: world.power_up(machine), False)

    def stop(self, machine: Machine) -> None:
        """SIGTERM, and a new start a little later."""
        world = self._world
        duration = self._random.uniform(1.5, 3.0)
        for process in machine.running.values():
            world.loop.spawn(process.life, process.stop())

        def again() -> None:
            world.kill(machine)
            world.power_up(machine)

        self._lasting("stop", machine, duration, again, disk=False)

    def kill_all(self) -> None:
        """All processes are killed, or all machines lose power, and are back within a second."""
        power = self._random.random() < 0.5
        for machine in list(self._world.machines):
            self._world.kill(machine, power)
            back = self._random.uniform(*RESTART_S)
            self._lasting("all", machine, back, lambda one=machine: self._world.power_up(one), disk=False)  # type: ignore[misc]

    # Disks

    def trouble_disk(self, machine: Machine, duration: float) -> None:
        """The disk is slow, full, or stands still."""
        world = self._world
        disks = list(machine.disks.values())
        kind = self._random.choice(["slow", "full", "standing"])
        for disk in disks:
            disk.slow = kind == "slow"
            disk.full = kind == "full"
            disk.standing_until = world.now + duration if kind == "standing" else 0.0

        def undo() -> None:
            for disk in disks:
                disk.slow = disk.full = False
                disk.standing_until = 0.0

        self._lasting(f"disk {kind}", machine, duration, undo, disk=False)

    def wipe(self, machine: Machine, duration: float) -> None:
        """The machine comes back at its address with an empty disk."""
        world = self._world
        world.lose_disks(machine)
        self._lasting("wipe", machine, duration, lambda: world.power_up(machine), disk=True)

    def replace(self, machine: Machine, duration: float) -> None:
        """Another machine, at another address and empty, takes the place of this one."""
        world = self._world
        successor = world.place("storage", machine.programs)
        successor.name = machine.name
        world.remove(machine)
        world.machines.append(successor)
        world.update_contacts()
        self._lasting("replace", successor, duration, lambda: world.power_up(successor), disk=True)

    def add(self) -> Machine:
        """A further machine; it counts from its start, and is lost until it had time to catch up."""
        world = self._world
        machine = world.place("storage", world.machines[0].programs)
        world.machines.append(machine)
        world.power_up(machine)
        self._lasting("add", machine, 0.0, lambda: None, disk=False)
        return machine

    def lose_worst(self, holders: list[Machine]) -> None:
        """The final fault: as many disks of ``holders`` as the terms allow; all others lose power."""
        world = self._world
        victims = [machine for machine in holders if world.terms.may_lose({machine.name})]
        room = world.faults - len(world.terms.lost())
        lost = victims[: max(room, 0)]
        for machine in list(world.machines):
            back = self._random.uniform(*RESTART_S)
            if machine in lost:
                self.wipe(machine, back)
            else:
                world.kill(machine, power=True)
                self._lasting("power", machine, back, lambda one=machine: world.power_up(one), disk=False)  # type: ignore[misc]


def _both_ways(host: str, others: list[str]) -> set[tuple[str, str]]:
    return {(host, other) for other in others} | {(other, host) for other in others}
