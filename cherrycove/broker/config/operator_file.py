"""Reads the operator's TOML file, which enables services beyond the platform's HTTP interface.

Each service's table is disabled unless it says ``enabled = true``; an unknown key anywhere is an error.
"""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrycove.broker import consul, event_log, nbd, shared_map
from cherrycove.broker.config._table import Table
from cherrycove.broker.config._values import MAX_PORT, ConfigError, parse_host_port
from cherrycove.broker.http1.parse import HEX16
from cherrycove.scheduling.interface import Effect, Settings

SERVICE_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}", re.ASCII)
MAX_EXPORT_NAME_BYTES = 4096
LOG_LEVELS = ["DEBUG", "INFO", "WARNING", "ERROR"]
# The writer's name adds to an entry's length; this stands in for the name of whichever broker writes it.
SAMPLE_WRITER = "a name of this length"
COMMANDS = {
    "read": nbd.Command.READ,
    "write": nbd.Command.WRITE,
    "trim": nbd.Command.TRIM,
    "flush": nbd.Command.FLUSH,
}
MODIFYING_COMMANDS = ("write", "trim")


@dataclass(frozen=True, slots=True)
class DecisionLogConfig:
    """The table ``[why]``: the log of recent decisions, kept in memory.

    Attributes:
        max_bytes: memory for all records.
        spans_path: the file that traces are written to; "" if none are written.
        sampled_fraction: the fraction of served requests that are traced, from 0 to 1.
        max_spans_per_s: how many refused and failed requests are traced per second.
    """

    max_bytes: int
    spans_path: str = ""
    sampled_fraction: float = 0.0
    max_spans_per_s: int = 20


@dataclass(frozen=True, slots=True)
class LogConfig:
    """The table ``[log]``: the log's output format and its minimum level."""

    form: str = "human"
    level: str = "INFO"


@dataclass(frozen=True, slots=True)
class WarmRestartConfig:
    """The table ``[memory]``: the snapshot from which the broker's next process restores what was learned.

    ``directory`` must persist when the process ends; ``interval_s`` is the time between two writes.
    """

    directory: str
    interval_s: float = 1.0


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The contents of the operator's file; a disabled table is None."""

    nbd: nbd.NbdConfig | None = None
    consul: consul.ConsulConfig | None = None
    shared_map: shared_map.SharedMapConfig | None = None
    decision_log: DecisionLogConfig | None = None
    log: LogConfig = LogConfig()
    warm_restart: WarmRestartConfig | None = None


