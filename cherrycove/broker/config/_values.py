"""Values that both configuration files hold, and the error of both."""

from __future__ import annotations

from typing import Any

MAX_PORT = 65535


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the place."""


def parse_host_port(text: Any, what: str) -> tuple[str, int]:
    """Host and port out of ``HOST:PORT``, an IPv6 address in brackets.

    Raises:
        ConfigError: if the text is nothing of that form; the message calls it ``what``.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{what} must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)
