"""Bounds on one request: the time handed to brokers, the brokers it runs at, its final answer, its fields."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from dataplane_harness import HOST, TIMEOUT_S, DataPlaneHarness, configuration_bytes, route
from test_dataplane_exchanges import events
from test_dataplane_items import RecordingBatchApi

from examples.toy_broker import Received, Script, ToyBroker, Wire, stream

TIMEOUT_MS = 3000
AHEAD_S = 1.0  # by which a test moves the clock


def moved_clock() -> Callable[[float], None]:
    """Lets a test move the clock of its event loop ahead."""
    loop = asyncio.get_running_loop()
    true_time, ahead = loop.time, [0.0]
    loop.time = lambda: true_time() + ahead[0]  # type: ignore[method-assign]

    def move(seconds: float) -> None:
        ahead[0] += seconds

    return move


async def reset(wire: Wire, request: Received) -> None:
    wire.reset()


async def failing(wire: Wire, request: Received) -> None:
    await wire.answer(request, b"why", "500 Internal Server Error")


def given(harness: DataPlaneHarness) -> list[int]:
    """The times that brokers were handed, by their coming."""
    received = [request for broker in harness.brokers for request in broker.received]
    return sorted((int(request.headers["deadline-ms"]) for request in received), reverse=True)


@pytest.mark.parametrize(("asked", "most"), [("1000", 1000), ("60000", TIMEOUT_MS), (None, TIMEOUT_MS)])
def test_a_broker_is_handed_what_the_client_and_the_route_leave(asked: str | None, most: int) -> None:
    async def story() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            fields = f"Deadline-Ms: {asked}\r\n" if asked is not None else ""
            client = await harness.client()
            client.writer.write(
                f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n{fields}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            assert (await client.reply()).status == 200
            assert most - 500 < given(harness)[0] <= most

    asyncio.run(story())


@pytest.mark.parametrize("target", ["/again/x", "/resume/x"])
def test_a_second_broker_is_handed_only_what_is_left(target: str) -> None:
    async def story() -> None:
        move = moved_clock()

        async def late_reset(wire: Wire, request: Received) -> None:
            move(AHEAD_S)
            wire.reset()

        brokers = [ToyBroker("i-1", script=stream(2)), ToyBroker("i-2", script=stream(2))]
        brokers[0].scripts = brokers[1].scripts = [late_reset]
        async with DataPlaneHarness(brokers) as harness:
            assert (await harness.request(target)).status == 200
            first, second = given(harness)
            assert second <= first - AHEAD_S * 1000

    asyncio.run(story())


@pytest.mark.parametrize("script", [reset, failing, stream(4, breaks_after=2)])
@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_request_runs_at_no_more_brokers_than_its_route_allows(script: Script, attempts: int) -> None:
    async def story() -> None:
        kinds = (("again", "idempotent", False), ("resume", "streaming", True))
        routes = [
            route(name, f"/{name}/", kind, maxAttempts=attempts, resumable=resumable)
            for name, kind, resumable in kinds
        ]
        brokers = [ToyBroker(f"i-{number}", script=script) for number in range(4)]
        async with DataPlaneHarness(brokers, document=configuration_bytes(routes)) as harness:
            for name, _, _ in kinds:
                reply = await harness.request(f"/{name}/x")
                assert reply.status != 503
                ran = [request for broker in brokers for request in broker.received]
                assert 1 <= len(ran) <= attempts
                for broker in brokers:
                    broker.received.clear()

    asyncio.run(story())


def test_at_the_time_out_of_its_route_a_request_that_waits_is_told_to_come_back() -> None:
    async def story() -> None:
        move, release = moved_clock(), asyncio.Event()

        async def held(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"")

        routes = [
            route("again", "/again/", "idempotent", timeoutMs=60_000, targetLatencyMs=60_000),
            route("brief", "/brief/", "idempotent", timeoutMs=20_000, targetLatencyMs=60_000),
        ]
        patient = {"Deadline-Ms": "60000"}
        broker = ToyBroker(slots=1, script=held)
        async with DataPlaneHarness([broker], document=configuration_bytes(routes)) as harness:
            first, waiting = await harness.client(), await harness.client()
            await first.send("/again/x", headers=patient)
            await broker.wait_received()
            await waiting.send("/brief/x", headers=patient)
            async with asyncio.timeout(TIMEOUT_S + 21.0):
                while not harness.data_plane._admission._pending:
                    await asyncio.sleep(0)
                move(20.5)
                await harness.readiness()
                reply = await waiting.reply()
            assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
            release.set()
            assert (await first.reply()).status == 200
            assert [each.target for each in broker.received] == ["/again/x"]

    asyncio.run(story())


def test_what_a_request_says_of_its_prompt_reaches_every_broker_unchanged() -> None:
    async def story() -> None:
        fields = {
            "Model": "m-1; x", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410",
            "Expect-Version": "3",
        }  # fmt: skip
        brokers = [ToyBroker("i-1"), ToyBroker("i-2")]
        brokers[0].scripts = brokers[1].scripts = [stream(3, breaks_after=1), stream(3)]
        async with DataPlaneHarness(brokers) as harness:
            reply = await harness.request("/resume/a?b=%20", b"\0body", headers=fields)
            assert (reply.body, reply.complete) == (events(1, 3), True)
            received = [request for broker in brokers for request in broker.received]
            assert len(received) == 2
            for request in received:
                sent = (request.method, request.target, request.body)
                assert sent == ("POST", "/resume/a?b=%20", b"\0body")
                assert {name: request.headers[name.lower()] for name in fields} == fields

    asyncio.run(story())


def test_a_broker_with_other_weights_is_passed_over_and_stays_as_good_for_others() -> None:
    async def story() -> None:
        async def other_weights(wire: Wire, request: Received) -> None:
            if "expect-version" in request.headers:
                await wire.head(request, "421 Misdirected Request", Content_Length="0", Versions="1")
            else:
                await wire.answer(request, b"old")

        async def expected(wire: Wire, request: Received) -> None:
            await wire.answer(request, b"new", Versions="2")

        brokers = [ToyBroker("i-1", script=other_weights), ToyBroker("i-2", script=expected)]
        async with DataPlaneHarness(brokers) as harness:
            for _ in range(8):
                assert (await harness.request("/once/x", headers={"Expect-Version": "2"})).body == b"new"
            harness.update_cluster_view(listed=brokers[:1])
            assert (await harness.request("/once/x")).body == b"old"
            assert any("expect-version" in request.headers for request in brokers[0].received)

    asyncio.run(story())


def test_a_stream_that_has_begun_waits_for_a_broker_as_long_as_it_has_time() -> None:
    async def story() -> None:
        move, unlisted = moved_clock(), asyncio.Event()

        async def breaks(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await unlisted.wait()
            wire.reset()

        first, second = ToyBroker("i-1", script=breaks), ToyBroker("i-2", script=stream(4))
        async with DataPlaneHarness([first, second]) as harness, asyncio.timeout(TIMEOUT_S):
            harness.update_cluster_view(listed=[first])
            client = await harness.client()
            await client.send("/resume/x")
            await client.head()
            text = await client.chunk()
            harness.update_cluster_view(listed=[])
            unlisted.set()
            while not harness.data_plane._admission._pending:
                await asyncio.sleep(0)
            move(0.5)  # no broker can be reached for longer than a request is held for that
            while harness.data_plane._admission._pending:
                await harness.readiness()
            harness.update_cluster_view(listed=[second])
            while chunk := await client.chunk():
                text += chunk
            assert text == events(1, 4)

    asyncio.run(story())


def test_without_a_configuration_nothing_is_said_not_to_exist() -> None:
    async def story() -> None:
        async with DataPlaneHarness([ToyBroker()], document=None) as harness:
            harness.data_plane.attach_batch(RecordingBatchApi())
            for method, target in (
                ("POST", "/nowhere/x"), ("POST", "/lots/7c41"), ("GET", "/api/lots/ID"),
                ("GET", "/api/items/ID"), ("DELETE", "/api/lots/ID"), ("GET", "/"),
            ):  # fmt: skip
                reply = await harness.request(target, method=method)
                assert reply.status == 503 and float(reply.headers["retry-after"]) > 0

    asyncio.run(story())


def test_calls_for_batch_jobs_are_known_by_their_path_whatever_routes_there_are() -> None:
    async def story() -> None:
        routes = [
            route("all", "/", "idempotent"),
            route("lots", "/lots/", "batch", timeoutMs=60000, completionTargetMs=8000, retentionS=60),
        ]
        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(routes)) as harness:
            api = RecordingBatchApi()
            harness.data_plane.attach_batch(api)
            calls = (("GET", "/api/lots/ID"), ("GET", "/api/items/ID"), ("DELETE", "/api/lots/ID"))
            for method, target in calls:
                assert (await harness.request(target, method=method)).status == 202
            assert (await harness.request("/else/x")).status == 200
            assert [call[0] for call in api.calls] == ["GET", "GET", "DELETE"]

    asyncio.run(story())


def test_a_request_under_way_is_not_cut_by_a_configuration_without_its_route() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await release.wait()
            await wire.event(2, "word 2")
            await wire.end_stream()

        for target in ("/stream/x", "/resume/x"):
            release.clear()
            async with DataPlaneHarness([ToyBroker(script=script)]) as harness, asyncio.timeout(TIMEOUT_S):
                client = await harness.client()
                await client.send(target)
                await client.head()
                assert await client.chunk() == events(1, 1)
                harness.update_cluster_view(
                    configuration_bytes([route("other", "/other/", "idempotent")], version=2)
                )
                harness.update_cluster_view(listed=[])
                assert (await harness.request("/stream/y")).status == 404
                release.set()
                assert await client.chunk() == events(2, 2)
                assert await client.chunk() == b""

    asyncio.run(story())
