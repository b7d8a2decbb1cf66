"""Base class of the commands that call running processes, with their addresses and time-out."""

from __future__ import annotations

from cleo.helpers import option

from cherrycove.tier.cli.command import CommandError, ExitCode, Problem, TierCommand

DEFAULT_TIMEOUT_S = 10

TIMEOUT_OPTION = option("timeout", None, "Time-out in seconds.", flag=False, default=str(DEFAULT_TIMEOUT_S))


class NetworkCommand(TierCommand):
    """Base class of the commands with the option ``--timeout``; most of them also have ``--keeper``."""

    def timeout_s(self) -> int:
        """Return the time-out in seconds; 0 stands for the default, as does an absent option."""
        return self.integer_option("timeout") or DEFAULT_TIMEOUT_S

    def controllers(self) -> list[str]:
        """Return the addresses of controllers (host:port); raises CommandError if none is given."""
        addresses: list[str] = self.option("keeper")
        if not addresses:
            raise CommandError(
                ExitCode.INVALID, Problem("at least one keeper address is required", key="--keeper")
            )
        return addresses
