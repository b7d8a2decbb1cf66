"""The only module of the tier that creates HTTP client sessions.

A session sends a request once. aiohttp automatically retries requests of some methods if a keep-alive
connection turns out to be closed, although the first attempt may have run; this is disabled here for all
methods. Callers, who know which requests are idempotent, decide whether to retry.

Callers limit the time of a call with ``asyncio.timeout``, not with the library's ``total``: that one swallows
a cancellation of the task which comes in the same turn of the event loop, as it uncancels the task twice.

A keep-alive connection that received data after the last response is not reused either: aiohttp would take a
duplicate or late response for the response to the next request.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import Any

import aiohttp

from cherrycove.broker.http1.connector import PatientConnector
from cherrycove.broker.http1.guarded_connection import GuardedConnection
from cherrycove.broker.sockets import has_unread_input
from cherrycove.tier.protocol.errors import UnsupportedLibraryError

_RETRY_ATTRIBUTE = "_retry_connection"  # private attribute of a session; there is no public option


_log = logging.getLogger(__name__)


class NoRetryConnection(GuardedConnection):
    """A connection that is not reused after it has received unexpected data."""

    def is_connected(self) -> bool:
        """Return whether the connection can be reused; called by aiohttp while it is idle.

        Data received since the last response, read or not, is an end of stream, an error or a duplicate
        response; in each case the connection counts as closed.
        """
        if self.transport is None or not super().is_connected():
            return False
        return not self.should_close and not has_unread_input(self.transport)

    def _log_unforeseen_error(self, error: Exception) -> None:
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        _log.error("connection_failed", exc_info=error, extra={"peer": peer})


class NoRetryConnector(PatientConnector):
    """A connection pool whose connections are of a given class."""

    def __init__(self, connection: type[NoRetryConnection] = NoRetryConnection, **settings: Any) -> None:
        """``settings`` are passed to ``aiohttp.TCPConnector``."""
        super().__init__(**settings)
        self._factory = partial(connection, loop=self._loop)  # type: ignore[assignment]


def connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Limit the time for connecting; the caller limits that of the whole call."""
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds)


def client_session(connector: aiohttp.TCPConnector | None = None, **settings: Any) -> aiohttp.ClientSession:
    """Return a session that stores no cookies and never retries a request automatically.

    Must be called within the event loop. ``settings`` are passed to ``aiohttp.ClientSession``. Raises
    ``UnsupportedLibraryError`` if the retries of aiohttp cannot be disabled.
    """
    session = aiohttp.ClientSession(
        connector=connector or NoRetryConnector(), cookie_jar=aiohttp.DummyCookieJar(), **settings
    )
    if not hasattr(session, _RETRY_ATTRIBUTE):
        raise UnsupportedLibraryError(
            f"aiohttp session has no {_RETRY_ATTRIBUTE}: automatic retries cannot be disabled"
        )
    setattr(session, _RETRY_ATTRIBUTE, False)
    return session
