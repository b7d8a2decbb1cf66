"""The log of a daemon: one JSON object per line on standard output, using python-json-logger.

The message of a record is a stable event name; details are passed in ``extra``. Each line contains ``time``
(UTC), ``level``, ``event``, ``program`` and ``node``, then the details; a detail never overwrites one of
these five fields.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, TextIO

from pythonjsonlogger.core import LogData
from pythonjsonlogger.json import JsonFormatter

TIER_LOGGER = "cherrycove.tier"
DETAIL_PREFIX = "detail_"  # prepended to a detail whose name is already in use


class EventFormatter(JsonFormatter):
    """Formats a record as one line of JSON."""

    def __init__(self, program: str, node: str) -> None:
        """``program`` and ``node`` appear in every line."""
        super().__init__(json_default=str)
        self._program = program
        self._node = node

    def add_fields(self, log_data: LogData, record: logging.LogRecord, message_dict: dict[str, Any]) -> None:
        """Fill ``log_data`` with the fields of a line, the most important ones first.

        Called by python-json-logger for each record.
        """
        log_data["time"] = _utc(record.created)
        log_data["level"] = record.levelname.lower()
        log_data["event"] = record.message
        log_data["program"] = self._program
        log_data["node"] = self._node
        for name, value in record.__dict__.items():
            if name not in self.reserved_attrs:
                log_data[DETAIL_PREFIX + name if name in log_data else name] = value
        log_data.update(message_dict)


def _utc(created_s: float) -> str:
    """Return the UTC time in ISO 8601 format with milliseconds."""
    seconds, milliseconds = divmod(round(created_s * 1000.0), 1000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{milliseconds:03d}Z"


def configure(program: str, node: str, stream: TextIO | None = None) -> None:
    """Log events of the tier at INFO and above, and those of other libraries at WARNING and above.

    Replaces any previous logging configuration. ``stream`` defaults to standard output.
    """
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(EventFormatter(program, node))
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(TIER_LOGGER).setLevel(logging.INFO)
    _skip_unused_lookups()


def _skip_unused_lookups() -> None:
    """Disable the lookup of threads and processes for each record, since log lines do not contain them."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
