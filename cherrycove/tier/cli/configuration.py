"""``config``: read, replace and compare the operator's configuration of a running tier."""

from __future__ import annotations

import attrs
from cleo.helpers import argument, option

from cherrycove.tier.cli.check import check_configuration, read_file
from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem
from cherrycove.tier.cli.differences import find_differences
from cherrycove.tier.cli.http_client import HttpRequest
from cherrycove.tier.cli.operator_command import (
    CONTROLLER_OPTION,
    TIMEOUT_OPTION,
    OperatorCommand,
    parse_object,
    rejection,
)

CONFIGURATION_PATH = "/api/configuration"


class ConfigurationCommand(OperatorCommand):
    """A command about the configuration in force."""

    def fetch(self) -> bytes | None:
        """The configuration in force; None while there is none."""
        answer = self.call_controller(HttpRequest("GET", CONFIGURATION_PATH))
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise rejection(answer)
        return answer.body


class ConfigGetCommand(ConfigurationCommand):
    name = "config get"
    description = "Prints the configuration in force, as the operator sent it."
    options = [CONTROLLER_OPTION, TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        body = self.fetch()
        if body is None:
            raise CommandError(ExitCode.FAILED, Problem("no configuration was taken yet"))
        return Outcome(parse_object(body, "keeper"), [body.decode("utf-8", "replace")])


class ConfigPutCommand(ConfigurationCommand):
    name = "config put"
    description = "Sends a configuration, and waits until it is acknowledged or refused."
    arguments = [argument("file", "The configuration (JSON).")]
    options = [
        CONTROLLER_OPTION,
        TIMEOUT_OPTION,
        option("if-match", None, "Version it builds on; by default the one in force.", flag=False),
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        path = self.argument("file")
        body = read_file(path)
        version = check_configuration(body, path).version
        base_version = self._base_version()
        headers = {"If-Match": str(base_version), "Content-Type": "application/json"}
        answer = self.call_controller(HttpRequest("PUT", CONFIGURATION_PATH, headers, body))
        if answer.status != 200:
            raise rejection(answer)
        document = {"version": version, "baseVersion": base_version, "acknowledged": True}
        return Outcome(document, [f"version {version} is in force, on top of version {base_version}"])

    def _base_version(self) -> int:
        given = self.integer_option("if-match")
        if given is not None:
            return given
        body = self.fetch()
        return 0 if body is None else check_configuration(body, "the configuration in force").version


class ConfigDiffCommand(ConfigurationCommand):
    name = "config diff"
    description = "Compares a file with the configuration in force; 0 if both say the same."
    arguments = [argument("file", "The configuration (JSON).")]
    options = [CONTROLLER_OPTION, TIMEOUT_OPTION, JSON_OPTION]

    def perform(self) -> Outcome:
        path = self.argument("file")
        offered = parse_object(read_file(path), path)
        body = self.fetch()
        in_force = {} if body is None else parse_object(body, "the configuration in force")
        found = find_differences(in_force, offered)
        return Outcome(
            {"differences": [attrs.asdict(difference) for difference in found]},
            [str(difference) for difference in found],
            ExitCode.FAILED if found else ExitCode.DONE,
        )
