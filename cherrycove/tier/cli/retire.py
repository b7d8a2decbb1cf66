"""``retire``: have a storage machine emptied, or ask how far that is."""

from __future__ import annotations

import json
from urllib.parse import quote

from cleo.helpers import argument, option

from cherrycove.tier.cli.command import JSON_OPTION, ExitCode, Outcome
from cherrycove.tier.cli.operator_client import HttpCall
from cherrycove.tier.cli.operator_command import (
    KEEPER_OPTION,
    TIMEOUT_OPTION,
    OperatorCommand,
    document_of,
    refusal,
)

DEFAULT_DURATION_S = 60


class RetireCommand(OperatorCommand):
    name = "retire"
    description = "Has a storage machine emptied; with --status, 0 once that is completed."
    arguments = [argument("node", "Name of the machine.")]
    options = [
        KEEPER_OPTION,
        TIMEOUT_OPTION,
        option("status", None, "Only ask how far it is."),
        option("duration", None, "Seconds that it may take.", flag=False, default=str(DEFAULT_DURATION_S)),
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        node = self.argument("node")
        path = f"/api/retire/{quote(node, safe='')}"
        return self._ask(node, path) if self.option("status") else self._order(node, path)

    def _order(self, node: str, path: str) -> Outcome:
        body = json.dumps({"durationS": self.whole_number("duration")}).encode()
        answer = self.call_keeper(HttpCall("POST", path, {"Content-Type": "application/json"}, body))
        if answer.status != 200:
            raise refusal(answer)
        return Outcome({"node": node, "ordered": True}, [f"{node}: is being emptied"])

    def _ask(self, node: str, path: str) -> Outcome:
        answer = self.call_keeper(HttpCall("GET", path))
        if answer.status != 200:
            raise refusal(answer)
        state = str(document_of(answer.body, answer.address).get("state", ""))
        exit_code = ExitCode.DONE if state == "completed" else ExitCode.FAILED
        return Outcome({"node": node, "state": state}, [f"{node}: {state}"], exit_code)
