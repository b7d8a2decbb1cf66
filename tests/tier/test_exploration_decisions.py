"""Exhaustive exploration of configuration changes: no wrong results, and each removed guard is detected."""

from __future__ import annotations

import pytest

from cherrycove.tier.exploration.decision_scenarios import SCENARIOS
from cherrycove.tier.exploration.mutations import apply_mutation
from cherrycove.tier.exploration.search import Limits, Report, Search

# Depth explored here; docs/design/control-safety.md tells what is explored exhaustively by hand.
DEPTHS = {
    "one-number": 4,
    "one-base": 6,
    "sent-again": 5,
    "operators-gone": 5,
    "three-operators": 3,
    "invalid": 7,
}
# Mutation that removes a guard, and the scenario of the table above that detects it.
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
def test_no_invariant_is_violated(scenario: str) -> None:
    report = explore(scenario)
    assert report.violation is None
    assert report.exhausted or report.depth == DEPTHS[scenario]


@pytest.mark.parametrize("guard", GUARDS)
def test_removed_guard_is_detected(guard: str) -> None:
    with apply_mutation(guard):
        report = explore(GUARDS[guard])
    assert report.violation is not None


@pytest.mark.parametrize("guard", ["no-barrier", "base-checked-once"])
def test_barrier_or_second_check_of_base_version_alone_suffices(guard: str) -> None:
    """Of two changes with the same base version, either guard alone keeps the second from taking effect."""
    with apply_mutation(guard):
        report = explore("one-base")
    assert report.violation is None
