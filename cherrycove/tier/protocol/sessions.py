"""The one place where the tier makes HTTP client sessions.

A session sends a request once. The library repeats some requests by itself when a kept connection turns out
to be closed, although the first copy may have run; that is switched off here for whatever list of methods it
has. Whether to send again is decided by the callers, who know what may be repeated.

Nor is a kept connection used again on which anything came after the last answer: the library would take a
second or late answer for that to the next request.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from cherrycove.broker.sockets import unread

REPEATS_SWITCH = "_retry_connection"  # the library has no public one


class NoRetryConnection(ResponseHandler):
    """The library's connection, which is not used again once something has come that nobody asked for."""

    def is_connected(self) -> bool:
        """Asked while the connection stands idle: what came since the last answer, read or not, is an end, a
        fault or a second answer."""
        if self.transport is None or not super().is_connected():
            return False
        return not self.should_close and not unread(self.transport)


class NoRetryConnector(aiohttp.TCPConnector):
    """The library's pool, with connections of a class of ours."""

    def __init__(self, connection: type[NoRetryConnection] = NoRetryConnection, **settings: Any) -> None:
        super().__init__(**settings)
        self._factory = partial(connection, loop=self._loop)  # type: ignore[assignment]


def client_session(connector: aiohttp.TCPConnector | None = None, **settings: Any) -> aiohttp.ClientSession:
    """A session that keeps no cookies and never sends a request a second time by itself; call it within
    the event loop. ``settings`` are further ones of ``aiohttp.ClientSession``."""
    session = aiohttp.ClientSession(
        connector=connector or NoRetryConnector(), cookie_jar=aiohttp.DummyCookieJar(), **settings
    )
    if not hasattr(session, REPEATS_SWITCH):
        raise RuntimeError(f"aiohttp has no {REPEATS_SWITCH}: its own repeats cannot be stopped")
    setattr(session, REPEATS_SWITCH, False)
    return session
