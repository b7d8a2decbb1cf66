"""Internal calls: protobuf messages in HTTP bodies, by aiohttp on both sides.

A call is ``POST /rpc/NAME``. A 200 carries the reply message; any other status carries an ``X-Error-Kind`` of
the closed list, a sentence as body and, for NOT_PRIMARY, the address of the primary in ``X-Primary``.

A reply belongs to its call by name, not by its place on a connection: a call carries the life of its caller
and its number in that life (``X-Call``) and, where the caller means one member only, that member's id
(``X-Receiver``). The reply repeats both. What does not repeat them is no reply to this call: it is dropped
together with its connection. A server that is not the receiver refuses without running the call.

A call is sent once. One that gets no reply is UNREACHABLE if no connection came up, which proves that nothing
was sent, and UNCERTAIN in all other cases: it may have run.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
from aiohttp import StreamReader, web
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import HandlerTable, ReplyT, RequestT, RpcMethod
from cherrycove.tier.protocol.sessions import NoRetryConnection, NoRetryConnector, client_session

KIND_HEADER = "X-Error-Kind"
PRIMARY_HEADER = "X-Primary"
CALL_HEADER = "X-Call"
RECEIVER_HEADER = "X-Receiver"
IDENTITY_HEADERS = (CALL_HEADER, RECEIVER_HEADER)  # of a call, repeated by its reply
LIFE_BYTES = 6
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 30.0
SHUTDOWN_TIMEOUT_S = 0.2


class RpcServer(HandlerTable):
    """Serves registered calls on one address."""

    def __init__(self) -> None:
        super().__init__()
        self._member_id: Callable[[], str] = lambda: ""
        self._runner: web.ServerRunner | None = None

    def identify(self, member_id: Callable[[], str]) -> None:
        """From now on calls that are meant for another member than ``member_id`` tells are refused. It is
        asked at each call: a disk that turns out to be damaged gets a new id. A server that has not been told
        who it is leaves that to its handlers."""
        self._member_id = member_id

    @property
    def identity(self) -> str:
        """Id of the member that this process is; empty while not told."""
        return self._member_id()

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        server = web.Server(self._handle, request_factory=_request_factory(), access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        for name in IDENTITY_HEADERS:
            if name in request.headers:
                response.headers[name] = request.headers[name]
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        name = request.path.removeprefix("/rpc/")
        if not self.is_registered(name):
            return _error(Failure(ErrorKind.UNAVAILABLE, f"no call {name!r}"))
        receiver = request.headers.get(RECEIVER_HEADER, "")
        if receiver and self.identity and receiver != self.identity:
            return _error(Failure(ErrorKind.MISDIRECTED, f"meant for {receiver}, this is {self.identity}"))
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            return _error(Failure(ErrorKind.INVALID, f"{name}: {error}"))
        outcome = await self.serve(name, body)
        if isinstance(outcome, Err):
            return _error(outcome.err_value)
        return web.Response(body=outcome.ok_value)


def _request_factory() -> Callable[..., web.BaseRequest]:
    """Requests with bodies up to MAX_MESSAGE_BYTES; the server's own factory stops at 1 MiB."""
    loop = asyncio.get_running_loop()

    def make(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=MAX_MESSAGE_BYTES
        )

    return make


def _error(failure: Failure) -> web.Response:
    headers = {KIND_HEADER: failure.kind.value}
    if failure.primary:
        headers[PRIMARY_HEADER] = failure.primary
    return web.Response(status=failure.answer.status, text=failure.detail, headers=headers)


class StrayReplyError(aiohttp.ClientConnectionError):
    """What came on a connection is not the reply to the call that was sent over it."""


class CallConnection(NoRetryConnection):
    """The library's connection, which takes the reply to the call that was sent last, and nothing else.

    The library puts whatever comes into one queue, where a second or late reply would be the next call's.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected: dict[str, str | None] = {}

    def expect(self, headers: Mapping[str, str]) -> None:
        """From now on only the reply to the call with these header fields is taken."""
        self._expected = {name: headers.get(name) for name in IDENTITY_HEADERS}

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """From the library's parser: the head of a reply, and the body to come."""
        headers = data[0].headers
        expected, self._expected = self._expected, {}
        if expected and all(headers.get(name) == value for name, value in expected.items()):
            return super().feed_data(data, size)
        self.set_exception(StrayReplyError("the reply to another call"))
        if self.transport is not None:
            self.transport.close()


class CallRequest(aiohttp.ClientRequest):
    """A call that tells its connection which reply to take."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        protocol = conn.protocol
        assert isinstance(protocol, CallConnection)
        protocol.expect(self.headers)
        return await super().send(conn)


class RpcClient:
    """Makes internal calls over pooled connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._life = secrets.token_hex(LIFE_BYTES)
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        connector = NoRetryConnector(CallConnection, limit=0, keepalive_timeout=KEEP_ALIVE_S)
        self._session = client_session(connector, request_class=CallRequest, auto_decompress=False)

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        address: str,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
        receiver: str = "",
    ) -> Result[ReplyT, Failure]:
        """One call to ``address`` (host:port), sent once, answered within ``timeout_s`` seconds or failed."""
        if self._session is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "client is not started"))
        identity = {CALL_HEADER: f"{self._life}.{next(self._numbers)}"}
        if receiver:
            identity[RECEIVER_HEADER] = receiver
        target = f"{address} {method.name}"
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            async with self._session.post(
                f"http://{address}/rpc/{method.name}", data=request.SerializeToString(), headers=identity,
                timeout=timeout, allow_redirects=False,
            ) as response:  # fmt: skip
                body = await response.read()
                if response.status == 200:
                    return Ok(method.reply_type.FromString(body))
                return Err(_failure(response, body))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{target}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            return Err(
                Failure(ErrorKind.UNCERTAIN, f"{address} {method.name}: {type(error).__name__} {error}")
            )


def _failure(response: aiohttp.ClientResponse, body: bytes) -> Failure:
    try:
        kind = ErrorKind(response.headers.get(KIND_HEADER, ""))
    except ValueError:
        kind = ErrorKind.UNCERTAIN
    return Failure(kind, body.decode("utf-8", "replace"), response.headers.get(PRIMARY_HEADER, ""))
