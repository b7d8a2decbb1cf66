"""The log of a daemon: one JSON object a line on standard output, by python-json-logger.

The message of a record is a stable event name; details travel in ``extra``.
"""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TIER_LOGGER = "cherrycove.tier"


def configure(program: str, node: str) -> None:
    """Log events of the tier from INFO on, and everything else from WARNING on."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"program": program, "node": node},
    )
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(formatter)
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(TIER_LOGGER).setLevel(logging.INFO)
