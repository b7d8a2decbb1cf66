"""The log of a daemon: one JSON object a line on standard output, by python-json-logger.

The message of a record is a stable event name; details travel in ``extra``. Each line holds ``time`` (UTC),
``level``, ``event``, ``program`` and ``node``, then the details; these five are never replaced by a detail.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, TextIO

from pythonjsonlogger.core import LogData
from pythonjsonlogger.json import JsonFormatter

TIER_LOGGER = "cherrycove.tier"
DETAIL_PREFIX = "detail_"  # of a detail whose name is taken


class EventFormatter(JsonFormatter):
    """Renders one record as one line."""

    def __init__(self, program: str, node: str) -> None:
        super().__init__(json_default=str)
        self._program = program
        self._node = node

    def add_fields(self, log_data: LogData, record: logging.LogRecord, message_dict: dict[str, Any]) -> None:
        """Fill ``log_data`` in the order in which the fields are read best."""
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
    """Time of day in ISO 8601 to the millisecond."""
    milliseconds = round(created_s * 1000.0)
    whole_s, rest_ms = divmod(milliseconds, 1000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole_s))}.{rest_ms:03d}Z"


def configure(program: str, node: str, stream: TextIO | None = None) -> None:
    """Log events of the tier from INFO on, and everything else from WARNING on."""
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(EventFormatter(program, node))
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(TIER_LOGGER).setLevel(logging.INFO)
    _drop_unused_details()


def _drop_unused_details() -> None:
    """No line shows threads and processes, so no record needs to look them up."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
