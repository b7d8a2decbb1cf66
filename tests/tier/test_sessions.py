"""Every HTTP session of the tier sends a request exactly once, even if its connection is closed or reset."""

from __future__ import annotations

import ast
import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import pytest
from multidict import CIMultiDict
from wire_support import ReceivedRequest, Script, ScriptedServer, ServerConnection

import cherrycove.tier
from cherrycove.tier.cli.http_client import HttpRequest, send_once
from cherrycove.tier.controlplane.broker_discovery import BrokerDiscoveryClient
from cherrycove.tier.dataplane.upstream import ResponseStarted, UpstreamClient, UpstreamRequest
from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.batch_methods import BODY
from cherrycove.tier.protocol.batch_pb2 import BodyRequest
from cherrycove.tier.protocol.rpc import RpcClient
from cherrycove.tier.protocol.sessions import client_session
from cherrycove.tier.settings import CloudApi, Settings

TIMEOUT_S = 10.0  # upper bound for a test's waits; reached only by a failing test
METHODS = ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH")
TIER = Path(cherrycove.tier.__file__).parent
HELPER = TIER / "protocol" / "sessions.py"


async def closes(connection: ServerConnection) -> None:
    await connection.close()


async def resets(connection: ServerConnection) -> None:
    connection.reset()


ENDS = (closes, resets)
End = Callable[[ServerConnection], Awaitable[None]]


def ends_second(end: End) -> Script:
    """Responds to the first request of a connection, and ends it after receiving the second one."""
    seen: set[int] = set()

    async def script(connection: ServerConnection, request: ReceivedRequest) -> None:
        if connection.number in seen:
            return await end(connection)
        seen.add(connection.number)
        echoed = {name: request.headers[name] for name in ("request-id", "x-call") if name in request.headers}
        await connection.respond(status="200 OK", Response_Signature="s", **echoed)

    return script


def check(use: Callable[[str, int], Awaitable[bool]], end: End) -> None:
    """``use(address, number)`` makes one call and returns whether it got a complete response."""

    async def scenario() -> None:
        async with ScriptedServer(ends_second(end)) as server, asyncio.timeout(TIMEOUT_S):
            assert await use(server.address, 1)
            assert not await use(server.address, 2)
            assert [request.connection_number for request in server.requests] == [1, 1]

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("method", METHODS)
def test_a_request_is_sent_once_if_its_keep_alive_connection_ends(method: str, end: End) -> None:
    async def scenario() -> None:
        async with ScriptedServer(ends_second(end)) as server, client_session() as session:
            async with asyncio.timeout(TIMEOUT_S):
                async with session.request(method, f"http://{server.address}/x") as response:
                    await response.read()
                with pytest.raises((aiohttp.ClientError, OSError)):
                    await session.request(method, f"http://{server.address}/x")
            assert [request.connection_number for request in server.requests] == [1, 1]

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ENDS)
def test_an_internal_call_is_sent_once(end: End) -> None:
    client = RpcClient()

    async def use(address: str, number: int) -> bool:
        if number == 1:
            await client.start()
        outcome = await client.call(address, BODY, BodyRequest(), TIMEOUT_S)
        if number == 2:
            assert not outcome.unwrap_err().had_no_effect
            await client.stop()
        return outcome.is_ok()

    check(use, end)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("method", ("GET", "PUT", "POST"))
def test_a_request_to_a_broker_is_sent_once(method: str, end: End) -> None:
    upstream = UpstreamClient(10)

    async def use(address: str, number: int) -> bool:
        if number == 1:
            await upstream.start()
        broker = Broker("i-1", "lm", address, "z", 8, False)
        outgoing = UpstreamRequest(f"r{number}", method, "/x", CIMultiDict({"Request-Id": f"r{number}"}), b"")
        outcome = await upstream.send(broker, outgoing, None)
        if isinstance(outcome, ResponseStarted):
            await outcome.response.read()
            outcome.response.close()
        if number == 2:
            await upstream.stop()
        return isinstance(outcome, ResponseStarted)

    check(use, end)


@pytest.mark.parametrize("end", ENDS)
def test_a_request_to_the_platform_is_sent_once(end: End) -> None:
    readers: list[BrokerDiscoveryClient] = []

    async def use(address: str, number: int) -> bool:
        if number == 1:
            readers.append(BrokerDiscoveryClient(platform_at(address)))
            await readers[0].start()
        outcome = await readers[0].read()
        if number == 2:
            await readers[0].stop()
        return "not JSON" in outcome.unwrap_err().detail  # the empty response was received completely

    check(use, end)


@pytest.mark.parametrize("end", ENDS)
def test_an_operator_request_is_sent_once_per_attempt(end: End) -> None:
    sessions: list[aiohttp.ClientSession] = []

    async def use(address: str, number: int) -> bool:
        if number == 1:
            sessions.append(client_session())
        answer = await send_once(sessions[0], address, HttpRequest("PUT", "/api/configuration", body=b"{}"))
        if number == 2:
            await sessions[0].close()
        return getattr(answer, "status", 0) == 200

    check(use, end)


def test_a_duplicate_response_of_the_platform_is_not_taken_for_the_next_response() -> None:
    async def twice(connection: ServerConnection, request: ReceivedRequest) -> None:
        page = b'{"instances":[{"instanceId":"i-%d","service":"s","address":"a"}]}' % len(server.requests)
        await connection.respond(page)
        await taken.wait()
        await connection.respond(page)
        written.set()

    server, taken, written = ScriptedServer(twice), asyncio.Event(), asyncio.Event()

    async def scenario() -> None:
        async with server, asyncio.timeout(TIMEOUT_S):
            reader = BrokerDiscoveryClient(platform_at(server.address))
            await reader.start()
            for number in (1, 2, 3):
                taken.clear()
                written.clear()
                listed = (await reader.read()).unwrap()
                assert [broker.instance_id for broker in listed.brokers] == [f"i-{number}"]
                taken.set()
                await written.wait()
            await reader.stop()

    asyncio.run(scenario())


def platform_at(address: str) -> Settings:
    return Settings(
        node_name="k-1", machine_class="storage", ip_address="127.0.0.1", zone="z", region="r",
        internal_port_range=[7000, 7010], cloud_api=CloudApi(address=address),
    )  # fmt: skip


def test_only_one_module_of_the_tier_creates_sessions() -> None:
    makers = [path for path in sorted(TIER.rglob("*.py")) if _makes_session(path)]
    assert makers == [HELPER]


def _makes_session(path: Path) -> bool:
    """Return whether a module creates or subclasses ``ClientSession``, or calls ``aiohttp.request``."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call) and _named(node.func) in ("ClientSession", "aiohttp.request"):
            return True
        if isinstance(node, ast.ClassDef) and any(_named(base) == "ClientSession" for base in node.bases):
            return True
    return False


def _named(node: ast.expr) -> str:
    if isinstance(node, ast.Name):
        return node.id
    if not isinstance(node, ast.Attribute):
        return ""
    if isinstance(node.value, ast.Name) and node.value.id == "aiohttp" and node.attr == "request":
        return "aiohttp.request"
    return node.attr
