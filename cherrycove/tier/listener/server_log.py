"""The logger that the tier's HTTP servers pass to aiohttp; it drops what a client caused."""

from __future__ import annotations

import logging

from aiohttp.http import HttpProcessingError

_log = logging.getLogger(__name__)
_log.addFilter(lambda record: not _is_client_fault(record))


def server_logger() -> logging.Logger:
    """The logger of unforeseen errors in request handlers.

    A malformed request or a lost connection is not logged, since any client could flood the log.
    """
    return _log


def _is_client_fault(record: logging.LogRecord) -> bool:
    return bool(record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))
