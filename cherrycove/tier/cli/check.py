"""The commands ``check settings`` and ``check configuration``, which validate a file."""

from __future__ import annotations

from pathlib import Path

import attrs
from cleo.helpers import argument
from result import Err

from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.configuration import Configuration, parse_configuration
from cherrycove.tier.settings import Settings, SettingsError, load_settings

KEY_SEPARATOR = " @ $"  # separates reason and key in the reports of cattrs
PROBLEM_SEPARATOR = "; "


@attrs.frozen
class SettingsDocument:
    """The document that ``check settings`` prints for a valid file."""

    file: str
    valid: bool
    node: str
    machine_class: str
    serves: list[str]


@attrs.frozen
class ConfigurationDocument:
    """The document that ``check configuration`` prints for a valid file."""

    file: str
    valid: bool
    version: int
    routes: int
    services: int


class CheckSettingsCommand(TierCommand):
    """Checks a settings file as a daemon does at its start."""

    name = "check settings"
    description = "Checks whether a settings file is valid."
    arguments = [argument("file", "The settings file of one process (YAML).")]

    def perform(self) -> Outcome:
        """Return a summary of the settings; raises CommandError with each problem of the file."""
        path = self.argument("file")
        settings = read_settings(path)
        document = SettingsDocument(
            file=path,
            valid=True,
            node=settings.node_name,
            machine_class=settings.machine_class,
            serves=settings.serves,
        )
        return Outcome(document, [f"{path}: valid; node {settings.node_name} in {settings.zone}"])


class CheckConfigurationCommand(TierCommand):
    """Checks a configuration as a controller does before it accepts one."""

    name = "check configuration"
    description = "Checks whether a configuration is valid."
    arguments = [argument("file", "The configuration (JSON).")]

    def perform(self) -> Outcome:
        """Return a summary of the configuration; raises CommandError with each problem of the file."""
        path = self.argument("file")
        configuration = check_configuration(read_file(path), path)
        document = ConfigurationDocument(
            file=path,
            valid=True,
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        summary = f"version {document.version}, {document.routes} routes, {document.services} services"
        return Outcome(document, [f"{path}: valid; {summary}"])


def read_file(path: str) -> bytes:
    """Return the contents of ``path``; raises CommandError if it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandError(ExitCode.INVALID, Problem(error.strerror or str(error), path)) from error


def read_settings(path: str) -> Settings:
    """Return the settings in the file ``path``; raises CommandError with each problem of the file."""
    try:
        return load_settings(path)
    except SettingsError as error:
        raise CommandError(ExitCode.INVALID, *parse_problems(str(error), path)) from error


def check_configuration(body: bytes, source: str) -> Configuration:
    """Return the configuration in ``body``; raises CommandError with each problem if it is invalid."""
    parsed = parse_configuration(body, source)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.INVALID, *parse_problems(parsed.err_value.detail, source))
    return parsed.ok_value


def parse_problems(report: str, source: str) -> list[Problem]:
    """Return the problems that a one-line report lists after the name of the ``source``."""
    parts = report.removeprefix(f"{source}: ").split(PROBLEM_SEPARATOR)
    return [_parse_problem(part, source) for part in parts]


def _parse_problem(text: str, source: str) -> Problem:
    reason, separator, key = text.rpartition(KEY_SEPARATOR)
    if separator:
        return Problem(reason, source, key.lstrip("."))
    key, separator, reason = text.partition(": ")
    return Problem(reason, source, key) if separator else Problem(text, source)
