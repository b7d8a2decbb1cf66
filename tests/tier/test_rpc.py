"""Internal calls over loopback."""

from __future__ import annotations

import asyncio
import socket

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.batch_pb2 import BodyReply, BodyRequest
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer

LARGE_BYTES = 3 * 1024 * 1024


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def echo(request: BodyRequest) -> Result[BodyReply, Failure]:
    if request.item_id == "elsewhere":
        return Err(Failure(ErrorKind.NOT_PRIMARY, "ask the other", "10.0.0.1:7720"))
    return Ok(BodyReply(body=request.job_id.encode()))


def exchange(request: BodyRequest, name: str = "echo") -> Result[BodyReply, Failure]:
    async def run() -> Result[BodyReply, Failure]:
        server, client, address = RpcServer(), RpcClient(), free_address()
        server.register("echo", BodyRequest, echo)
        await server.start(address)
        await client.start()
        try:
            return await client.call(address, name, request, BodyReply, 5.0)
        finally:
            await client.stop()
            await server.stop()

    return asyncio.run(run())


def test_a_call_is_answered() -> None:
    assert exchange(BodyRequest(job_id="j")).unwrap().body == b"j"


def test_a_message_larger_than_the_servers_usual_bound_passes() -> None:
    assert len(exchange(BodyRequest(job_id="x" * LARGE_BYTES)).unwrap().body) == LARGE_BYTES


def test_an_error_keeps_its_kind_and_the_primary() -> None:
    failure = exchange(BodyRequest(item_id="elsewhere")).unwrap_err()
    assert failure == Failure(ErrorKind.NOT_PRIMARY, "ask the other", "10.0.0.1:7720")


def test_an_unknown_call_says_nothing_of_what_it_asks_for() -> None:
    assert exchange(BodyRequest(), "nothing").unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_nobody_there_is_unreachable() -> None:
    async def run() -> Failure:
        client = RpcClient()
        await client.start()
        outcome = await client.call(free_address(), "echo", BodyRequest(), BodyReply, 1.0)
        await client.stop()
        return outcome.unwrap_err()

    assert asyncio.run(run()).kind is ErrorKind.UNREACHABLE
