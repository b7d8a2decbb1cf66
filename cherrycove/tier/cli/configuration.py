"""The ``config`` commands, which read, replace and compare the configuration of a running tier."""

from __future__ import annotations

from http import HTTPStatus

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.cli.check import check_configuration, read_file
from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem
from cherrycove.tier.cli.differences import Difference, find_differences
from cherrycove.tier.cli.http_client import HttpRequest
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION
from cherrycove.tier.cli.operator_command import (
    CONTROLLER_OPTION,
    OperatorCommand,
    parse_object,
    rejection_error,
)

CONFIGURATION_PATH = "/api/configuration"
FILE_ARGUMENT = argument("file", "The configuration (JSON).")
IN_FORCE = "the configuration in force"  # names the source of a problem


@attrs.frozen
class PutDocument:
    """The document that ``config put`` prints for an acknowledged configuration."""

    version: int
    base_version: int
    acknowledged: bool


@attrs.frozen
class DifferencesDocument:
    """The document that ``config diff`` prints."""

    differences: list[Difference]


class ConfigurationCommand(OperatorCommand):
    """Base class of the commands that read or replace the configuration in force."""

    def fetch(self) -> bytes | None:
        """Return the configuration in force, None if there is none yet.

        Raises CommandError if no controller answers or one rejects the request.
        """
        response = self.call_controller(HttpRequest("GET", CONFIGURATION_PATH))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        if response.status != HTTPStatus.OK:
            raise rejection_error(response)
        return response.body


class ConfigGetCommand(ConfigurationCommand):
    """Prints the configuration in force, byte for byte as the operator sent it."""

    name = "config get"
    description = "Prints the configuration in force, as the operator sent it."
    options = [CONTROLLER_OPTION, TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        """Return the configuration; raises CommandError if there is none yet."""
        body = self.fetch()
        if body is None:
            raise CommandError(ExitCode.FAILED, Problem("no configuration has been accepted yet"))
        return Outcome(parse_object(body, "keeper"), [body.decode("utf-8", "replace")])


class ConfigPutCommand(ConfigurationCommand):
    """Sends a configuration with the version that it is based on as a precondition."""

    name = "config put"
    description = "Sends a configuration and waits until it is acknowledged or rejected."
    arguments = [FILE_ARGUMENT]
    options = [
        CONTROLLER_OPTION,
        TIMEOUT_OPTION,
        option("if-match", None, "Version that it is based on; by default the one in force.", flag=False),
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        """Return once the configuration is acknowledged; raises CommandError otherwise.

        The file is checked before anything is sent. An attempt whose response was lost is repeated with the
        same body and precondition; the controllers acknowledge such a repetition as well.
        """
        path = self.argument("file")
        body = read_file(path)
        version = check_configuration(body, path).version
        base_version = self._base_version()
        headers = {"If-Match": str(base_version), "Content-Type": "application/json"}
        response = self.call_controller(HttpRequest("PUT", CONFIGURATION_PATH, headers, body))
        if response.status != HTTPStatus.OK:
            raise rejection_error(response)
        document = PutDocument(version=version, base_version=base_version, acknowledged=True)
        return Outcome(document, [f"version {version} is in force, on top of version {base_version}"])

    def _base_version(self) -> int:
        """Return the version that the operator gave, by default that of the configuration in force."""
        given = self.integer_option("if-match")
        if given is not None:
            return given
        body = self.fetch()
        return 0 if body is None else check_configuration(body, IN_FORCE).version


class ConfigDiffCommand(ConfigurationCommand):
    """Compares a file with the configuration in force by key."""

    name = "config diff"
    description = "Compares a file with the configuration in force; exits with 0 if they are equal."
    arguments = [FILE_ARGUMENT]
    options = [CONTROLLER_OPTION, TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        """Return the differences; the exit code is FAILED if there are any."""
        path = self.argument("file")
        proposed = parse_object(read_file(path), path)
        body = self.fetch()
        in_force = {} if body is None else parse_object(body, IN_FORCE)
        differences = find_differences(in_force, proposed)
        lines = [str(difference) for difference in differences]
        exit_code = ExitCode.FAILED if differences else ExitCode.DONE
        return Outcome(DifferencesDocument(differences), lines, exit_code)
