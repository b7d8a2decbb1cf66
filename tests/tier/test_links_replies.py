"""Real processes: duplicate, late and wrong replies to internal calls, and from brokers to proxies."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
from link_replies import FaultyReplies
from linked_operator import READ_REQUEST, Operator, change_request
from linked_tier import LinkedTier, configuration
from links import OUTSIDE

from examples import tier_client
from examples.small_tier import CONFIGURATION_PATH
from examples.tier_processes import Sizes
from examples.toy_broker import Received, ToyBroker, Wire, echo

JOBS, ITEMS = 3, 6
VERSIONS = 8
REQUESTS, CONCURRENCY = 120, 8
MIN_MODIFIED = 10


async def stream_request_text(wire: Wire, request: Received) -> None:
    """Send a stream of one event, which contains the request's id and its body."""
    await wire.stream_head(request)
    await wire.event(1, request_text(request.headers["request-id"], request.body))
    await wire.end_stream()


def request_text(request_id: str, body: bytes) -> str:
    return f"{request_id} asked {body.decode()}"


async def item_body(proxy: str, job_id: str, item_id: str) -> bytes | None:
    url, headers = f"http://{proxy}/api/items/{job_id}?instanceId={item_id}", {"Host": tier_client.HOST}
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as response:
        return await response.read() if response.status == 200 else None


def test_no_reply_to_an_internal_call_is_taken_for_the_reply_to_another_call(tmp_path: Path) -> None:
    async def scenario() -> None:
        sizes = Sizes(keepers=3, stores=3, proxies=2)
        brokers = [ToyBroker(script=stream_request_text)]
        async with LinkedTier(tmp_path, brokers, sizes, shared_machines=True) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            await tier.ready()
            faults = FaultyReplies(lambda opener, target: opener != operator.name and target != OUTSIDE)
            tier.links.transform_replies = faults
            for opener in {daemon.node_name for daemon in tier.daemons}:
                for target in {daemon.node_name for daemon in tier.daemons}:
                    tier.links.reset(opener, target)  # reopens all connections as faulty ones
            first, second = tier.proxies
            jobs = {tier_client.new_id(): [tier_client.new_id() for _ in range(ITEMS)] for _ in range(JOBS)}

            async def run_job(job_id: str, items: list[str]) -> None:
                await tier_client.submit(first.frontend, job_id, items)
                for item_id in items:
                    assert await item_body(second.frontend, job_id, item_id) in (None, item_id.encode())
                results = await tier_client.results(second.frontend, job_id)
                messages = {result["instanceId"]: result["message"] for result in results}
                assert messages == {item_id: request_text(item_id, item_id.encode()) for item_id in items}

            async def change_repeatedly() -> None:
                for version in range(2, VERSIONS + 1):
                    request = change_request(configuration(version), version - 1)
                    assert (await operator.settle(tier.keepers, request)).status == 200
                    assert (await operator.settle(tier.keepers, READ_REQUEST)).body == configuration(version)

            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(change_repeatedly())
                for job_id, items in jobs.items():
                    tasks.create_task(run_job(job_id, items))
            assert faults.modified >= MIN_MODIFIED
            faults.active = False
            await tier.until_version(VERSIONS)
            for proxy in tier.proxies:
                versions = [line["version"] for line in tier.events(proxy, "configuration_in_force")]
                assert versions == sorted(set(versions))

    asyncio.run(scenario())


def configuration_with_echo_route() -> bytes:
    document = json.loads(CONFIGURATION_PATH.read_text())
    route = {**document["routes"][0], "name": "echo", "pathPrefix": "/echo/", "routeKind": "idempotent"}
    return json.dumps({**document, "routes": [*document["routes"], route]}).encode()


def test_no_response_of_a_broker_is_given_to_another_client(tmp_path: Path) -> None:
    async def scenario() -> None:
        brokers = [ToyBroker(instance_id=f"i-{number}", script=echo) for number in (1, 2)]
        async with LinkedTier(tmp_path, brokers, Sizes(keepers=1, stores=0, proxies=1)) as tier:
            operator = Operator("operator", tier.links)
            assert (
                await operator.settle(tier.keepers, change_request(configuration_with_echo_route(), 0))
            ).status == 200
            await tier.ready()
            (proxy,) = tier.proxies
            faults = FaultyReplies(lambda opener, target: opener == proxy.name and target == OUTSIDE)
            tier.links.transform_replies = faults
            statuses: list[int] = []

            async def client(number: int) -> None:
                async with aiohttp.ClientSession() as session:
                    for round_number in range(REQUESTS // CONCURRENCY):
                        body = f"request {number} {round_number}".encode()
                        headers = {"Host": tier_client.HOST, "Request-Id": tier_client.new_id(),
                                   "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "20,8"}  # fmt: skip
                        url = f"http://{proxy.frontend}/echo/{round_number}"
                        async with session.post(url, data=body, headers=headers) as response:
                            content = await response.read()
                        statuses.append(response.status)
                        assert response.status != 200 or content == body
                        if response.status == 200:
                            assert response.headers["Request-Id"] == headers["Request-Id"]

            await asyncio.gather(*(client(number) for number in range(CONCURRENCY)))
            assert faults.modified >= MIN_MODIFIED
            assert statuses.count(200) > REQUESTS // 2, statuses

    asyncio.run(scenario())
