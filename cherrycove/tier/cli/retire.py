"""``retire``: have a storage machine emptied, or ask how far that is."""

from __future__ import annotations

import json
from urllib.parse import quote

from cleo.helpers import argument, option

from cherrycove.tier.cli.command import JSON_OPTION, ExitCode, Outcome
from cherrycove.tier.cli.http_client import HttpRequest
from cherrycove.tier.cli.operator_command import (
    CONTROLLER_OPTION,
    TIMEOUT_OPTION,
    OperatorCommand,
    parse_object,
    rejection,
)

DEFAULT_DURATION_S = 60


class RetireCommand(OperatorCommand):
    name = "retire"
    description = "Has a storage machine emptied; with --status, 0 once that is completed."
    arguments = [argument("node", "Name of the machine.")]
    options = [
        CONTROLLER_OPTION,
        TIMEOUT_OPTION,
        option("status", None, "Only ask how far it is."),
        option("duration", None, "Seconds that it may take.", flag=False, default=str(DEFAULT_DURATION_S)),
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        node = self.argument("node")
        path = f"/api/retire/{quote(node, safe='')}"
        return self._show_state(node, path) if self.option("status") else self._order(node, path)

    def _order(self, node: str, path: str) -> Outcome:
        body = json.dumps({"durationS": self.integer_option("duration")}).encode()
        answer = self.call_controller(HttpRequest("POST", path, {"Content-Type": "application/json"}, body))
        if answer.status != 200:
            raise rejection(answer)
        return Outcome({"node": node, "ordered": True}, [f"{node}: is being emptied"])

    def _show_state(self, node: str, path: str) -> Outcome:
        answer = self.call_controller(HttpRequest("GET", path))
        if answer.status != 200:
            raise rejection(answer)
        state = str(parse_object(answer.body, answer.address).get("state", ""))
        exit_code = ExitCode.DONE if state == "completed" else ExitCode.FAILED
        return Outcome({"node": node, "state": state}, [f"{node}: {state}"], exit_code)
