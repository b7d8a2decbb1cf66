"""Batch items executed at toy brokers on loopback, and batch API calls that the ingress forwards."""

from __future__ import annotations

import asyncio
import json

import attrs
from aiohttp import web
from dataplane_harness import HOST, TIMEOUT_S, DataPlaneHarness, configuration_bytes, listed_broker, route

from cherrycove.tier.batch.execution import ExecutorLoad, ItemOutcome, ItemState
from cherrycove.tier.configuration import Route, parse_configuration
from cherrycove.tier.dataplane.admission_controller import MAX_REPORTED_BROKERS
from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.batch_pb2 import Item, LeasedItem
from examples.toy_broker import Received, Script, ToyBroker, Wire, echo, stream


def leased(**fields: int) -> LeasedItem:
    item = Item(
        item_id="e5b2907c14da6f38", path="/lots/3/91c4",
        headers={"Model": "m", "Token-Usage": "540,400", "Connection": "close"}, body=b"\0body", tokens=940,
    )  # fmt: skip
    return LeasedItem(
        job_id="j", item=item, route="lots", host=HOST, **{"due_in_ms": 8000, "max_attempts": 2} | fields
    )


def may_always_send() -> bool:
    return True


async def ignore_failures(failed_attempts: int) -> None:
    pass


def run(*scripts: Script, last: Script = echo, **fields: int) -> tuple[ItemOutcome, list[Received]]:
    """Run one item at brokers that respond by ``scripts`` in order and then by ``last``.

    Returns the outcome and the requests that the brokers received.
    """

    async def scenario() -> tuple[ItemOutcome, list[Received]]:
        brokers = [ToyBroker(f"i-{number}", script=last) for number in range(3)]
        shared = list(scripts)
        for broker in brokers:
            broker.scripts = shared
        async with DataPlaneHarness(brokers) as harness, asyncio.timeout(TIMEOUT_S):
            outcome = await harness.data_plane.executor.run_item(
                leased(**fields), may_always_send, ignore_failures
            )
            assert harness.data_plane.executor.free_slots() > 0
            return outcome, [request for broker in brokers for request in broker.received]

    return asyncio.run(scenario())


TEXT = b"word 1\nword 2\nword 3"


def test_item_is_sent_as_a_request_and_its_events_are_joined() -> None:
    outcome, (received,) = run(stream(3))
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT)
    assert (received.method, received.target, received.body) == ("POST", "/lots/3/91c4", b"\0body")
    assert received.headers["request-id"] == "e5b2907c14da6f38"
    assert received.headers["host"] == HOST and received.headers["model"] == "m"
    assert received.headers["expected-instance"].startswith("i-")
    assert "deadline-ms" not in received.headers


def test_data_lines_of_one_event_are_joined_by_line_feeds() -> None:
    async def script(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        text = b"id: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n\n"
        await wire.write(b"%x\r\n%s\r\n" % (len(text), text))
        await wire.end_stream()

    assert run(script)[0].text == b"a\nb\nc"


def test_interrupted_item_resumes_after_the_collected_events() -> None:
    outcome, received = run(stream(3, breaks_after=1), stream(3, breaks_after=2), stream(3))
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT)
    assert sorted(request.headers.get("last-event-id", "0") for request in received) == ["0", "1", "2"]


def test_stream_reset_after_its_last_event_is_not_complete() -> None:
    async def end_at_once(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        await wire.end_stream()

    outcome, received = run(stream(3, breaks_after=3), end_at_once)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT) and len(received) == 2


async def respond_500(wire: Wire, request: Received) -> None:
    await wire.answer(request, b"why", "500 Internal Server Error")


async def respond_422(wire: Wire, request: Received) -> None:
    await wire.answer(request, b"why", "422 Unprocessable Entity")


def test_unprocessable_item_is_dead_lettered() -> None:
    outcome, _ = run(respond_422)
    assert (outcome.state, outcome.reason) == (ItemState.DEAD_LETTERED, "unprocessable")


