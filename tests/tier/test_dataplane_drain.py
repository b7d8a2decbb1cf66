"""A draining proxy: which requests it accepts, which it rejects at once, and that all are answered."""

from __future__ import annotations

import asyncio

from aiohttp import web
from dataplane_harness import TIMEOUT_S, DataPlaneHarness, Reply, configuration_bytes, route
from test_dataplane_items import RecordingBatchApi

from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.dataplane.draining import EXIT_RESERVE_S, DrainDeadline
from cherrycove.tier.dataplane.request_durations import RecentMaxDuration
from cherrycove.tier.listener.client_server import ClientServer
from examples.toy_broker import Received, ToyBroker, Wire, stream

ROUTES = [
    route("short", "/short/", "streaming", timeoutMs=3000),
    route("long", "/long/", "streaming", timeoutMs=60_000, targetLatencyMs=60_000),
    route("again", "/again/", "idempotent", timeoutMs=60_000),
    route("lots", "/lots/", "batch", timeoutMs=60_000, completionTargetMs=8000, retentionS=60),
]
GRACE_S = 8.0
LONG_DEADLINE = {"Deadline-Ms": "60000"}


def is_rejected(reply: Reply) -> bool:
    closes = reply.headers["connection"] == "close"
    return reply.status == 503 and 0 < float(reply.headers["retry-after"]) < 1 and closes


def test_before_unready_propagation_requests_are_accepted_by_recent_duration() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, GRACE_S, unready_propagation_s=2.5)
    assert drain.at == 100.0 + GRACE_S - EXIT_RESERVE_S
    assert drain.accepts(102.4, deadline=200.0, recent_max_s=4.0)
    assert not drain.accepts(102.4, deadline=200.0, recent_max_s=5.0)
    assert drain.accepts(102.4, deadline=103.0, recent_max_s=5.0)


def test_after_unready_propagation_requests_are_accepted_by_deadline() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, GRACE_S, unready_propagation_s=2.5)
    assert not drain.is_unready_propagated(102.4) and drain.is_unready_propagated(102.5)
    assert drain.accepts(102.5, deadline=107.2, recent_max_s=0.0)
    assert not drain.accepts(102.5, deadline=107.4, recent_max_s=0.0)
    drain.close()
    assert not drain.accepts(102.5, deadline=102.6, recent_max_s=0.0)


def test_acceptance_follows_a_short_grace_period() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, 2.0, unready_propagation_s=2.5)
    assert drain.accepts(101.0, deadline=160.0, recent_max_s=0.2)
    assert not drain.accepts(101.0, deadline=160.0, recent_max_s=0.4)
    assert not drain.accepts(101.3, deadline=160.0, recent_max_s=0.0)


def test_serving_proxy_accepts_every_request() -> None:
    assert DrainDeadline().accepts(100.0, deadline=1e9, recent_max_s=1e6)


def test_recent_max_duration_expires_after_two_windows() -> None:
    durations = RecentMaxDuration(window_s=10.0)
    durations.add("r", 4.0, 0.0)
    durations.add("r", 1.0, 11.0)
    assert (durations.longest_s("r", 12.0), durations.longest_s("other", 12.0)) == (4.0, 0.0)
    assert durations.longest_s("r", 22.0) == 1.0
    assert durations.longest_s("r", 60.0) == 0.0


def test_draining_proxy_rejects_at_once_what_it_may_not_finish() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def wait_for_release(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await release.wait()
            await wire.end_stream()

        broker = ToyBroker(scripts=[wait_for_release], script=stream(2))
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            api = RecordingBatchApi()
            harness.data_plane.attach_batch(api)
            open_client = await harness.client()
            await open_client.send("/long/before", headers=LONG_DEADLINE)
            await broker.wait_received()
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S, unready_propagation_s=0.0))
            assert await harness.readiness() == 503
            assert is_rejected(await harness.request("/long/x", headers=LONG_DEADLINE))
            assert is_rejected(await harness.request("/long/x", headers={"Deadline-Ms": "9000"}))
            accepted = await harness.request("/short/x")
            assert (accepted.status, accepted.complete) == (200, True)
            accepted = await harness.request("/long/x", headers={"Deadline-Ms": "5000"})
            assert (accepted.status, accepted.complete) == (200, True)
            assert (await harness.request("/api/lots/ID", method="GET")).headers["connection"] == "close"
            release.set()
            reply = await open_client.reply()
            assert (reply.status, reply.complete) == (200, True)
            assert [request.target for request in broker.received] == ["/long/before", "/short/x", "/long/x"]
            draining.cancel()

    asyncio.run(scenario())


