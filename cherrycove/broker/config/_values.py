"""Values that occur in both configuration files, and the error that reading either raises."""

from __future__ import annotations

from typing import Any

MAX_PORT = 65535


class ConfigError(ValueError):
    """A configuration cannot be used; the message names the key or file."""


def parse_host_port(text: Any, setting: str) -> tuple[str, int]:
    """Return host and port from ``HOST:PORT``, an IPv6 address in brackets.

    Raises:
        ConfigError: the text does not have that form; the message names the setting as ``setting``.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{setting} must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)
