"""The command line: ``cherrycove SUB-COMMAND``, or ``python -m cherrycove SUB-COMMAND``.

It owns words, options, exit codes and how an answer is shown. ``call`` asks a broker in service on its
operators' address. It must never decide anything, never be imported by the broker in service, and never
print what a broker said without the broker's own escaping.

Exit codes: 0 done, or yes; 1 the broker said no, or could not start; 2 wrong usage, or a configuration that
cannot be used; 3 nobody answers at the operators' address.
"""

from cherrycove.broker.cli.commands import main

__all__ = ["main"]
