"""The command ``retire``, which orders the retirement of a storage machine or shows its state."""

from __future__ import annotations

import json
from http import HTTPStatus
from urllib.parse import quote

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.cli.command import JSON_OPTION, ExitCode, Outcome
from cherrycove.tier.cli.http_client import HttpRequest, HttpResponse
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION
from cherrycove.tier.cli.operator_command import (
    CONTROLLER_OPTION,
    OperatorCommand,
    parse_object,
    rejection_error,
)

DEFAULT_DURATION_S = 60
COMPLETED = "completed"


@attrs.frozen
class OrderDocument:
    """The document that ``retire`` prints for an acknowledged order."""

    node: str
    ordered: bool


@attrs.frozen
class StateDocument:
    """The document that ``retire --status`` prints."""

    node: str
    state: str


class RetireCommand(OperatorCommand):
    """Orders the retirement of a storage machine; with ``--status`` it only reads the state of the order."""

    name = "retire"
    description = "Retires a storage machine; with --status, exits with 0 once that is completed."
    arguments = [argument("node", "Node name of the machine.")]
    options = [
        CONTROLLER_OPTION,
        TIMEOUT_OPTION,
        option("status", None, "Only show the state of the retirement."),
        option(
            "duration",
            None,
            "Time that the retirement may take, in seconds.",
            flag=False,
            default=str(DEFAULT_DURATION_S),
        ),
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        """Send the order or return its state; raises CommandError if the controllers reject the request."""
        node = self.argument("node")
        path = f"/api/retire/{quote(node, safe='')}"
        return self._show_state(node, path) if self.option("status") else self._order(node, path)

    def _order(self, node: str, path: str) -> Outcome:
        body = json.dumps({"durationS": self.integer_option("duration")}).encode()
        self._call(HttpRequest("POST", path, {"Content-Type": "application/json"}, body))
        return Outcome(OrderDocument(node, ordered=True), [f"{node}: retirement ordered"])

    def _show_state(self, node: str, path: str) -> Outcome:
        response = self._call(HttpRequest("GET", path))
        state = str(parse_object(response.body, response.address).get("state", ""))
        exit_code = ExitCode.DONE if state == COMPLETED else ExitCode.FAILED
        return Outcome(StateDocument(node, state), [f"{node}: {state}"], exit_code)

    def _call(self, request: HttpRequest) -> HttpResponse:
        response = self.call_controller(request)
        if response.status != HTTPStatus.OK:
            raise rejection_error(response)
        return response
