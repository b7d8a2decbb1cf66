"""The one place where the tier makes HTTP client sessions.

A session sends a request once. The library repeats some requests by itself when a kept connection turns out
to be closed, although the first copy may have run; that is switched off here for whatever list of methods it
has. Whether to send again is decided by the callers, who know what may be repeated.
"""

from __future__ import annotations

from typing import Any

import aiohttp

REPEATS_SWITCH = "_retry_connection"  # the library has no public one


def client_session(**settings: Any) -> aiohttp.ClientSession:
    """A session that keeps no cookies and never sends a request a second time by itself; call it within
    the event loop. ``settings`` are those of ``aiohttp.ClientSession``."""
    session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), **settings)
    if not hasattr(session, REPEATS_SWITCH):
        raise RuntimeError(f"aiohttp has no {REPEATS_SWITCH}: its own repeats cannot be stopped")
    setattr(session, REPEATS_SWITCH, False)
    return session
