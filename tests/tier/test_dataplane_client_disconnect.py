"""Clients that disconnect: their requests are not sent any more, and their broker connections are closed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from dataplane_harness import TIMEOUT_S, Client, DataPlaneHarness, configuration_bytes, route

from cherrycove.tier.dataplane.connection_pool import BrokerConnector
from examples.toy_broker import SIGNATURE, Received, Script, ToyBroker, Wire

ROUTES = [
    route(name, f"/{name}/", kind, timeoutMs=60_000, targetLatencyMs=60_000, **fields)
    for name, kind, fields in (
        ("again", "idempotent", {}),
        ("stream", "streaming", {}),
        ("resume", "streaming", {"resumable": True}),
    )
]  # fmt: skip
TARGETS = ("/again/x", "/stream/x", "/resume/x")
LONG_DEADLINE = {"Deadline-Ms": "60000"}


async def wait_until_idle(harness: DataPlaneHarness) -> None:
    """Wait until no request is open at the proxy."""
    async with asyncio.timeout(TIMEOUT_S):
        while harness.data_plane._ingress.open_requests:
            await asyncio.sleep(0)


async def send_request(harness: DataPlaneHarness, target: str) -> Client:
    client = await harness.client()
    await client.send(target, headers=LONG_DEADLINE)
    return client


async def send_nothing(wire: Wire, request: Received) -> None:
    """Send nothing."""


async def send_partial_body(wire: Wire, request: Received) -> None:
    await wire.head(request, Response_Signature=SIGNATURE, Content_Length="10")
    await wire.write(b"half")


async def send_partial_stream(wire: Wire, request: Received) -> None:
    await wire.stream_head(request)
    await wire.event(1, "word 1")


async def send_partial_event(wire: Wire, request: Received) -> None:
    await send_partial_stream(wire, request)
    await wire.write(b"8\r\nid: 2\nda\r\n")


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize(
    "send_beginning", [send_nothing, send_partial_body, send_partial_stream, send_partial_event]
)
def test_disconnect_closes_the_connection_to_the_broker(target: str, send_beginning: Script) -> None:
    async def scenario() -> None:
        beginning_sent, closed = asyncio.Event(), asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await send_beginning(wire, request)
            beginning_sent.set()
            assert await wire.reader.read() == b""  # the end, once the proxy closes the connection
            closed.set()

        async with DataPlaneHarness(
            [ToyBroker(script=script)], document=configuration_bytes(ROUTES)
        ) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                client = await send_request(harness, target)
                await beginning_sent.wait()
                client.close()
                await closed.wait()
                await wait_until_idle(harness)
            assert len(harness.brokers[0].received) == 1

    asyncio.run(scenario())


def test_request_of_a_client_that_disconnects_while_pending_is_not_sent() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def wait_for_release(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"")

        broker = ToyBroker(slots=1, scripts=[wait_for_release])
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            first = await send_request(harness, "/again/first")
            await broker.wait_received()
            disconnecting = await send_request(harness, "/again/disconnecting")
            async with asyncio.timeout(TIMEOUT_S):
                while not harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
                disconnecting.close()
                while harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
            release.set()
            assert (await first.reply()).status == 200
            assert (await harness.request("/again/third", headers=LONG_DEADLINE)).status == 200
            assert [each.target for each in broker.received] == ["/again/first", "/again/third"]

    asyncio.run(scenario())


def test_request_of_a_client_that_disconnects_during_connect_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connecting, cancelled = asyncio.Event(), asyncio.Event()

        async def hang(*request: Any) -> Any:
            connecting.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        monkeypatch.setattr(BrokerConnector, "_create_connection", hang)
        monkeypatch.setattr("cherrycove.tier.dataplane.upstream.POOL_TIMEOUT_S", TIMEOUT_S, raising=False)
        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(ROUTES)) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                disconnecting = await send_request(harness, "/again/x")
                await connecting.wait()
                disconnecting.close()
                await cancelled.wait()
                await wait_until_idle(harness)
            assert harness.brokers[0].connections == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/again/x", "/resume/x"])
def test_request_of_a_client_that_disconnects_between_attempts_is_not_retried(target: str) -> None:
    async def scenario() -> None:
        async def reset(wire: Wire, request: Received) -> None:
            wire.reset()

        broker = ToyBroker(script=reset)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                disconnecting = await send_request(harness, target)
                await broker.wait_received()
                while not harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
                disconnecting.close()
                await wait_until_idle(harness)
            assert len(broker.received) == 1 and not harness.data_plane._admission._pending

    asyncio.run(scenario())
