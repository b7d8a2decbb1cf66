"""The command line: ``cherrycove SUB-COMMAND``, or ``python -m cherrycove SUB-COMMAND``.

``call`` sends a command to a running broker at its operators' address. The running broker does not import
this package.

Exit codes: 0 success, or the answer is yes; 1 the broker answered no, or could not start; 2 wrong usage, or a
configuration that cannot be used; 3 no answer at the operators' address.
"""

from cherrycove.broker.cli.commands import main

__all__ = ["main"]
