"""Internal calls: protobuf messages in HTTP bodies, by aiohttp on both sides.

A call is ``POST /rpc/NAME``. A 200 carries the reply message; any other status carries an ``X-Error-Kind`` of
the closed list, a sentence as body and, for NOT_PRIMARY, the address of the primary in ``X-Primary``. A call
that gets no answer is UNREACHABLE when no connection came up and UNCERTAIN otherwise.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web
from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.interface import Handler, Reply

KIND_HEADER = "X-Error-Kind"
PRIMARY_HEADER = "X-Primary"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
SHUTDOWN_TIMEOUT_S = 0.2


class RpcServer:
    """Serves registered calls on one address."""

    def __init__(self) -> None:
        self._calls: dict[str, tuple[type[Message], Handler]] = {}
        self._runner: web.ServerRunner | None = None

    def register(self, name: str, request_type: type[Message], handler: Handler) -> None:
        """``handler`` takes a message of ``request_type`` and returns a Result of a reply message."""
        self._calls[name] = (request_type, handler)

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
        name = request.path.removeprefix("/rpc/")
        call = self._calls.get(name)
        if call is None:
            return _error(Failure(ErrorKind.UNAVAILABLE, f"no call {name!r}"))
        request_type, handler = call
        try:
            message = request_type.FromString(await request.read())
        except (DecodeError, web.HTTPRequestEntityTooLarge) as error:
            return _error(Failure(ErrorKind.INVALID, f"{name}: {error}"))
        outcome = await handler(message)
        if isinstance(outcome, Err):
            return _error(outcome.err_value)
        return web.Response(body=outcome.ok_value.SerializeToString())


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


class RpcClient:
    """Makes internal calls over pooled connections."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        address: str,
        name: str,
        message: Message,
        reply_type: type[Reply],
        timeout_s: float,
        receiver: str = "",
    ) -> Result[Reply, Failure]:
        """One call to ``address`` (host:port), answered within ``timeout_s`` seconds or failed."""
        if self._session is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "client is not started"))
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            async with self._session.post(
                f"http://{address}/rpc/{name}", data=message.SerializeToString(), timeout=timeout
            ) as response:
                body = await response.read()
                if response.status == 200:
                    return Ok(reply_type.FromString(body))
                return Err(_failure(response, body))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{address} {name}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            return Err(Failure(ErrorKind.UNCERTAIN, f"{address} {name}: {type(error).__name__} {error}"))


def _failure(response: aiohttp.ClientResponse, body: bytes) -> Failure:
    try:
        kind = ErrorKind(response.headers.get(KIND_HEADER, ""))
    except ValueError:
        kind = ErrorKind.UNCERTAIN
    return Failure(kind, body.decode("utf-8", "replace"), response.headers.get(PRIMARY_HEADER, ""))
