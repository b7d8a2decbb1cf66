"""``check``: whether a settings file or a configuration can be used."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument
from result import Err

from cherrycove.tier.cli.command import CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.configuration import Configuration, parse_configuration
from cherrycove.tier.settings import SettingsError, load_settings

KEY_SEPARATOR = " @ $"  # stands between reason and key in the reports of cattrs


def read_file(path: str) -> bytes:
    """The contents of ``path``."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandError(ExitCode.INVALID, Problem(error.strerror or str(error), path)) from error


def parse_problems(report: str, source: str) -> list[Problem]:
    """The single problems of a report that names them one after another."""
    return [_parse_problem(part, source) for part in report.removeprefix(f"{source}: ").split("; ")]


def _parse_problem(part: str, source: str) -> Problem:
    reason, mark, key = part.rpartition(KEY_SEPARATOR)
    if mark:
        return Problem(reason, source, key.lstrip("."))
    key, colon, reason = part.partition(": ")
    return Problem(reason, source, key) if colon else Problem(part, source)


def check_configuration(body: bytes, source: str) -> Configuration:
    """The configuration in ``body``; ends the command where it is invalid."""
    parsed = parse_configuration(body, source)
    if isinstance(parsed, Err):
        raise CommandError(ExitCode.INVALID, *parse_problems(parsed.err_value.detail, source))
    return parsed.ok_value


class CheckSettingsCommand(TierCommand):
    name = "check settings"
    description = "Tells whether a settings file can be used."
    arguments = [argument("file", "The settings file of one process (YAML).")]

    def perform(self) -> Outcome:
        path = self.argument("file")
        try:
            settings = load_settings(path)
        except SettingsError as error:
            raise CommandError(ExitCode.INVALID, *parse_problems(str(error), path)) from error
        document = {
            "file": path,
            "valid": True,
            "node": settings.node_name,
            "machineClass": settings.machine_class,
            "serves": settings.serves,
        }
        return Outcome(document, [f"{path}: valid; node {settings.node_name} in {settings.zone}"])


class CheckConfigurationCommand(TierCommand):
    name = "check configuration"
    description = "Tells whether a configuration can be used."
    arguments = [argument("file", "The configuration (JSON).")]

    def perform(self) -> Outcome:
        path = self.argument("file")
        configuration = check_configuration(read_file(path), path)
        routes, services = len(configuration.routes), len(configuration.services)
        document = {
            "file": path,
            "valid": True,
            "version": configuration.version,
            "routes": routes,
            "services": services,
        }
        summary = f"version {configuration.version}, {routes} routes, {services} services"
        return Outcome(document, [f"{path}: valid; {summary}"])
