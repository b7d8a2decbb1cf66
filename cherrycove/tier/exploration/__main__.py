"""Explores one scenario: ``python -m cherrycove.tier.exploration --scenario lease --seconds 600``."""

from __future__ import annotations

import argparse
import sys
from typing import Any

import attrs

from cherrycove.tier.exploration.mutations import MUTATIONS, apply_mutation
from cherrycove.tier.exploration.scenarios import SCENARIOS
from cherrycove.tier.exploration.search import Limits, Report, Search


def _parse_budget(text: str) -> dict[str, int]:
    """Parse bounds such as ``crashes=2,quanta=3`` into a mapping from name to count."""
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {name: int(count) for name, _, count in pairs}


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m cherrycove.tier.exploration", description=__doc__)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), required=True)
    parser.add_argument(
        "--depth", type=int, default=1_000, help="maximum number of steps from the initial state"
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--states", type=int, default=5_000_000)
    parser.add_argument(
        "--budget",
        type=_parse_budget,
        default={},
        help="bounds that replace those of the scenario, such as crashes=2,quanta=3",
    )
    parser.add_argument(
        "--without", choices=sorted(MUTATIONS), default="", help="name of the mutation that removes one guard"
    )
    return parser.parse_args()


def _print_report(options: argparse.Namespace, budget: Any, report: Report) -> None:
    print(f"scenario {options.scenario}, without {options.without or 'nothing'}")
    bounds = ", ".join(f"{name} {count}" for name, count in attrs.asdict(budget).items() if count)
    print(f"bounds: {bounds}")
    print(
        f"{report.states} states, {report.transitions} transitions, every state up to depth {report.depth},"
        f" {'exhausted' if report.exhausted else 'not exhausted'}, {report.seconds:.1f} s"
    )
    if report.violation is not None:
        print(f"invariant violated: {report.violation.detail}")
        for label in report.violation.trace:
            print(f"  {label}")


def main() -> int:
    """Explore the scenario given on the command line; return 1 if an invariant is violated, otherwise 0."""
    options = _parse_arguments()
    scenario = SCENARIOS[options.scenario]
    scenario = attrs.evolve(scenario, budget=attrs.evolve(scenario.budget, **options.budget))
    limits = Limits(depth=options.depth, states=options.states, seconds=options.seconds)
    with apply_mutation(options.without):
        model, start = scenario.prepare()
        report = Search(model, limits).run(start)
    _print_report(options, scenario.budget, report)
    return 1 if report.violation is not None else 0


if __name__ == "__main__":
    sys.exit(main())
