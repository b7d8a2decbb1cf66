"""Exhaustive exploration of a replicated group: nothing breaks, and a guard that is taken out is noticed."""

from __future__ import annotations

import threading

import attrs
import pytest

from cherrycove.tier.exploration.copying import canonical, copy_graph
from cherrycove.tier.exploration.group_model import Budget, GroupModel, World
from cherrycove.tier.exploration.group_scenarios import SCENARIOS
from cherrycove.tier.exploration.mutations import apply_mutation
from cherrycove.tier.exploration.search import Limits, Report, Search
from cherrycove.tier.replication.backup import IncomingSnapshot

# Depth that is explored here; deeper bounds are run by hand (docs/design/control-safety.md).
DEPTHS = {
    "begin": 5,
    "rivals": 6,
    "writes": 5,
    "one-behind": 5,
    "lease": 7,
    "restart-in-lease": 9,
    "restarts": 5,
    "swap": 5,
    "retire": 4,
    "swapping": 5,
    "excluded": 9,
    "superseded": 8,
    "hand-over": 4,
    "snapshot": 4,
    "two-changes": 5,
    "disk-lost": 4,
    "behind-disk-lost": 6,
}
# Guard that is taken out, and the scenario of the table above that notices it.
GUARDS = {
    "vote-before-sync": "rivals",
    "vote-twice-in-an-epoch": "rivals",
    "vote-without-log-check": "one-behind",
    "vote-within-lease": "restart-in-lease",
    "vote-for-itself-within-lease": "restart-in-lease",
    "acknowledge-before-sync": "writes",
    "commit-before-own-sync": "writes",
    "one-copy-fewer": "writes",
    "new-list-alone": "swapping",
    "excluded-disks-come-back": "excluded",
    "restarted-quorum-needs-no-lease-to-end": "restart-in-lease",
    "count-copies-of-older-epochs": "superseded",
    "emptied-keeps-identity": "behind-disk-lost",
}


def explore(scenario: str) -> Report:
    model, start = SCENARIOS[scenario].prepare()
    return Search(model, Limits(depth=DEPTHS[scenario])).run(start)


@pytest.mark.parametrize("scenario", DEPTHS)
def test_no_invariant_breaks(scenario: str) -> None:
    report = explore(scenario)
    assert report.violation is None
    assert report.exhausted or report.depth == DEPTHS[scenario]


@pytest.mark.parametrize("guard", GUARDS)
def test_a_missing_guard_is_noticed(guard: str) -> None:
    with apply_mutation(guard):
        report = explore(GUARDS[guard])
    assert report.violation is not None


def follow(model: GroupModel, state: World, label: str) -> World | None:
    """The state after the step ``label``; None if it is not possible."""
    return next((step.state for step in model.steps(state) if step.label == label), None)


def test_a_voter_that_restarts_does_not_elect_itself_while_its_lease_holds() -> None:
    """The last member has lost the primary; the second one renewed the lease, and starts anew."""
    model, state = SCENARIOS["restart-in-lease"].prepare()
    steps = [
        "b crashes, 0 of 0 writes durable",
        "b starts",
        "time passes",
        "preliminary vote_request of epoch 1 from b to c arrives",
        "preliminary vote_reply of epoch 1 from c to b arrives",
    ]
    for label in steps:
        following = follow(model, state, label)
        assert following is not None, label
        state = following
    assert [node.epoch for node in state.nodes] == [1, 1, 1]
    assert all("vote_request of epoch 2" not in envelope.label for envelope in state.envelopes)


def test_states_are_told_apart_and_met_again() -> None:
    scenario = attrs.evolve(SCENARIOS["lease"], budget=Budget(epochs=2))
    model, start = scenario.prepare()
    again, same = scenario.prepare()
    assert model.key(start) == again.key(same)
    after = [model.key(step.state) for step in model.steps(start)]
    assert model.key(start) not in after


def test_copies_of_a_node_share_nothing_that_changes() -> None:
    """A snapshot half received is copied with what it holds, and told apart from one that holds more."""
    half = IncomingSnapshot(3, 1)
    half.data.write(b"a")
    copied = copy_graph(half, {})
    assert canonical(copied) == canonical(half)
    copied.data.write(b"b")
    assert (half.data.getvalue(), copied.data.getvalue()) == (b"a", b"ab")
    assert canonical(copied) != canonical(half)


def test_an_object_that_cannot_be_copied_is_refused() -> None:
    with pytest.raises(TypeError):
        copy_graph(threading.Lock(), {})
