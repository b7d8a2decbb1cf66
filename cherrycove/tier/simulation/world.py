"""The simulated world: a clock, an event queue, a network that loses and reorders, and the replicas in it."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.effects import Effects, OutgoingMessage
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import BufferedDisk
from cherrycove.tier.simulation.invariants import Invariants
from cherrycove.tier.simulation.replica import Replica, State
from cherrycove.tier.simulation.terms import OperatorTerms

CATCH_UP_S = 4.8
ON_ITS_WAY_S = 1.0  # no message takes longer
TICK_S = 0.05
SYNC_S = (0.0005, 0.012)
SNAPSHOT_ENTRIES = 12


@attrs.define
class NetworkConditions:
    """How messages fare."""

    delay_s: float = 0.003
    slow_share: float = 0.05  # of messages that take up to slow_s
    slow_s: float = 0.4
    loss: float = 0.03
    doubled: float = 0.03


@attrs.frozen
class LostDisk:
    """A disk that is gone, and since when."""

    lost_at: float
    disk: BufferedDisk


class World:
    """Replicas of one group. Everything random comes from the seed."""

    def __init__(
        self, random: Random, faults: int, initial: int, standbys: int, catch_up_s: float = CATCH_UP_S
    ) -> None:
        self.random = random
        self.faults = faults
        self.now = 0.0
        self.network = NetworkConditions()
        self.cuts: set[tuple[str, str]] = set()  # sender's and receiver's address
        self.terms = OperatorTerms(faults, catch_up_s)
        self._machines = initial + standbys  # that there ever were
        self.replicas = [self._place(number, number < initial) for number in range(self._machines)]
        self.initial: tuple[MemberIdentity, ...] = tuple(
            replica.identity for replica in self.replicas[:initial]
        )
        self.lost_disks: list[LostDisk] = []
        self.invariants = Invariants(faults)
        self.acknowledged = 0
        self.quiet_until = 0.0  # clients rest until then
        self.retiring: frozenset[str] = frozenset()
        self.on_effects: Callable[[Replica, Effects], None] = lambda replica, effects: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0
        self._made_disks = 0
        self._proposed: dict[tuple[str, int, int], None] = {}

    def _place(self, number: int, first: bool) -> Replica:
        address = f"n{number}"
        member_id = f"first-{address}" if first else f"new-{address}"
        return Replica(address, address, f"z{number % 3}", BufferedDisk(member_id))

    # Events

    def after(self, delay: float, action: Callable[[], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self._events, (self.now + delay, self._scheduled, action))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def on_replica(self, replica: Replica, life: int, action: Callable[[ReplicaMachine], None]) -> None:
        """Let the machine of ``replica`` handle an event, if the process still lives; check it."""
        machine = replica.machine
        if replica.life != life or machine is None:
            return
        if replica.frozen:
            replica.deferred.append(lambda: self.on_replica(replica, life, action))
            return
        action(machine)
        self._run_effects(replica, machine)
        if machine.role is Role.PRIMARY:
            self.invariants.stepped_as_primary(replica, machine, self.now)

    # Processes

    def start(self, replica: Replica) -> None:
        replica.start(self.faults, Random(self.random.random()), self.now)
        life = replica.life
        self.on_replica(replica, life, lambda machine: None)
        if replica.disk.member_id in {member.member_id for member in self.initial}:
            delay = self.random.choice([0.0, 0.0, 0.0, 1.5])
            self.after(delay, lambda: self.on_replica(replica, life, self._bootstrap))
        self._tick(replica, life)

    def _bootstrap(self, machine: ReplicaMachine) -> None:
        machine.bootstrap(self.initial, self.now)

    def _tick(self, replica: Replica, life: int) -> None:
        if replica.life != life:
            return
        self.on_replica(replica, life, lambda machine: machine.tick(self.now))
        self.after(TICK_S * self.random.uniform(0.9, 1.1), lambda: self._tick(replica, life))

    def wipe(self, replica: Replica) -> None:
        """The disk of ``replica`` is lost; an empty one takes its place."""
        replica.end(self.random)
        self.terms.started(replica.name, self.now)
        self.lost_disks.append(LostDisk(self.now, replica.disk))
        replica.replace_disk(self._new_disk())

    def _new_disk(self) -> BufferedDisk:
        self._made_disks += 1
        return BufferedDisk(f"disk{self._made_disks}")

    def remove(self, replica: Replica) -> None:
        """The machine is switched off for good, with its disk."""
        replica.end(self.random)
        self.lost_disks.append(LostDisk(self.now, replica.disk))
        self.replicas.remove(replica)
        self.cuts = {pair for pair in self.cuts if replica.address not in pair}

    def add(self, address: str = "") -> Replica:
        """Start a new machine with an empty disk, at ``address`` or at one that nobody had."""
        name = f"n{self._machines}"
        self._machines += 1
        zone = f"z{self._machines % 3}"
        replica = Replica(name, address or name, zone, self._new_disk())
        self.replicas.append(replica)
        self.start(replica)
        return replica

    def thaw(self, replica: Replica) -> None:
        replica.frozen = False
        deferred = list(replica.deferred)
        replica.deferred.clear()
        for action in deferred:
            action()

    # Effects

    def _run_effects(self, replica: Replica, machine: ReplicaMachine) -> None:
        effects = machine.take_effects()
        self.on_effects(replica, effects)
        replica.disk.submit(effects.writes)
        self._sync(replica)
        if not (effects.messages or effects.committed or effects.restore):
            return
        if effects.restore is not None:
            replica.state = State.decode(effects.restore.state)
            replica.since_snapshot = 0
            self.invariants.applied(replica)
        for entry in effects.committed:
            self.invariants.committed(replica, entry, self._disks_that_count, self.now)
            replica.state = replica.state.applied(entry)
            if self._proposed.pop((replica.disk.member_id, entry.index, entry.epoch), 0) is None:
                self.acknowledged += 1
        if effects.committed:
            self.invariants.applied(replica)
            replica.since_snapshot += len(effects.committed)
        for outgoing in effects.messages:
            self._send(replica, outgoing)
        if replica.since_snapshot >= SNAPSHOT_ENTRIES and not replica.snapshot_ticket:
            self._take_snapshot(replica, machine)

    def _disks_that_count(self) -> list[BufferedDisk]:
        """All disks that there are, and those lost while what they acknowledged was on its way."""
        since = self.now - ON_ITS_WAY_S
        gone = [lost_disk.disk for lost_disk in self.lost_disks if lost_disk.lost_at >= since]
        return [replica.disk for replica in self.replicas] + gone

    def judge(self) -> None:
        """Check what must hold by the operators' terms."""
        self.invariants.judge(self.replicas, self.terms.lost(self.now), self.now)

    def _take_snapshot(self, replica: Replica, machine: ReplicaMachine) -> None:
        replica.since_snapshot = 0
        replica.snapshot_ticket = machine.save_snapshot(replica.state.encode(), self.now)
        self._run_effects(replica, machine)

    def _sync(self, replica: Replica) -> None:
        if not replica.disk.begin():
            return
        life = replica.life
        ends = max(self.now + self.random.uniform(*SYNC_S), replica.stalled_until)
        self.after(ends - self.now, lambda: self.on_replica(replica, life, self._synced(replica)))

    def _synced(self, replica: Replica) -> Callable[[ReplicaMachine], None]:
        def handle(machine: ReplicaMachine) -> None:
            ticket = replica.disk.finish()
            if replica.snapshot_ticket and ticket >= replica.snapshot_ticket:
                replica.snapshot_ticket = 0
            machine.complete_writes(ticket, self.now)

        return handle

    def _send(self, sender: Replica, outgoing: OutgoingMessage) -> None:
        network = self.network
        copies = 2 if self.random.random() < network.doubled else 1
        for _ in range(copies):
            if self.random.random() < network.loss:
                continue
            delay = self.random.uniform(0.0005, network.delay_s)
            if self.random.random() < network.slow_share:
                delay = self.random.uniform(0.0, network.slow_s)
            self.after(delay, partial(self._arrive, sender.identity, outgoing.receiver, outgoing.message))

    def _arrive(self, sender: MemberIdentity, receiver: MemberIdentity, message: Message) -> None:
        if (sender.address, receiver.address) in self.cuts:
            return
        replica = self._at(receiver.address)
        if replica is None:
            return
        if replica.identity.member_id == receiver.member_id:
            self.on_replica(replica, replica.life, partial(self._deliver, sender, message))
        elif replica.running and (receiver.address, sender.address) not in self.cuts:
            delay = self.random.uniform(0.0005, self.network.delay_s)
            self.after(delay, partial(self._tell_replaced, sender, receiver.member_id))

    def _at(self, address: str) -> Replica | None:
        return next((replica for replica in self.replicas if replica.address == address), None)

    def _deliver(self, sender: MemberIdentity, message: Message, machine: ReplicaMachine) -> None:
        anonymous = MemberIdentity(sender.member_id, "", sender.address)
        machine.receive(anonymous, message, self.now)

    def _tell_replaced(self, asker: MemberIdentity, member_id: str) -> None:
        """Whoever runs at the address of ``member_id`` answers that it has another disk."""
        replica = self._at(asker.address)
        if replica is not None and replica.identity.member_id == asker.member_id:
            self.on_replica(
                replica, replica.life, lambda machine: machine.record_disk_replaced(member_id, self.now)
            )

    # Clients and the plane above

    def propose(self, replica: Replica, command: bytes) -> None:
        def handle(machine: ReplicaMachine) -> None:
            index = machine.propose(command, self.now)
            if index is not None:
                self._proposed[(replica.disk.member_id, index, machine.epoch)] = None

        self.on_replica(replica, replica.life, handle)

    def hand_over(self, replica: Replica) -> None:
        def handle(machine: ReplicaMachine) -> None:
            machine.transfer_leadership(self.now)

        self.on_replica(replica, replica.life, handle)

    def confirmed_primary(self) -> Replica | None:
        """The replica that leads under a valid lease, if there is one."""
        for replica in self.replicas:
            machine = replica.machine
            if machine is not None and not replica.frozen and machine.is_confirmed_primary(self.now):
                return replica
        return None

    def primaries(self) -> Sequence[Replica]:
        """Running replicas that lead, confirmed or not."""
        return [
            replica
            for replica in self.replicas
            if replica.running and replica.machine is not None and replica.machine.role is Role.PRIMARY
        ]

    def may_be_switched_off(self, replica: Replica) -> bool:
        """Whether the group has let go of the machine of ``replica`` for good, by the list in force."""
        primary = self.confirmed_primary()
        machine = primary.machine if primary is not None else None
        committed = machine.committed_members(self.now) if machine is not None else None
        if committed is None or any(member.node_name == replica.name for member in committed.members):
            return False
        return replica.disk.member_id in committed.excluded

    def offer(self) -> None:
        """Tell every replica who else is alive, and which machines are to leave."""
        alive = tuple(replica.identity for replica in self.replicas if replica.running)
        for replica in self.replicas:
            replica.wishes.standbys = alive
            replica.wishes.retiring = self.retiring
