"""Deployments drawn from seeds break no rule, and without its guards the module is found out."""

from __future__ import annotations

import pytest
from helpers import CAPPED, SETTINGS

from bench.rules.__main__ import played
from bench.rules.checker import Checker
from bench.rules.draw import draw
from bench.rules.mutants import MUTANTS, Mutant, found_by
from cherrycove.scheduling import interface as api


@pytest.mark.parametrize("first", range(0, 300, 50))
def test_no_rule_is_broken_on_deployments_drawn_at_random(first: int) -> None:
    broken = {seed: words for seed, words in map(played, range(first, first + 50)) if words}
    assert not broken, f"python -m bench.rules --seed {min(broken)}"


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_guard_taken_out_is_found_out(mutant: Mutant) -> None:
    assert found_by(mutant, range(mutant.seed, mutant.seed + 100)).endswith(mutant.rule)


def test_every_kind_of_setting_is_drawn() -> None:
    drawn = [draw(seed).settings for seed in range(300)]
    classes = [cls for each in drawn for cls in each.classes]
    assert {(c.effect, c.group) for c in classes} == {(e, g) for e in api.Effect for g in api.Group}
    assert {c.ordered for c in classes} == {False, True} and any(0 < c.repeat_window < c.aim for c in classes)
    for told in ("list_on_request", "second_copies", "may_cancel", "may_probe", "tells_elsewhere"):
        assert {getattr(each, told) for each in drawn} == {False, True}, told
    assert {each.extra_spare is None for each in drawn} == {False, True}
    assert {bool(p.limit) for each in drawn for p in each.plans} == {False, True}
    assert {bool(draw(seed).lent) for seed in range(300)} == {False, True}
    assert {len(each.load_names) for each in drawn} == {0, 1, 2}
    assert draw(7) == draw(7)


def test_the_checker_tells_a_limit_kept_by_each_host_from_one_kept_by_all() -> None:
    """Two hosts that each send a whole burst at once have together sent two."""
    checker = Checker(SETTINGS)
    node = api.Node("n0", 0)
    for host in (0, 1):
        checker.listed(host, 0.0, api.NodeListUpdate(1, api.ListKind.RESTORED, (node,)))
        for number in range(10):
            asked = api.RequestArrival(number, 0, SETTINGS.plans.index(CAPPED), "v", 2.0, 0, 2, 3.0)
            checker.arrived(host, 1.0, asked)
            checker.did(host, 1.0, api.Send(number, "n0"))
        assert bool(checker.broken) == (host == 1)
    assert {rule for rule, _ in checker.broken} == {"limit"}