def test_500_responses_count_as_failed_attempts_across_leases() -> None:
    outcome, received = run(respond_500, stream(3), max_attempts=3)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT, failed_attempts=1)
    outcome, received = run(respond_500, respond_500, last=stream(3))
    assert (outcome.state, outcome.reason, outcome.failed_attempts) == (
        ItemState.DEAD_LETTERED, "attempts", 2)  # fmt: skip
    outcome, received = run(respond_500, failed_attempts=1)
    assert outcome.state is ItemState.DEAD_LETTERED and len(received) == 1


def test_each_failure_is_recorded_before_the_item_is_retried() -> None:
    async def scenario() -> None:
        reported_counts, recorded = asyncio.Queue[int](), asyncio.Event()

        async def record(failed_attempts: int) -> None:
            reported_counts.put_nowait(failed_attempts)
            await recorded.wait()

        broker = ToyBroker(scripts=[respond_500], script=stream(3))
        async with DataPlaneHarness([broker]) as harness, asyncio.timeout(TIMEOUT_S):
            item = leased(failed_attempts=1, max_attempts=3)
            run = asyncio.create_task(harness.data_plane.executor.run_item(item, may_always_send, record))
            assert await reported_counts.get() == 2
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(broker.received) == 1 and broker.running == 0
            recorded.set()
            assert await run == ItemOutcome(ItemState.COMPLETED, text=TEXT, failed_attempts=2)
            assert len(broker.received) == 2 and reported_counts.empty()

    asyncio.run(scenario())


def test_item_without_remaining_attempts_is_not_sent() -> None:
    outcome, received = run(failed_attempts=2)
    assert outcome == ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=2)
    assert not received


def test_rejections_and_resets_do_not_count_as_failed_attempts() -> None:
    async def reset(wire: Wire, request: Received) -> None:
        wire.reset()

    async def reject(wire: Wire, request: Received) -> None:
        await wire.head(request, "503 Service Unavailable", Content_Length="0", Not_Executed="1")

    outcome, _ = run(reset, reject, reset, stream(3), max_attempts=1)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT)


def test_item_that_may_not_be_sent_is_returned_unsent() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(script=stream(3))]) as harness:
            outcome = await harness.data_plane.executor.run_item(
                leased(failed_attempts=1), lambda: False, ignore_failures
            )
            assert outcome == ItemOutcome(ItemState.RETURNED, failed_attempts=1)
            assert not harness.brokers[0].received

    asyncio.run(scenario())


def test_item_of_a_removed_route_is_returned() -> None:
    async def scenario() -> None:
        routes = [route("other", "/other/", "batch", timeoutMs=60000)]
        async with DataPlaneHarness([ToyBroker()], document=configuration_bytes(routes)) as harness:
            outcome = await harness.data_plane.executor.run_item(leased(), may_always_send, ignore_failures)
            assert outcome.state is ItemState.RETURNED and not harness.brokers[0].received

    asyncio.run(scenario())


def test_pending_item_follows_its_route_to_another_service() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def wait_for_release(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"")

        old, new = ToyBroker("i-1", slots=1, script=wait_for_release), ToyBroker("i-2", script=stream(3))
        async with DataPlaneHarness([old, new]) as harness, asyncio.timeout(TIMEOUT_S):
            harness.update_cluster_view(listed=[old])
            client = await harness.client()
            await client.send("/again/x")
            await old.wait_received()
            run = asyncio.create_task(
                harness.data_plane.executor.run_item(leased(), may_always_send, ignore_failures)
            )
            while not any(pending.is_batch for pending in harness.data_plane._admission._pending):
                await asyncio.sleep(0)
            harness.cluster_view.brokers = (attrs.evolve(listed_broker(new), service="other"),)
            moved = [route("lots", "/lots/", "batch", timeoutMs=60000, service="other")]
            document = json.loads(configuration_bytes(moved, version=2))
            document["services"].append({**document["services"][0], "name": "other"})
            harness.cluster_view.configuration = parse_configuration(json.dumps(document).encode()).unwrap()
            harness.cluster_view.notify_listeners()
            assert (await run).text == TEXT
            assert len(new.received) == 1
            release.set()

    asyncio.run(scenario())


