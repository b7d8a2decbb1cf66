"""Exhaustive exploration of the decisions on configurations: no wrong answer, no guard without a use."""

from __future__ import annotations

import pytest

from cherrycove.tier.exploration.decision_scenarios import SCENARIOS
from cherrycove.tier.exploration.mutations import apply_mutation
from cherrycove.tier.exploration.search import Limits, Report, Search

# Depth that is explored here; what is explored to its end by hand is told in docs/design/control-safety.md.
DEPTHS = {
    "one-number": 4,
    "one-base": 6,
    "sent-again": 5,
    "operators-gone": 5,
    "three-operators": 3,
    "invalid": 7,
}
# Guard that is taken out, and the scenario of the table above that notices it.
GUARDS = {
    "digests-forgotten": "sent-again",
    "decide-without-lease": "sent-again",
    "no-barrier-and-base-checked-once": "one-base",
    "acknowledge-before-commit": "one-number",
    "uncertain-taken-as-certain": "one-number",
    "documents-unchecked": "invalid",
}


def explore(scenario: str) -> Report:
    model, start = SCENARIOS[scenario].prepare()
    return Search(model, Limits(depth=DEPTHS[scenario])).run(start)


@pytest.mark.parametrize("scenario", DEPTHS)
def test_no_answer_is_wrong(scenario: str) -> None:
    report = explore(scenario)
    assert report.violation is None
    assert report.exhausted or report.depth == DEPTHS[scenario]


@pytest.mark.parametrize("guard", GUARDS)
def test_a_missing_guard_is_noticed(guard: str) -> None:
    with apply_mutation(guard):
        report = explore(GUARDS[guard])
    assert report.violation is not None


@pytest.mark.parametrize("guard", ["no-barrier", "base-checked-once"])
def test_the_barrier_and_the_second_check_of_the_base_stand_in_for_each_other(guard: str) -> None:
    """Of two changes with one base, either guard alone keeps the second from taking effect."""
    with apply_mutation(guard):
        report = explore("one-base")
    assert report.violation is None
