"""Reads a table of the operator's file key by key, with checks of type and range."""

from __future__ import annotations

from typing import Any

from cherrycove.broker.config._values import ConfigError, parse_host_port


class Table:
    """Typed access to a TOML table; each error names the key with its path.

    Keys that have not been read are errors (``reject_unknown_keys``). Of a disabled table only the names and
    types of the keys are checked: missing keys are not needed, and the values may be meant for another
    deployment.
    """

    def __init__(self, raw: Any, path: str, *, is_disabled: bool = False) -> None:
        """Wrap ``raw``, which stands at ``path`` in the file ("" for the top level).

        Raises:
            ConfigError: ``raw`` is not a table.
        """
        if not isinstance(raw, dict):
            raise ConfigError(f"{path} must be a table")
        self._raw = raw
        self._path = path
        self._unread_keys = set(raw)
        self._is_disabled = is_disabled

    @property
    def is_disabled(self) -> bool:
        """Whether the table, or one that contains it, is disabled."""
        return self._is_disabled

    @property
    def keys(self) -> list[str]:
        """All keys, in the order of the file."""
        return list(self._raw)

    def read_enabled(self) -> None:
        """Read the key ``enabled``, which is false by default.

        The other keys are read in any case: a misspelt ``enabled`` must not go unnoticed.
        """
        self._is_disabled = not self.value("enabled", bool, False)

    def key_path(self, key: str) -> str:
        """Return the key with the path of its table, as error messages name it."""
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str, kind: type, default: Any = None) -> Any:
        """Return the key's value; an integer is accepted where a float is expected.

        Raises:
            ConfigError: the value is of another type, or missing without a default.
        """
        self._unread_keys.discard(key)
        if self._is_disabled and default is None:
            default = kind()
        value = self._raw.get(key, default)
        if value is None:
            raise ConfigError(f"{self.key_path(key)} is missing")
        if type(value) is not kind and not (kind is float and type(value) is int):
            raise ConfigError(f"{self.key_path(key)} must be of type {kind.__name__}, not {value!r}")
        return value

    def number(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer from ``minimum`` to ``maximum``; ConfigError if the value is not one."""
        value: int = self.value(key, int, default)
        if not (minimum <= value <= maximum or self._is_disabled):
            raise ConfigError(f"{self.key_path(key)} must lie between {minimum} and {maximum}, not {value}")
        return value

    def choice(self, key: str, names: list[str], default: str | None = None) -> int:
        """Return the index in ``names`` of the key's value; ConfigError if it is none of them."""
        value: str = self.value(key, str, default)
        if self._is_disabled:
            return 0
        if value not in names:
            raise ConfigError(f"{self.key_path(key)} must be one of {', '.join(names)}, not {value!r}")
        return names.index(value)

    def address(self, key: str, default: str | None = None) -> tuple[str, int]:
        """Return host and port; ConfigError if the value is not ``HOST:PORT``."""
        text = self.value(key, str, default)
        return ("", 0) if self._is_disabled else parse_host_port(text, self.key_path(key))

    def table(self, key: str) -> Table:
        """Return the table under this key, an empty one if it is missing."""
        return Table(self.value(key, dict, {}), self.key_path(key), is_disabled=self._is_disabled)

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError if a key has not been read: this program does not know it."""
        if self._unread_keys:
            raise ConfigError(f"{self.key_path(min(self._unread_keys))} is not a setting of this program")
