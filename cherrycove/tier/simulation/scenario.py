"""One seeded run: clients propose, faults strike, at the end all is mended and nothing may be missing."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from cherrycove.tier.simulation.ambush import Ambush
from cherrycove.tier.simulation.faults import Faults
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import World

FAULTY_S = 7.0
RECOVERY_S = 9.0  # after all is mended, entries must commit within this time
STEP_S = 0.5
CLIENT_PAUSE_S = 0.06
OFFER_PAUSE_S = 0.4
FAULT_PAUSE_S = 0.5
PRIMARY_SHARE = 0.3  # of the faults that strike a primary on purpose
# faults to be borne, initial members, standbys
SHAPES = ((1, 3, 1), (1, 3, 0), (1, 3, 2), (1, 4, 0), (2, 5, 1), (1, 2, 2), (0, 1, 1))


@attrs.frozen
class Outcome:
    """What a run came to."""

    seed: int
    acknowledged: int
    committed: int


class Scenario:
    """Drives a world from one seed."""

    def __init__(self, seed: int, emptied_keeps_identity: bool = False) -> None:
        """``emptied_keeps_identity`` breaks the rule that an emptied disk is a new member."""
        self._seed = seed
        self._random = Random(seed)
        faults, initial, standbys = self._random.choice(SHAPES)
        self.world = World(Random(self._random.random()), faults, initial, standbys)
        self._faults = Faults(self.world, self._random, emptied_keeps_identity)
        self._ambush = Ambush(self.world, self._random, self._faults)
        self._proposals = 0
        self._faulty = True

    def run(self) -> Outcome:
        world = self.world
        for replica in world.replicas:
            world.after(self._random.uniform(0, 0.3), lambda replica=replica: world.start(replica))  # type: ignore[misc]
        self._client()
        self._offer()
        world.after(1.0, self._strike)
        world.run_until(FAULTY_S)
        self._mend()
        self._require_recovery()
        return Outcome(self._seed, world.acknowledged, world.invariants.last_index)

    # Load

    def _client(self) -> None:
        self._proposals += 1
        primaries = self.world.primaries()
        if primaries and self.world.now >= self.world.quiet_until:
            self.world.propose(self._random.choice(primaries), b"%d" % self._proposals)
        self.world.after(self._random.uniform(0, 2 * CLIENT_PAUSE_S), self._client)

    def _offer(self) -> None:
        self.world.offer()
        self.world.after(OFFER_PAUSE_S, self._offer)

    # Faults

    def _strike(self) -> None:
        if not self._faulty:
            return
        replica = self._random.choice(self.world.replicas)
        primaries = self.world.primaries()
        if primaries and self._random.random() < PRIMARY_SHARE:
            replica = self._random.choice(primaries)
        self._random.choice(self._kinds())(replica)
        self.world.after(self._random.uniform(0, 2 * FAULT_PAUSE_S), self._strike)

    def _kinds(self) -> list[Callable[[Replica], None]]:
        choice = self._random.choice
        faults = self._faults
        return [
            lambda replica: faults.kill(replica, choice([0.1, 0.4, 1.5, 3.0])),
            lambda replica: faults.freeze(replica, choice([0.3, 0.8, 1.5, 3.0])),
            lambda replica: faults.isolate(replica.address, choice([0.5, 1.5, 3.0])),
            lambda replica: faults.stall(replica, choice([0.3, 1.2, 3.0])),
            lambda replica: faults.storm(self._random.uniform(0.5, 2.0)),
            lambda _: self._kill_all(),
            lambda _: self._hand_over(),
            lambda _: self._ambush.lay(),
            lambda _: self._ambush.lay(),
            self._cut_one_way,
            self._wipe,
            self._wipe,
            self._retire,
        ]

    def _kill_all(self) -> None:
        for replica in self.world.replicas:
            self._faults.kill(replica, self._random.uniform(0.1, 1.0))

    def _cut_one_way(self, replica: Replica) -> None:
        other = self._random.choice(self.world.replicas)
        self._faults.cut({(replica.address, other.address)}, self._random.choice([0.5, 1.5, 3.0]))

    def _wipe(self, replica: Replica) -> None:
        if self._faults.may_lose(replica):
            self._faults.wipe(replica)

    def _hand_over(self) -> None:
        for primary in self.world.primaries():
            self.world.hand_over(primary)

    def _retire(self, replica: Replica) -> None:
        names = {replica.address} if self._random.random() < 0.5 else set()
        self.world.retiring = frozenset(names)

    # End

    def _mend(self) -> None:
        self._faulty = False
        self._ambush.drop()
        self.world.retiring = frozenset()
        self.world.cuts.clear()
        for replica in self.world.replicas:
            replica.stalled_until = 0.0
            if replica.machine is None:
                self.world.start(replica)
            elif replica.frozen:
                self.world.thaw(replica)

    def _require_recovery(self) -> None:
        """All acknowledged entries are known to a primary that commits further ones."""
        world = self.world
        before = world.acknowledged
        while world.now < FAULTY_S + RECOVERY_S:
            world.run_until(world.now + STEP_S)
            if world.confirmed() is not None and world.acknowledged > before:
                return
        world.invariants.require(False, "nothing commits after all was mended")


def run_seed(seed: int, emptied_keeps_identity: bool = False) -> Outcome:
    """Run the world of ``seed``; raises InvariantBrokenError where an invariant breaks."""
    return Scenario(seed, emptied_keeps_identity).run()
