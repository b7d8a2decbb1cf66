"""Why the body of a request cannot be read; set by its connection, raised where a handler reads it."""

from __future__ import annotations

from aiohttp import web


class MalformedBodyError(web.RequestPayloadError):
    """The body is not what its head announces."""


class TrailersTooLargeError(web.RequestPayloadError):
    """The trailer section is longer than the limit for heads."""


class GaveWayError(web.RequestPayloadError):
    """The process needs the memory of a client that makes no progress or holds much."""


class BodyTooLargeError(web.RequestPayloadError):
    """The body is longer than the listener's limit."""
