"""Configuration: the platform's RELAY_CONFIG and the operator's TOML file.

It owns the form of both and says in plain words what is wrong with one. It must never make up a figure that a
rule depends on, and never open a connection.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cherrycove.core import NodeList
from cherrycove.http1 import ListError, read_list
from finchrack import wire
from finchrack.interface import Settings


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the place."""


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform tells a broker."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    settings: Settings
    zones: Mapping[str, int]
    dial_timeout: float
    conn_idle: float
    known: NodeList | None


def host_port(text: Any, what: str) -> tuple[str, int]:
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


def platform(env: Mapping[str, str] = os.environ) -> Platform:
    """The platform's configuration, from the file that RELAY_CONFIG names."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: it names the broker's configuration file")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    return read_platform(raw, env)


def read_platform(raw: dict[str, Any], env: Mapping[str, str]) -> Platform:
    settings: Any = raw.get("settings")
    try:
        module = wire.settings(json.dumps(settings))
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
    if type(sockets) is not int or sockets < 64:
        raise ConfigError(f"limits.sockets must be a whole number from 64 up, not {sockets!r}")
    try:
        seed = int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {raw.get('seed')!r}") from None
    discovery = raw.get("discovery") or env.get("RELAY_DISCOVERY")
    host_port(discovery, "discovery")
    return Platform(
        name=str(raw.get("name") or env.get("RELAY_NAME") or "broker"),
        listen=host_port(raw.get("listen") or env.get("RELAY_LISTEN"), "listen"), discovery=str(discovery),
        seed=seed, sockets=sockets, settings=module, zones=places,
        dial_timeout=_seconds(settings, "dialTimeoutNs"), conn_idle=_seconds(settings, "connIdleNs"),
        known=known)
