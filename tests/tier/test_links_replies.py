"""Real processes: second, late and wrong replies to internal calls, and to proxies from brokers."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
from link_replies import FaultyReplies
from linked_operator import READ, Operator, change
from linked_tier import LinkedTier, configuration
from links import OUTSIDE

from examples import tier_client
from examples.small_tier import CONFIGURATION_PATH
from examples.tier_processes import Sizes
from examples.toy_broker import Received, ToyBroker, Wire, echo

JOBS, ITEMS = 3, 6
VERSIONS = 8
REQUESTS, AT_ONCE = 120, 8
LEAST_ALTERED = 10


async def tell_the_request(wire: Wire, request: Received) -> None:
    """A stream of one event, which names the request and its body."""
    await wire.stream_head(request)
    await wire.event(1, said_of(request.headers["request-id"], request.body))
    await wire.end_stream()


def said_of(request_id: str, body: bytes) -> str:
    return f"{request_id} asked {body.decode()}"


async def item_body(proxy: str, job_id: str, item_id: str) -> bytes | None:
    url, headers = f"http://{proxy}/api/items/{job_id}?instanceId={item_id}", {"Host": tier_client.HOST}
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as answer:
        return await answer.read() if answer.status == 200 else None


def test_no_reply_to_an_internal_call_is_taken_for_another_calls(tmp_path: Path) -> None:
    async def story() -> None:
        sizes = Sizes(keepers=3, stores=3, proxies=2)
        brokers = [ToyBroker(script=tell_the_request)]
        async with LinkedTier(tmp_path, brokers, sizes, shared=True) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            await tier.ready()
            faults = FaultyReplies(lambda opener, target: opener != operator.name and target != OUTSIDE)
            tier.links.alter_replies = faults
            for opener in {daemon.node_name for daemon in tier.daemons}:
                for target in {daemon.node_name for daemon in tier.daemons}:
                    tier.links.reset(opener, target)  # so that all connections are faulty ones
            first, second = tier.proxies
            jobs = {tier_client.new_id(): [tier_client.new_id() for _ in range(ITEMS)] for _ in range(JOBS)}

            async def run_job(job_id: str, items: list[str]) -> None:
                await tier_client.submit(first.frontend, job_id, items)
                for item_id in items:
                    assert await item_body(second.frontend, job_id, item_id) in (None, item_id.encode())
                results = await tier_client.results(second.frontend, job_id)
                said = {result["instanceId"]: result["message"] for result in results}
                assert said == {item_id: said_of(item_id, item_id.encode()) for item_id in items}

            async def change_often() -> None:
                for version in range(2, VERSIONS + 1):
                    order = change(configuration(version), version - 1)
                    assert (await operator.settle(tier.keepers, order)).status == 200
                    assert (await operator.settle(tier.keepers, READ)).body == configuration(version)

            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(change_often())
                for job_id, items in jobs.items():
                    tasks.create_task(run_job(job_id, items))
            assert faults.altered >= LEAST_ALTERED
            faults.active = False
            await tier.until_version(VERSIONS)
            for proxy in tier.proxies:
                versions = [line["version"] for line in tier.events(proxy, "configuration_in_force")]
                assert versions == sorted(set(versions))

    asyncio.run(story())


def with_echo_route() -> bytes:
    document = json.loads(CONFIGURATION_PATH.read_text())
    route = {**document["routes"][0], "name": "echo", "pathPrefix": "/echo/", "routeKind": "idempotent"}
    return json.dumps({**document, "routes": [*document["routes"], route]}).encode()


def test_no_answer_of_a_broker_is_given_to_another_client(tmp_path: Path) -> None:
    async def story() -> None:
        brokers = [ToyBroker(instance_id=f"i-{number}", script=echo) for number in (1, 2)]
        async with LinkedTier(tmp_path, brokers, Sizes(keepers=1, stores=0, proxies=1)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(with_echo_route(), 0))).status == 200
            await tier.ready()
            (proxy,) = tier.proxies
            faults = FaultyReplies(lambda opener, target: opener == proxy.name and target == OUTSIDE)
            tier.links.alter_replies = faults
            statuses: list[int] = []

            async def client(number: int) -> None:
                async with aiohttp.ClientSession() as session:
                    for turn in range(REQUESTS // AT_ONCE):
                        body = f"request {number} {turn}".encode()
                        headers = {"Host": tier_client.HOST, "Request-Id": tier_client.new_id(),
                                   "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "20,8"}  # fmt: skip
                        url = f"http://{proxy.frontend}/echo/{turn}"
                        async with session.post(url, data=body, headers=headers) as answer:
                            got = await answer.read()
                        statuses.append(answer.status)
                        assert answer.status != 200 or got == body
                        if answer.status == 200:
                            assert answer.headers["Request-Id"] == headers["Request-Id"]

            await asyncio.gather(*(client(number) for number in range(AT_ONCE)))
            assert faults.altered >= LEAST_ALTERED
            assert statuses.count(200) > REQUESTS // 2, statuses

    asyncio.run(story())
