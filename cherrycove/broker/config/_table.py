"""A table of the operator's file, read key by key."""

from __future__ import annotations

from typing import Any

from cherrycove.broker.config._values import ConfigError, parse_host_port


class Table:
    """Typed access to a TOML table; each error names the key with its path.

    Keys that nobody has asked for are errors (``reject_unknown_keys``). A disabled table is checked for the
    names and types of its keys alone: what is missing is not needed, and its values may fit another
    deployment than this one.
    """

    def __init__(self, raw: Any, path: str, *, is_disabled: bool = False) -> None:
        """``path``: the table's place in the file, empty for the top. ConfigError if ``raw`` is no table."""
        if not isinstance(raw, dict):
            raise ConfigError(f"{path} must be a table")
        self._raw = raw
        self._path = path
        self._unread_keys = set(raw)
        self._is_disabled = is_disabled

    @property
    def is_disabled(self) -> bool:
        """Whether the table, or one that holds it, is switched off."""
        return self._is_disabled

    @property
    def keys(self) -> list[str]:
        """All keys in the order of the file."""
        return list(self._raw)

    def read_enabled(self) -> None:
        """Read the key ``enabled``, which is false by default.

        The other keys are read in any case: a misspelt ``enabled`` must not go unnoticed.
        """
        self._is_disabled = not self.value("enabled", bool, False)

    def key_path(self, key: str) -> str:
        """The key with the path of its table, as messages name it."""
        return f"{self._path}.{key}" if self._path else key

    def value(self, key: str, kind: type, default: Any = None) -> Any:
        """The key's value; an integer is accepted as a float.

        Raises:
            ConfigError: if the value is of another type, or missing without a default.
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

    def number(self, key: str, least: int, most: int, default: int | None = None) -> int:
        """An integer from ``least`` to ``most``; ConfigError if it is not."""
        value: int = self.value(key, int, default)
        if not (least <= value <= most or self._is_disabled):
            raise ConfigError(f"{self.key_path(key)} must lie between {least} and {most}, not {value}")
        return value

    def choice(self, key: str, names: list[str], default: str | None = None) -> int:
        """The index in ``names`` of the key's value; ConfigError if it is none of them."""
        value: str = self.value(key, str, default)
        if self._is_disabled:
            return 0
        if value not in names:
            raise ConfigError(f"{self.key_path(key)} must be one of {', '.join(names)}, not {value!r}")
        return names.index(value)

    def address(self, key: str, default: str | None = None) -> tuple[str, int]:
        """Host and port; ConfigError if the value is not ``HOST:PORT``."""
        text = self.value(key, str, default)
        return ("", 0) if self._is_disabled else parse_host_port(text, self.key_path(key))

    def table(self, key: str) -> Table:
        """The table under this key, empty if it is missing."""
        return Table(self.value(key, dict, {}), self.key_path(key), is_disabled=self._is_disabled)

    def reject_unknown_keys(self) -> None:
        """ConfigError if a key has not been read, which is then unknown to this program."""
        if self._unread_keys:
            raise ConfigError(f"{self.key_path(min(self._unread_keys))} is not a setting of this program")
