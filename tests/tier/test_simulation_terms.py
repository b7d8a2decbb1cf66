"""Tests the fault budget: which machines count as lost, and how many more may be lost."""

from __future__ import annotations

from cherrycove.tier.simulation.fault_budget import FaultBudget

CATCH_UP_S = 4.0


def caught_up_budget(faults: int = 1) -> FaultBudget:
    """Return the budget of three machines that have caught up."""
    budget = FaultBudget(faults, CATCH_UP_S)
    for machine in ("a", "b", "c"):
        budget.started(machine, -CATCH_UP_S)
    return budget


def test_a_machine_is_lost_until_its_catch_up_time_is_over() -> None:
    budget = caught_up_budget()
    assert budget.allows({"a"}, 0.0)
    assert not budget.allows({"a", "b"}, 0.0)
    budget.fault_began("a", 1.0)
    assert budget.lost(20.0) == {"a"}
    budget.fault_ended("a", 21.0)
    assert not budget.allows({"b"}, 24.9)
    assert budget.allows({"a"}, 24.9)
    assert budget.allows({"b"}, 25.0)


def test_faults_of_one_machine_may_overlap() -> None:
    budget = caught_up_budget()
    budget.fault_began("a", 1.0)
    budget.fault_began("a", 2.0)
    budget.fault_ended("a", 3.0)
    assert budget.lost(10.0) == {"a"}
    budget.fault_ended("a", 11.0)
    assert budget.lost(14.9) == {"a"}
    assert budget.lost(15.0) == set()


def test_a_removed_machine_is_lost_until_its_successor_has_caught_up() -> None:
    budget = caught_up_budget()
    budget.removed("a", 1.0)
    assert budget.lost(100.0) == {"a"}
    budget.replaced("a", "d", 100.0)
    assert budget.lost(103.9) == {"d"}
    assert budget.lost(104.0) == set()


def test_a_retired_machine_is_no_loss_but_a_successor_that_retires_early_is() -> None:
    budget = caught_up_budget()
    budget.retired("a")
    assert budget.lost(1.0) == set()
    budget.removed("b", 2.0)
    budget.replaced("b", "d", 3.0)
    budget.retired("d")
    assert budget.lost(6.9) == {"d"}
    assert budget.lost(7.0) == set()


def test_losses_beyond_the_budget_restart_the_catch_up_time_of_all() -> None:
    budget = caught_up_budget()
    budget.fault_began("a", 0.0)
    budget.fault_ended("a", 1.0)
    budget.fault_began("b", 4.0)
    budget.fault_ended("b", 6.0)
    assert budget.lost(9.9) == {"a", "b", "c"}
    assert budget.lost(10.0) == set()
