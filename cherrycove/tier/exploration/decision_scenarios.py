"""Scenarios for the model of operators and controllers, by name."""

from __future__ import annotations

import attrs

from cherrycove.tier.exploration.decision_model import DecisionBudget, DecisionModel, DecisionState
from cherrycove.tier.exploration.decision_requests import ConfigurationRequest, configuration_request

FIRST = configuration_request("first", version=1, base_version=0)
SAME_VERSION = configuration_request("same-version", version=1, base_version=0)
SAME_BASE = configuration_request("same-base", version=2, base_version=0)
NEXT = configuration_request("next", version=2, base_version=1)
INVALID = configuration_request("invalid", version=3, base_version=0, is_valid=False)
NOT_NEWER = configuration_request("not-newer", version=1, base_version=1)


@attrs.frozen(kw_only=True)
class DecisionScenario:
    """Defines the requests, the number of controllers and the bounds of one exploration."""

    requests: tuple[ConfigurationRequest, ...]
    budget: DecisionBudget
    controllers: int = 2

    def prepare(self) -> tuple[DecisionModel, DecisionState]:
        """Return the model and its initial state."""
        model = DecisionModel(self.controllers, self.requests, self.budget)
        return model, model.initial_state()


SCENARIOS: dict[str, DecisionScenario] = {
    "one-number": DecisionScenario(
        requests=(FIRST, SAME_VERSION), budget=DecisionBudget(sends=2, take_overs=1, time_outs=1)
    ),
    "one-base": DecisionScenario(
        requests=(FIRST, SAME_BASE), budget=DecisionBudget(sends=2, pauses=1, time_outs=1)
    ),
    "sent-again": DecisionScenario(
        requests=(FIRST, NEXT), budget=DecisionBudget(sends=2, take_overs=1, time_outs=1)
    ),
    "operators-gone": DecisionScenario(
        requests=(FIRST, SAME_BASE), budget=DecisionBudget(sends=2, time_outs=1, crashes=1, gone=1)
    ),
    "three-operators": DecisionScenario(
        requests=(FIRST, SAME_VERSION, NEXT),
        controllers=3,
        budget=DecisionBudget(sends=2, take_overs=2, time_outs=1, pauses=1),
    ),
    "invalid": DecisionScenario(
        requests=(FIRST, INVALID, NOT_NEWER), budget=DecisionBudget(sends=1, take_overs=1)
    ),
}
