"""Faults that wait for the worst moment: right after a vote, a commit, or a change of members."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.effects import Effects, WriteEntries
from cherrycove.tier.simulation.faults import Faults
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import World
from cherrycove.tier.storage.entries import EntryKind

NEVER = float("inf")
VOTING_S = 0.01  # votes for one candidate come within about this time

Trap = Callable[[Replica, Effects], bool]  # whether it sprang


class Ambush:
    """At most one trap is set; it springs at most once."""

    def __init__(self, world: World, random: Random, faults: Faults) -> None:
        self._world = world
        self._random = random
        self._faults = faults
        self._trap: Trap | None = None
        self._voting_until = NEVER
        world.on_effects = self._observe

    def lay(self) -> None:
        """Wait for one of the moments."""
        self._voting_until = NEVER
        self._trap = self._random.choice(
            [self._after_votes, self._within_lease, self._after_commit, self._after_change]
        )
        if self._trap == self._within_lease:
            self._deafen_backup()

    def _deafen_backup(self) -> None:
        """Some replica and the primary do not hear each other any more, so that it stands for election.

        Clients rest meanwhile, or its log would be too old for it to be elected."""
        self._world.quiet_until = self._world.now + 3.0
        deaf = self._random.choice(self._world.replicas)
        pairs = {(primary.address, deaf.address) for primary in self._world.primaries()}
        self._faults.cut(pairs | {(other, one) for one, other in pairs}, 3.0, {deaf.name})

    def drop(self) -> None:
        self._trap = None

    def _observe(self, replica: Replica, effects: Effects) -> None:
        if self._trap is not None and self._trap(replica, effects):
            self._trap = None

    def _voted_for(self, effects: Effects) -> str:
        """Address of the candidate that a vote goes to; "" if none does."""
        for outgoing in effects.messages:
            reply = outgoing.message.vote_reply
            if reply.granted and not reply.preliminary:
                return outgoing.receiver.address
        return ""

    def _after_votes(self, replica: Replica, effects: Effects) -> bool:
        """All who vote now die, and their candidate is cut off."""
        candidate = self._voted_for(effects)
        if not candidate:
            return False
        self._world.after(0.0, lambda: self._faults.kill(replica, restart_s=0.05))
        if self._voting_until == NEVER:
            self._voting_until = self._world.now + VOTING_S
            self._world.after(VOTING_S, lambda: self._isolate(candidate))
        return self._world.now >= self._voting_until

    def _isolate(self, address: str) -> None:
        for replica in self._world.replicas:
            if replica.address == address:
                self._faults.isolate(replica, duration_s=3.0)

    def _within_lease(self, _: Replica, effects: Effects) -> bool:
        """Whoever leads hears nothing more."""
        primaries = self._world.primaries()
        if not self._voted_for(effects) or not primaries:
            return False
        for primary in primaries:
            others = {other.address for other in self._world.replicas if other is not primary}
            self._faults.cut({(other, primary.address) for other in others}, 0.8, {primary.name})
        return True

    def _after_commit(self, replica: Replica, effects: Effects) -> bool:
        """As many disks as may be lost are lost, at times the primary's; the others lose power."""
        machine = replica.machine
        if not effects.committed or machine is None or machine.role is not Role.PRIMARY:
            return False
        self._world.after(0.0, lambda: self._lose_disks(replica))
        return True

    def _lose_disks(self, primary: Replica) -> None:
        victims = list(self._world.replicas)
        self._random.shuffle(victims)
        if self._random.random() < 0.5:
            victims.remove(primary)
            victims.insert(0, primary)
        while victims and self._faults.may_lose(victims[0]):
            self._faults.wipe(victims.pop(0))
        if self._random.random() < 0.7:
            for replica in victims:
                self._faults.kill(replica, restart_s=self._random.uniform(0.1, 1.0))

    def _after_change(self, replica: Replica, effects: Effects) -> bool:
        """The primary and whom it has just taken in are cut off from the rest."""
        for write in effects.writes:
            if not isinstance(write, WriteEntries) or write.entries[0].kind is not EntryKind.MEMBERS:
                continue
            machine = replica.machine
            if write.entries[0].epoch == 0 or machine is None or machine.role is not Role.PRIMARY:
                continue
            side = {replica.address, *self._newcomers(replica)}
            rest = {other.address for other in self._world.replicas} - side
            pairs = {(one, other) for one in side for other in rest}
            names = {other.name for other in self._world.replicas if other.address in side}
            self._faults.cut(pairs | {(other, one) for one, other in pairs}, 3.0, names)
            return True
        return False

    def _newcomers(self, replica: Replica) -> set[str]:
        """Addresses in the list of ``replica`` whose own list does not name them yet."""
        machine = replica.machine
        members = machine.members if machine is not None else ()
        by_address = {other.address: other for other in self._world.replicas}
        return {
            member.address
            for member in members
            if member.address not in by_address
            or (other := by_address[member.address].machine) is None
            or member.member_id not in {known.member_id for known in other.members}
        }
