"""Base class of the commands that call the controllers' operator API, and parsers of its responses."""

from __future__ import annotations

import json
from typing import Any

from cleo.helpers import option

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem
from cherrycove.tier.cli.http_client import HttpRequest, HttpResponse, failure_reason, send
from cherrycove.tier.cli.network_command import NetworkCommand

CONTROLLER_OPTION = option(
    "keeper", None, "HOST:PORT of a keeper's operator API; may be repeated.", flag=False, multiple=True
)
INVALID_REQUEST_STATUSES = (400, 413, 422)  # end with INVALID; all other rejections with FAILED


class OperatorCommand(NetworkCommand):
    """Base class of the commands that call the operator API."""

    def call_controller(self, request: HttpRequest) -> HttpResponse:
        """Return the first definite response of a controller, which may be a rejection.

        Raises CommandError if no controller sends one in time.
        """
        controllers = self.controllers()
        return send(controllers, request, self.timeout_s())


def rejection_error(response: HttpResponse) -> CommandError:
    """Return the error that ends a command whose request ``response`` rejects."""
    is_invalid = response.status in INVALID_REQUEST_STATUSES
    problem = Problem(f"status {response.status} {failure_reason(response)}".rstrip(), response.address)
    return CommandError(ExitCode.INVALID if is_invalid else ExitCode.FAILED, problem)


def parse_object(body: bytes, source: str) -> dict[str, Any]:
    """Return the JSON object in ``body``; raises CommandError, which names ``source``, for anything else."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise CommandError(ExitCode.INVALID, Problem(f"not JSON: {error}", source)) from error
    if not isinstance(document, dict):
        raise CommandError(ExitCode.INVALID, Problem("must be a JSON object", source))
    return document
