"""``python3 -m cherrycove.tier PROGRAM``: runs a daemon, or an operators' command (``--help``)."""

from __future__ import annotations

import os
import signal
import sys

DAEMONS = ("proxy", "controller", "keeper", "store")  # "keeper": the controller's name in earlier releases


def main() -> int:
    """Run the daemon or the command that the arguments name; return its exit code."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name in DAEMONS:
        # Its default would end the process; the settings are read later anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # aiohttp reads the system's certificates when it is imported, a tenth of a start; daemons use no TLS.
        os.environ["SSL_CERT_FILE"] = os.devnull
        from cherrycove.tier.programs.process import run_daemon

        return run_daemon(name)
    from cherrycove.tier.cli import create_application

    return create_application().run()


if __name__ == "__main__":
    sys.exit(main())
