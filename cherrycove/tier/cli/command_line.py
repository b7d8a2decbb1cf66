"""The cleo application, whose commands end with the codes of ``ExitCode``, also after usage errors."""

from __future__ import annotations

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.input import Input
from cleo.io.io import IO
from cleo.io.outputs.output import Output, Type

from cherrycove.tier.cli.command import ExitCode

NAME = "cherrycove"


class CommandLine(Application):
    """Runs one command and returns its exit code; it never ends the process."""

    def __init__(self) -> None:
        super().__init__(NAME)
        self.auto_exits(False)
        self._is_usage_error = False

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run the command that ``input`` names, by default that of the process's arguments.

        Returns its exit code, which is INVALID after a usage error.
        """
        self._is_usage_error = False
        exit_code = super().run(input, output, error_output)
        return int(ExitCode.INVALID) if self._is_usage_error else exit_code

    def render_error(self, error: Exception, io: IO) -> None:
        """Print a usage error in one line, any other error with its traceback; called by cleo."""
        if not isinstance(error, CleoError):
            super().render_error(error, io)
            return
        self._is_usage_error = True
        io.write_error_line(f"{NAME}: {error}", type=Type.RAW)
