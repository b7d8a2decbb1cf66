"""Base class of all commands, with exit codes, outcomes, errors and their output as text or JSON."""

from __future__ import annotations

import json
from enum import IntEnum

import attrs
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from cherrycove.tier.cli.documents import Document, to_json_object

JSON_OPTION = option("json", None, "Print one JSON object.")


class ExitCode(IntEnum):
    """The exit code with which a command ends."""

    DONE = 0  # the command succeeded, or what it checks holds
    FAILED = 1  # the command failed, or what it checks does not hold
    INVALID = 2  # usage error or invalid input
    UNANSWERED = 3  # no process answered in time


@attrs.frozen
class Problem:
    """Describes one fault and where it is."""

    reason: str
    source: str = ""  # file or address
    key: str = ""

    def __str__(self) -> str:
        return ": ".join(part for part in (self.source, self.key, self.reason) if part)


class CommandError(Exception):
    """Ends a command with an exit code and its problems; the base of this package's errors."""

    def __init__(self, exit_code: ExitCode, *problems: Problem) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.exit_code = exit_code
        self.problems = problems


@attrs.frozen
class ErrorsDocument:
    """The document that a failed command prints with ``--json``."""

    errors: list[Problem]


@attrs.frozen
class Outcome:
    """Holds the result of a command as a document for ``--json`` and as lines of text."""

    document: Document
    lines: list[str]
    exit_code: ExitCode = ExitCode.DONE


class TierCommand(Command):
    """Base class of all commands, which print one outcome; with ``--json``, as one JSON object.

    Outcomes go to standard output, problems to standard error; with ``--json`` the problems go to both.
    """

    options = [JSON_OPTION]

    def perform(self) -> Outcome:
        """Do the work of the command; raises CommandError if it fails."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command and return its exit code; called by cleo."""
        try:
            outcome = self.perform()
        except CommandError as error:
            self._print_error(error)
            return int(error.exit_code)
        if self.option("json"):
            self._print_document(outcome.document)
        else:
            for line in outcome.lines:
                self._print(line)
        return int(outcome.exit_code)

    def integer_option(self, name: str) -> int | None:
        """Return the value of the option ``name``, None if it is not given.

        Raises CommandError for anything but decimal digits.
        """
        text = self.option(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise CommandError(ExitCode.INVALID, Problem(f"{text!r} is not a whole number", key=f"--{name}"))
        return int(text)

    def required_option(self, name: str) -> str:
        """Return the value of the option ``name``; raises CommandError if it is missing or empty."""
        value = self.option(name)
        if not value:
            raise CommandError(ExitCode.INVALID, Problem("is required", key=f"--{name}"))
        return str(value)

    def _print_document(self, document: Document) -> None:
        self._print(json.dumps(to_json_object(document)))

    def _print(self, line: str) -> None:
        self.io.write_line(line, type=Type.RAW)

    def _print_error(self, error: CommandError) -> None:
        if self.option("json"):
            self._print_document(ErrorsDocument(list(error.problems)))
        for problem in error.problems:
            self.io.write_error_line(str(problem), type=Type.RAW)
