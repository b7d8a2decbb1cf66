"""Entry point of the broker: signals, announcement, low-priority imports, configuration, exit status.

The order of the statements matters. Signal handlers are set before any slow import, the process in service is
told of the start before the imports use the CPU core, and slow modules are imported at a low priority.
"""

from __future__ import annotations

import sys

if __name__ == "__main__" and len(sys.argv) > 1:
    from cherrycove.broker.cli import main as command  # sub-commands; without arguments, the broker runs

    command()

import signal

if __name__ == "__main__":
    # By default either signal ends the process with an error. A SIGHUP is ignored here, as the file to reload
    # has not been read yet. On a SIGTERM the process exits, as it has accepted no request.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from cherrycove.broker.lifecycle import announcement

ANNOUNCEMENT = announcement.announce() if __name__ == "__main__" else None

import asyncio
import importlib
import os
import threading
from pathlib import Path

IMPORT_NICENESS = 10  # gets a tenth of a busy core
LOW_PRIORITY_IMPORT_S = 1.0  # after this time the remaining modules are imported at normal priority


def _import_at_low_priority(*modules: str, limit_s: float = LOW_PRIORITY_IMPORT_S) -> None:
    """Import modules on a temporary thread at a low priority.

    A low priority gets little of a busy core (at niceness 19 a sixtieth), and a process that is not ready
    within 6 s cannot take over from its predecessor. After ``limit_s`` seconds, no further module is imported
    here; only the import in progress is waited for.
    """
    time_up = threading.Event()

    def import_modules() -> None:
        if sys.platform == "linux":  # elsewhere the priority would apply to the whole process
            os.setpriority(os.PRIO_PROCESS, threading.get_native_id(), IMPORT_NICENESS)
        for name in modules:
            if time_up.is_set():
                return
            importlib.import_module(name)

    thread = threading.Thread(target=import_modules)
    thread.start()
    thread.join(limit_s)
    time_up.set()
    thread.join()


if __name__ == "__main__":
    # The process that this one replaces serves on the same core: losing half of it for most of a second would
    # leave its clients without connections.
    # The broker does not use TLS; reading the system's certificates would cost 60 ms and 2 MB.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    _import_at_low_priority(
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
    """Read both configuration files and serve until a signal; return the exit status."""
    # A SIGHUP that arrives before the start is complete is counted, and the reload is done after it. Were it
    # ignored between reading the file and the end of the start, the broker would watch an outdated address.
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
