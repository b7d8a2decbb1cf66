"""Internal calls over loopback."""

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
TIMEOUT_S = 10.0  # of a test's waits; nothing takes that long unless it fails

ECHO = RpcMethod("echo", BodyRequest, BodyReply)


async def echo(request: BodyRequest) -> Result[BodyReply, Failure]:
    if request.item_id == "elsewhere":
        return Err(Failure(ErrorKind.NOT_PRIMARY, "ask the other", "10.0.0.1:7720"))
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
        outcome = await client.call(free_address(), ECHO, BodyRequest(), 1.0)
        await client.stop()
        return outcome.unwrap_err()

    assert asyncio.run(run()).kind is ErrorKind.UNREACHABLE


class Calls:
    """One client and a server whose replies the test writes by hand."""

    def __init__(self, script: Script) -> None:
        self.server = ScriptedServer(script)
        self.client = RpcClient()

    async def __aenter__(self) -> Calls:
        await self.server.__aenter__()
        await self.client.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.client.stop()
        await self.server.__aexit__(*error)

    async def call(self, job: str, receiver: str = "") -> Result[BodyReply, Failure]:
        request = BodyRequest(job_id=job)
        return await self.client.call(self.server.address, ECHO, request, TIMEOUT_S, receiver=receiver)


def reply_to(arrival: ReceivedRequest) -> bytes:
    return BodyReply(body=BodyRequest.FromString(arrival.body).job_id.encode()).SerializeToString()


async def answered(line: ServerConnection, arrival: ReceivedRequest, **changed: str) -> None:
    """The right reply, but for the fields in ``changed``."""
    fields = {"X_Call": arrival.headers["x-call"]}
    if "x-receiver" in arrival.headers:
        fields["X_Receiver"] = arrival.headers["x-receiver"]
    await line.answer(reply_to(arrival), **fields | changed)


def other_number(call: str) -> str:
    life, _, number = call.partition(".")
    return f"{life}.{int(number) + 1}"


def other_life(call: str) -> str:
    return f"0{call}"


@pytest.mark.parametrize("other", (other_number, other_life))
@pytest.mark.parametrize("status", ("200 OK", "503 Service Unavailable"))
def test_the_reply_to_another_call_is_dropped_with_its_connection(
    other: Callable[[str], str], status: str
) -> None:
    async def script(line: ServerConnection, arrival: ReceivedRequest) -> None:
        if line.number == 1:
            wrong = other(arrival.headers["x-call"])
            return await line.answer(
                BodyReply(body=b"stale").SerializeToString(), status, X_Call=wrong, X_Error_Kind="not_primary"
            )
        await answered(line, arrival)

    async def story() -> None:
        async with Calls(script) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [arrival.connection for arrival in calls.server.requests] == [1, 2]

    asyncio.run(story())


