"""A client connection on which an unforeseen error ends the exchange like an error of the connection.

asyncio reports an exception that leaves a protocol's callback to whoever waits for the response, as it is.
Callers expect errors of connections only, so such an exception would pass all of them by, and with it what is
known of the request: it was sent, and may have been executed.
"""

from __future__ import annotations

import aiohttp
from aiohttp.client_proto import ResponseHandler


class UnforeseenReceiveError(aiohttp.ClientPayloadError):
    """An error of this program, raised while it read a response; its cause says which."""


class GuardedConnection(ResponseHandler):
    """Base class of connections that change how received bytes are handled; they override ``_receive``."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; called by the event loop, and by aiohttp when it resumes its parser."""
        try:
            self._receive(data)
        except Exception as error:  # noqa: BLE001  # top level of a callback; logged by the subclass
            self._log_unforeseen_error(error)
            self._fail_exchange(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the exchange; called by the event loop, with what a callback raised if one did."""
        if exc is not None and not isinstance(exc, OSError):
            failure = ConnectionAbortedError(f"{type(exc).__name__}: {exc}")
            failure.__cause__ = exc
            exc = failure
        super().connection_lost(exc)

    def _receive(self, data: bytes) -> None:
        super().data_received(data)

    def _log_unforeseen_error(self, error: Exception) -> None:
        """Log the error with its trace and what is known of the request; called before the exchange fails."""
        raise NotImplementedError

    def _fail_exchange(self, error: Exception) -> None:
        """Close the connection, and fail the response unless it was received completely."""
        failure = UnforeseenReceiveError(f"{type(error).__name__}: {error}")
        body = self._payload
        self.set_exception(failure, error)
        if body is not None and not body.is_eof():
            body.set_exception(failure, error)
        if self.transport is not None:
            self.transport.abort()
