"""The command line: ``cherrycove SUB-COMMAND``, or ``python -m cherrycove SUB-COMMAND``.

``call`` asks a broker in service on its operators' address. The broker in service does not import this
package.

Exit codes: 0 done, or yes; 1 the broker said no, or could not start; 2 wrong usage, or a configuration that
cannot be used; 3 nobody answers at the operators' address.
"""

from cherrycove.broker.cli.commands import main

__all__ = ["main"]
