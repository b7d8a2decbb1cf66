"""Clients that leave: in every state of their request it is sent on no more, and its broker is freed."""

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
PATIENT = {"Deadline-Ms": "60000"}


async def at_rest(harness: DataPlaneHarness) -> None:
    """Until no request is open at the proxy."""
    async with asyncio.timeout(TIMEOUT_S):
        while harness.data_plane._ingress.open_requests:
            await asyncio.sleep(0)


async def asking(harness: DataPlaneHarness, target: str) -> Client:
    client = await harness.client()
    await client.send(target, headers=PATIENT)
    return client


async def silence(wire: Wire, request: Received) -> None:
    """Nothing, until the proxy closes."""


async def half_a_body(wire: Wire, request: Received) -> None:
    await wire.head(request, Response_Signature=SIGNATURE, Content_Length="10")
    await wire.write(b"half")


async def half_a_stream(wire: Wire, request: Received) -> None:
    await wire.stream_head(request)
    await wire.event(1, "word 1")


async def half_an_event(wire: Wire, request: Received) -> None:
    await half_a_stream(wire, request)
    await wire.write(b"8\r\nid: 2\nda\r\n")


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("begin", [silence, half_a_body, half_a_stream, half_an_event])
def test_a_broker_at_work_is_freed(target: str, begin: Script) -> None:
    async def story() -> None:
        begun, freed = asyncio.Event(), asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await begin(wire, request)
            begun.set()
            assert await wire.reader.read() == b""  # until the proxy closes
            freed.set()

        async with DataPlaneHarness(
            [ToyBroker(script=script)], document=configuration_bytes(ROUTES)
        ) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                client = await asking(harness, target)
                await begun.wait()
                client.close()
                await freed.wait()
                await at_rest(harness)
            assert len(harness.brokers[0].received) == 1

    asyncio.run(story())


def test_a_request_that_waits_for_a_broker_is_not_sent() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def held(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"")

        broker = ToyBroker(slots=1, scripts=[held])
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            first = await asking(harness, "/again/first")
            await broker.wait_received()
            leaver = await asking(harness, "/again/leaver")
            async with asyncio.timeout(TIMEOUT_S):
                while not harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
                leaver.close()
                while harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
            release.set()
            assert (await first.reply()).status == 200
            assert (await harness.request("/again/third", headers=PATIENT)).status == 200
            assert [each.target for each in broker.received] == ["/again/first", "/again/third"]

    asyncio.run(story())


def test_a_request_that_waits_for_a_connection_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        connecting, given_up = asyncio.Event(), asyncio.Event()

        async def hangs(*request: Any) -> Any:
            connecting.set()
            try:
                await asyncio.Event().wait()
            finally:
                given_up.set()

        monkeypatch.setattr(BrokerConnector, "_create_connection", hangs)
        monkeypatch.setattr("cherrycove.tier.dataplane.upstream.POOL_TIMEOUT_S", TIMEOUT_S, raising=False)
        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(ROUTES)) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                leaver = await asking(harness, "/again/x")
                await connecting.wait()
                leaver.close()
                await given_up.wait()
                await at_rest(harness)
            assert harness.brokers[0].connections == 0

    asyncio.run(story())


@pytest.mark.parametrize("target", ["/again/x", "/resume/x"])
def test_a_request_between_two_sends_is_not_sent_again(target: str) -> None:
    async def story() -> None:
        async def resets(wire: Wire, request: Received) -> None:
            wire.reset()

        broker = ToyBroker(script=resets)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                leaver = await asking(harness, target)
                await broker.wait_received()
                while not harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
                leaver.close()
                await at_rest(harness)
            assert len(broker.received) == 1 and not harness.data_plane._admission._pending

    asyncio.run(story())
