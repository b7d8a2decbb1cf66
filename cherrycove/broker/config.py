"""Configuration: the platform's RELAY_CONFIG and the operator's TOML file.

It owns the form of both and says in plain words what is wrong with one. It must never make up a figure that a
rule depends on, and never open a connection.
"""

from __future__ import annotations

import json
import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrycove.broker import consul, nbd
from cherrycove.broker import event_log as events
from cherrycove.broker import shared_map as store
from cherrycove.broker.core import NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.parse import HEX16, ListError, read_list
from cherrycove.scheduling import settings_check as known_settings
from cherrycove.scheduling import simulator_codec as wire
from cherrycove.scheduling.interface import Effect, Settings

log = Log("cherrycove.config")

PLATFORM_KEYS = {
    "admin",
    "discovery",
    "known",
    "limits",
    "listen",
    "name",
    "peer_listen",
    "peers",
    "peers_all",
    "seed",
    "settings",
    "tier",
}  # keys of the platform's file
MAX_LIMIT = 1 << 30  # descriptors, or MB: no machine has more
SERVICE = re.compile(r"[A-Za-z0-9._-]{1,128}", re.ASCII)


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the place."""


@dataclass(frozen=True, slots=True)
class BrokerTierConfig:
    """All brokers of the tier, where they may send each other datagrams."""

    number: int  # this broker's
    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]  # by number, its own included


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """What the platform tells a broker."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    settings: Settings
    zones: Mapping[str, int]
    dial_timeout_s: float
    idle_timeout_s: float
    known: NodeList | None
    admin: tuple[str, int] | None = None  # where operators call
    tier: BrokerTierConfig | None = None  # the other brokers; None: the deployment lets them not talk
    unknown_settings: tuple[str, ...] = ()  # names of settings that this program has never heard of
    unsupported_settings: tuple[str, ...] = ()  # what the settings ask that it does not do, in words


@dataclass(frozen=True, slots=True)
class DecisionLogConfig:
    """The record of recent decisions."""

    max_bytes: int  # in all
    spans_path: str = ""  # the file for traces; empty: none
    sampled_fraction: float = 0.0  # part of the served requests that are traced
    max_spans_per_s: int = 20  # traces of refused and failed ones


@dataclass(frozen=True, slots=True)
class LogConfig:
    """The log's form and least level."""

    form: str = "human"
    level: str = "INFO"


@dataclass(frozen=True, slots=True)
class WarmRestartConfig:
    """What the broker has learned, kept for its next life."""

    directory: str  # that lasts
    interval_s: float = 1.0  # s between two writes


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What the operator's file turns on beyond the platform's port."""

    nbd: nbd.NbdConfig | None = None
    consul: consul.ConsulConfig | None = None
    store: store.SharedMapConfig | None = None
    why: DecisionLogConfig | None = None
    log: LogConfig = LogConfig()
    memory: WarmRestartConfig | None = None


def parse_host_port(text: Any, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{what} must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def _seconds(settings: Any, name: str) -> float:
    try:
        value = settings["limits"][name]
    except (KeyError, TypeError):
        raise ConfigError(f"settings.limits lacks {name}") from None
    if type(value) not in (int, float) or value <= 0:
        raise ConfigError(f"settings.limits.{name} must be a number above 0, not {value!r}")
    return float(value) * wire.NS


def load_platform_config(env: Mapping[str, str] = os.environ) -> PlatformConfig:
    """The platform's configuration, from the file that RELAY_CONFIG names."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the broker's configuration file")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    try:
        return parse_platform_config(raw, env)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    except RecursionError:
        raise ConfigError(f"{path}: a value is nested too deeply") from None


