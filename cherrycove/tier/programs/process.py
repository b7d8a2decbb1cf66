"""The lifecycle of a daemon: settings, log, event loop, signals, graceful shutdown, exit code."""

from __future__ import annotations

import asyncio
import gc
import importlib
import logging
import secrets
import signal
import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Protocol

from cherrycove.tier.logs import configure
from cherrycove.tier.settings import Settings, SettingsError, load_settings

INCARNATION_BYTES = 6
# Module that assembles each daemon, by its name on the command line. The controller was called "keeper" in
# earlier releases; deploy files, unit files and scripts that use this name still work.
DAEMON_MODULES = {
    "proxy": "cherrycove.tier.programs.proxy",
    "controller": "cherrycove.tier.programs.controller",
    "keeper": "cherrycove.tier.programs.controller",
    "store": "cherrycove.tier.programs.store",
}
# Thresholds of the garbage collector's generations. The first one is far above the default: requests are
# freed by reference counting, so frequent collections would find little.
GC_THRESHOLDS = (20_000, 20, 50)

_log = logging.getLogger(__name__)


class DaemonExit(IntEnum):
    """Exit codes of a daemon."""

    STOPPED = 0
    CANNOT_START = 1  # an address could not be bound, or the data directory could not be opened
    INVALID_SETTINGS = 2


class Program(Protocol):
    """The assembled components of one daemon."""

    async def start(self) -> None:
        """Start all components. Raises ``OSError`` if an address or the data directory cannot be used."""

    async def stop(self) -> None:
        """Stop all components within the grace period of the settings."""

    def reload(self, settings: Settings) -> None:
        """Apply those of ``settings``, read again after SIGHUP, that can change in a running daemon."""


def new_incarnation() -> str:
    """Return a random identifier for this run of the process."""
    return secrets.token_hex(INCARNATION_BYTES)


def run_daemon(name: str) -> int:
    """Run the daemon ``name`` (a key of ``DAEMON_MODULES``) until SIGTERM or SIGINT; return its exit code."""
    early_reloads: list[int] = []  # SIGHUPs received before the event loop handles them
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"cherrycove {name}: {error}", file=sys.stderr)
        return DaemonExit.INVALID_SETTINGS
    _configure_log(name, settings)
    gc.set_threshold(*GC_THRESHOLDS)
    module = importlib.import_module(DAEMON_MODULES[name])
    try:
        asyncio.run(_run_until_signalled(module.assemble(settings), early_reloads))
    except OSError as error:
        print(f"cherrycove {name}: {error}", file=sys.stderr)
        return DaemonExit.CANNOT_START
    return DaemonExit.STOPPED


def _configure_log(name: str, settings: Settings) -> None:
    configure(name, settings.node_name)


async def _run_until_signalled(program: Program, early_reloads: Sequence[int]) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, program)
    await program.start()
    if early_reloads:
        _reload(program)
    # Objects that exist now live as long as the process, so exclude them from later collections.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    _log.info("process_stopping")
    await program.stop()


def _reload(program: Program) -> None:
    try:
        settings = load_settings()
    except SettingsError as error:
        _log.warning("settings_invalid", extra={"reason": str(error)})
        return
    program.reload(settings)
    _log.info("settings_reloaded")
