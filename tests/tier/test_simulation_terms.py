"""The operators' clock: which machines count as lost, and how many more may be."""

from __future__ import annotations

from cherrycove.tier.simulation.terms import OperatorTerms

CATCH_UP_S = 4.0


def settled(faults: int = 1) -> OperatorTerms:
    """Three machines that started long ago."""
    terms = OperatorTerms(faults, CATCH_UP_S)
    for machine in ("a", "b", "c"):
        terms.started(machine, -CATCH_UP_S)
    return terms


def test_a_machine_is_lost_until_it_had_time_to_catch_up() -> None:
    terms = settled()
    assert terms.allow({"a"}, 0.0)
    assert not terms.allow({"a", "b"}, 0.0)
    terms.begin("a", 1.0)
    assert terms.lost(20.0) == {"a"}
    terms.end("a", 21.0)
    assert not terms.allow({"b"}, 24.9)
    assert terms.allow({"a"}, 24.9)
    assert terms.allow({"b"}, 25.0)


def test_troubles_of_one_machine_may_overlap() -> None:
    terms = settled()
    terms.begin("a", 1.0)
    terms.begin("a", 2.0)
    terms.end("a", 3.0)
    assert terms.lost(10.0) == {"a"}
    terms.end("a", 11.0)
    assert terms.lost(14.9) == {"a"}
    assert terms.lost(15.0) == set()


def test_a_removed_machine_counts_until_its_successor_had_time() -> None:
    terms = settled()
    terms.removed("a", 1.0)
    assert terms.lost(100.0) == {"a"}
    terms.succeeded("a", "d", 100.0)
    assert terms.lost(103.9) == {"d"}
    assert terms.lost(104.0) == set()


def test_a_retired_machine_is_no_loss_but_a_successor_that_retires_early_is() -> None:
    terms = settled()
    terms.retired("a")
    assert terms.lost(1.0) == set()
    terms.removed("b", 2.0)
    terms.succeeded("b", "d", 3.0)
    terms.retired("d")
    assert terms.lost(6.9) == {"d"}
    assert terms.lost(7.0) == set()


def test_losses_beyond_the_terms_give_everyone_time_anew() -> None:
    terms = settled()
    terms.begin("a", 0.0)
    terms.end("a", 1.0)
    terms.begin("b", 4.0)
    terms.end("b", 6.0)
    assert terms.lost(9.9) == {"a", "b", "c"}
    assert terms.lost(10.0) == set()