def test_retry_during_drain_is_limited_to_the_drain_deadline() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reset_after_release(wire: Wire, request: Received) -> None:
            await release.wait()
            wire.reset()

        brokers = [ToyBroker("i-1"), ToyBroker("i-2")]
        brokers[0].scripts = brokers[1].scripts = [reset_after_release]
        async with DataPlaneHarness(brokers, document=configuration_bytes(ROUTES)) as harness:
            client = await harness.client()
            await client.send("/again/x", headers=LONG_DEADLINE)
            while not any(broker.received for broker in brokers):
                await asyncio.sleep(0)
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S))
            await harness.readiness()
            release.set()
            assert (await client.reply()).status == 200
            deadlines_ms = [
                int(each.headers["deadline-ms"]) for broker in brokers for each in broker.received
            ]
            assert min(deadlines_ms) <= (GRACE_S - EXIT_RESERVE_S) * 1000 < max(deadlines_ms)
            draining.cancel()

    asyncio.run(scenario())


def test_pending_and_in_flight_requests_are_answered_at_the_drain_deadline() -> None:
    async def scenario() -> None:
        async def send_nothing(wire: Wire, request: Received) -> None:
            await wire.reader.read()

        broker = ToyBroker(script=send_nothing)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            in_flight = await harness.client()
            await in_flight.send("/long/in-flight", headers=LONG_DEADLINE)
            await broker.wait_received()
            harness.update_cluster_view(listed=[])
            waiting = await harness.client()
            await waiting.send("/long/waiting", headers=LONG_DEADLINE)
            while harness.data_plane._ingress.open_requests < 2:
                await asyncio.sleep(0)
            async with asyncio.timeout(TIMEOUT_S):
                await harness.data_plane.drain(EXIT_RESERVE_S)
                assert (await in_flight.reply()).status == 504
                assert is_rejected(await waiting.reply())
                assert is_rejected(await harness.request("/short/late"))
                await harness.data_plane.stop()
            assert len(broker.received) == 1

    asyncio.run(scenario())


def test_batch_api_call_is_answered_before_the_proxy_stops() -> None:
    async def scenario() -> None:
        arrived = asyncio.Event()

        class BlockingBatchApi(RecordingBatchApi):
            async def handle(self, *call: object) -> object:  # type: ignore[override]
                arrived.set()
                return await asyncio.Event().wait()

        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(ROUTES)) as harness:
            harness.data_plane.attach_batch(BlockingBatchApi())
            client = await harness.client()
            await client.send("/api/lots/ID", method="GET")
            await arrived.wait()
            async with asyncio.timeout(TIMEOUT_S):
                await harness.data_plane.drain(EXIT_RESERVE_S)
                assert (await client.reply()).status == 504
                assert is_rejected(await harness.request("/api/lots/ID", method="GET"))
                assert is_rejected(await harness.request("/lots/7c41", b"{}"))

    asyncio.run(scenario())


def test_no_request_is_accepted_once_stop_has_begun() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def wait_for_release(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"done")

        broker = ToyBroker(script=wait_for_release)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            open_client = await harness.client()
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S, unready_propagation_s=0.0))
            await harness.readiness()
            await open_client.send("/again/x", headers={"Deadline-Ms": "5000"})
            await broker.wait_received()
            draining.cancel()
            stopping = asyncio.create_task(harness.data_plane.stop())
            assert is_rejected(await harness.request("/again/x", headers={"Deadline-Ms": "5000"}))
            release.set()
            assert (await open_client.reply()).body == b"done"
            await stopping

    asyncio.run(scenario())


class RecordingTransport(asyncio.Transport):
    """Records what is written, and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self._is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def is_closing(self) -> bool:
        return self._is_closed

    def close(self) -> None:
        self._is_closed = True


def test_connection_accepted_during_shutdown_is_closed_at_once() -> None:
    """Guards against a request that is read, discarded, and never answered.

    Its connection used to be closed without a response at the shutdown time-out.
    """

    async def handler(request: web.BaseRequest) -> web.Response:
        raise AssertionError(request)

    async def scenario() -> None:
        server = ClientServer(handler, ClientLimits)
        connection = server()
        transport = RecordingTransport()
        connection.connection_made(transport)
        server.pre_shutdown()  # in the same iteration of the loop, before the connection waits for a request
        assert transport.is_closing()
        connection.connection_lost(None)
        await server.shutdown(0.0)

    asyncio.run(scenario())
