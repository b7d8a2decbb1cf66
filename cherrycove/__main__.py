"""Starts one broker process: signals, announcement, gentle imports, configuration, exit status.

The order of the statements matters. Signals are handled before anything slow is imported, the process in
service is told of the start before its imports take the core, and what is slow to import is imported at a low
priority.
"""

from __future__ import annotations

import sys

if __name__ == "__main__" and len(sys.argv) > 1:
    from cherrycove.broker.cli import main as command  # sub-commands; without one this is the broker

    command()

import signal

if __name__ == "__main__":
    # By default either ends the process with an error. A SIGHUP now asks for a file that is read later
    # anyway; on a SIGTERM now, no request has been accepted.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from cherrycove.broker.lifecycle import announcement

ANNOUNCEMENT = announcement.announce() if __name__ == "__main__" else None

import asyncio
import importlib
import os
import threading
from pathlib import Path

LOW_PRIORITY = 10  # niceness: gets a tenth of a busy core
LOW_PRIORITY_S = 1.0  # s after which the rest is imported at the usual priority


def _load(*modules: str, limit_s: float = LOW_PRIORITY_S) -> None:
    """Import modules at a low priority, on a thread that ends with it; what it imports stays.

    On a busy core a low priority gets little (at 19 a sixtieth), and a process that is not ready in 6 s takes
    over from nobody. After ``limit_s`` seconds only the module in progress is waited for.
    """
    late = threading.Event()

    def load() -> None:
        if sys.platform == "linux":  # elsewhere a priority is the whole process's, and stays
            os.setpriority(os.PRIO_PROCESS, threading.get_native_id(), LOW_PRIORITY)
        for name in modules:
            if late.is_set():
                return
            importlib.import_module(name)

    thread = threading.Thread(target=load)
    thread.start()
    thread.join(limit_s)
    late.set()
    thread.join()


if __name__ == "__main__":
    # The process that this one replaces serves on the same core; half of it taken away for most of a second
    # would leave its clients without connections. No part of this program speaks TLS; reading the system's
    # certificates costs 60 ms and 2 MB.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    _load(
        "asyncio",
        "ssl",
        "multidict",
        "yarl",
        "aiohttp.http_parser",
        "aiohttp.connector",
        "aiohttp.client",
        "aiohttp.web",
        "cherrycove.broker.config",
        "cherrycove.scheduling.scheduler",
    )

from cherrycove.broker import config
from cherrycove.broker import event_log as events
from cherrycove.broker.process import run

DEFAULT_OPERATOR_FILE = "deploy/operator.toml"


def main() -> int:
    """Read both configurations and serve until a signal; return the exit status."""
    # What a SIGHUP asks for is done once there is a watch to move. One that came between the reading of the
    # file and the end of the start would be lost, and the broker would follow an address that is gone.
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    events.start()
    try:
        platform = config.load_platform_config()
        operator = config.load_operator_config(
            Path(os.environ.get("CHERRYCOVE_OPERATOR", DEFAULT_OPERATOR_FILE)), platform.settings
        )
    except config.ConfigError as error:
        print(f"cherrycove: {error}", file=sys.stderr)
        return 2
    events.start(operator.log.form, operator.log.level)
    config.log_unsupported_settings(platform)
    try:
        asyncio.run(run(platform, operator, hangups, ANNOUNCEMENT))
    except ModuleNotFoundError as error:
        print(
            f"cherrycove: cannot start: {error.name} is not installed; traces need requirements-tools.txt",
            file=sys.stderr,
        )
        return 1
    except OSError as error:
        print(f"cherrycove: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
