"""The client of internal calls over HTTP, and its pooled connections."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Mapping

import aiohttp
from aiohttp import StreamReader
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol._rpc_wire import (
    CALL_HEADER,
    IDENTITY_HEADERS,
    PATH_PREFIX,
    RECEIVER_HEADER,
    parse_failure,
)
from cherrycove.tier.protocol.calls import Caller, OutgoingCall, ReplyT, RequestT
from cherrycove.tier.protocol.errors import StrayReplyError
from cherrycove.tier.protocol.reply_memory import reserve_received_reply
from cherrycove.tier.protocol.sessions import (
    NoRetryConnection,
    NoRetryConnector,
    client_session,
    connect_timeout,
)

INCARNATION_BYTES = 6
CONNECT_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 30.0


class CallConnection(NoRetryConnection):
    """A connection that accepts only the reply to the most recent call.

    aiohttp puts all replies into one queue, where a duplicate or late one would be taken for the reply to the
    next call.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected: dict[str, str | None] = {}

    def expect(self, headers: Mapping[str, str]) -> None:
        """Accept only the reply to the call with these header fields from now on."""
        self._expected = {name: headers.get(name) for name in IDENTITY_HEADERS}

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Handle a reply; called by aiohttp's parser with its head and the stream of its body."""
        headers = data[0].headers
        expected, self._expected = self._expected, {}
        if expected and all(headers.get(name) == value for name, value in expected.items()):
            super().feed_data(data, size)
            return
        self.set_exception(StrayReplyError("the reply to another call"))
        if self.transport is not None:
            self.transport.close()


class CallRequest(aiohttp.ClientRequest):
    """A request that tells its connection which reply to accept."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Send the request; called by aiohttp once the request has a connection."""
        protocol = conn.protocol
        assert isinstance(protocol, CallConnection)
        protocol.expect(self.headers)
        return await super().send(conn)


class RpcClient(Caller):
    """Makes internal calls over pooled connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Open the connection pool; calls before that fail with UNREACHABLE."""
        connector = NoRetryConnector(CallConnection, limit=0, keepalive_timeout=KEEP_ALIVE_S)
        self._session = client_session(connector, request_class=CallRequest, auto_decompress=False)

    async def stop(self) -> None:
        """Close all connections; pending calls fail."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(self, call: OutgoingCall[RequestT, ReplyT]) -> Result[ReplyT, Failure]:
        """Send a call over a pooled or a new connection."""
        if self._session is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "client is not started"))
        target = f"{call.address} {call.method.name}"
        try:
            async with (
                asyncio.timeout(call.timeout_s),
                self._session.post(
                    f"http://{call.address}{PATH_PREFIX}{call.method.name}",
                    data=call.request.SerializeToString(),
                    headers=self._identity_headers(call.receiver),
                    timeout=connect_timeout(min(CONNECT_TIMEOUT_S, call.timeout_s)),
                    allow_redirects=False,
                ) as response,
            ):
                await reserve_received_reply(response.content_length or 0)
                body = await response.read()
                if response.status == 200:
                    return Ok(call.method.reply_type.FromString(body))
                return Err(parse_failure(response.headers, body))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{target}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError, RuntimeError, DecodeError) as error:
            # aiohttp raises RuntimeError if the connection was closed by this process.
            return Err(Failure(ErrorKind.UNCERTAIN, f"{target}: {type(error).__name__} {error}"))

    def _identity_headers(self, receiver: str) -> dict[str, str]:
        identity = {CALL_HEADER: f"{self._incarnation}.{next(self._numbers)}"}
        if receiver:
            identity[RECEIVER_HEADER] = receiver
        return identity
