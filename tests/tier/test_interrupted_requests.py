"""Servers of the control side whose client resets its connection, or garbles its request, within a body."""

from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from typing import Any, cast

import pytest
from loopback_ports import free_address
from result import Err
from wire_support import reset

from cherrycove.tier.controlplane.operator_api import CONFIGURATION_PATH, OperatorApi
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.batch_methods import BODY
from cherrycove.tier.protocol.rpc import RpcServer

TIMEOUT_S = 10.0
NOT_PRIMARY = Failure(ErrorKind.NOT_PRIMARY, "this is a stub")


class StubLeadership:
    """Never the primary."""

    async def wait_until_confirmed(self) -> Err[Failure]:
        return Err(NOT_PRIMARY)


async def unused(*arguments: Any) -> Any:
    raise AssertionError("the body never arrived completely")


def operator_api() -> OperatorApi:
    services = SimpleNamespace(put=unused, order=unused)
    return OperatorApi(cast(Any, StubLeadership()), cast(Any, services), cast(Any, services))


def rpc_server() -> RpcServer:
    server = RpcServer()
    server.register(BODY, unused)
    return server


async def send_and_end(address: str, request: bytes, *, is_reset: bool) -> bytes:
    """Send an incomplete request, then reset the connection; or return the response to a malformed one."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    await writer.drain()
    if is_reset:
        reset(writer)
        return b""
    response = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return response


async def wait_until_disconnected(server: OperatorApi | RpcServer) -> None:
    runner = server._runner
    assert runner is not None and runner.server is not None
    while cast(Any, runner.server).connections:
        await asyncio.sleep(0)


@pytest.mark.parametrize("make_server", (operator_api, rpc_server))
def test_a_client_that_resets_its_connection_within_a_body_is_no_error_of_the_server(
    make_server: Any, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        server, address = make_server(), free_address()
        await server.start(address)
        method, path = (
            ("PUT", CONFIGURATION_PATH) if isinstance(server, OperatorApi) else ("POST", "/rpc/body")
        )
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
        async with asyncio.timeout(TIMEOUT_S):
            for length in (1, 100):
                body = f"Content-Length: {length + 1}\r\n\r\n{'x' * length}"
                await send_and_end(address, (head + body).encode(), is_reset=True)
                await wait_until_disconnected(server)
            chunked = f"{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"
            response = await send_and_end(address, chunked.encode(), is_reset=False)
            assert response.split()[1] in (b"400", b"503")  # 503: only the primary says what is final
        await server.stop()

    asyncio.run(scenario())
    assert [line.getMessage() for line in caplog.records if line.levelno >= logging.ERROR] == []
