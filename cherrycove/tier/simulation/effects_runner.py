"""Performs the effects of a replica machine: writes, messages, commands to apply and snapshots."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.replication.effects import Effects
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.simulation.events import EventQueue
from cherrycove.tier.simulation.invariants import Invariants
from cherrycove.tier.simulation.network import MachineAction, SimulatedNetwork
from cherrycove.tier.simulation.replica import Replica, State
from cherrycove.tier.storage.entries import Entry

SYNC_S = (0.0005, 0.012)
SNAPSHOT_ENTRIES = 12  # a snapshot is taken after this many committed entries


class EffectsRunner:
    """Performs effects for a simulated replica, as ``replication.group`` does in a process.

    ``acknowledged`` counts the proposals that were applied by the replica that made them.
    """

    def __init__(
        self,
        random: Random,
        events: EventQueue,
        network: SimulatedNetwork,
        invariants: Invariants,
        handle: Callable[[Replica, int, MachineAction], None],
        disks: Callable[[], list[SimulatedDisk]],
    ) -> None:
        """Create the runner; ``disks`` returns the disks whose copies count for a commit now."""
        self._random = random
        self._events = events
        self._network = network
        self._invariants = invariants
        self._handle = handle
        self._disks = disks
        self._proposals: set[tuple[str, int, int]] = set()  # pending ones by member id, index and epoch
        self.acknowledged = 0
        self.on_effects: Callable[[Replica, Effects], None] = lambda _replica, _effects: None

    def add_proposal(self, replica: Replica, index: int, epoch: int) -> None:
        """Record a proposal, which counts as acknowledged once ``replica`` applies it."""
        self._proposals.add((replica.disk.member_id, index, epoch))

    def run(self, replica: Replica, machine: ReplicaMachine) -> None:
        """Perform the effects of the event that ``machine`` has just handled."""
        effects = machine.take_effects()
        self.on_effects(replica, effects)
        replica.disk.submit(effects.writes)
        self._sync(replica)
        if not (effects.messages or effects.committed or effects.restore):
            return
        self._apply(replica, effects)
        for outgoing in effects.messages:
            self._network.send(replica.identity, outgoing)
        if replica.entries_since_snapshot >= SNAPSHOT_ENTRIES and not replica.snapshot_ticket:
            self._take_snapshot(replica, machine)

    def _apply(self, replica: Replica, effects: Effects) -> None:
        if effects.restore is not None:
            replica.state = State.decode(bytes(effects.restore.state))
            replica.entries_since_snapshot = 0
            self._invariants.check_applied(replica)
        for entry in effects.committed:
            self._invariants.check_committed(replica, entry, self._disks, self._events.now)
            replica.state = replica.state.applied(entry)
            self._acknowledge(replica, entry)
        if effects.committed:
            self._invariants.check_applied(replica)
            replica.entries_since_snapshot += len(effects.committed)

    def _acknowledge(self, replica: Replica, entry: Entry) -> None:
        proposal = (replica.disk.member_id, entry.index, entry.epoch)
        if proposal in self._proposals:
            self._proposals.remove(proposal)
            self.acknowledged += 1

    def _take_snapshot(self, replica: Replica, machine: ReplicaMachine) -> None:
        replica.entries_since_snapshot = 0
        replica.snapshot_ticket = machine.save_snapshot(replica.state.encode(), self._events.now)
        self.run(replica, machine)

    def _sync(self, replica: Replica) -> None:
        if not replica.disk.begin():
            return
        incarnation, now = replica.incarnation, self._events.now
        end = max(now + self._random.uniform(*SYNC_S), replica.stalled_until)

        def complete(machine: ReplicaMachine) -> None:
            ticket = replica.disk.finish()
            if replica.snapshot_ticket and ticket >= replica.snapshot_ticket:
                replica.snapshot_ticket = 0
            machine.complete_writes(ticket, self._events.now)

        self._events.after(end - now, lambda: self._handle(replica, incarnation, complete))
