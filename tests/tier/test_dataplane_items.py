"""Batch items run at toy brokers on loopback, and calls for batch jobs that the ingress hands on."""

from __future__ import annotations

import asyncio
import json

import attrs
from aiohttp import web
from dataplane_world import HOST, TIMEOUT_S, World, configuration_bytes, entry, route

from cherrycove.tier.batch.execution import ExecutorLoad, ItemOutcome, ItemState
from cherrycove.tier.configuration import Route, parse_configuration
from cherrycove.tier.dataplane.admission_controller import MAX_OFFERED_BROKERS
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


def always() -> bool:
    return True


async def unrecorded(failed_attempts: int) -> None:
    pass


def run(*scripts: Script, last: Script = echo, **fields: int) -> tuple[ItemOutcome, list[Received]]:
    """Run one item at brokers that answer by ``scripts`` in order and then by ``last``."""

    async def story() -> tuple[ItemOutcome, list[Received]]:
        brokers = [ToyBroker(f"i-{number}", script=last) for number in range(3)]
        shared = list(scripts)
        for broker in brokers:
            broker.scripts = shared
        async with World(brokers) as world, asyncio.timeout(TIMEOUT_S):
            outcome = await world.plane.executor.run_item(leased(**fields), always, unrecorded)
            assert world.plane.executor.free_slots() > 0
            return outcome, [request for broker in brokers for request in broker.received]

    return asyncio.run(story())


TEXT = b"word 1\nword 2\nword 3"


def test_an_item_runs_as_a_request_and_its_events_are_joined() -> None:
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


def test_an_item_that_breaks_off_goes_on_after_the_events_it_has() -> None:
    outcome, received = run(stream(3, breaks_after=1), stream(3, breaks_after=2), stream(3))
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT)
    assert sorted(request.headers.get("last-event-id", "0") for request in received) == ["0", "1", "2"]


def test_a_stream_cut_behind_its_last_event_is_not_completed_by_that() -> None:
    async def empty(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        await wire.end_stream()

    outcome, received = run(stream(3, breaks_after=3), empty)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT) and len(received) == 2


async def failing(wire: Wire, request: Received) -> None:
    await wire.answer(request, b"why", "500 Internal Server Error")


async def impossible(wire: Wire, request: Received) -> None:
    await wire.answer(request, b"why", "422 Unprocessable Entity")


def test_what_can_never_be_done_is_dead_lettered() -> None:
    outcome, _ = run(impossible)
    assert (outcome.state, outcome.reason) == (ItemState.DEAD_LETTERED, "unprocessable")


def test_answers_of_500_count_as_attempts_with_those_of_earlier_leases() -> None:
    outcome, received = run(failing, stream(3), max_attempts=3)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT, failed_attempts=1)
    outcome, received = run(failing, failing, last=stream(3))
    assert (outcome.state, outcome.reason, outcome.failed_attempts) == (
        ItemState.DEAD_LETTERED, "attempts", 2)  # fmt: skip
    outcome, received = run(failing, failed_attempts=1)
    assert outcome.state is ItemState.DEAD_LETTERED and len(received) == 1


def test_each_failure_is_recorded_before_the_item_is_sent_again() -> None:
    async def story() -> None:
        told, recorded = asyncio.Queue[int](), asyncio.Event()

        async def record(failed_attempts: int) -> None:
            told.put_nowait(failed_attempts)
            await recorded.wait()

        broker = ToyBroker(scripts=[failing], script=stream(3))
        async with World([broker]) as world, asyncio.timeout(TIMEOUT_S):
            item = leased(failed_attempts=1, max_attempts=3)
            run = asyncio.create_task(world.plane.executor.run_item(item, always, record))
            assert await told.get() == 2
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(broker.received) == 1 and broker.running == 0
            recorded.set()
            assert await run == ItemOutcome(ItemState.COMPLETED, text=TEXT, failed_attempts=2)
            assert len(broker.received) == 2 and told.empty()

    asyncio.run(story())


def test_an_item_that_has_had_all_its_failures_is_not_sent() -> None:
    outcome, received = run(failed_attempts=2)
    assert outcome == ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=2)
    assert not received


def test_refusals_and_breaks_are_no_attempts() -> None:
    async def reset(wire: Wire, request: Received) -> None:
        wire.reset()

    async def full(wire: Wire, request: Received) -> None:
        await wire.head(request, "503 Service Unavailable", Content_Length="0", Not_Executed="1")

    outcome, _ = run(reset, full, reset, stream(3), max_attempts=1)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=TEXT)


def test_an_item_that_may_not_be_sent_is_returned_unsent() -> None:
    async def story() -> None:
        async with World([ToyBroker(script=stream(3))]) as world:
            outcome = await world.plane.executor.run_item(
                leased(failed_attempts=1), lambda: False, unrecorded
            )
            assert outcome == ItemOutcome(ItemState.RETURNED, failed_attempts=1)
            assert not world.brokers[0].received

    asyncio.run(story())


def test_an_item_of_a_route_that_is_gone_is_returned() -> None:
    async def story() -> None:
        routes = [route("other", "/other/", "batch", timeoutMs=60000)]
        async with World([ToyBroker()], document=configuration_bytes(routes)) as world:
            outcome = await world.plane.executor.run_item(leased(), always, unrecorded)
            assert outcome.state is ItemState.RETURNED and not world.brokers[0].received

    asyncio.run(story())


