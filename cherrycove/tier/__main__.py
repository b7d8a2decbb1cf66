"""Entry point of ``python3 -m cherrycove.tier``: runs a daemon or an operator command (``--help``)."""

from __future__ import annotations

import os
import signal
import sys

DAEMONS = ("proxy", "controller", "keeper", "store")  # "keeper": the controller's name in earlier releases


def main() -> int:
    """Run the daemon or command given by the arguments; return its exit code."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name in DAEMONS:
        # The default action would terminate the process; the settings are read later in any case.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # aiohttp loads the system's certificates on import, a tenth of the start-up time; daemons use no TLS.
        os.environ["SSL_CERT_FILE"] = os.devnull
        from cherrycove.tier.programs.process import run_daemon

        return run_daemon(name)
    from cherrycove.tier.cli import create_application

    return create_application().run()


if __name__ == "__main__":
    sys.exit(main())
