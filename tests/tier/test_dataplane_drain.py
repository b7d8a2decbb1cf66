"""A proxy that leaves: what it still takes, what it turns away at once, and that all of it is answered."""

from __future__ import annotations

import asyncio

from aiohttp import web
from dataplane_harness import TIMEOUT_S, DataPlaneHarness, Reply, configuration_bytes, route
from test_dataplane_items import RecordingBatchApi

from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.dataplane.client_connection import ClientServer
from cherrycove.tier.dataplane.draining import END_RESERVE_S, DrainDeadline
from cherrycove.tier.dataplane.request_durations import RecentMaxDuration
from examples.toy_broker import Received, ToyBroker, Wire, stream

ROUTES = [
    route("short", "/short/", "streaming", timeoutMs=3000),
    route("long", "/long/", "streaming", timeoutMs=60_000, targetLatencyMs=60_000),
    route("again", "/again/", "idempotent", timeoutMs=60_000),
    route("lots", "/lots/", "batch", timeoutMs=60_000, completionTargetMs=8000, retentionS=60),
]
GRACE_S = 8.0
PATIENT = {"Deadline-Ms": "60000"}


def turned_away(reply: Reply) -> bool:
    closes = reply.headers["connection"] == "close"
    return reply.status == 503 and 0 < float(reply.headers["retry-after"]) < 1 and closes


def test_until_the_platform_knows_what_usually_ends_in_time_is_taken() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, GRACE_S, notice_s=2.5)
    assert drain.at == 100.0 + GRACE_S - END_RESERVE_S
    assert drain.accepts(102.4, latest=200.0, usual_s=4.0)
    assert not drain.accepts(102.4, latest=200.0, usual_s=5.0)
    assert drain.accepts(102.4, latest=103.0, usual_s=5.0)


def test_afterwards_only_what_is_certainly_answered_in_time_is_taken() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, GRACE_S, notice_s=2.5)
    assert not drain.notice_elapsed(102.4) and drain.notice_elapsed(102.5)
    assert drain.accepts(102.5, latest=107.2, usual_s=0.0)
    assert not drain.accepts(102.5, latest=107.4, usual_s=0.0)
    drain.close()
    assert not drain.accepts(102.5, latest=102.6, usual_s=0.0)


def test_the_bounds_follow_a_short_grace_period() -> None:
    drain = DrainDeadline()
    drain.begin(100.0, 2.0, notice_s=2.5)
    assert drain.accepts(101.0, latest=160.0, usual_s=0.2)
    assert not drain.accepts(101.0, latest=160.0, usual_s=0.4)
    assert not drain.accepts(101.3, latest=160.0, usual_s=0.0)


def test_a_proxy_that_serves_takes_everything() -> None:
    assert DrainDeadline().accepts(100.0, latest=1e9, usual_s=1e6)


def test_the_longest_request_is_forgotten_after_two_spans() -> None:
    longest = RecentMaxDuration(window_s=10.0)
    longest.add("r", 4.0, 0.0)
    longest.add("r", 1.0, 11.0)
    assert (longest.longest_s("r", 12.0), longest.longest_s("other", 12.0)) == (4.0, 0.0)
    assert longest.longest_s("r", 22.0) == 1.0
    assert longest.longest_s("r", 60.0) == 0.0


def test_a_leaving_proxy_turns_away_at_once_what_it_may_not_finish() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def held(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await release.wait()
            await wire.end_stream()

        broker = ToyBroker(scripts=[held], script=stream(2))
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            api = RecordingBatchApi()
            harness.data_plane.attach_batch(api)
            open_one = await harness.client()
            await open_one.send("/long/before", headers=PATIENT)
            await broker.wait_received()
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S, notice_s=0.0))
            assert await harness.readiness() == 503
            assert turned_away(await harness.request("/long/x", headers=PATIENT))
            assert turned_away(await harness.request("/long/x", headers={"Deadline-Ms": "9000"}))
            in_time = await harness.request("/short/x")
            assert (in_time.status, in_time.complete) == (200, True)
            in_time = await harness.request("/long/x", headers={"Deadline-Ms": "5000"})
            assert (in_time.status, in_time.complete) == (200, True)
            assert (await harness.request("/api/lots/ID", method="GET")).headers["connection"] == "close"
            release.set()
            reply = await open_one.reply()
            assert (reply.status, reply.complete) == (200, True)
            assert [request.target for request in broker.received] == ["/long/before", "/short/x", "/long/x"]
            draining.cancel()

    asyncio.run(story())


