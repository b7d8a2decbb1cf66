"""All scenarios that are explored, by name."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from cherrycove.tier.exploration import decision_scenarios, group_scenarios
from cherrycove.tier.exploration.search import Model


class Scenario(Protocol):
    """Where an exploration begins, and its bounds."""

    @property
    def budget(self) -> Any:
        """How often each event may happen: an attrs class of counts."""

    def prepare(self) -> tuple[Model[Any], Any]:
        """Return the model and the state to begin with."""


SCENARIOS: Mapping[str, Any] = {**group_scenarios.SCENARIOS, **decision_scenarios.SCENARIOS}
