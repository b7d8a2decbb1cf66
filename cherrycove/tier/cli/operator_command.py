"""What the commands share that call the operator's interface."""

from __future__ import annotations

import json
from typing import Any

from cleo.helpers import option

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem, TierCommand
from cherrycove.tier.cli.http_client import DEFAULT_TIMEOUT_S, HttpRequest, HttpResponse, failure_reason, send

CONTROLLER_OPTION = option(
    "keeper", None, "HOST:PORT of a keeper's operator API; may be repeated.", flag=False, multiple=True
)
TIMEOUT_OPTION = option(
    "timeout", None, "Seconds until giving up.", flag=False, default=str(DEFAULT_TIMEOUT_S)
)
EXIT_CODES = {
    400: ExitCode.INVALID,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
}  # all other refusals: FAILED


class OperatorCommand(TierCommand):
    """A command that calls the operator API."""

    def call_controller(self, request: HttpRequest) -> HttpResponse:
        """The answer of a keeper, whatever it is."""
        controllers = self.option("keeper")
        if not controllers:
            raise CommandError(ExitCode.INVALID, Problem("name at least one keeper", key="--keeper"))
        return send(controllers, request, self.integer_option("timeout") or DEFAULT_TIMEOUT_S)


def rejection(answer: HttpResponse) -> CommandError:
    """The error that stands for an answer other than yes."""
    problem = Problem(f"status {answer.status} {failure_reason(answer)}".rstrip(), answer.address)
    return CommandError(EXIT_CODES.get(answer.status, ExitCode.FAILED), problem)


def parse_object(body: bytes, source: str) -> dict[str, Any]:
    """The JSON object in ``body``."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise CommandError(ExitCode.INVALID, Problem(f"not JSON: {error}", source)) from error
    if not isinstance(document, dict):
        raise CommandError(ExitCode.INVALID, Problem("must be an object", source))
    return document
