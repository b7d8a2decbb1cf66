"""The faults of a simulated world, each for a while. The operators' clock hears of the machine struck."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import NetworkConditions, World

STORM = NetworkConditions(loss=0.3, doubled=0.2, slow_share=0.4, slow_s=1.0)
ADDRESS_REUSE_S = 2.0  # an address is given to another machine only after this time


class Faults:
    """Strikes replicas and links, and mends them after their time."""

    def __init__(self, world: World, random: Random, emptied_keeps_identity: bool) -> None:
        self._world = world
        self._random = random
        self._emptied_keeps_identity = emptied_keeps_identity
        self.on_end: Callable[[], None] = lambda: None  # called at the end of each trouble of one machine

    def _trouble(self, machine: str, duration_s: float, mend: Callable[[], None]) -> None:
        terms = self._world.terms
        terms.begin(machine, self._world.now)

        def end() -> None:
            mend()
            terms.end(machine, self._world.now)
            self.on_end()

        self._world.after(duration_s, end)

    # Processes

    def kill(self, replica: Replica, restart_s: float) -> None:
        """Kill the process, or take its power: what was not synced may be lost."""
        if replica.machine is None:
            return
        replica.end(self._random)
        life = replica.life
        self._trouble(replica.name, restart_s, lambda: self._restart(replica, life))

    def _restart(self, replica: Replica, life: int) -> None:
        if replica.life == life and replica.machine is None and replica in self._world.replicas:
            self._world.start(replica)

    def freeze(self, replica: Replica, duration_s: float) -> None:
        if not replica.running:
            return
        replica.frozen = True
        life = replica.life
        self._trouble(replica.name, duration_s, lambda: self._thaw(replica, life))

    def _thaw(self, replica: Replica, life: int) -> None:
        if replica.life == life and replica.frozen:
            self._world.thaw(replica)

    # Links

    def cut(self, pairs: set[tuple[str, str]], duration_s: float, machines: set[str]) -> None:
        """Cut links from the first address of a pair to the second; ``machines`` count as cut off."""
        self._world.cuts |= pairs
        for machine in sorted(machines):
            self._trouble(machine, duration_s, lambda: self._join(pairs))

    def _join(self, pairs: set[tuple[str, str]]) -> None:
        self._world.cuts -= pairs

    def isolate(self, replica: Replica, duration_s: float) -> None:
        others = {other.address for other in self._world.replicas}
        out = {(replica.address, other) for other in others}
        self.cut(out | {(other, replica.address) for other in others}, duration_s, {replica.name})

    def cut_one_way(self, replica: Replica, duration_s: float) -> None:
        """``replica`` hears some of the others no more, or is heard no more by them."""
        others = [other.address for other in self._world.replicas if other is not replica]
        chosen = self._random.sample(others, self._random.randint(min(1, len(others)), len(others)))
        pairs = {(replica.address, other) for other in chosen}
        if self._random.random() < 0.5:
            pairs = {(other, one) for one, other in pairs}
        self.cut(pairs, duration_s, {replica.name})

    def storm(self, duration_s: float) -> None:
        """Many messages are lost, doubled or late, on all links."""
        self._world.network = STORM
        for replica in self._world.replicas:
            self._trouble(replica.name, duration_s, self._calm)

    def _calm(self) -> None:
        self._world.network = NetworkConditions()

    # Disks

    def stall(self, replica: Replica, duration_s: float) -> None:
        replica.stalled_until = self._world.now + duration_s
        self._trouble(replica.name, duration_s, lambda: None)

    def wipe(self, replica: Replica, restart_s: float = 0.1) -> None:
        """The machine comes back with an empty disk."""
        member_id = replica.disk.member_id
        self._world.wipe(replica)
        if self._emptied_keeps_identity:
            replica.disk.member_id = member_id
            replica.replace_disk(replica.disk)
        life = replica.life
        self._trouble(replica.name, restart_s, lambda: self._restart(replica, life))

    # Machines

    def replace(self, replica: Replica, pause_s: float, same_address: bool) -> None:
        """The machine goes for good; another one starts after ``pause_s``, perhaps at its address."""
        world = self._world
        world.remove(replica)
        world.terms.removed(replica.name, world.now)
        address = replica.address if same_address else ""
        pause = max(pause_s, ADDRESS_REUSE_S) if same_address else pause_s

        def succeed() -> None:
            successor = world.add(address)
            world.terms.succeeded(replica.name, successor.name, world.now)
            self.on_end()

        world.after(pause, succeed)

    def switch_off(self, replica: Replica) -> None:
        """The machine is switched off after its order to retire was completed."""
        self._world.remove(replica)
        self._world.terms.retired(replica.name)

    def may_lose(self, replica: Replica) -> bool:
        """Whether the operators' terms allow the loss of this machine now, with its disk."""
        return self._world.terms.allow({replica.name}, self._world.now)