def parse_platform_config(raw: dict[str, Any], env: Mapping[str, str]) -> PlatformConfig:
    settings: Any = raw.get("settings")
    if wrong := known_settings.misfit(settings, place="settings"):
        raise ConfigError(wrong)
    try:
        module = wire.parse_settings(json.dumps(settings))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    zones = settings.get("zones", [])
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError("settings.zones must be a list of names")
    places = {zone: place for place, zone in enumerate(zones)}
    known = None
    if raw.get("known") is not None:
        try:
            known = read_list(raw["known"], places)
        except ListError as error:
            raise ConfigError(f"known: {error}") from None
    limits = raw.get("limits") or {}
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
    if type(sockets) is not int or not 64 <= sockets <= MAX_LIMIT:
        raise ConfigError(
            f"limits.sockets must be a whole number from 64 to {MAX_LIMIT}, not {sockets!r:.80}"
        )
    memory = limits.get("memory_mb", 192) if isinstance(limits, dict) else 192
    if type(memory) not in (int, float) or not 0 < memory <= MAX_LIMIT:
        raise ConfigError(f"limits.memory_mb must be a number above 0, up to {MAX_LIMIT}, not {memory!r:.80}")
    try:
        seed = int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {raw.get('seed')!r}") from None
    tier = _tier(raw, settings, module.schedulers)
    admin = raw.get("admin") or env.get("RELAY_ADMIN")
    discovery = raw.get("discovery") or env.get("RELAY_DISCOVERY")
    parse_host_port(discovery, "discovery")
    return PlatformConfig(
        name=str(raw.get("name") or env.get("RELAY_NAME") or "broker"),
        listen=parse_host_port(raw.get("listen") or env.get("RELAY_LISTEN"), "listen"),
        discovery=str(discovery),
        seed=seed,
        sockets=sockets,
        memory_mb=memory,
        settings=module,
        zones=places,
        dial_timeout_s=_seconds(settings, "dialTimeoutNs"),
        idle_timeout_s=_seconds(settings, "connIdleNs"),
        known=known,
        admin=parse_host_port(admin, "admin") if admin else None,
        tier=tier,
        unknown_settings=(*known_settings.unknown(settings), *sorted(raw.keys() - PLATFORM_KEYS)),
        unsupported_settings=tuple(known_settings.unmet(settings)),
    )


def log_unsupported_settings(platform: PlatformConfig) -> None:
    """Name what is not understood. Guard: a rule that comes with it would be broken unseen."""
    if platform.unknown_settings:
        log.warning("config.settings_unknown", settings=" ".join(platform.unknown_settings))
    for words in platform.unsupported_settings:
        log.warning("config.setting_unmet", what=words)


def _tier(raw: dict[str, Any], settings: Any, brokers: int) -> BrokerTierConfig | None:
    """Where the settings allow no talk, or the configuration names nobody, there is none."""
    if not settings["limits"].get("mayTell") or not raw.get("peers") or not raw.get("peer_listen"):
        return None
    peers, number = raw["peers"], settings.get("me")
    if not isinstance(peers, list) or len(peers) != brokers:
        raise ConfigError(f"peers must be a list of {brokers} addresses, one for each broker of the settings")
    if type(number) is not int or not 0 <= number < brokers:
        raise ConfigError(f"settings.me must be a number from 0 to {brokers - 1}, not {number!r}")
    return BrokerTierConfig(
        number,
        parse_host_port(raw["peer_listen"], "peer_listen"),
        tuple(parse_host_port(peer, "peers") for peer in peers),
    )


