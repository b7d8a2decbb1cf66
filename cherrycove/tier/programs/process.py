"""The life of a daemon: settings, log, event loop, signals, orderly end."""

from __future__ import annotations

import asyncio
import gc
import importlib
import logging
import secrets
import signal
import sys
from collections.abc import Sequence
from typing import Protocol

from cherrycove.tier.settings import Settings, SettingsError, load_settings

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 1
INCARNATION_BYTES = 6
# Module that assembles each daemon, by its name on the command line. The controller was called "keeper" in
# earlier releases; deploy files, unit files and scripts that name it so go on working.
DAEMON_MODULES = {
    "proxy": "cherrycove.tier.programs.proxy",
    "controller": "cherrycove.tier.programs.controller",
    "keeper": "cherrycove.tier.programs.controller",
    "store": "cherrycove.tier.programs.store",
}
YOUNGEST_COLLECTION = 20_000  # objects made before the collector looks; requests free theirs by count

_log = logging.getLogger(__name__)


class Program(Protocol):
    """One daemon, assembled."""

    async def start(self) -> None: ...

    async def stop(self) -> None:
        """End in order, within the grace period of the settings."""

    def reload(self, settings: Settings) -> None:
        """The settings file was read again (SIGHUP)."""


def new_incarnation() -> str:
    """A name for this start of the process."""
    return secrets.token_hex(INCARNATION_BYTES)


def run_daemon(name: str) -> int:
    """Run the daemon ``name`` (a key of ``DAEMON_MODULES``) until SIGTERM; return its exit code."""
    early: list[int] = []  # SIGHUPs that come before the event loop takes them
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"cherrycove {name}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    _configure_log(name, settings)
    gc.set_threshold(YOUNGEST_COLLECTION, 20, 50)
    module = importlib.import_module(DAEMON_MODULES[name])
    try:
        asyncio.run(_run_until_signalled(module.assemble(settings), early))
    except OSError as error:
        print(f"cherrycove {name}: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0


def _configure_log(name: str, settings: Settings) -> None:
    from cherrycove.tier.logs import configure

    configure(name, settings.node_name)


async def _run_until_signalled(program: Program, early: Sequence[int]) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, program)
    await program.start()
    if early:
        _reload(program)
    gc.collect()
    gc.freeze()
    await ended.wait()
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
