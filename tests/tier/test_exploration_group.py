"""Exhaustive exploration of a replicated group: no violations, and each removed guard is detected."""

from __future__ import annotations

import threading

import attrs
import pytest

from cherrycove.tier.exploration.copying import canonical_form, copy_graph
from cherrycove.tier.exploration.group_model import Budget, GroupModel, GroupState
from cherrycove.tier.exploration.group_scenarios import SCENARIOS
from cherrycove.tier.exploration.mutations import apply_mutation
from cherrycove.tier.exploration.search import Limits, Report, Search
from cherrycove.tier.replication.backup import IncomingSnapshot

# Depth explored here; greater depths are explored by hand (docs/design/control-safety.md).
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
# Mutation that removes a guard, and the scenario of the table above that detects it.
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
def test_no_invariant_is_violated(scenario: str) -> None:
    report = explore(scenario)
    assert report.violation is None
    assert report.exhausted or report.depth == DEPTHS[scenario]


@pytest.mark.parametrize("guard", GUARDS)
def test_removed_guard_is_detected(guard: str) -> None:
    with apply_mutation(guard):
        report = explore(GUARDS[guard])
    assert report.violation is not None


def follow(model: GroupModel, state: GroupState, label: str) -> GroupState | None:
    """Return the state after the step ``label``; None if that step is not possible."""
    return next((step.state for step in model.steps(state) if step.label == label), None)


def test_restarted_voter_does_not_elect_itself_while_the_lease_it_renewed_is_valid() -> None:
    """The last member no longer hears the primary; the second one renewed the lease and restarts."""
    model, state = SCENARIOS["restart-in-lease"].prepare()
    steps = [
        "b crashes, 0 of 0 writes durable",
        "b starts",
        "time passes",
        "preliminary vote_request of epoch 1 from b to c arrives",
        "preliminary vote_reply of epoch 1 from c to b arrives",
    ]
    for label in steps:
        next_state = follow(model, state, label)
        assert next_state is not None, label
        state = next_state
    assert [node.epoch for node in state.nodes] == [1, 1, 1]
    assert all("vote_request of epoch 2" not in envelope.label for envelope in state.envelopes)


def test_equal_states_have_equal_keys_and_steps_change_the_key() -> None:
    scenario = attrs.evolve(SCENARIOS["lease"], budget=Budget(epochs=2))
    model, start = scenario.prepare()
    other_model, other_start = scenario.prepare()
    assert model.key(start) == other_model.key(other_start)
    after = [model.key(step.state) for step in model.steps(start)]
    assert model.key(start) not in after


def test_copies_share_no_mutable_objects() -> None:
    """A partially received snapshot is copied with its data and differs from one with more data."""
    partial = IncomingSnapshot(3, 1)
    partial.data.write(b"a")
    copied = copy_graph(partial, {})
    assert canonical_form(copied) == canonical_form(partial)
    copied.data.write(b"b")
    assert (partial.data.getvalue(), copied.data.getvalue()) == (b"a", b"ab")
    assert canonical_form(copied) != canonical_form(partial)


def test_object_of_another_package_is_not_copied() -> None:
    with pytest.raises(TypeError):
        copy_graph(threading.Lock(), {})
