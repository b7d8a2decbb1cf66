"""What the commands share that call the operator's interface."""

from __future__ import annotations

import json
from typing import Any

from cleo.helpers import option

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem, TierCommand
from cherrycove.tier.cli.operator_client import DEFAULT_TIMEOUT_S, HttpAnswer, HttpCall, call, reason_of

KEEPER_OPTION = option(
    "keeper", None, "HOST:PORT of a keeper's operator API; may be repeated.", flag=False, multiple=True
)
TIMEOUT_OPTION = option(
    "timeout", None, "Seconds until giving up.", flag=False, default=str(DEFAULT_TIMEOUT_S)
)
ENDS = {400: ExitCode.INVALID, 413: ExitCode.INVALID, 422: ExitCode.INVALID}  # all other refusals: FAILED


class OperatorCommand(TierCommand):
    """A command that calls the operator API."""

    def call_keeper(self, request: HttpCall) -> HttpAnswer:
        """The answer of a keeper, whatever it is."""
        keepers = self.option("keeper")
        if not keepers:
            raise CommandError(ExitCode.INVALID, Problem("name at least one keeper", key="--keeper"))
        return call(keepers, request, self.whole_number("timeout") or DEFAULT_TIMEOUT_S)


def refusal(answer: HttpAnswer) -> CommandError:
    """The error that stands for an answer other than yes."""
    problem = Problem(f"status {answer.status} {reason_of(answer)}".rstrip(), answer.address)
    return CommandError(ENDS.get(answer.status, ExitCode.FAILED), problem)


def document_of(body: bytes, source: str) -> dict[str, Any]:
    """The JSON object in ``body``."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise CommandError(ExitCode.INVALID, Problem(f"not JSON: {error}", source)) from error
    if not isinstance(document, dict):
        raise CommandError(ExitCode.INVALID, Problem("must be an object", source))
    return document
