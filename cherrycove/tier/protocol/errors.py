"""Exceptions of the transport of internal calls. A failed call is reported as a ``Failure`` instead."""

from __future__ import annotations

import aiohttp


class ProtocolError(Exception):
    """Base class of the errors of this package."""


class StrayReplyError(ProtocolError, aiohttp.ClientConnectionError):
    """The remote peer sent a response that is not the reply to the call on this connection."""


class UnsupportedLibraryError(ProtocolError, RuntimeError):
    """The automatic retries of the installed version of aiohttp cannot be disabled."""