def test_what_is_sent_again_is_given_no_more_time_than_the_proxy_has_left() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def resets(wire: Wire, request: Received) -> None:
            await release.wait()
            wire.reset()

        brokers = [ToyBroker("i-1"), ToyBroker("i-2")]
        brokers[0].scripts = brokers[1].scripts = [resets]
        async with DataPlaneHarness(brokers, document=configuration_bytes(ROUTES)) as harness:
            client = await harness.client()
            await client.send("/again/x", headers=PATIENT)
            while not any(broker.received for broker in brokers):
                await asyncio.sleep(0)
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S))
            await harness.readiness()
            release.set()
            assert (await client.reply()).status == 200
            given = [int(each.headers["deadline-ms"]) for broker in brokers for each in broker.received]
            assert min(given) <= (GRACE_S - END_RESERVE_S) * 1000 < max(given)
            draining.cancel()

    asyncio.run(story())


def test_at_the_end_of_the_grace_period_all_that_waits_is_answered() -> None:
    async def story() -> None:
        async def silent(wire: Wire, request: Received) -> None:
            await wire.reader.read()

        broker = ToyBroker(script=silent)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            out = await harness.client()
            await out.send("/long/out", headers=PATIENT)
            await broker.wait_received()
            harness.update_cluster_view(listed=[])
            waiting = await harness.client()
            await waiting.send("/long/waiting", headers=PATIENT)
            while harness.data_plane._ingress.open_requests < 2:
                await asyncio.sleep(0)
            async with asyncio.timeout(TIMEOUT_S):
                await harness.data_plane.drain(END_RESERVE_S)
                assert (await out.reply()).status == 504
                assert turned_away(await waiting.reply())
                assert turned_away(await harness.request("/short/late"))
                await harness.data_plane.stop()
            assert len(broker.received) == 1

    asyncio.run(story())


def test_a_call_for_a_batch_job_is_answered_before_the_proxy_ends() -> None:
    async def story() -> None:
        arrived = asyncio.Event()

        class HoldingApi(RecordingBatchApi):
            async def handle(self, *call: object) -> object:  # type: ignore[override]
                arrived.set()
                return await asyncio.Event().wait()

        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(ROUTES)) as harness:
            harness.data_plane.attach_batch(HoldingApi())
            held = await harness.client()
            await held.send("/api/lots/ID", method="GET")
            await arrived.wait()
            async with asyncio.timeout(TIMEOUT_S):
                await harness.data_plane.drain(END_RESERVE_S)
                assert (await held.reply()).status == 504
                assert turned_away(await harness.request("/api/lots/ID", method="GET"))
                assert turned_away(await harness.request("/lots/7c41", b"{}"))

    asyncio.run(story())


def test_nothing_is_taken_once_the_batch_work_has_ended_behind_a_drain() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def held(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"done")

        broker = ToyBroker(script=held)
        async with DataPlaneHarness([broker], document=configuration_bytes(ROUTES)) as harness:
            open_one = await harness.client()
            draining = asyncio.create_task(harness.data_plane.drain(GRACE_S, notice_s=0.0))
            await harness.readiness()
            await open_one.send("/again/x", headers={"Deadline-Ms": "5000"})
            await broker.wait_received()
            draining.cancel()
            stopping = asyncio.create_task(harness.data_plane.stop())
            assert turned_away(await harness.request("/again/x", headers={"Deadline-Ms": "5000"}))
            release.set()
            assert (await open_one.reply()).body == b"done"
            await stopping

    asyncio.run(story())


class RecordingTransport(asyncio.Transport):
    """Takes what is written, and knows whether it was closed."""

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


def test_a_connection_that_comes_as_the_listener_closes_is_closed_at_once() -> None:
    """Its request was read, dropped, and cut without an answer when the time-out of the shutdown was over."""

    async def handler(request: web.BaseRequest) -> web.Response:
        raise AssertionError(request)

    async def story() -> None:
        server = ClientServer(handler, ClientLimits)
        connection = server()
        transport = RecordingTransport()
        connection.connection_made(transport)
        server.pre_shutdown()  # in the same turn of the loop, before the connection waits for a request
        assert transport.is_closing()
        connection.connection_lost(None)
        await server.shutdown(0.0)

    asyncio.run(story())
