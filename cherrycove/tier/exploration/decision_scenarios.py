"""Scenarios of operators and controllers by name: their orders and bounds."""

from __future__ import annotations

import attrs

from cherrycove.tier.exploration.decision_model import DecisionBudget, DecisionModel, DecisionState
from cherrycove.tier.exploration.decision_orders import Order, order

FIRST = order("first", version=1, base_version=0)
SAME_NUMBER = order("same-number", version=1, base_version=0)
SAME_BASE = order("same-base", version=2, base_version=0)
NEXT = order("next", version=2, base_version=1)
INVALID = order("invalid", version=3, base_version=0, is_valid=False)
NOT_ABOVE = order("not-above", version=1, base_version=1)


@attrs.frozen(kw_only=True)
class DecisionScenario:
    """The orders of a scenario and its bounds; ``controllers`` is a count."""

    orders: tuple[Order, ...]
    budget: DecisionBudget
    controllers: int = 2

    def prepare(self) -> tuple[DecisionModel, DecisionState]:
        """Return the model and the state to begin with."""
        model = DecisionModel(self.controllers, self.orders, self.budget)
        return model, model.first()


SCENARIOS: dict[str, DecisionScenario] = {
    "one-number": DecisionScenario(
        orders=(FIRST, SAME_NUMBER), budget=DecisionBudget(sends=2, take_overs=1, time_outs=1)
    ),
    "one-base": DecisionScenario(
        orders=(FIRST, SAME_BASE), budget=DecisionBudget(sends=2, pauses=1, time_outs=1)
    ),
    "sent-again": DecisionScenario(
        orders=(FIRST, NEXT), budget=DecisionBudget(sends=2, take_overs=1, time_outs=1)
    ),
    "operators-gone": DecisionScenario(
        orders=(FIRST, SAME_BASE), budget=DecisionBudget(sends=2, time_outs=1, crashes=1, gone=1)
    ),
    "three-operators": DecisionScenario(
        orders=(FIRST, SAME_NUMBER, NEXT),
        controllers=3,
        budget=DecisionBudget(sends=2, take_overs=2, time_outs=1, pauses=1),
    ),
    "invalid": DecisionScenario(
        orders=(FIRST, INVALID, NOT_ABOVE), budget=DecisionBudget(sends=1, take_overs=1)
    ),
}