def test_a_reply_without_the_calls_number_or_with_another_receiver_is_dropped() -> None:
    async def script(line: ServerConnection, arrival: ReceivedRequest) -> None:
        if line.number == 1:
            return await line.answer(reply_to(arrival))
        await answered(line, arrival, X_Receiver="m-2")

    async def story() -> None:
        async with Calls(script) as calls, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                assert (await calls.call("a", receiver="m-1")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert calls.server.connections == 2

    asyncio.run(story())


def test_a_second_reply_that_comes_after_the_next_call_is_not_its_reply() -> None:
    earlier: list[ReceivedRequest] = []

    async def script(line: ServerConnection, arrival: ReceivedRequest) -> None:
        for each in earlier:
            await answered(line, each)
        earlier.append(arrival)
        await answered(line, arrival)

    async def story() -> None:
        async with Calls(script) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap().body == b"a"
            assert (await calls.call("b")).unwrap_err().kind is ErrorKind.UNCERTAIN

    asyncio.run(story())


def test_a_second_reply_behind_the_first_ends_the_connection_unused() -> None:
    written = asyncio.Event()

    async def twice(line: ServerConnection, arrival: ReceivedRequest) -> None:
        await answered(line, arrival)
        if line.number == 1:
            await answered(line, arrival)
            written.set()

    async def story() -> None:
        async with Calls(twice) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap().body == b"a"
            await written.wait()  # it lies in the client's socket, read or not
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [arrival.connection for arrival in calls.server.requests] == [1, 2]

    asyncio.run(story())


def test_a_reply_that_comes_after_its_caller_gave_up_reaches_nobody() -> None:
    release = asyncio.Event()

    async def late(line: ServerConnection, arrival: ReceivedRequest) -> None:
        if line.number == 1:
            await release.wait()
        await answered(line, arrival)

    async def story() -> None:
        async with Calls(late) as calls, asyncio.timeout(TIMEOUT_S):
            given_up = asyncio.create_task(calls.call("a"))
            await calls.server.wait_for_requests(1)
            given_up.cancel()
            await asyncio.wait([given_up])
            release.set()
            assert (await calls.call("b")).unwrap().body == b"b"
            assert [arrival.connection for arrival in calls.server.requests] == [1, 2]

    asyncio.run(story())


def test_a_connection_that_was_closed_while_idle_costs_no_call() -> None:
    closed = asyncio.Event()

    async def last(line: ServerConnection, arrival: ReceivedRequest) -> None:
        await answered(line, arrival)
        await line.close()
        closed.set()

    async def story() -> None:
        async with Calls(last) as calls, asyncio.timeout(TIMEOUT_S):
            for job in ("a", "b", "c"):
                closed.clear()
                assert (await calls.call(job)).unwrap().body == job.encode()
                await closed.wait()
            assert len(calls.server.requests) == 3

    asyncio.run(story())


def test_a_redirection_is_no_reply_and_is_not_followed() -> None:
    async def elsewhere(line: ServerConnection, arrival: ReceivedRequest) -> None:
        target = f"http://{arrival.headers['host']}/x"
        await line.answer(status="307 Temporary Redirect", X_Call=arrival.headers["x-call"], Location=target)

    async def story() -> None:
        async with Calls(elsewhere) as calls, asyncio.timeout(TIMEOUT_S):
            assert (await calls.call("a")).unwrap_err().kind is ErrorKind.UNCERTAIN
            assert len(calls.server.requests) == 1

    asyncio.run(story())


def test_a_call_for_another_member_is_refused_and_does_not_run() -> None:
    ran: list[str] = []

    async def handler(request: BodyRequest) -> Result[BodyReply, Failure]:
        ran.append(request.job_id)
        return Ok(BodyReply())

    async def story() -> None:
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

    asyncio.run(story())


def test_two_lives_of_a_caller_number_their_calls_apart() -> None:
    async def story() -> None:
        async with ScriptedServer(answered) as server, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                client = RpcClient()
                await client.start()
                for _ in range(2):
                    await client.call(server.address, ECHO, BodyRequest(), TIMEOUT_S)
                await client.stop()
            calls = [arrival.headers["x-call"] for arrival in server.requests]
            assert len(set(calls)) == 4
            assert [call.partition(".")[2] for call in calls] == ["1", "2", "1", "2"]

    asyncio.run(story())


@pytest.mark.parametrize("program", (ControllerProgram, StoreProgram))
def test_a_replicas_server_knows_the_member_it_serves(
    program: type[ControllerProgram] | type[StoreProgram], tmp_path: Path
) -> None:
    settings = Settings(
        node_name="s-1", machine_class="storage", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], data_directory=str(tmp_path),
    )  # fmt: skip
    made = program(settings)
    assert made._server.member_id == made._group.identity.member_id != ""


@pytest.mark.parametrize("program", (ControllerProgram, StoreProgram))
def test_a_server_follows_the_new_identity_of_a_damaged_disk(
    program: type[ControllerProgram] | type[StoreProgram], tmp_path: Path
) -> None:
    """Calls meant for the new member were refused, so it could not be taken in before its next start."""
    settings = Settings(
        node_name="s-1", machine_class="storage", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], data_directory=str(tmp_path),
    )  # fmt: skip

    async def story() -> None:
        first = program(settings)
        await first._group.start()
        await first._group.stop()
        made = program(settings)
        before = made._server.member_id
        promise = made._group._options.directory / HARD_STATE_FILE
        promise.write_bytes(b"damaged")
        await made._group.start()
        assert made._server.member_id == made._group.identity.member_id != before
        await made._group.stop()

    asyncio.run(story())