def test_an_item_that_waits_follows_its_route_to_another_service() -> None:
    async def story() -> None:
        release = asyncio.Event()

        async def held(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"")

        old, new = ToyBroker("i-1", slots=1, script=held), ToyBroker("i-2", script=stream(3))
        async with World([old, new]) as world, asyncio.timeout(TIMEOUT_S):
            world.tell(listed=[old])
            client = await world.client()
            await client.send("/again/x")
            await old.wait_received()
            run = asyncio.create_task(world.plane.executor.run_item(leased(), always, unrecorded))
            while not any(ticket.is_batch for ticket in world.plane._admission._pending):
                await asyncio.sleep(0)
            world.views.brokers = (attrs.evolve(entry(new), service="other"),)
            moved = [route("lots", "/lots/", "batch", timeoutMs=60000, service="other")]
            document = json.loads(configuration_bytes(moved, version=2))
            document["services"].append({**document["services"][0], "name": "other"})
            world.views.configuration = parse_configuration(json.dumps(document).encode()).unwrap()
            world.views.notify_listeners()
            assert (await run).text == TEXT
            assert len(new.received) == 1
            release.set()

    asyncio.run(story())


def test_cancelling_an_item_closes_the_brokers_connection() -> None:
    async def story() -> None:
        ended = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await wire.reader.read()  # until the proxy closes
            ended.set()

        async with World([ToyBroker(script=script)]) as world, asyncio.timeout(TIMEOUT_S):
            task = asyncio.create_task(world.plane.executor.run_item(leased(), always, unrecorded))
            await world.brokers[0].wait_received()
            task.cancel()
            await ended.wait()

    asyncio.run(story())


@attrs.define
class RecordingBatchApi:
    calls: list[tuple[str, str, bytes, str | None]] = attrs.field(factory=list)

    async def handle(self, request: web.BaseRequest, body: bytes, route: Route | None) -> web.StreamResponse:
        self.calls.append((request.method, request.raw_path, body, route.name if route else None))
        return web.Response(status=202)


def test_calls_for_batch_jobs_are_handed_on() -> None:
    async def story() -> None:
        async with World([ToyBroker()]) as world:
            api = RecordingBatchApi()
            world.plane.attach_batch(api)
            assert (await world.ask("/lots/7c41", b"{}")).status == 202
            assert (await world.ask("/api/lots/ID?pageCursor=12", method="GET")).status == 202
            assert (await world.ask("/api/items/ID?instanceId=e5", method="GET")).status == 202
            assert (await world.ask("/api/lots/ID", method="DELETE")).status == 202
            assert (await world.ask("/lots/7c41", method="GET")).status == 404
            other = {"Host": "other.example"}
            assert (await world.ask("/api/lots/ID", method="GET", headers=other)).status == 202
            assert api.calls == [
                ("POST", "/lots/7c41", b"{}", "lots"),
                ("GET", "/api/lots/ID?pageCursor=12", b"", "lots"),
                ("GET", "/api/items/ID?instanceId=e5", b"", "lots"),
                ("DELETE", "/api/lots/ID", b"", "lots"),
                ("GET", "/api/lots/ID", b"", None),
            ]

    asyncio.run(story())


def test_an_item_runs_at_the_broker_where_the_stores_placed_it() -> None:
    async def story() -> None:
        brokers = [ToyBroker(f"i-{number}", script=stream(3)) for number in range(6)]
        async with World(brokers) as world, asyncio.timeout(TIMEOUT_S):
            item = leased()
            item.broker = "i-4"
            await world.plane.executor.run_item(item, always, unrecorded)
            assert [len(broker.received) for broker in brokers] == [0, 0, 0, 0, 1, 0]
            item.broker = "i-gone"
            outcome = await world.plane.executor.run_item(item, always, unrecorded)
            assert outcome.state is ItemState.COMPLETED

    asyncio.run(story())


def test_the_stores_are_told_the_slots_the_usable_brokers_and_the_live_requests() -> None:
    async def story() -> None:
        held = asyncio.Event()

        async def hold(request: Received, wire: Wire) -> None:
            await held.wait()
            await echo(request, wire)

        brokers = [ToyBroker("i-0", script=hold), ToyBroker("i-1", script=hold)]
        async with World(brokers) as world, asyncio.timeout(TIMEOUT_S):
            executor = world.plane.executor
            slots = {broker.instance_id: broker.slots for broker in brokers}
            assert executor.load() == ExecutorLoad(sum(slots.values()), 0, slots)
            client = asyncio.create_task(world.ask("/again/x"))
            while not any(broker.received for broker in brokers):
                await asyncio.sleep(0)
            assert executor.load().live_requests == 1
            held.set()
            assert (await client).status == 200
            world.views.brokers = (entry(brokers[0], draining=True), entry(brokers[1]))
            world.views.notify_listeners()
            assert executor.load() == ExecutorLoad(slots["i-1"], 0, {"i-1": slots["i-1"]})

    asyncio.run(story())


def test_a_lease_request_names_a_bounded_number_of_brokers() -> None:
    async def story() -> None:
        async with World([]) as world:
            world.views.brokers = tuple(
                Broker(
                    instance_id=f"i-{number}", service="lm", address="127.0.0.1:9", zone="z",
                    capacity_slots=8, draining=False,
                )
                for number in range(MAX_OFFERED_BROKERS + 9)
            )  # fmt: skip
            world.views.notify_listeners()
            load = world.plane.executor.load()
            assert load.broker_slots == 8 * (MAX_OFFERED_BROKERS + 9)
            assert len(load.usable_brokers) == MAX_OFFERED_BROKERS

    asyncio.run(story())
