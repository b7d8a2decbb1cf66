"""Random deployments violate no rule, and the checker detects each guard that is removed from the module."""

from __future__ import annotations

import pytest
from helpers import CAPPED, SETTINGS

from bench.rules.__main__ import run_seed
from bench.rules.checker import Checker
from bench.rules.draw import draw
from bench.rules.mutants import MUTANTS, Mutant, detected_by
from cherrycove.scheduling import interface as api


@pytest.mark.parametrize("first", range(0, 300, 50))
def test_random_deployments_violate_no_rule(first: int) -> None:
    violations = {seed: found for seed, found in map(run_seed, range(first, first + 50)) if found}
    assert not violations, f"python -m bench.rules --seed {min(violations)}"


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_the_checker_detects_a_removed_guard(mutant: Mutant) -> None:
    assert detected_by(mutant, range(mutant.seed, mutant.seed + 100)).endswith(mutant.rule)


def test_every_kind_of_setting_is_drawn() -> None:
    drawn = [draw(seed).settings for seed in range(300)]
    classes = [cls for each in drawn for cls in each.classes]
    assert {(c.effect, c.group) for c in classes} == {(e, g) for e in api.Effect for g in api.Group}
    assert {c.ordered for c in classes} == {False, True} and any(0 < c.repeat_window < c.aim for c in classes)
    for name in ("list_on_request", "second_copies", "may_cancel", "may_probe", "tells_elsewhere"):
        assert {getattr(each, name) for each in drawn} == {False, True}, name
    assert {each.extra_spare is None for each in drawn} == {False, True}
    assert {bool(p.limit) for each in drawn for p in each.plans} == {False, True}
    assert {bool(draw(seed).lent_fraction) for seed in range(300)} == {False, True}
    assert {len(each.load_names) for each in drawn} == {0, 1, 2}
    assert draw(7) == draw(7)


def test_the_checker_counts_the_limit_of_a_volume_over_all_hosts() -> None:
    """Two hosts that each send a full burst exceed the limit together, though neither does alone."""
    checker = Checker(SETTINGS)
    node = api.Node("n0", 0)
    for host in (0, 1):
        checker.on_node_list(host, 0.0, api.NodeListUpdate(1, api.ListKind.RESTORED, (node,)))
        for number in range(10):
            asked = api.RequestArrival(number, 0, SETTINGS.plans.index(CAPPED), "v", 2.0, 0, 2, 3.0)
            checker.on_arrival(host, 1.0, asked)
            checker.check_action(host, 1.0, api.Send(number, "n0"))
        assert bool(checker.violations) == (host == 1)
    assert {rule for rule, _ in checker.violations} == {"limit"}
