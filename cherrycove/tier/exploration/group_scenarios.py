"""Scenarios for the model of a replicated group, by name."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.exploration.group_initial_states import ScriptedGroup, establish_primary
from cherrycove.tier.exploration.group_model import Budget, GroupModel, GroupState

MEMBERS = 3
FAULTS = 1


@attrs.frozen(kw_only=True)
class GroupScenario:
    """Defines the initial state and the bounds of one exploration; ``setup`` produces the initial state."""

    setup: Callable[[ScriptedGroup], None]
    budget: Budget
    standbys: int = 0
    retiring: frozenset[str] = frozenset()
    bootstrapped: str = "abc"  # members at which the group was bootstrapped
    single_entry_appends: bool = False  # one entry per append message, as with large entries

    def prepare(self) -> tuple[GroupModel, GroupState]:
        """Return the model and its initial state."""
        model = GroupModel(FAULTS, self.retiring, single_entry_appends=self.single_entry_appends)
        group = ScriptedGroup(model, MEMBERS, self.standbys, self.retiring, self.bootstrapped)
        self.setup(group)
        return model, group.state(self.budget)


def _no_setup(_group: ScriptedGroup) -> None:
    """Do nothing: the members have just bootstrapped the group."""


def _two_candidates(group: ScriptedGroup) -> None:
    """Let the first and the last member vote for themselves in epoch 1; their vote requests are in flight."""
    group.pass_time("ac")
    group.deliver_matching("preliminary")


def _one_behind(group: ScriptedGroup) -> None:
    """Commit an entry that the last member lacks; the primary has sent nothing since."""
    establish_primary(group)
    group.isolate("c")
    group.propose("a", b"first")
    group.deliver_all()
    group.pass_time("a")
    group.deliver_all()
    group.reconnect_all()
    group.pass_time("bc")
    group.pass_time("bc")
    group.drop_all()


def _one_isolated(group: ScriptedGroup) -> None:
    """Isolate the last member for so long that it is about to campaign."""
    establish_primary(group)
    group.isolate("c")
    group.pass_time("abc")
    group.deliver_all()
    group.reconnect_all()


def _replacing_member(group: ScriptedGroup) -> None:
    """Let the primary append the replacement of the last member, which the other members do not receive."""
    establish_primary(group)
    group.isolate("bc")
    for _ in range(2):
        group.pass_time("abcd")
        group.deliver_all()
    group.reconnect_all()


def _member_replaced(group: ScriptedGroup) -> None:
    """Replace the last member, which becomes excluded, by the standby, then isolate the second member."""
    establish_primary(group)
    for _ in range(5):
        group.pass_time(group.names)
        group.deliver_all()
    group.isolate("b")
    for _ in range(2):
        group.pass_time("acd")
        group.deliver_all()
    group.reconnect_all()


def _superseded(group: ScriptedGroup) -> None:
    """Let the first member lead again, in epoch 3, and learn where the log of the last member ends.

    An entry of epoch 1 is only on the disk of the first member, one of epoch 2 only on that of the second.
    """
    establish_primary(group)
    group.isolate("a")
    group.propose("a", b"first")
    group.pass_time("abc")
    group.pass_time("b")
    group.deliver_matching("vote")
    group.drop_all()
    group.isolate("b")
    while group.primary_of(3) is None:
        group.drop_all()
        group.pass_time("abc")
        group.deliver_matching("vote")
    group.reconnect_all()
    group.deliver_one("append of epoch 3 from a to b")
    group.deliver_one("append of epoch 3 from a to c")
    group.deliver_one("append_reply of epoch 3 from c to a")


SCENARIOS: dict[str, GroupScenario] = {
    "begin": GroupScenario(setup=_no_setup, budget=Budget(epochs=2, quanta=3, crashes=1)),
    "rivals": GroupScenario(
        setup=_two_candidates, bootstrapped="ac", budget=Budget(epochs=1, crashes=1, late_syncs=1)
    ),
    "writes": GroupScenario(
        setup=establish_primary, budget=Budget(epochs=2, quanta=2, proposals=1, crashes=1, late_syncs=1)
    ),
    "one-behind": GroupScenario(setup=_one_behind, budget=Budget(epochs=2, quanta=2, crashes=1)),
    "lease": GroupScenario(setup=_one_isolated, budget=Budget(epochs=2, quanta=1, proposals=1, frozen=1)),
    "restart-in-lease": GroupScenario(setup=_one_isolated, budget=Budget(epochs=2, quanta=1, crashes=1)),
    "restarts": GroupScenario(setup=establish_primary, budget=Budget(epochs=2, quanta=2, crashes=2)),
    "swap": GroupScenario(
        setup=_one_isolated,
        standbys=1,
        budget=Budget(epochs=2, quanta=2, crashes=1),
    ),
    "retire": GroupScenario(
        setup=establish_primary,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=2, crashes=1),
    ),
    "swapping": GroupScenario(
        setup=_replacing_member,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=1, crashes=1),
    ),
    "excluded": GroupScenario(
        setup=_member_replaced,
        standbys=1,
        retiring=frozenset({"c"}),
        budget=Budget(epochs=2, quanta=1, forgotten=1),
    ),
    "superseded": GroupScenario(
        setup=_superseded, budget=Budget(epochs=4, quanta=2), single_entry_appends=True
    ),
    "behind-disk-lost": GroupScenario(setup=_one_behind, budget=Budget(epochs=2, quanta=1, disks=1)),
    "hand-over": GroupScenario(
        setup=establish_primary, budget=Budget(epochs=3, quanta=2, proposals=1, hand_overs=1, delayed=1)
    ),
    "snapshot": GroupScenario(setup=_one_behind, budget=Budget(epochs=2, quanta=2, snapshots=1, crashes=1)),
    "two-changes": GroupScenario(
        setup=establish_primary,
        standbys=2,
        retiring=frozenset({"b", "c"}),
        budget=Budget(epochs=2, quanta=2),
    ),
    "disk-lost": GroupScenario(
        setup=establish_primary, budget=Budget(epochs=2, quanta=2, proposals=1, disks=1)
    ),
}