def load_operator_config(path: Path, settings: Settings) -> OperatorConfig:
    """Return the configuration in the file at ``path``; all is disabled if there is no file.

    Raises:
        ConfigError: the file cannot be read or used with the deployment's ``settings``.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return OperatorConfig()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    try:
        return parse_operator_config(tomllib.loads(text), settings)
    except (tomllib.TOMLDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_operator_config(raw: dict[str, Any], settings: Settings) -> OperatorConfig:
    """Return the configuration in a parsed file; ConfigError at the first value that cannot be used."""
    top = Table(raw, "")
    config = OperatorConfig(
        nbd=_parse_nbd(top.table("nbd"), settings),
        consul=_parse_consul(top.table("consul")),
        shared_map=_parse_shared_map(top.table("store")),
        decision_log=_parse_decision_log(top.table("why")),
        log=_parse_log(top.table("log")),
        warm_restart=_parse_warm_restart(top.table("memory")),
    )
    top.reject_unknown_keys()
    return config


def _parse_nbd(table: Table, settings: Settings) -> nbd.NbdConfig | None:
    table.read_enabled()
    classes = _parse_command_classes(table.table("classes"), settings)
    nodes, exports = table.table("nodes"), table.table("exports")
    config = nbd.NbdConfig(
        listen=table.address("listen"),
        classes=classes,
        exports={name: _parse_export(name, exports.table(name), settings) for name in exports.keys},
        unit_bytes=table.number("unit_bytes", 512, 1 << 30, 8192),
        node_port=table.number("node_port", 1, MAX_PORT, 10809),
        nodes={name: nodes.address(name) for name in nodes.keys},
        connections=table.number("connections", 1, 512, 64),
        pipeline=table.number("pipeline", 1, 128, 16),
    )
    table.reject_unknown_keys()
    return None if table.is_disabled else config


def _parse_command_classes(table: Table, settings: Settings) -> dict[nbd.Command, int]:
    """Return the class index of each command; modifying ones need a class whose requests never run twice."""
    names = [cls.name for cls in settings.classes]
    classes = {command: table.choice(key, names) for key, command in COMMANDS.items()}
    table.reject_unknown_keys()
    for key in MODIFYING_COMMANDS:
        effect = settings.classes[classes[COMMANDS[key]]].effect
        if not table.is_disabled and effect is not Effect.UNSAFE:
            raise ConfigError(f"{table.key_path(key)} must name a class that never runs twice")
    return classes


def _parse_export(name: str, table: Table, settings: Settings) -> nbd.Export:
    if len(name.encode()) > MAX_EXPORT_NAME_BYTES or not name:
        raise ConfigError(f"the name of {table.key_path('')} must hold 1 to {MAX_EXPORT_NAME_BYTES} bytes")
    volume: str = table.value("volume", str)
    if not (table.is_disabled or HEX16.fullmatch(volume)):
        raise ConfigError(f"{table.key_path('volume')} must be 16 hex digits, not {volume!r}")
    export = nbd.Export(
        name=name,
        volume=volume,
        shard=table.number("shard", 0, 1 << 30),
        plan=table.choice("plan", [plan.name for plan in settings.plans]),
        size=table.number("size", nbd.MIN_BLOCK_BYTES, (1 << 63) - 1),
        hosts=table.number("hosts", 1, settings.schedulers, 1),
        read_only=table.value("read_only", bool, False),
        description=table.value("description", str, ""),
    )
    if export.size % nbd.MIN_BLOCK_BYTES and not table.is_disabled:
        raise ConfigError(f"{table.key_path('size')} must be a multiple of {nbd.MIN_BLOCK_BYTES}")
    table.reject_unknown_keys()
    return export


def _parse_consul(table: Table) -> consul.ConsulConfig | None:
    table.read_enabled()
    config = consul.ConsulConfig(
        agent=table.address("agent", "127.0.0.1:8500"),
        service=table.value("service", str),
        wait_s=table.number("wait_s", 1, 600, 30),
        register=table.value("register", str, ""),
        ttl_s=table.number("ttl_s", 1, 3600, 10),
    )
    if not (table.is_disabled or SERVICE_NAME.fullmatch(config.service)):
        raise ConfigError(f"{table.key_path('service')} must be a service's name, not {config.service!r}")
    table.reject_unknown_keys()
    return None if table.is_disabled else config


def _parse_shared_map(table: Table) -> shared_map.SharedMapConfig | None:
    table.read_enabled()
    peers: list[Any] = table.value("peers", list)
    rows = table.table("config")
    entries = {f"config/{key}": _parse_map_entry(rows.table(key)) for key in rows.keys}
    listen = table.address("listen")
    config = shared_map.SharedMapConfig(
        listen=listen,
        entries=entries,
        peers=() if table.is_disabled else _parse_peers(peers, table.key_path("peers")),
        interval_s=table.number("interval_ms", 10, 600_000, 1000) / 1000,
    )
    table.reject_unknown_keys()
    if table.is_disabled:
        return None
    for key, (version, value) in entries.items():
        _check_entry_fits(shared_map.Entry(key, version, SAMPLE_WRITER, value), table.key_path("config"))
    return config


def _parse_peers(peers: list[Any], path: str) -> tuple[tuple[str, int], ...]:
    return tuple(parse_host_port(peer, path) for peer in peers)


def _parse_map_entry(table: Table) -> tuple[int, str | None]:
    """Return version and value of an entry of the shared map; the value of a deleted one is None."""
    version = table.number("version", 1, shared_map.MAX_COUNTER)
    value = None if table.value("deleted", bool, False) else table.value("value", str)
    table.reject_unknown_keys()
    return version, value


def _check_entry_fits(entry: shared_map.Entry, path: str) -> None:
    try:
        entry.pack()
    except shared_map.EntryError as error:
        raise ConfigError(f"{path}: {error}") from error


def _parse_log(table: Table) -> LogConfig:
    formats = list(event_log.FORMS)
    config = LogConfig(
        form=formats[table.choice("form", formats, "human")],
        level=LOG_LEVELS[table.choice("level", LOG_LEVELS, "INFO")],
    )
    table.reject_unknown_keys()
    return config


def _parse_decision_log(table: Table) -> DecisionLogConfig | None:
    table.read_enabled()
    config = DecisionLogConfig(
        max_bytes=table.number("bytes", 192 << 10, 1 << 30, 2 << 20),
        spans_path=table.value("spans", str, ""),
        sampled_fraction=float(table.value("sampled", float, 0.0)),
        max_spans_per_s=table.number("spans_a_second", 0, 10_000, 20),
    )
    if not (table.is_disabled or 0 <= config.sampled_fraction <= 1):
        raise ConfigError(
            f"{table.key_path('sampled')} must lie between 0 and 1, not {config.sampled_fraction}"
        )
    table.reject_unknown_keys()
    return None if table.is_disabled else config


def _parse_warm_restart(table: Table) -> WarmRestartConfig | None:
    table.read_enabled()
    config = WarmRestartConfig(
        directory=table.value("folder", str),
        interval_s=table.number("interval_ms", 50, 600_000, 1000) / 1000,
    )
    table.reject_unknown_keys()
    if not (table.is_disabled or Path(config.directory).is_absolute()):
        # A relative path would depend on the working directory, which may differ at the next start.
        raise ConfigError(f"{table.key_path('folder')} must be an absolute path, not {config.directory!r}")
    return None if table.is_disabled else config
