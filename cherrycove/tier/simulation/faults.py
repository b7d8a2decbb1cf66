"""The faults of a simulated world, each for a while."""

from __future__ import annotations

from random import Random

from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import NetworkConditions, World

STORM = NetworkConditions(loss=0.3, doubled=0.2, slow_share=0.4, slow_s=1.0)


class Faults:
    """Strikes replicas and links, and mends them after their time."""

    def __init__(self, world: World, random: Random, emptied_keeps_identity: bool) -> None:
        self._world = world
        self._random = random
        self._emptied_keeps_identity = emptied_keeps_identity

    # Processes

    def kill(self, replica: Replica, restart_s: float) -> None:
        """Kill the process, or take its power: what was not synced may be lost."""
        if replica.machine is None:
            return
        replica.end(self._random)
        life = replica.life
        self._world.after(restart_s, lambda: self._restart(replica, life))

    def _restart(self, replica: Replica, life: int) -> None:
        if replica.life == life and replica.machine is None:
            self._world.start(replica)

    def freeze(self, replica: Replica, duration_s: float) -> None:
        if not replica.running:
            return
        replica.frozen = True
        life = replica.life
        self._world.after(duration_s, lambda: self._thaw(replica, life))

    def _thaw(self, replica: Replica, life: int) -> None:
        if replica.life == life and replica.frozen:
            self._world.thaw(replica)

    # Links

    def cut(self, pairs: set[tuple[str, str]], duration_s: float) -> None:
        """Cut links one way, from the first address of a pair to the second."""
        self._world.cuts |= pairs
        self._world.after(duration_s, lambda: self._world.cuts.difference_update(pairs))

    def isolate(self, address: str, duration_s: float) -> None:
        others = {other.address for other in self._world.replicas}
        out = {(address, other) for other in others}
        self.cut(out | {(other, address) for other in others}, duration_s)

    def storm(self, duration_s: float) -> None:
        """Many messages are lost, doubled or late."""
        self._world.network = STORM
        self._world.after(duration_s, self._calm)

    def _calm(self) -> None:
        self._world.network = NetworkConditions()

    # Disks

    def stall(self, replica: Replica, duration_s: float) -> None:
        replica.stalled_until = self._world.now + duration_s

    def wipe(self, replica: Replica) -> None:
        """The machine comes back with an empty disk."""
        member_id = replica.disk.member_id
        self._world.wipe(replica)
        if self._emptied_keeps_identity:
            replica.disk.member_id = member_id
        life = replica.life
        self._world.after(self._random.choice([0.1, 0.6]), lambda: self._restart(replica, life))

    def may_lose(self, replica: Replica) -> bool:
        """Whether a further disk may be lost: those lost count until no list that is in force names them."""
        world = self._world
        gone = {disk.member_id for disk in world.lost_disks if not self._emptied_keeps_identity}
        gone.add(replica.disk.member_id)
        named: set[str] = set()
        for other in world.replicas:
            if other.machine is None:
                if other.disk.promise.epoch or other.disk.entries or other.disk.snapshot:
                    return False  # what the stopped ones know cannot be asked
                continue
            if 0 < other.machine.smallest_list() < 2 * world.faults + 1:
                return False
            named |= other.machine.listed()
        return bool(named) and len(named & gone) <= world.faults
