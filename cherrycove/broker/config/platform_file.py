"""Reads the platform's configuration: the JSON file that ``RELAY_CONFIG`` names, and ``RELAY_`` variables."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrycove.broker.config._values import ConfigError, parse_host_port
from cherrycove.broker.core import NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.http1.parse import NodeListError, parse_node_list_json
from cherrycove.scheduling import settings_check, simulator_codec
from cherrycove.scheduling.interface import Settings

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
}
MAX_LIMIT = 1 << 30  # file descriptors or MB; no machine has more
MIN_SOCKETS = 64
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192


@dataclass(frozen=True, slots=True)
class BrokerTierConfig:
    """The addresses at which the brokers of the tier send each other datagrams.

    ``number`` is this broker's index in ``peers``, which holds the addresses of all brokers.
    """

    number: int
    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The broker's configuration as the platform sets it.

    Attributes:
        name: this broker's name.
        listen: host and port that serve clients over HTTP.
        discovery: ``HOST:PORT`` of the source of the node list.
        seed: seed of the scheduler's random numbers.
        sockets: file descriptors that connections may use.
        memory_mb: memory that the process may use.
        settings: settings of the scheduler.
        zones: the index of each zone, by name.
        dial_timeout_s: the time limit for connecting to a node.
        idle_timeout_s: the time after which nodes close idle connections.
        known: the last node list; None if there is none.
        admin: host and port for operators' calls; None if there are to be no calls.
        tier: the brokers of the tier; None if they must not communicate or no peers are listed.
        unknown_settings: names of settings that this program does not know.
        unsupported_settings: descriptions of what the settings ask for and this program does not do.
    """

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
    admin: tuple[str, int] | None = None
    tier: BrokerTierConfig | None = None
    unknown_settings: tuple[str, ...] = ()
    unsupported_settings: tuple[str, ...] = ()


def load_platform_config(env: Mapping[str, str] = os.environ) -> PlatformConfig:
    """Return the configuration in the file that ``RELAY_CONFIG`` names.

    Raises:
        ConfigError: the variable is not set, or the file cannot be read or used.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the broker's configuration file")
    raw = _read_json(path)
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    try:
        return parse_platform_config(raw, env)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    except RecursionError as error:
        raise ConfigError(f"{path}: a value is nested too deeply") from error


def _read_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error


def parse_platform_config(raw: dict[str, Any], env: Mapping[str, str]) -> PlatformConfig:
    """Return the configuration in a parsed file; ``RELAY_*`` variables supply the name or addresses it lacks.

    Raises:
        ConfigError: a value cannot be used; the first such value is named.
    """
    raw_settings: Any = raw.get("settings")
    settings = _parse_settings(raw_settings)
    zones = _parse_zones(raw_settings)
    known = _parse_known_nodes(raw.get("known"), zones)
    sockets, memory_mb = _parse_limits(raw.get("limits") or {})
    seed = _parse_seed(raw)
    tier = _parse_tier(raw, raw_settings, settings.schedulers)
    admin = raw.get("admin") or env.get("RELAY_ADMIN")
    discovery = raw.get("discovery") or env.get("RELAY_DISCOVERY")
    parse_host_port(discovery, "discovery")
    return PlatformConfig(
        name=str(raw.get("name") or env.get("RELAY_NAME") or "broker"),
        listen=parse_host_port(raw.get("listen") or env.get("RELAY_LISTEN"), "listen"),
        discovery=str(discovery),
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        settings=settings,
        zones=zones,
        dial_timeout_s=_duration_s(raw_settings, "dialTimeoutNs"),
        idle_timeout_s=_duration_s(raw_settings, "connIdleNs"),
        known=known,
        admin=parse_host_port(admin, "admin") if admin else None,
        tier=tier,
        unknown_settings=(*settings_check.unknown_names(raw_settings), *sorted(raw.keys() - PLATFORM_KEYS)),
        unsupported_settings=tuple(settings_check.unsupported_requests(raw_settings)),
    )


def _parse_settings(raw_settings: Any) -> Settings:
    if problem := settings_check.find_invalid_value(raw_settings, place="settings"):
        raise ConfigError(problem)
    try:
        return simulator_codec.parse_settings(json.dumps(raw_settings))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from error


def _parse_zones(raw_settings: Any) -> dict[str, int]:
    zones = raw_settings.get("zones", [])
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError("settings.zones must be a list of names")
    return {zone: index for index, zone in enumerate(zones)}


def _parse_known_nodes(raw_known: Any, zones: Mapping[str, int]) -> NodeList | None:
    if raw_known is None:
        return None
    try:
        return parse_node_list_json(raw_known, zones)
    except NodeListError as error:
        raise ConfigError(f"known: {error}") from error


def _parse_limits(limits: Any) -> tuple[int, float]:
    """Return file descriptors and memory in MB; the defaults if ``limits`` is not an object."""
    sockets = limits.get("sockets", DEFAULT_SOCKETS) if isinstance(limits, dict) else DEFAULT_SOCKETS
    if type(sockets) is not int or not MIN_SOCKETS <= sockets <= MAX_LIMIT:
        raise ConfigError(
            f"limits.sockets must be a whole number from {MIN_SOCKETS} to {MAX_LIMIT}, not {sockets!r:.80}"
        )
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB) if isinstance(limits, dict) else DEFAULT_MEMORY_MB
    if type(memory_mb) not in (int, float) or not 0 < memory_mb <= MAX_LIMIT:
        raise ConfigError(
            f"limits.memory_mb must be a number above 0, up to {MAX_LIMIT}, not {memory_mb!r:.80}"
        )
    return sockets, memory_mb


def _parse_seed(raw: dict[str, Any]) -> int:
    try:
        return int(str(raw.get("seed", "")), 16)
    except ValueError as error:
        raise ConfigError(f"seed must be hex digits, not {raw.get('seed')!r}") from error


def _duration_s(raw_settings: Any, name: str) -> float:
    try:
        value = raw_settings["limits"][name]
    except (KeyError, TypeError) as error:
        raise ConfigError(f"settings.limits lacks {name}") from error
    if type(value) not in (int, float) or value <= 0:
        raise ConfigError(f"settings.limits.{name} must be a number above 0, not {value!r}")
    return float(value) * simulator_codec.NS


def _parse_tier(raw: dict[str, Any], raw_settings: Any, broker_count: int) -> BrokerTierConfig | None:
    """Return None if the settings do not let brokers communicate or the file names no peers."""
    may_communicate = raw_settings["limits"].get("mayTell")
    if not may_communicate or not raw.get("peers") or not raw.get("peer_listen"):
        return None
    peers, number = raw["peers"], raw_settings.get("me")
    if not isinstance(peers, list) or len(peers) != broker_count:
        raise ConfigError(
            f"peers must be a list of {broker_count} addresses, one for each broker of the settings"
        )
    if type(number) is not int or not 0 <= number < broker_count:
        raise ConfigError(f"settings.me must be a number from 0 to {broker_count - 1}, not {number!r}")
    return BrokerTierConfig(
        number=number,
        listen=parse_host_port(raw["peer_listen"], "peer_listen"),
        peers=tuple(parse_host_port(peer, "peers") for peer in peers),
    )


def log_unsupported_settings(platform: PlatformConfig) -> None:
    """Log the settings that this program does not know or support; it may break a rule that they set."""
    if platform.unknown_settings:
        log.warning("config.settings_unknown", settings=" ".join(platform.unknown_settings))
    for request in platform.unsupported_settings:
        log.warning("config.setting_unmet", what=request)
