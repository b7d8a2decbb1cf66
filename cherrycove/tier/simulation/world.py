"""Simulates one replicated group: its replicas, their disks, the network between them, and their clients."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import attrs

from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import BufferedDisk, SimulatedDisk
from cherrycove.tier.simulation.effects_runner import EffectsRunner
from cherrycove.tier.simulation.events import EventQueue
from cherrycove.tier.simulation.fault_budget import FaultBudget
from cherrycove.tier.simulation.invariants import Invariants
from cherrycove.tier.simulation.network import MachineAction, SimulatedNetwork
from cherrycove.tier.simulation.replica import Replica

CATCH_UP_S = 4.8
MAX_DELIVERY_S = 1.0  # maximum time that a message is in transit
TICK_S = 0.05
TICK_JITTER = (0.9, 1.1)
BOOTSTRAP_DELAYS_S = (0.0, 0.0, 0.0, 1.5)
ZONES = 3


@attrs.frozen
class LostDisk:
    """Records a disk that was lost, and when."""

    lost_at: float
    disk: SimulatedDisk


class World:
    """Runs the replicas of one group on virtual time. All random numbers come from ``random``.

    ``replicas`` are all machines that have not been removed, running or not; ``retiring`` contains the names
    of the machines with a retire order.
    """

    def __init__(
        self, random: Random, faults: int, initial: int, standbys: int, catch_up_s: float = CATCH_UP_S
    ) -> None:
        """Create a group of ``initial`` members that tolerates ``faults`` losses, and ``standbys``."""
        self.random = random
        self.faults = faults
        self._events = EventQueue()
        self.fault_budget = FaultBudget(faults, catch_up_s)
        self.invariants = Invariants(faults)
        self.network = SimulatedNetwork(random, self._events, self._find_replica, self.handle_event)
        self.effects = EffectsRunner(
            random, self._events, self.network, self.invariants, self.handle_event, self._counting_disks
        )
        self._machines_created = initial + standbys  # number so far
        self.replicas = [
            _create_replica(number, is_initial=number < initial) for number in range(self._machines_created)
        ]
        self.initial_members = tuple(replica.identity for replica in self.replicas[:initial])
        self.retiring: frozenset[str] = frozenset()
        self._lost_disks: list[LostDisk] = []
        self._new_disks = 0

    # Events

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._events.now

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay_s`` seconds."""
        self._events.after(delay_s, action)

    def run_until(self, end: float) -> None:
        """Run until the time ``end``; raises ``InvariantBrokenError`` at the first violation."""
        self._events.run_until(end)

    def handle_event(self, replica: Replica, incarnation: int, action: MachineAction) -> None:
        """Let the machine of ``replica`` handle an event, and check the invariants of a primary.

        The event is dropped if that incarnation of the process has ended, and deferred if it is frozen.
        """
        machine = replica.machine
        if replica.incarnation != incarnation or machine is None:
            return
        if replica.is_frozen:
            replica.deferred.append(lambda: self.handle_event(replica, incarnation, action))
            return
        action(machine)
        self.effects.run(replica, machine)
        if machine.role is Role.PRIMARY:
            self.invariants.check_primary(replica, machine, self.now)

    # Processes

    def start(self, replica: Replica) -> None:
        """Start the process of ``replica``."""
        replica.start(self.faults, Random(self.random.random()), self.now)
        incarnation = replica.incarnation
        self.handle_event(replica, incarnation, lambda _machine: None)
        if replica.disk.member_id in {member.member_id for member in self.initial_members}:
            delay_s = self.random.choice(BOOTSTRAP_DELAYS_S)
            self.after(delay_s, lambda: self.handle_event(replica, incarnation, self._bootstrap))
        self._tick(replica, incarnation)

    def _bootstrap(self, machine: ReplicaMachine) -> None:
        machine.bootstrap(self.initial_members, self.now)

    def _tick(self, replica: Replica, incarnation: int) -> None:
        if replica.incarnation != incarnation:
            return
        self.handle_event(replica, incarnation, lambda machine: machine.tick(self.now))
        delay_s = TICK_S * self.random.uniform(*TICK_JITTER)
        self.after(delay_s, lambda: self._tick(replica, incarnation))

    def thaw(self, replica: Replica) -> None:
        """Resume a frozen process, which first handles the deferred events."""
        replica.is_frozen = False
        deferred = list(replica.deferred)
        replica.deferred.clear()
        for action in deferred:
            action()

    # Machines and disks

    def wipe(self, replica: Replica) -> None:
        """Kill the process of ``replica``, and replace its disk by an empty one."""
        replica.end(self.random)
        self.fault_budget.started(replica.name, self.now)
        self._lost_disks.append(LostDisk(self.now, replica.disk))
        replica.replace_disk(self._new_disk())

    def _new_disk(self) -> BufferedDisk:
        self._new_disks += 1
        return BufferedDisk(f"disk{self._new_disks}")

    def remove(self, replica: Replica) -> None:
        """Remove the machine permanently, with its disk."""
        replica.end(self.random)
        self._lost_disks.append(LostDisk(self.now, replica.disk))
        self.replicas.remove(replica)
        self.network.heal_address(replica.address)

    def add(self, address: str = "") -> Replica:
        """Start a new machine with an empty disk, at ``address`` or, if that is "", at an unused one."""
        name = f"n{self._machines_created}"
        self._machines_created += 1
        replica = Replica(name, address or name, f"z{self._machines_created % ZONES}", self._new_disk())
        self.replicas.append(replica)
        self.start(replica)
        return replica

    def _find_replica(self, address: str) -> Replica | None:
        return next((replica for replica in self.replicas if replica.address == address), None)

    def _counting_disks(self) -> list[SimulatedDisk]:
        """Return all disks, and lost ones whose last acknowledgements may still have been in transit."""
        since = self.now - MAX_DELIVERY_S
        lost = [lost_disk.disk for lost_disk in self._lost_disks if lost_disk.lost_at >= since]
        return [*(replica.disk for replica in self.replicas), *lost]

    def check_fault_tolerance(self) -> None:
        """Check that the group survives as many further losses as the fault budget allows now."""
        self.invariants.check_fault_tolerance(self.replicas, self.fault_budget.lost(self.now), self.now)

    # Clients and the control plane

    def propose(self, replica: Replica, command: bytes) -> None:
        """Propose ``command`` at ``replica`` on behalf of a client."""

        def handle(machine: ReplicaMachine) -> None:
            index = machine.propose(command, self.now)
            if index is not None:
                self.effects.add_proposal(replica, index, machine.epoch)

        self.handle_event(replica, replica.incarnation, handle)

    def transfer_leadership(self, replica: Replica) -> None:
        """Ask ``replica`` to hand over leadership."""

        def handle(machine: ReplicaMachine) -> None:
            machine.transfer_leadership(self.now)

        self.handle_event(replica, replica.incarnation, handle)

    def update_membership_requests(self) -> None:
        """Report the running machines as standbys, and the retiring machines, to every replica."""
        alive = tuple(replica.identity for replica in self.replicas if replica.is_running)
        for replica in self.replicas:
            replica.membership_requests.standbys = alive
            replica.membership_requests.retiring = self.retiring

    def confirmed_primary(self) -> Replica | None:
        """Return the primary that holds a valid lease; None if there is none."""
        for replica in self.replicas:
            machine = replica.machine
            if machine is not None and not replica.is_frozen and machine.is_confirmed_primary(self.now):
                return replica
        return None

    def primaries(self) -> Sequence[Replica]:
        """Return the running replicas in the role of primary, with or without a valid lease."""
        return [
            replica
            for replica in self.replicas
            if replica.is_running and replica.machine is not None and replica.machine.role is Role.PRIMARY
        ]

    def has_retired(self, replica: Replica) -> bool:
        """Return whether the committed membership has permanently excluded the disk of ``replica``."""
        primary = self.confirmed_primary()
        machine = primary.machine if primary is not None else None
        committed = machine.committed_members(self.now) if machine is not None else None
        if committed is None or any(member.node_name == replica.name for member in committed.members):
            return False
        return replica.disk.member_id in committed.excluded


def _create_replica(number: int, *, is_initial: bool) -> Replica:
    address = f"n{number}"
    member_id = f"first-{address}" if is_initial else f"new-{address}"
    return Replica(address, address, f"z{number % ZONES}", BufferedDisk(member_id))
