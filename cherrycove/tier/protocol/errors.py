"""Errors that the transport of internal calls raises. What a call fails with is a ``Failure`` instead."""

from __future__ import annotations

import aiohttp


class ProtocolError(Exception):
    """Base of the errors of this package."""


class StrayReplyError(ProtocolError, aiohttp.ClientConnectionError):
    """The remote side's fault: what came on a connection is not the reply to the call sent over it."""


class UnsupportedLibraryError(ProtocolError, RuntimeError):
    """The installation's fault: this version of aiohttp cannot be kept from sending requests twice."""
