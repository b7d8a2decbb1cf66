"""The broker's log: one event a line, by a stable name, with fields.

It owns the form of a line and the fields that are bound to all lines of one request. It must never hold a
sentence that a program would have to take apart, let a field's text end its line, or import a library for a
form that is not chosen: ``form = "json"`` uses python-json-logger, and nothing else does.
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
    """These fields stand in every line that is written within, also by tasks that are started there."""
    token = _bound.set((_bound.get() or {}) | fields)
    try:
        yield
    finally:
        _bound.reset(token)


class Log:
    """Events of one part of the broker; ``name`` is its logger's."""

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def _write(
        self, level: int, event: str, fields: dict[str, Any], exc_info: BaseException | bool | None = None
    ) -> None:
        if self._logger.isEnabledFor(level):
            whole = (_bound.get() or {}) | fields
            self._logger.log(level, event, exc_info=exc_info, extra={"fields": whole})

    def info(self, event: str, **fields: Any) -> None:
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._write(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Within an except block: with its trace."""
        self._write(logging.ERROR, event, fields, exc_info=True)

    def critical(self, event: str, fault: BaseException | None = None, **fields: Any) -> None:
        self._write(logging.CRITICAL, event, fields, exc_info=fault)


def text(value: Any) -> str:
    """A field's value as it stands in a line: bare, or quoted where it would not be one word."""
    if isinstance(value, float):
        return f"{value:g}"
    said = str(value)
    if said and all("!" <= each <= "~" and each not in "\"'=\\" for each in said):
        return said
    escaped = "".join(
        each
        if " " <= each <= "~" and each not in '"\\'
        else each.encode("unicode_escape").decode()
        if each not in '"\\'
        else "\\" + each
        for each in said
    )
    return f'"{escaped}"'


class Human(logging.Formatter):
    """``LEVEL logger: event key=value ...``"""

    def format(self, record: logging.LogRecord) -> str:
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
            self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
        ) -> None:
            log_data["time"] = self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}"
            log_data["level"], log_data["logger"] = record.levelname, record.name
            log_data["event"] = record.getMessage()
            log_data.update(getattr(record, "fields", {}))
            if record.exc_info:
                log_data["trace"] = self.formatException(record.exc_info)

    return Json(json_default=str, json_ensure_ascii=True)


def start(form: str = "human", level: str = "INFO", stream: TextIO | None = None) -> None:
    """From now on all lines go to standard error, or this stream, in this form."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_json() if form == "json" else Human())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
