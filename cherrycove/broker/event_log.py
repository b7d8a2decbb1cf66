"""The broker's structured log: each line is an event with a stable name and fields.

Lines are human-readable or, with ``form = "json"``, JSON; only the latter imports python-json-logger. Field
values are escaped, so that an event is always a single line.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any, TextIO

FORMS = ("human", "json")
_bound: ContextVar[dict[str, Any] | None] = ContextVar("bound", default=None)


@contextmanager
def bound(**fields: Any) -> Iterator[None]:
    """Add these fields to every event logged in this context, including tasks that are created in it."""
    token = _bound.set((_bound.get() or {}) | fields)
    try:
        yield
    finally:
        _bound.reset(token)


class Log:
    """Logs events of one component of the broker to the logger called ``name``."""

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def _write(
        self, level: int, event: str, fields: dict[str, Any], exc_info: BaseException | bool | None = None
    ) -> None:
        if self._logger.isEnabledFor(level):
            all_fields = (_bound.get() or {}) | fields
            self._logger.log(level, event, exc_info=exc_info, extra={"fields": all_fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log an event at level INFO."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event at level WARNING."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event at level ERROR."""
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log an event at level ERROR with the traceback of the exception being handled."""
        self._write(logging.ERROR, event, fields, exc_info=True)

    def critical(self, event: str, fault: BaseException | None = None, **fields: Any) -> None:
        """Log an event after which the process ends, with the traceback of ``fault``."""
        self._write(logging.CRITICAL, event, fields, exc_info=fault)


def _format_value(value: Any) -> str:
    """Return a field's value as logged: bare, or quoted and escaped if it is not a single plain word."""
    if isinstance(value, float):
        return f"{value:g}"
    plain = str(value)
    if plain and all("!" <= each <= "~" and each not in "\"'=\\" for each in plain):
        return plain
    return f'"{"".join(map(_escape, plain))}"'


def _escape(character: str) -> str:
    if character in '"\\':
        return "\\" + character
    if " " <= character <= "~":
        return character
    return character.encode("unicode_escape").decode()


class HumanFormatter(logging.Formatter):
    """Formats an event as ``LEVEL logger: event key=value ...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the traceback if there is one."""
        fields: dict[str, Any] = getattr(record, "fields", {})
        line = f"{record.levelname} {record.name}: {record.getMessage()}"
        line += "".join(f" {name}={_format_value(value)}" for name, value in fields.items())
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def _json_formatter() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    class EventJsonFormatter(JsonFormatter):
        def add_fields(
            self, log_data: dict[str, Any], record: logging.LogRecord, _message: dict[str, Any]
        ) -> None:
            log_data["time"] = self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}"
            log_data["level"], log_data["logger"] = record.levelname, record.name
            log_data["event"] = record.getMessage()
            log_data.update(getattr(record, "fields", {}))
            if record.exc_info:
                log_data["trace"] = self.formatException(record.exc_info)

    return EventJsonFormatter(json_default=str, json_ensure_ascii=True)


def start(form: str = "human", level: str = "INFO", stream: TextIO | None = None) -> None:
    """Configure logging to ``stream`` (by default standard error), in one of ``FORMS``, from ``level`` up."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_json_formatter() if form == "json" else HumanFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
