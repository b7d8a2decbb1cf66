"""Injects faults into a world. Each affects replicas or links, and ends after a given time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.simulation.network import NetworkConditions
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import World

Links = set[tuple[str, str]]  # directed: addresses of sender and receiver

DEGRADED_NETWORK = NetworkConditions(loss=0.3, duplicated=0.2, slow_share=0.4, slow_s=1.0)
ADDRESS_REUSE_S = 2.0  # an address is given to another machine only after this time


class FaultInjector:
    """Injects faults on request, and reports each fault of a machine to the world's fault budget.

    ``on_end`` is called when a fault of a machine ends.
    """

    def __init__(self, world: World, random: Random, *, wiped_disk_keeps_identity: bool) -> None:
        """Create an injector.

        ``wiped_disk_keeps_identity`` violates the rule that a machine with a wiped disk is a new member.
        """
        self._world = world
        self._random = random
        self._wiped_disk_keeps_identity = wiped_disk_keeps_identity
        self.on_end: Callable[[], None] = lambda: None

    def _begin(self, machine: str, duration_s: float, undo: Callable[[], None]) -> None:
        budget = self._world.fault_budget
        budget.fault_began(machine, self._world.now)

        def end() -> None:
            undo()
            budget.fault_ended(machine, self._world.now)
            self.on_end()

        self._world.after(duration_s, end)

    # Processes

    def kill(self, replica: Replica, restart_s: float) -> None:
        """Kill the process or cut its power; writes that were not synced may be lost."""
        if replica.machine is None:
            return
        replica.end(self._random)
        incarnation = replica.incarnation
        self._begin(replica.name, restart_s, lambda: self._restart(replica, incarnation))

    def _restart(self, replica: Replica, incarnation: int) -> None:
        is_same = replica.incarnation == incarnation and replica.machine is None
        if is_same and replica in self._world.replicas:
            self._world.start(replica)

    def freeze(self, replica: Replica, duration_s: float) -> None:
        """Suspend the process, and resume it after ``duration_s``."""
        if not replica.is_running:
            return
        replica.is_frozen = True
        incarnation = replica.incarnation
        self._begin(replica.name, duration_s, lambda: self._thaw(replica, incarnation))

    def _thaw(self, replica: Replica, incarnation: int) -> None:
        if replica.incarnation == incarnation and replica.is_frozen:
            self._world.thaw(replica)

    # Links

    def cut(self, links: Links, duration_s: float, machines: set[str]) -> None:
        """Cut ``links``; ``machines`` are the names of the machines that count as partitioned."""
        self._world.network.cuts |= links
        for machine in sorted(machines):
            self._begin(machine, duration_s, lambda: self._heal(links))

    def _heal(self, links: Links) -> None:
        self._world.network.cuts -= links

    def isolate(self, replica: Replica, duration_s: float) -> None:
        """Cut all links of ``replica`` in both directions."""
        others = {other.address for other in self._world.replicas}
        outward = {(replica.address, other) for other in others}
        inward = {(other, replica.address) for other in others}
        self.cut(outward | inward, duration_s, {replica.name})

    def cut_one_way(self, replica: Replica, duration_s: float) -> None:
        """Cut the links between ``replica`` and some of the others in one direction."""
        others = [other.address for other in self._world.replicas if other is not replica]
        chosen = self._random.sample(others, self._random.randint(min(1, len(others)), len(others)))
        links = {(replica.address, other) for other in chosen}
        if self._random.random() < 0.5:
            links = {(receiver, sender) for sender, receiver in links}
        self.cut(links, duration_s, {replica.name})

    def degrade_network(self, duration_s: float) -> None:
        """Lose, duplicate and delay many messages on all links."""
        self._world.network.conditions = DEGRADED_NETWORK
        for replica in self._world.replicas:
            self._begin(replica.name, duration_s, self._restore_network)

    def _restore_network(self) -> None:
        self._world.network.conditions = NetworkConditions()

    # Disks

    def stall(self, replica: Replica, duration_s: float) -> None:
        """Stall the disk, so that no write completes for ``duration_s``."""
        replica.stalled_until = self._world.now + duration_s
        self._begin(replica.name, duration_s, lambda: None)

    def wipe(self, replica: Replica, restart_s: float = 0.1) -> None:
        """Kill the process, and restart it with an empty disk after ``restart_s``."""
        member_id = replica.disk.member_id
        self._world.wipe(replica)
        if self._wiped_disk_keeps_identity:
            replica.disk.member_id = member_id
            replica.replace_disk(replica.disk)
        incarnation = replica.incarnation
        self._begin(replica.name, restart_s, lambda: self._restart(replica, incarnation))

    # Machines

    def replace(self, replica: Replica, pause_s: float, *, same_address: bool) -> None:
        """Remove the machine permanently, and start its successor after ``pause_s`` or later.

        With ``same_address`` the successor gets the address of the machine, not before ADDRESS_REUSE_S.
        """
        world = self._world
        world.remove(replica)
        world.fault_budget.removed(replica.name, world.now)
        address = replica.address if same_address else ""
        start_s = max(pause_s, ADDRESS_REUSE_S) if same_address else pause_s

        def start_successor() -> None:
            successor = world.add(address)
            world.fault_budget.replaced(replica.name, successor.name, world.now)
            self.on_end()

        world.after(start_s, start_successor)

    def switch_off(self, replica: Replica) -> None:
        """Remove the machine after its retire order completed, which is no loss."""
        self._world.remove(replica)
        self._world.fault_budget.retired(replica.name)

    def may_lose(self, replica: Replica) -> bool:
        """Return whether the fault budget allows this machine to be lost now with its disk."""
        return self._world.fault_budget.allows({replica.name}, self._world.now)