def test_cancelling_an_item_closes_the_broker_connection() -> None:
    async def scenario() -> None:
        ended = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await wire.reader.read()  # until the proxy closes the connection
            ended.set()

        async with DataPlaneHarness([ToyBroker(script=script)]) as harness, asyncio.timeout(TIMEOUT_S):
            task = asyncio.create_task(
                harness.data_plane.executor.run_item(leased(), may_always_send, ignore_failures)
            )
            await harness.brokers[0].wait_received()
            task.cancel()
            await ended.wait()

    asyncio.run(scenario())


@attrs.define
class RecordingBatchApi:
    calls: list[tuple[str, str, bytes, str | None]] = attrs.field(factory=list)

    async def handle(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.StreamResponse:
        self.calls.append((request.method, request.raw_path, body, route.name if route else None))
        return web.Response(status=202)


def test_batch_api_calls_are_forwarded() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            api = RecordingBatchApi()
            harness.data_plane.attach_batch(api)
            assert (await harness.request("/lots/7c41", b"{}")).status == 202
            assert (await harness.request("/api/lots/ID?pageCursor=12", method="GET")).status == 202
            assert (await harness.request("/api/items/ID?instanceId=e5", method="GET")).status == 202
            assert (await harness.request("/api/lots/ID", method="DELETE")).status == 202
            assert (await harness.request("/lots/7c41", method="GET")).status == 404
            other = {"Host": "other.example"}
            assert (await harness.request("/api/lots/ID", method="GET", headers=other)).status == 202
            assert api.calls == [
                ("POST", "/lots/7c41", b"{}", "lots"),
                ("GET", "/api/lots/ID?pageCursor=12", b"", "lots"),
                ("GET", "/api/items/ID?instanceId=e5", b"", "lots"),
                ("DELETE", "/api/lots/ID", b"", "lots"),
                ("GET", "/api/lots/ID", b"", None),
            ]

    asyncio.run(scenario())


def test_item_runs_at_its_preferred_broker_if_that_exists() -> None:
    async def scenario() -> None:
        brokers = [ToyBroker(f"i-{number}", script=stream(3)) for number in range(6)]
        async with DataPlaneHarness(brokers) as harness, asyncio.timeout(TIMEOUT_S):
            item = leased()
            item.broker = "i-4"
            await harness.data_plane.executor.run_item(item, may_always_send, ignore_failures)
            assert [len(broker.received) for broker in brokers] == [0, 0, 0, 0, 1, 0]
            item.broker = "i-gone"
            outcome = await harness.data_plane.executor.run_item(item, may_always_send, ignore_failures)
            assert outcome.state is ItemState.COMPLETED

    asyncio.run(scenario())


def test_load_reports_slots_usable_brokers_and_live_requests() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def wait_then_echo(request: Received, wire: Wire) -> None:
            await release.wait()
            await echo(request, wire)

        brokers = [ToyBroker("i-0", script=wait_then_echo), ToyBroker("i-1", script=wait_then_echo)]
        async with DataPlaneHarness(brokers) as harness, asyncio.timeout(TIMEOUT_S):
            executor = harness.data_plane.executor
            slots = {broker.instance_id: broker.slots for broker in brokers}
            assert executor.load() == ExecutorLoad(sum(slots.values()), 0, slots)
            client = asyncio.create_task(harness.request("/again/x"))
            while not any(broker.received for broker in brokers):
                await asyncio.sleep(0)
            assert executor.load().live_requests == 1
            release.set()
            assert (await client).status == 200
            harness.cluster_view.brokers = (
                listed_broker(brokers[0], draining=True),
                listed_broker(brokers[1]),
            )
            harness.cluster_view.notify_listeners()
            assert executor.load() == ExecutorLoad(slots["i-1"], 0, {"i-1": slots["i-1"]})

    asyncio.run(scenario())


def test_load_reports_a_limited_number_of_brokers() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([]) as harness:
            harness.cluster_view.brokers = tuple(
                Broker(
                    instance_id=f"i-{number}", service="lm", address="127.0.0.1:9", zone="z",
                    capacity_slots=8, draining=False,
                )
                for number in range(MAX_REPORTED_BROKERS + 9)
            )  # fmt: skip
            harness.cluster_view.notify_listeners()
            load = harness.data_plane.executor.load()
            assert load.broker_slots == 8 * (MAX_REPORTED_BROKERS + 9)
            assert len(load.usable_brokers) == MAX_REPORTED_BROKERS

    asyncio.run(scenario())
