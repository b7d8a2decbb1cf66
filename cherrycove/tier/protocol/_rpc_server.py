"""The server of internal calls over HTTP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from aiohttp import web
from aiohttp.http import HttpProcessingError
from result import Err

from cherrycove.http_listener.errors import GaveWayError
from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.listener.client_server import ClientServer, ListenerBudget, reserve_for
from cherrycove.tier.listener.request_body import read_body
from cherrycove.tier.protocol._rpc_wire import (
    CALL_HEADER,
    IDENTITY_HEADERS,
    PATH_PREFIX,
    RECEIVER_HEADER,
    failure_response,
)
from cherrycove.tier.protocol.calls import HandlerTable
from cherrycove.tier.protocol.reply_memory import reserving_sent_replies

# A batch of replicated messages that is nearly complete, and one more with the largest configuration.
MAX_MESSAGE_BYTES = 24 * 1024 * 1024
MESSAGE_FACTOR = 4  # copies of a message in memory: received, parsed, as a command, and in the log
BODY_TIMEOUT_S = 10.0  # time limit for receiving a call
SHUTDOWN_TIMEOUT_S = 0.2
LIMITS = ClientLimits(max_body_bytes=MAX_MESSAGE_BYTES, header_timeout_ms=10_000.0, idle_timeout_ms=120_000.0)

_log = logging.getLogger(__name__)


class RpcServer(HandlerTable):
    """Serves the registered calls on one address.

    A call that is addressed to a member other than this process is rejected without running its handler.
    """

    def __init__(self, budget: ListenerBudget | None = None) -> None:
        """``budget`` is what callers may take of the process's memory and descriptors."""
        super().__init__()
        self._budget = budget
        self._member_id: Callable[[], str] = lambda: ""
        self._runner: web.ServerRunner | None = None

    def set_member_id_source(self, member_id: Callable[[], str]) -> None:
        """Reject calls that are addressed to another member from now on.

        ``member_id`` returns the id of this process. It is called for each request, since a disk that is
        found to be damaged gets a new id. Without it, handlers check the receiver themselves.
        """
        self._member_id = member_id

    @property
    def member_id(self) -> str:
        """Member id of this process; empty before ``set_member_id_source``."""
        return self._member_id()

    async def start(self, address: str) -> None:
        """Listen on ``address`` (host:port). Raises ``OSError`` if it cannot be bound."""
        server = ClientServer(
            self._handle, lambda: LIMITS, self._budget, body_factor=lambda _: MESSAGE_FACTOR
        )
        self._runner = await server.listen(address, SHUTDOWN_TIMEOUT_S)

    async def stop(self) -> None:
        """Close the listener and all connections; does nothing if the server is not started."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            response = await self._respond(request)
        except Exception:  # noqa: BLE001  # top level of the handler; the call may have had an effect
            details = {"call": request.path, "call_id": request.headers.get(CALL_HEADER, "")}
            _log.exception("call_failed", extra=details)
            response = failure_response(Failure(ErrorKind.UNCERTAIN, "internal error"))
        for name in IDENTITY_HEADERS:
            if name in request.headers:
                response.headers[name] = request.headers[name]
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        name = request.path.removeprefix(PATH_PREFIX)
        if not self.is_registered(name):
            return failure_response(Failure(ErrorKind.UNAVAILABLE, f"no call {name!r}"))
        receiver = request.headers.get(RECEIVER_HEADER, "")
        if receiver and self.member_id and receiver != self.member_id:
            detail = f"meant for {receiver}, this is {self.member_id}"
            return failure_response(Failure(ErrorKind.MISDIRECTED, detail))
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await read_body(request, MAX_MESSAGE_BYTES)
        except (GaveWayError, TimeoutError) as error:
            return failure_response(Failure(ErrorKind.OVERLOADED, f"{name} did not arrive: {error}"))
        except (web.RequestPayloadError, HttpProcessingError) as error:
            return failure_response(Failure(ErrorKind.INVALID, f"{name}: {error}"))
        except ConnectionError as error:  # nobody receives the reply
            return failure_response(Failure(ErrorKind.UNAVAILABLE, f"{name} did not arrive: {error}"))
        with reserving_sent_replies(partial(reserve_for, request)):
            outcome = await self.serve(name, body)
        if isinstance(outcome, Err):
            return failure_response(outcome.err_value)
        return web.Response(body=outcome.ok_value)
