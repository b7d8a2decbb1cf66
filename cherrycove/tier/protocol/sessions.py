"""The one place where the tier makes HTTP client sessions.

A session sends a request once. aiohttp repeats some requests by itself when a kept connection turns out to
be closed, although the first one may have run; that is switched off here, for whatever methods it has in its
list. Whether to retry is decided by the callers, who know which requests are idempotent.

Nor is a kept connection used again on which anything came after the last response: aiohttp would take a
second or late response for that to the next request.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from cherrycove.broker.sockets import has_unread_input
from cherrycove.tier.protocol.errors import UnsupportedLibraryError

_RETRY_ATTRIBUTE = "_retry_connection"  # of a session; aiohttp has no public one


class NoRetryConnection(ResponseHandler):
    """A connection that is not used again once something has come that nobody asked for."""

    def is_connected(self) -> bool:
        """Asked by aiohttp while the connection is idle, before it is used again.

        What came since the last response, read or not, is the end of the connection, a fault or a second
        response; in each case the connection counts as closed.
        """
        if self.transport is None or not super().is_connected():
            return False
        return not self.should_close and not has_unread_input(self.transport)


class NoRetryConnector(aiohttp.TCPConnector):
    """A pool whose connections are of the given class."""

    def __init__(self, connection: type[NoRetryConnection] = NoRetryConnection, **settings: Any) -> None:
        """``settings`` are those of ``aiohttp.TCPConnector``."""
        super().__init__(**settings)
        self._factory = partial(connection, loop=self._loop)  # type: ignore[assignment]


def client_session(connector: aiohttp.TCPConnector | None = None, **settings: Any) -> aiohttp.ClientSession:
    """A session that keeps no cookies and never sends a request a second time by itself.

    To be called within the event loop. ``settings`` are further ones of ``aiohttp.ClientSession``. Raises
    ``UnsupportedLibraryError`` where the retries of aiohttp cannot be switched off.
    """
    session = aiohttp.ClientSession(
        connector=connector or NoRetryConnector(), cookie_jar=aiohttp.DummyCookieJar(), **settings
    )
    if not hasattr(session, _RETRY_ATTRIBUTE):
        raise UnsupportedLibraryError(f"aiohttp has no {_RETRY_ATTRIBUTE}: its own repeats cannot be stopped")
    setattr(session, _RETRY_ATTRIBUTE, False)
    return session
