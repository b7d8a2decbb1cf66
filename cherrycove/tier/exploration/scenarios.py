"""All scenarios by name."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from cherrycove.tier.exploration import decision_scenarios, group_scenarios
from cherrycove.tier.exploration.search import Model


class Scenario(Protocol):
    """Defines the initial state and the bounds of one exploration."""

    @property
    def budget(self) -> Any:
        """Return the bounds: an attrs instance with one count per event."""

    def prepare(self) -> tuple[Model[Any], Any]:
        """Return the model and its initial state."""


SCENARIOS: Mapping[str, Any] = {**group_scenarios.SCENARIOS, **decision_scenarios.SCENARIOS}
