"""Base of the commands that ask running processes: their addresses and the time for an answer."""

from __future__ import annotations

from cleo.helpers import option

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem, TierCommand

DEFAULT_TIMEOUT_S = 10

TIMEOUT_OPTION = option(
    "timeout", None, "Seconds until giving up.", flag=False, default=str(DEFAULT_TIMEOUT_S)
)


class NetworkCommand(TierCommand):
    """A command with the option ``--timeout``, and often ``--keeper``."""

    def timeout_s(self) -> int:
        """Return the time for the whole command; 0 means the default, as no option does."""
        return self.integer_option("timeout") or DEFAULT_TIMEOUT_S

    def controllers(self) -> list[str]:
        """Return the addresses of controllers (host:port); raises CommandError where there are none."""
        addresses: list[str] = self.option("keeper")
        if not addresses:
            raise CommandError(ExitCode.INVALID, Problem("name at least one keeper", key="--keeper"))
        return addresses
