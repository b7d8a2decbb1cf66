"""Real processes behind links: both primaries are isolated while batch jobs are submitted on both sides."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
from linked_operator import Operator, change_request
from linked_tier import LinkedTier, configuration, until
from test_real_processes import held_stream

from examples import tier_client
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker

ITEMS = 4
UNCERTAIN = (502, 503, 504)  # statuses that say neither that a batch job is accepted nor that it is unknown
REQUEST_TIMEOUT_S = 4.0


async def request_status(
    method: str, proxy: Daemon, path: str, headers: dict[str, str], body: bytes = b""
) -> int:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    headers = {"Host": tier_client.HOST, **headers}
    url = f"http://{proxy.frontend}{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body, headers=headers) as response,
        ):
            await response.read()
            return response.status
    except TimeoutError:
        return 504


async def submit_status(proxy: Daemon, job_id: str, items: list[str]) -> int:
    body = json.dumps({"requests": [tier_client.batch_item(item_id) for item_id in items]}).encode()
    return await request_status("POST", proxy, f"/bundle/{job_id}", {"Request-Id": job_id}, body)


async def until_known(proxy: Daemon, path: str) -> None:
    """Wait until a read succeeds; until then, every response must be an uncertain one."""

    async def is_known() -> bool:
        status = await request_status("GET", proxy, path, {})
        assert status in (200, *UNCERTAIN)
        return status == 200

    await until(f"{proxy.name} answers {path}", is_known)


def test_an_isolated_store_accepts_no_job_and_reports_on_none_that_may_have_changed(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=3, stores=3, proxies=2)
        async with LinkedTier(
            tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared_machines=True
        ) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            await tier.ready()
            minority_proxy, majority_proxy = tier.proxies
            jobs = {
                name: (tier_client.new_id(), [tier_client.new_id() for _ in range(ITEMS)])
                for name in ("before", "minority", "majority")
            }
            await tier_client.submit(minority_proxy.frontend, *jobs["before"])
            isolated = (await tier.primary_store()).node_name
            others = {daemon.node_name for daemon in tier.daemons} - {isolated, minority_proxy.node_name}
            tier.links.partition({isolated, minority_proxy.node_name}, {*others, operator.name})

            assert await submit_status(minority_proxy, *jobs["minority"]) in UNCERTAIN
            await tier_client.submit(majority_proxy.frontend, *jobs["majority"])
            for name in ("before", "majority"):  # both were accepted permanently
                job_id, items = jobs[name]
                assert (
                    await request_status("GET", minority_proxy, f"/api/lots/{job_id}?pageCursor=0", {})
                    in UNCERTAIN
                )
                assert (
                    await request_status(
                        "GET", minority_proxy, f"/api/items/{job_id}?instanceId={items[0]}", {}
                    )
                    in UNCERTAIN
                )
                await until_known(majority_proxy, f"/api/items/{job_id}?instanceId={items[0]}")
            assert await submit_status(minority_proxy, *jobs["minority"]) in UNCERTAIN
            gate.set()
            results_by_job = {
                name: await tier_client.results(majority_proxy.frontend, jobs[name][0])
                for name in ("before", "majority")
            }

            tier.links.heal({isolated, minority_proxy.node_name}, {*others, operator.name})
            await tier_client.submit(minority_proxy.frontend, *jobs["minority"])
            results_by_job["minority"] = await tier_client.results(
                minority_proxy.frontend, jobs["minority"][0]
            )
            for name, (job_id, items) in jobs.items():
                assert sorted(result["instanceId"] for result in results_by_job[name]) == sorted(items)
                for proxy in (minority_proxy, majority_proxy):
                    assert await tier_client.results(proxy.frontend, job_id) == results_by_job[name]

    asyncio.run(scenario())
