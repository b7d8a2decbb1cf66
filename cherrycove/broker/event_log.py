"""The broker's log: one event a line, by a stable name, with fields.

Lines are for people or, with ``form = "json"``, for programs; python-json-logger is imported for the latter
only. A field's text cannot end its line.
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
    """Add these fields to every line that is logged within, also by tasks that are started there."""
    token = _bound.set((_bound.get() or {}) | fields)
    try:
        yield
    finally:
        _bound.reset(token)


class Log:
    """Logs events of one part of the broker; ``name`` is its logger's."""

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def _write(
        self, level: int, event: str, fields: dict[str, Any], exc_info: BaseException | bool | None = None
    ) -> None:
        if self._logger.isEnabledFor(level):
            all_fields = (_bound.get() or {}) | fields
            self._logger.log(level, event, exc_info=exc_info, extra={"fields": all_fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log an event at this level."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event at this level."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event at this level."""
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Log an error within an except block, with its traceback."""
        self._write(logging.ERROR, event, fields, exc_info=True)

    def critical(self, event: str, fault: BaseException | None = None, **fields: Any) -> None:
        """Log an event after which the process ends, with the traceback of its fault."""
        self._write(logging.CRITICAL, event, fields, exc_info=fault)


def text(value: Any) -> str:
    """Return a field's value as logged: bare, or quoted and escaped if it would not be one word."""
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
    """Formats a line as ``LEVEL logger: event key=value ...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, and the traceback if there is one."""
        fields: dict[str, Any] = getattr(record, "fields", {})
        line = f"{record.levelname} {record.name}: {record.getMessage()}"
        line += "".join(f" {name}={text(value)}" for name, value in fields.items())
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def _json() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    class Json(JsonFormatter):
        def add_fields(
            self, log_data: dict[str, Any], record: logging.LogRecord, _message: dict[str, Any]
        ) -> None:
            log_data["time"] = self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}"
            log_data["level"], log_data["logger"] = record.levelname, record.name
            log_data["event"] = record.getMessage()
            log_data.update(getattr(record, "fields", {}))
            if record.exc_info:
                log_data["trace"] = self.formatException(record.exc_info)

    return Json(json_default=str, json_ensure_ascii=True)


def start(form: str = "human", level: str = "INFO", stream: TextIO | None = None) -> None:
    """Log to standard error, or this stream, in one of ``FORMS`` and from this level on."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_json() if form == "json" else HumanFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
