"""What all commands share: exit codes, outcomes, and their rendering as text or as JSON."""

from __future__ import annotations

import json
from enum import IntEnum
from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

JSON_OPTION = option("json", None, "Print one JSON object.")


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0  # done, or yes
    FAILED = 1  # not done, or no
    INVALID = 2  # wrong usage, or invalid input
    UNANSWERED = 3  # nobody answered


@attrs.frozen
class Problem:
    """One thing that is wrong, and where."""

    reason: str
    source: str = ""  # file or address
    key: str = ""

    def __str__(self) -> str:
        return ": ".join(part for part in (self.source, self.key, self.reason) if part)


class CommandError(Exception):
    """Ends a command with an exit code and a message."""

    def __init__(self, exit_code: ExitCode, *problems: Problem) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.exit_code = exit_code
        self.problems = problems


@attrs.frozen
class Outcome:
    """What a command found: a document for programs, lines for people."""

    document: dict[str, Any]
    lines: list[str]
    exit_code: ExitCode = ExitCode.DONE


class TierCommand(Command):
    """A command that prints one outcome, with ``--json`` as one JSON object."""

    options = [JSON_OPTION]

    def perform(self) -> Outcome:
        """Do the work; raises CommandError where it fails."""
        raise NotImplementedError

    def handle(self) -> int:
        """Called by cleo; returns the exit code."""
        try:
            outcome = self.perform()
        except CommandError as error:
            self._print_error(error)
            return int(error.exit_code)
        if self.option("json"):
            self._print(json.dumps(outcome.document))
        else:
            for line in outcome.lines:
                self._print(line)
        return int(outcome.exit_code)

    def integer_option(self, name: str) -> int | None:
        """The value of the option ``name``, which must be a whole number if it is given."""
        text = self.option(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise CommandError(ExitCode.INVALID, Problem(f"{text!r} is not a whole number", key=f"--{name}"))
        return int(text)

    def _print(self, line: str) -> None:
        self.io.write_line(line, type=Type.RAW)

    def _print_error(self, error: CommandError) -> None:
        if self.option("json"):
            problems = [attrs.asdict(problem) for problem in error.problems]
            self._print(json.dumps({"errors": problems}))
        for problem in error.problems:
            self.io.write_error_line(str(problem), type=Type.RAW)
