"""Bounded situations of a group, each explored by name."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.exploration.group_model import Budget, GroupModel, World
from cherrycove.tier.exploration.group_starts import Director, established

MEMBERS = 3
FAULTS = 1


@attrs.frozen(kw_only=True)
class GroupScenario:
    """Where an exploration begins and how much may happen in it."""

    start: Callable[[Director], None]
    budget: Budget
    standbys: int = 0
    retiring: frozenset[str] = frozenset()
    begun: str = "abc"  # members that have begun the group
    entries_alone: bool = False  # every message carries one entry, as when entries are large

    def prepare(self) -> tuple[GroupModel, World]:
        model = GroupModel(FAULTS, self.retiring, self.entries_alone)
        director = Director(model, MEMBERS, self.standbys, self.retiring, self.begun)
        self.start(director)
        return model, director.world(self.budget)


def _nothing(director: Director) -> None:
    """The members have just begun their group."""


def _rivals(director: Director) -> None:
    """The first and the last member have promised themselves epoch 1 and ask for votes."""
    director.pass_time("ac")
    director.deliver("preliminary")


def _one_behind(director: Director) -> None:
    """An entry is committed that the last member lacks; the primary is silent since."""
    established(director)
    director.cut("c")
    director.propose("a", b"first")
    director.deliver_all()
    director.pass_time("a")
    director.deliver_all()
    director.mend()
    director.pass_time("bc")
    director.pass_time("bc")
    director.lose_all()


def _one_cut_off(director: Director) -> None:
    """The last member has not heard the primary for so long that it is about to stand."""
    established(director)
    director.cut("c")
    director.pass_time("abc")
    director.deliver_all()
    director.mend()


def _swapping(director: Director) -> None:
    """The primary has just replaced the last member by the standby; the others did not hear it since."""
    established(director)
    director.cut("bc")
    for _ in range(2):
        director.pass_time("abcd")
        director.deliver_all()
    director.mend()


def _swapped(director: Director) -> None:
    """The standby has taken the place of the last member, which is excluded; the second one fell silent."""
    established(director)
    for _ in range(5):
        director.pass_time(director.names)
        director.deliver_all()
    director.cut("b")
    for _ in range(2):
        director.pass_time("acd")
        director.deliver_all()
    director.mend()


def _superseded(director: Director) -> None:
    """An entry of epoch 1 is on the first disk alone, one of epoch 2 on the second alone; the first leads
    again, in epoch 3, and has just learnt where the last member's log ends."""
    established(director)
    director.cut("a")
    director.propose("a", b"first")
    director.pass_time("abc")
    director.pass_time("b")
    director.deliver("vote")
    director.lose_all()
    director.cut("b")
    while director.leader_of(3) is None:
        director.lose_all()
        director.pass_time("abc")
        director.deliver("vote")
    director.mend()
    director.deliver_one("append of epoch 3 from a to b")
    director.deliver_one("append of epoch 3 from a to c")
    director.deliver_one("append_reply of epoch 3 from c to a")


SCENARIOS: dict[str, GroupScenario] = {
    "begin": GroupScenario(start=_nothing, budget=Budget(epochs=2, quanta=3, crashes=1)),
    "rivals": GroupScenario(start=_rivals, begun="ac", budget=Budget(epochs=1, crashes=1, late_syncs=1)),
    "writes": GroupScenario(
        start=established, budget=Budget(epochs=2, quanta=2, proposals=1, crashes=1, late_syncs=1)
    ),
    "one-behind": GroupScenario(start=_one_behind, budget=Budget(epochs=2, quanta=2, crashes=1)),
    "lease": GroupScenario(start=_one_cut_off, budget=Budget(epochs=2, quanta=1, proposals=1, frozen=1)),
    "restart-in-lease": GroupScenario(start=_one_cut_off, budget=Budget(epochs=2, quanta=1, crashes=1)),
    "restarts": GroupScenario(start=established, budget=Budget(epochs=2, quanta=2, crashes=2)),
    "swap": GroupScenario(
        start=_one_cut_off,
        standbys=1,
        budget=Budget(epochs=2, quanta=2, crashes=1),
    ),
    "retire": GroupScenario(
        start=established,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=2, crashes=1),
    ),
    "swapping": GroupScenario(
        start=_swapping,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=1, crashes=1),
    ),
    "excluded": GroupScenario(
        start=_swapped,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=1, forgotten=1),
    ),
    "superseded": GroupScenario(start=_superseded, budget=Budget(epochs=4, quanta=2), entries_alone=True),
    "behind-disk-lost": GroupScenario(start=_one_behind, budget=Budget(epochs=2, quanta=1, disks=1)),
    "hand-over": GroupScenario(
        start=established, budget=Budget(epochs=3, quanta=2, proposals=1, hand_overs=1, delayed=1)
    ),
    "snapshot": GroupScenario(start=_one_behind, budget=Budget(epochs=2, quanta=2, snapshots=1, crashes=1)),
    "two-changes": GroupScenario(
        start=established,
        standbys=2,
        retiring=frozenset({"b", "c"}),
        budget=Budget(epochs=2, quanta=2),
    ),
    "disk-lost": GroupScenario(start=established, budget=Budget(epochs=2, quanta=2, proposals=1, disks=1)),
}
