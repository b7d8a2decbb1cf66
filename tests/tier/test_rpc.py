"""Internal calls over loopback connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs
import pytest
from loopback_ports import free_address
from result import Err, Ok, Result
from wire_support import ReceivedRequest, Script, ScriptedServer, ServerConnection

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.programs.controller import ControllerProgram
from cherrycove.tier.programs.store import StoreProgram
from cherrycove.tier.protocol.batch_pb2 import BodyReply, BodyRequest
from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.settings import Settings
from cherrycove.tier.storage.hard_state import HARD_STATE_FILE

LARGE_BYTES = 3 * 1024 * 1024
TIMEOUT_S = 10.0  # upper bound for a test's waits; reached only by a failing test

ECHO = RpcMethod("echo", BodyRequest, BodyReply)


async def echo(request: BodyRequest) -> Result[BodyReply, Failure]:
    if request.item_id == "elsewhere":
        return Err(Failure(ErrorKind.NOT_PRIMARY, "ask the other", "10.0.0.1:7720"))
    if request.item_id == "broken":
        raise LookupError("a fault of the handler")
    return Ok(BodyReply(body=request.job_id.encode()))


def exchange(request: BodyRequest, name: str = "echo") -> Result[BodyReply, Failure]:
    async def run() -> Result[BodyReply, Failure]:
        server, client, address = RpcServer(), RpcClient(), free_address()
        server.register(ECHO, echo)
        await server.start(address)
        await client.start()
        try:
            return await client.call(address, attrs.evolve(ECHO, name=name), request, 5.0)
        finally:
            await client.stop()
            await server.stop()

    return asyncio.run(run())


def test_a_call_gets_its_reply() -> None:
    assert exchange(BodyRequest(job_id="j")).unwrap().body == b"j"


def test_a_message_above_the_default_limit_of_the_http_server_is_accepted() -> None:
    assert len(exchange(BodyRequest(job_id="x" * LARGE_BYTES)).unwrap().body) == LARGE_BYTES


def test_an_error_keeps_its_kind_and_the_primary() -> None:
    failure = exchange(BodyRequest(item_id="elsewhere")).unwrap_err()
    assert failure == Failure(ErrorKind.NOT_PRIMARY, "ask the other", "10.0.0.1:7720")


def test_an_unknown_call_is_unavailable() -> None:
    assert exchange(BodyRequest(), "nothing").unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_an_unforeseen_error_of_a_handler_leaves_the_outcome_of_the_call_unknown(
    caplog: pytest.LogCaptureFixture,
) -> None:
    failure = exchange(BodyRequest(item_id="broken")).unwrap_err()
    assert failure == Failure(ErrorKind.UNCERTAIN, "internal error")
    (line,) = [line for line in caplog.records if line.getMessage() == "call_failed"]
    assert line.call == "/rpc/echo" and line.call_id  # type: ignore[attr-defined]


def test_an_address_without_a_server_is_unreachable() -> None:
    async def run() -> Failure:
        client = RpcClient()
        await client.start()
        outcome = await client.call(free_address(), ECHO, BodyRequest(), 1.0)
        await client.stop()
        return outcome.unwrap_err()

    assert asyncio.run(run()).kind is ErrorKind.UNREACHABLE


class ScriptedCalls:
    """A client, and a server whose replies are scripted by the test."""

    def __init__(self, script: Script) -> None:
        self.server = ScriptedServer(script)
        self.client = RpcClient()

    async def __aenter__(self) -> ScriptedCalls:
        await self.server.__aenter__()
        await self.client.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.client.stop()
        await self.server.__aexit__(*error)

    async def call(self, job: str, receiver: str = "") -> Result[BodyReply, Failure]:
        request = BodyRequest(job_id=job)
        return await self.client.call(self.server.address, ECHO, request, TIMEOUT_S, receiver=receiver)


def reply_to(request: ReceivedRequest) -> bytes:
    return BodyReply(body=BodyRequest.FromString(request.body).job_id.encode()).SerializeToString()


async def send_reply(connection: ServerConnection, request: ReceivedRequest, **changed: str) -> None:
    """Send the correct reply, except for the header fields in ``changed``."""
    fields = {"X_Call": request.headers["x-call"]}
    if "x-receiver" in request.headers:
        fields["X_Receiver"] = request.headers["x-receiver"]
    await connection.respond(reply_to(request), **fields | changed)


def other_number(call: str) -> str:
    incarnation, _, number = call.partition(".")
    return f"{incarnation}.{int(number) + 1}"


def other_incarnation(call: str) -> str:
    return f"0{call}"


@pytest.mark.parametrize("other", (other_number, other_incarnation))
@pytest.mark.parametrize("status", ("200 OK", "503 Service Unavailable"))
def test_the_reply_to_another_call_is_dropped_with_its_connection(
    other: Callable[[str], str], status: str
) -> None:
    async def script(connection: ServerConnection, request: ReceivedRequest) -> None:
        if connection.number == 1:
            wrong = other(request.headers["x-call"])
            return await connection.respond(
                BodyReply(body=b"stale").SerializeToString(), status, X_Call=wrong, X_Error_Kind="not_primary"
            )
        await send_reply(connection, request)

    async def scenario() -> None:
        async with ScriptedCalls(script) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [request.connection_number for request in calls.server.requests] == [1, 2]

    asyncio.run(scenario())


def test_a_reply_without_the_calls_number_or_with_another_receiver_is_dropped() -> None:
    async def script(connection: ServerConnection, request: ReceivedRequest) -> None:
        if connection.number == 1:
            return await connection.respond(reply_to(request))
        await send_reply(connection, request, X_Receiver="m-2")

    async def scenario() -> None:
        async with ScriptedCalls(script) as calls, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                assert (await calls.call("a", receiver="m-1")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert calls.server.connections == 2

    asyncio.run(scenario())


def test_a_duplicate_reply_is_not_taken_for_the_reply_to_the_next_call() -> None:
    earlier: list[ReceivedRequest] = []

    async def script(connection: ServerConnection, request: ReceivedRequest) -> None:
        for each in earlier:
            await send_reply(connection, each)
        earlier.append(request)
        await send_reply(connection, request)

    async def scenario() -> None:
        async with ScriptedCalls(script) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap().body == b"a"
            assert (await calls.call("b")).unwrap_err().kind is ErrorKind.UNCERTAIN

    asyncio.run(scenario())


def test_a_connection_with_a_duplicate_reply_is_not_reused() -> None:
    written = asyncio.Event()

    async def twice(connection: ServerConnection, request: ReceivedRequest) -> None:
        await send_reply(connection, request)
        if connection.number == 1:
            await send_reply(connection, request)
            written.set()

    async def scenario() -> None:
        async with ScriptedCalls(twice) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap().body == b"a"
            await written.wait()  # now it is in the client's socket, read or unread
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [request.connection_number for request in calls.server.requests] == [1, 2]

    asyncio.run(scenario())


def test_a_reply_to_a_cancelled_call_is_dropped() -> None:
    release = asyncio.Event()

    async def late(connection: ServerConnection, request: ReceivedRequest) -> None:
        if connection.number == 1:
            await release.wait()
        await send_reply(connection, request)

    async def scenario() -> None:
        async with ScriptedCalls(late) as calls, asyncio.timeout(TIMEOUT_S):
            cancelled = asyncio.create_task(calls.call("a"))
            await calls.server.wait_for_requests(1)
            cancelled.cancel()
            await asyncio.wait([cancelled])
            release.set()
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [request.connection_number for request in calls.server.requests] == [1, 2]

    asyncio.run(scenario())


def test_a_cancellation_in_the_same_turn_as_the_time_out_of_a_call_is_not_lost() -> None:
    """A caller that repeats its call until it is cancelled would go on for good."""

    async def run() -> None:
        loop, received = asyncio.get_running_loop(), asyncio.Event()

        async def never_reply(connection: ServerConnection, arrival: ReceivedRequest) -> None:
            received.set()

        client = RpcClient()
        await client.start()
        async with ScriptedServer(never_reply) as server, asyncio.timeout(TIMEOUT_S):
            call = asyncio.create_task(client.call(server.address, ECHO, BodyRequest(job_id="j"), 0.05))
            await received.wait()
            loop.call_later(0.05, call.cancel)  # later than the time-out, which the call has begun before
            until = loop.time() + 0.1
            while loop.time() < until:
                pass  # the event loop is late: both are due in its next turn
            with pytest.raises(asyncio.CancelledError):
                await call
        await client.stop()

    asyncio.run(run())


def test_a_connection_closed_while_idle_fails_no_call() -> None:
    closed = asyncio.Event()

    async def last(connection: ServerConnection, request: ReceivedRequest) -> None:
        await send_reply(connection, request)
        await connection.close()
        closed.set()

    async def scenario() -> None:
        async with ScriptedCalls(last) as calls, asyncio.timeout(TIMEOUT_S):
            for job in ("a", "b", "c"):
                closed.clear()
                assert (await calls.call(job)).unwrap().body == job.encode()
                await closed.wait()
            assert len(calls.server.requests) == 3

    asyncio.run(scenario())


def test_a_redirect_is_not_followed_and_fails_the_call() -> None:
    async def elsewhere(connection: ServerConnection, request: ReceivedRequest) -> None:
        target = f"http://{request.headers['host']}/x"
        await connection.respond(
            status="307 Temporary Redirect", X_Call=request.headers["x-call"], Location=target
        )

    async def scenario() -> None:
        async with ScriptedCalls(elsewhere) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert len(calls.server.requests) == 1

    asyncio.run(scenario())


def test_a_call_for_another_member_is_rejected_without_running() -> None:
    ran: list[str] = []

    async def handler(request: BodyRequest) -> Result[BodyReply, Failure]:
        ran.append(request.job_id)
        return Ok(BodyReply())

    async def scenario() -> None:
        server, client, address = RpcServer(), RpcClient(), free_address()
        server.register(ECHO, handler)
        server.set_member_id_source(lambda: "m-1")
        await server.start(address)
        await client.start()
        outcomes = [
            await client.call(address, ECHO, BodyRequest(job_id=member), TIMEOUT_S, member)
            for member in ("m-2", "m-1", "")
        ]
        await client.stop()
        await server.stop()
        refused = outcomes[0].unwrap_err()
        assert refused.kind is ErrorKind.MISDIRECTED and refused.had_no_effect
        assert [outcome.is_ok() for outcome in outcomes] == [False, True, True]
        assert ran == ["m-1", ""]

    asyncio.run(scenario())


def test_call_numbers_of_two_client_incarnations_are_distinct() -> None:
    async def scenario() -> None:
        async with ScriptedServer(send_reply) as server, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                client = RpcClient()
                await client.start()
                for _ in range(2):
                    await client.call(server.address, ECHO, BodyRequest(), TIMEOUT_S)
                await client.stop()
            calls = [request.headers["x-call"] for request in server.requests]
            assert len(set(calls)) == 4
            assert [call.partition(".")[2] for call in calls] == ["1", "2", "1", "2"]

    asyncio.run(scenario())


@pytest.mark.parametrize("program", (ControllerProgram, StoreProgram))
def test_the_server_of_a_replica_has_its_member_id(
    program: type[ControllerProgram] | type[StoreProgram], tmp_path: Path
) -> None:
    settings = Settings(
        node_name="s-1", machine_class="storage", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], data_directory=str(tmp_path),
    )  # fmt: skip
    replica = program(settings)
    assert replica._server.member_id == replica._group.identity.member_id != ""


@pytest.mark.parametrize("program", (ControllerProgram, StoreProgram))
def test_a_server_uses_the_new_member_id_of_a_damaged_disk(
    program: type[ControllerProgram] | type[StoreProgram], tmp_path: Path
) -> None:
    """Calls to the new member were once rejected, so it could not join its group until the next restart."""
    settings = Settings(
        node_name="s-1", machine_class="storage", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], data_directory=str(tmp_path),
    )  # fmt: skip

    async def scenario() -> None:
        first = program(settings)
        await first._group.start()
        await first._group.stop()
        replica = program(settings)
        before = replica._server.member_id
        hard_state = replica._group._options.directory / HARD_STATE_FILE
        hard_state.write_bytes(b"damaged")
        await replica._group.start()
        assert replica._server.member_id == replica._group.identity.member_id != before
        await replica._group.stop()

    asyncio.run(scenario())