class _Table:
    """A table of the operator's file, read key by key; keys that nobody asked for are errors.

    One that is off is held to the names and types of its keys alone: what is missing is not needed, and its
    values may fit another deployment than this one.
    """

    def __init__(self, raw: Any, where: str, off: bool = False) -> None:
        if not isinstance(raw, dict):
            raise ConfigError(f"{where} must be a table")
        self._raw, self._where, self._left, self.off = raw, where, set(raw), off

    def switch(self) -> None:
        """Read ``enabled``. Guard: the rest is read all the same; a misspelt switch turned nothing on."""
        self.off = not self.take("enabled", bool, False)

    def name(self, key: str) -> str:
        return f"{self._where}.{key}" if self._where else key

    def take(self, key: str, kind: type, default: Any = None) -> Any:
        self._left.discard(key)
        value = self._raw.get(key, kind() if self.off and default is None else default)
        if value is None:
            raise ConfigError(f"{self.name(key)} is missing")
        if type(value) is not kind and not (kind is float and type(value) is int):
            raise ConfigError(f"{self.name(key)} must be of type {kind.__name__}, not {value!r}")
        return value

    def number(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value: int = self.take(key, int, default)
        if not (least <= value <= most or self.off):
            raise ConfigError(f"{self.name(key)} must lie between {least} and {most}, not {value}")
        return value

    def choice(self, key: str, names: list[str], default: str | None = None) -> int:
        value: str = self.take(key, str, default)
        if self.off:
            return 0
        if value not in names:
            raise ConfigError(f"{self.name(key)} must be one of {', '.join(names)}, not {value!r}")
        return names.index(value)

    def address(self, key: str, default: str | None = None) -> tuple[str, int]:
        text = self.take(key, str, default)
        return ("", 0) if self.off else parse_host_port(text, self.name(key))

    def table(self, key: str) -> _Table:
        return _Table(self.take(key, dict, {}), self.name(key), self.off)

    def names(self) -> list[str]:
        return list(self._raw)

    def done(self) -> None:
        if self._left:
            raise ConfigError(f"{self.name(min(self._left))} is not a setting of this program")


def load_operator_config(path: Path, settings: Settings) -> OperatorConfig:
    """The operator's file; one that is absent turns nothing on."""
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return OperatorConfig()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    try:
        return parse_operator_config(tomllib.loads(text), settings)
    except (tomllib.TOMLDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_operator_config(raw: dict[str, Any], settings: Settings) -> OperatorConfig:
    top = _Table(raw, "")
    found = OperatorConfig(
        nbd=_nbd(top.table("nbd"), settings),
        consul=_consul(top.table("consul")),
        store=_store(top.table("store")),
        why=_why(top.table("why")),
        log=_log(top.table("log")),
        memory=_memory(top.table("memory")),
    )
    top.done()
    return found


def _nbd(table: _Table, settings: Settings) -> nbd.NbdConfig | None:
    table.switch()
    names = [cls.name for cls in settings.classes]
    classes = table.table("classes")
    words = {
        "read": nbd.Command.READ,
        "write": nbd.Command.WRITE,
        "trim": nbd.Command.TRIM,
        "flush": nbd.Command.FLUSH,
    }
    places = {command: classes.choice(word, names) for word, command in words.items()}
    classes.done()
    for word in ("write", "trim"):
        # Guard: a class that may be repeated would let a write run twice.
        if not table.off and settings.classes[places[words[word]]].effect is not Effect.UNSAFE:
            raise ConfigError(f"{classes.name(word)} must name a class that never runs twice")
    nodes, exports = table.table("nodes"), table.table("exports")
    setup = nbd.NbdConfig(
        listen=table.address("listen"),
        classes=places,
        exports={name: _export(name, exports.table(name), settings) for name in exports.names()},
        unit_bytes=table.number("unit_bytes", 512, 1 << 30, 8192),
        node_port=table.number("node_port", 1, 65535, 10809),
        nodes={name: nodes.address(name) for name in nodes.names()},
        connections=table.number("connections", 1, 512, 64),
        pipeline=table.number("pipeline", 1, 128, 16),
    )
    table.done()
    return None if table.off else setup


def _export(name: str, table: _Table, settings: Settings) -> nbd.Export:
    if len(name.encode()) > 4096 or not name:
        raise ConfigError(f"the name of {table.name('')} must hold 1 to 4096 bytes")
    volume: str = table.take("volume", str)
    if not (table.off or HEX16.fullmatch(volume)):
        raise ConfigError(f"{table.name('volume')} must be 16 hex digits, not {volume!r}")
    export = nbd.Export(
        name=name,
        volume=volume,
        shard=table.number("shard", 0, 1 << 30),
        plan=table.choice("plan", [plan.name for plan in settings.plans]),
        size=table.number("size", nbd.MIN_BLOCK_BYTES, (1 << 63) - 1),
        hosts=table.number("hosts", 1, settings.schedulers, 1),
        read_only=table.take("read_only", bool, False),
        description=table.take("description", str, ""),
    )
    if export.size % nbd.MIN_BLOCK_BYTES and not table.off:
        raise ConfigError(f"{table.name('size')} must be a multiple of {nbd.MIN_BLOCK_BYTES}")
    table.done()
    return export


def _consul(table: _Table) -> consul.ConsulConfig | None:
    table.switch()
    setup = consul.ConsulConfig(
        agent=table.address("agent", "127.0.0.1:8500"),
        service=table.take("service", str),
        wait_s=table.number("wait_s", 1, 600, 30),
        register=table.take("register", str, ""),
        ttl_s=table.number("ttl_s", 1, 3600, 10),
    )
    if not (table.off or SERVICE.fullmatch(setup.service)):
        raise ConfigError(f"{table.name('service')} must be a service's name, not {setup.service!r}")
    table.done()
    return None if table.off else setup


def _store(table: _Table) -> store.SharedMapConfig | None:
    table.switch()
    peers: list[Any] = table.take("peers", list)
    rows = table.table("config")
    entries = {f"config/{key}": _entry(rows.table(key)) for key in rows.names()}
    setup = store.SharedMapConfig(
        listen=table.address("listen"),
        entries=entries,
        peers=() if table.off else tuple(parse_host_port(peer, table.name("peers")) for peer in peers),
        interval_s=table.number("interval_ms", 10, 600_000, 1000) / 1000,
    )
    table.done()
    if table.off:
        return None
    for key, (version, value) in entries.items():
        try:
            store.Entry(key, version, "a name of this length", value).pack()
        except store.EntryError as error:
            raise ConfigError(f"{table.name('config')}: {error}") from None
    return setup


def _log(table: _Table) -> LogConfig:
    levels, forms = ["DEBUG", "INFO", "WARNING", "ERROR"], list(events.FORMS)
    setup = LogConfig(
        forms[table.choice("form", forms, "human")], levels[table.choice("level", levels, "INFO")]
    )
    table.done()
    return setup


def _why(table: _Table) -> DecisionLogConfig | None:
    table.switch()
    setup = DecisionLogConfig(
        max_bytes=table.number("bytes", 192 << 10, 1 << 30, 2 << 20),
        spans_path=table.take("spans", str, ""),
        sampled_fraction=float(table.take("sampled", float, 0.0)),
        max_spans_per_s=table.number("spans_a_second", 0, 10_000, 20),
    )
    if not (table.off or 0 <= setup.sampled_fraction <= 1):
        raise ConfigError(f"{table.name('sampled')} must lie between 0 and 1, not {setup.sampled_fraction}")
    table.done()
    return None if table.off else setup


def _memory(table: _Table) -> WarmRestartConfig | None:
    table.switch()
    setup = WarmRestartConfig(
        directory=table.take("folder", str), interval_s=table.number("interval_ms", 50, 600_000, 1000) / 1000
    )
    table.done()
    if not (table.off or Path(setup.directory).is_absolute()):
        # Guard: another working directory would be another memory.
        raise ConfigError(f"{table.name('folder')} must be an absolute path, not {setup.directory!r}")
    return None if table.off else setup


def _entry(table: _Table) -> tuple[int, str | None]:
    version = table.number("version", 1, store.MAX_COUNTER)
    value = None if table.take("deleted", bool, False) else table.take("value", str)
    table.done()
    return version, value
