"""Injects faults at events of the protocol: right after a vote, a commit or a membership change."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.effects import Effects, WriteEntries
from cherrycove.tier.simulation.fault_injector import FaultInjector
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import World
from cherrycove.tier.storage.entries import EntryKind

NEVER = float("inf")
VOTING_S = 0.01  # the votes for one candidate are cast within about this time
LINK_CUT_S = 3.0
PRIMARY_CUT_S = 0.8
VOTER_RESTART_S = 0.05
LOST_PRIMARY_SHARE = 0.5  # of the disk losses, in which the primary's disk is lost first
POWER_LOSS_SHARE = 0.7  # of the disk losses, at which all other machines lose power
POWER_LOSS_S = (0.1, 1.0)

Trigger = Callable[[Replica, Effects], bool]  # injects a fault at its event; returns True once it is done


class TargetedFaults:
    """Injects a fault when an armed trigger sees its event.

    At most one trigger is armed at a time, and it fires at most once. Clients must not propose before
    ``clients_idle_until``.
    """

    def __init__(self, world: World, random: Random, injector: FaultInjector) -> None:
        self._world = world
        self._random = random
        self._injector = injector
        self._trigger: Trigger | None = None
        self._voting_until = NEVER
        self.clients_idle_until = 0.0
        world.effects.on_effects = self._observe

    def arm(self) -> None:
        """Arm a trigger for a randomly chosen event."""
        self._voting_until = NEVER
        self._trigger = self._random.choice(
            [self._after_votes, self._within_lease, self._after_commit, self._after_change]
        )
        if self._trigger == self._within_lease:
            self._cut_backup_from_primary()

    def disarm(self) -> None:
        """Disarm the trigger."""
        self._trigger = None

    def _cut_backup_from_primary(self) -> None:
        """Cut a replica off from the primary in both directions, so that it campaigns.

        Clients are idle meanwhile, as otherwise its log would be too old for it to be elected.
        """
        world = self._world
        self.clients_idle_until = world.now + LINK_CUT_S
        backup = self._random.choice(world.replicas)
        links = {(primary.address, backup.address) for primary in world.primaries()}
        self._injector.cut(links | _reversed(links), LINK_CUT_S, {backup.name})

    def _observe(self, replica: Replica, effects: Effects) -> None:
        if self._trigger is not None and self._trigger(replica, effects):
            self._trigger = None

    def _after_votes(self, replica: Replica, effects: Effects) -> bool:
        """Kill all replicas that cast a vote within VOTING_S, then isolate their candidate."""
        candidate = _granted_candidate(effects)
        if not candidate:
            return False
        world = self._world
        world.after(0.0, lambda: self._injector.kill(replica, restart_s=VOTER_RESTART_S))
        if self._voting_until == NEVER:
            self._voting_until = world.now + VOTING_S
            world.after(VOTING_S, lambda: self._isolate(candidate))
        return world.now >= self._voting_until

    def _isolate(self, address: str) -> None:
        for replica in self._world.replicas:
            if replica.address == address:
                self._injector.isolate(replica, duration_s=LINK_CUT_S)

    def _within_lease(self, _replica: Replica, effects: Effects) -> bool:
        """Cut the links to the primary when a replica grants a vote to another candidate."""
        primaries = self._world.primaries()
        if not _granted_candidate(effects) or not primaries:
            return False
        for primary in primaries:
            others = {other.address for other in self._world.replicas if other is not primary}
            links = {(other, primary.address) for other in others}
            self._injector.cut(links, PRIMARY_CUT_S, {primary.name})
        return True

    def _after_commit(self, replica: Replica, effects: Effects) -> bool:
        """When the primary commits, lose as many disks as the budget allows; the others may lose power."""
        machine = replica.machine
        if not effects.committed or machine is None or machine.role is not Role.PRIMARY:
            return False
        self._world.after(0.0, lambda: self._lose_disks(replica))
        return True

    def _lose_disks(self, primary: Replica) -> None:
        replicas = list(self._world.replicas)
        self._random.shuffle(replicas)
        if self._random.random() < LOST_PRIMARY_SHARE:
            replicas.remove(primary)
            replicas.insert(0, primary)
        while replicas and self._injector.may_lose(replicas[0]):
            self._injector.wipe(replicas.pop(0))
        if self._random.random() < POWER_LOSS_SHARE:
            for replica in replicas:
                self._injector.kill(replica, restart_s=self._random.uniform(*POWER_LOSS_S))

    def _after_change(self, replica: Replica, effects: Effects) -> bool:
        """Cut the primary and its new members off from the rest when it writes a membership change."""
        machine = replica.machine
        if machine is None or machine.role is not Role.PRIMARY or not _writes_members(effects):
            return False
        side = {replica.address, *self._new_member_addresses(replica)}
        rest = {other.address for other in self._world.replicas} - side
        links = {(one, other) for one in side for other in rest}
        names = {other.name for other in self._world.replicas if other.address in side}
        self._injector.cut(links | _reversed(links), LINK_CUT_S, names)
        return True

    def _new_member_addresses(self, replica: Replica) -> set[str]:
        """Return the addresses of members that ``replica`` knows and that don't know they are members."""
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


def _granted_candidate(effects: Effects) -> str:
    """Return the address of the candidate that a vote is granted to; "" if there is no granted vote."""
    for outgoing in effects.messages:
        reply = outgoing.message.vote_reply
        if reply.granted and not reply.preliminary:
            return outgoing.receiver.address
    return ""


def _writes_members(effects: Effects) -> bool:
    """Return whether a membership change is written; the initial members don't count."""
    return any(
        isinstance(write, WriteEntries)
        and write.entries[0].kind is EntryKind.MEMBERS
        and write.entries[0].epoch != 0
        for write in effects.writes
    )


def _reversed(links: set[tuple[str, str]]) -> set[tuple[str, str]]:
    return {(receiver, sender) for sender, receiver in links}
