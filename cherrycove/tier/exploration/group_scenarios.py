"""Scenarios of a group by name: where an exploration begins, and its bounds."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.exploration.group_model import Budget, GroupModel, World
from cherrycove.tier.exploration.group_starts import Conductor, established

MEMBERS = 3
FAULTS = 1


@attrs.frozen(kw_only=True)
class GroupScenario:
    """How the state to begin with is reached, and how much may happen after it."""

    start: Callable[[Conductor], None]
    budget: Budget
    standbys: int = 0
    retiring: frozenset[str] = frozenset()
    bootstrapped: str = "abc"  # members that have bootstrapped the group
    single_entry_appends: bool = False  # every message carries one entry, as when entries are large

    def prepare(self) -> tuple[GroupModel, World]:
        """Return the model and the state to begin with."""
        model = GroupModel(FAULTS, self.retiring, single_entry_appends=self.single_entry_appends)
        conductor = Conductor(model, MEMBERS, self.standbys, self.retiring, self.bootstrapped)
        self.start(conductor)
        return model, conductor.world(self.budget)


def _nothing(_conductor: Conductor) -> None:
    """The members have just bootstrapped their group."""


def _rivals(conductor: Conductor) -> None:
    """The first and the last member have voted for themselves in epoch 1, and ask for votes."""
    conductor.pass_time("ac")
    conductor.deliver("preliminary")


def _one_behind(conductor: Conductor) -> None:
    """An entry is committed that the last member lacks; the primary has not sent anything since."""
    established(conductor)
    conductor.cut("c")
    conductor.propose("a", b"first")
    conductor.deliver_all()
    conductor.pass_time("a")
    conductor.deliver_all()
    conductor.join()
    conductor.pass_time("bc")
    conductor.pass_time("bc")
    conductor.lose_all()


def _one_cut_off(conductor: Conductor) -> None:
    """The last member has not heard the primary for so long that it is about to campaign."""
    established(conductor)
    conductor.cut("c")
    conductor.pass_time("abc")
    conductor.deliver_all()
    conductor.join()


def _swapping(conductor: Conductor) -> None:
    """The primary has just replaced the last member by the standby; the others have not heard it since."""
    established(conductor)
    conductor.cut("bc")
    for _ in range(2):
        conductor.pass_time("abcd")
        conductor.deliver_all()
    conductor.join()


def _swapped(conductor: Conductor) -> None:
    """The standby has replaced the last member, which is excluded; the second one does not answer."""
    established(conductor)
    for _ in range(5):
        conductor.pass_time(conductor.names)
        conductor.deliver_all()
    conductor.cut("b")
    for _ in range(2):
        conductor.pass_time("acd")
        conductor.deliver_all()
    conductor.join()


def _superseded(conductor: Conductor) -> None:
    """The first member leads again, in epoch 3, and has just learnt where the last member's log ends.

    An entry of epoch 1 is on the first disk alone, one of epoch 2 on the second alone.
    """
    established(conductor)
    conductor.cut("a")
    conductor.propose("a", b"first")
    conductor.pass_time("abc")
    conductor.pass_time("b")
    conductor.deliver("vote")
    conductor.lose_all()
    conductor.cut("b")
    while conductor.leader_of(3) is None:
        conductor.lose_all()
        conductor.pass_time("abc")
        conductor.deliver("vote")
    conductor.join()
    conductor.deliver_one("append of epoch 3 from a to b")
    conductor.deliver_one("append of epoch 3 from a to c")
    conductor.deliver_one("append_reply of epoch 3 from c to a")


SCENARIOS: dict[str, GroupScenario] = {
    "begin": GroupScenario(start=_nothing, budget=Budget(epochs=2, quanta=3, crashes=1)),
    "rivals": GroupScenario(
        start=_rivals, bootstrapped="ac", budget=Budget(epochs=1, crashes=1, late_syncs=1)
    ),
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
    "superseded": GroupScenario(
        start=_superseded, budget=Budget(epochs=4, quanta=2), single_entry_appends=True
    ),
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
