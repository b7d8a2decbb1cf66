"""One seeded run: clients propose, faults strike, at the end all is mended and nothing may be missing."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import attrs

from cherrycove.tier.simulation.ambush import Ambush
from cherrycove.tier.simulation.faults import Faults
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import CATCH_UP_S, World

FAULTY_S = 12.0
RECOVERY_S = 9.0  # after all is mended, entries must commit within this time
STEP_S = 0.5
CLIENT_PAUSE_S = 0.06
OFFER_PAUSE_S = 0.4
FAULT_PAUSE_S = 0.5
JUDGE_PAUSE_S = 0.25
SETTLED_S = 2.5  # of a new group; the terms would give it the whole time to catch up
FIRST_STRIKE_S = 1.0
NEXT_LOSS_S = 0.005  # after the terms allow it
PRIMARY_SHARE = 0.3  # of the faults that strike a primary on purpose
ORDERLY_SHARE = 0.6  # of the worlds in which troubles keep to the operators' terms
ALL_SHARE = 0.2  # of the strikes in an orderly world that may be of a kind that strikes all machines
AGAIN_SHARE = 0.15  # of the strikes in an orderly world that come though no further machine may be lost
NEXT_LOSS_SHARE = 0.7  # of troubles after which another machine is lost as early as the terms allow
SHORT_S = (0.3, 0.8, 1.5, 3.0)
LONG_S = (0.3, 0.8, 1.5, 3.0, 8.0, 25.0)
# faults to be borne, initial members, standbys
SHAPES = (
    (1, 3, 1),
    (1, 3, 0),
    (1, 3, 2),
    (1, 4, 0),
    (1, 4, 1),
    (1, 5, 0),
    (2, 5, 0),
    (2, 5, 1),
    (2, 5, 2),
    (1, 2, 2),
    (0, 1, 1),
)


@attrs.frozen
class Outcome:
    """What a run came to."""

    seed: int
    acknowledged: int
    committed: int
    simulated_s: float


class Scenario:
    """Drives a world from one seed."""

    def __init__(self, seed: int, faulty_s: float = FAULTY_S, emptied_keeps_identity: bool = False) -> None:
        """``emptied_keeps_identity`` breaks the rule that an emptied disk is a new member."""
        self._seed = seed
        self._faulty_s = faulty_s
        self._random = Random(seed)
        faults, initial, standbys = self._random.choice(SHAPES)
        self.world = World(Random(self._random.random()), faults, initial, standbys)
        self._faults = Faults(self.world, self._random, emptied_keeps_identity)
        self._faults.on_end = self._trouble_ended
        self._ambush = Ambush(self.world, self._random, self._faults)
        self._orderly = self._random.random() < ORDERLY_SHARE
        self._proposals = 0
        self._faulty = True

    def run(self) -> Outcome:
        world = self.world
        for replica in world.replicas:
            world.terms.started(replica.name, SETTLED_S - CATCH_UP_S)
            world.after(self._random.uniform(0, 0.3), lambda replica=replica: world.start(replica))  # type: ignore[misc]
        self._client()
        self._offer()
        self._judge()
        world.after(FIRST_STRIKE_S, self._strike)
        world.run_until(self._faulty_s)
        self._mend()
        self._require_recovery()
        return Outcome(self._seed, world.acknowledged, world.invariants.last_index, world.now)

    # Load

    def _client(self) -> None:
        self._proposals += 1
        primaries = self.world.primaries()
        if primaries and self.world.now >= self.world.quiet_until:
            self.world.propose(self._random.choice(primaries), b"%d" % self._proposals)
        self.world.after(self._random.uniform(0, 2 * CLIENT_PAUSE_S), self._client)

    def _offer(self) -> None:
        self.world.offer()
        self._switch_off_retired()
        self.world.after(OFFER_PAUSE_S, self._offer)

    def _judge(self) -> None:
        self.world.judge()
        self.world.after(JUDGE_PAUSE_S, self._judge)

    # Faults

    def _strike(self) -> None:
        if not self._faulty:
            return
        if self.world.replicas and not self._rests():
            self.world.judge()
            self._random.choice(self._kinds())(self._victim())
        self.world.after(self._random.uniform(0, 2 * FAULT_PAUSE_S), self._strike)

    def _rests(self) -> bool:
        """In an orderly world most of the lost machines are left alone until the next one may be lost."""
        lost = len(self.world.terms.lost(self.world.now))
        return self._orderly and lost >= self.world.faults and self._random.random() > AGAIN_SHARE

    def _victim(self) -> Replica:
        """A machine to be struck, one that the terms allow to be lost if there is any."""
        candidates = list(self.world.replicas)
        primaries = self.world.primaries()
        if primaries and self._random.random() < PRIMARY_SHARE:
            candidates = list(primaries)
        allowed = [replica for replica in candidates if self._faults.may_lose(replica)]
        return self._random.choice(allowed or candidates)

    def _kinds(self) -> list[Callable[[Replica], None]]:
        """In an orderly world nothing strikes all machines but now and then, or all would be lost always."""
        if self._orderly and self._random.random() > ALL_SHARE:
            return self._kinds_of_one()
        return [*self._kinds_of_one(), *self._kinds_of_all()]

    def _kinds_of_one(self) -> list[Callable[[Replica], None]]:
        return [
            self._one(lambda replica: self._faults.kill(replica, self._for_s())),
            self._one(lambda replica: self._faults.freeze(replica, self._for_s())),
            self._one(lambda replica: self._faults.isolate(replica, self._for_s())),
            self._one(lambda replica: self._faults.cut_one_way(replica, self._for_s())),
            self._one(lambda replica: self._faults.stall(replica, self._for_s())),
            self._wipe,
            self._wipe,
            self._replace,
            self._retire,
        ]

    def _kinds_of_all(self) -> list[Callable[[Replica], None]]:
        return [
            lambda _: self._hand_over(),
            lambda _: self._ambush.lay(),
            lambda _: self._ambush.lay(),
            lambda _: self._ambush.lay(),
            lambda _: self._kill_all(),
            lambda _: self._storm(),
        ]

    def _for_s(self) -> float:
        return self._random.choice(LONG_S if self._orderly else SHORT_S)

    def _one(self, strike: Callable[[Replica], None]) -> Callable[[Replica], None]:
        """In an orderly world ``strike`` only where the terms allow it."""

        def allowed(replica: Replica) -> None:
            if not self._orderly or self._faults.may_lose(replica):
                strike(replica)

        return allowed

    def _kill_all(self) -> None:
        for replica in self.world.replicas:
            self._faults.kill(replica, self._random.uniform(0.1, 1.0))

    def _storm(self) -> None:
        self._faults.storm(self._random.uniform(0.5, 2.0))

    def _wipe(self, replica: Replica) -> None:
        if self._faults.may_lose(replica):
            self._faults.wipe(replica, self._random.choice([0.1, 0.6, 3.0]))

    def _replace(self, replica: Replica) -> None:
        if self._faults.may_lose(replica):
            self._faults.replace(replica, self._random.choice([0.0, 0.5, 3.0]), self._random.random() < 0.5)

    def _hand_over(self) -> None:
        """What a primary does whose disk stalls or that is asked to end: a trouble of its machine."""
        for primary in self.world.primaries():
            self.world.hand_over(primary)
            self._faults.stall(primary, 0.0)

    # Orders to retire

    def _retire(self, replica: Replica) -> None:
        """Order a machine to retire, if enough others are there. An order is never taken back."""
        staying = [other for other in self.world.replicas if other.name not in self.world.retiring]
        if len(staying) > 2 * self.world.faults + 1:
            self.world.retiring |= {replica.name}

    def _switch_off_retired(self) -> None:
        """A machine whose order is completed is switched off at once, at times while others are lost."""
        if not self._faulty:
            return
        for replica in self.world.replicas:
            if replica.name in self.world.retiring and self.world.may_be_switched_off(replica):
                self._faults.switch_off(replica)
                if self._random.random() < 0.5:
                    self._lose_another()
                return

    # The next loss, as early as possible

    def _trouble_ended(self) -> None:
        if self._faulty and self._random.random() < NEXT_LOSS_SHARE:
            self.world.after(CATCH_UP_S + NEXT_LOSS_S, self._lose_another)

    def _lose_another(self) -> None:
        """Lose a machine if the terms allow it, and have all others lose power at times."""
        if not self._faulty or not self.world.replicas:
            return
        victim = self._victim()
        if not self._faults.may_lose(victim):
            return
        self.world.judge()
        kind = self._random.randrange(4)
        if kind == 0:
            self._replace(victim)
        elif kind == 1:
            self._faults.freeze(victim, self._for_s())
        else:
            self._faults.wipe(victim)
        if kind == 3:
            for replica in self.world.replicas:
                self._faults.kill(replica, self._random.uniform(0.1, 1.0))

    # End

    def _mend(self) -> None:
        self._faulty = False
        self._ambush.drop()
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
        while world.now < self._faulty_s + RECOVERY_S:
            world.run_until(world.now + STEP_S)
            if world.confirmed_primary() is not None and world.acknowledged > before:
                return
        world.invariants.require(False, "nothing commits after all was mended")


def run_seed(seed: int, faulty_s: float = FAULTY_S, emptied_keeps_identity: bool = False) -> Outcome:
    """Run the world of ``seed``; raises InvariantBrokenError where an invariant breaks."""
    with _collected_at_the_end():
        return Scenario(seed, faulty_s, emptied_keeps_identity).run()


@contextmanager
def _collected_at_the_end() -> Iterator[None]:
    """A world makes many small objects and hardly any cycles."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()
