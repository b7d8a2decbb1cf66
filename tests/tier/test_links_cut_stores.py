"""Real processes behind links: both primaries are cut off while batch jobs come on both sides."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
from linked_operator import Operator, change
from linked_tier import LinkedTier, configuration, until
from test_real_processes import held_stream

from examples import tier_client
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker

ITEMS = 4
UNSURE = (502, 503, 504)  # of a batch job: neither taken nor unknown
ASK_S = 4.0


async def ask(method: str, proxy: Daemon, path: str, headers: dict[str, str], body: bytes = b"") -> int:
    timeout = aiohttp.ClientTimeout(total=ASK_S)
    headers = {"Host": tier_client.HOST, **headers}
    url = f"http://{proxy.frontend}{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body, headers=headers) as answer,
        ):
            await answer.read()
            return answer.status
    except TimeoutError:
        return 504


async def submitted(proxy: Daemon, job_id: str, items: list[str]) -> int:
    body = json.dumps({"requests": [tier_client.batch_item(item_id) for item_id in items]}).encode()
    return await ask("POST", proxy, f"/bundle/{job_id}", {"Request-Id": job_id}, body)


async def until_known(proxy: Daemon, path: str) -> None:
    """Until a read is answered; meanwhile nothing but that the proxy is not sure."""

    async def known() -> bool:
        status = await ask("GET", proxy, path, {})
        assert status in (200, *UNSURE)
        return status == 200

    await until(f"{proxy.name} answers {path}", known)


def test_a_store_that_is_cut_off_takes_no_job_and_knows_of_none_that_it_could_be_wrong_about(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=3, stores=3, proxies=2)
        async with LinkedTier(tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared=True) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            await tier.ready()
            near, far = tier.proxies
            jobs = {
                name: (tier_client.new_id(), [tier_client.new_id() for _ in range(ITEMS)])
                for name in ("before", "near", "far")
            }
            await tier_client.submit(near.frontend, *jobs["before"])
            lost = (await tier.store_leader()).node_name
            others = {daemon.node_name for daemon in tier.daemons} - {lost, near.node_name}
            tier.links.cut({lost, near.node_name}, {*others, operator.name})

            assert await submitted(near, *jobs["near"]) in UNSURE
            await tier_client.submit(far.frontend, *jobs["far"])
            for name in ("before", "far"):  # both were taken for good
                job_id, items = jobs[name]
                assert await ask("GET", near, f"/api/lots/{job_id}?pageCursor=0", {}) in UNSURE
                assert await ask("GET", near, f"/api/items/{job_id}?instanceId={items[0]}", {}) in UNSURE
                await until_known(far, f"/api/items/{job_id}?instanceId={items[0]}")
            assert await submitted(near, *jobs["near"]) in UNSURE
            gate.set()
            listed = {
                name: await tier_client.results(far.frontend, jobs[name][0]) for name in ("before", "far")
            }

            tier.links.join({lost, near.node_name}, {*others, operator.name})
            await tier_client.submit(near.frontend, *jobs["near"])
            listed["near"] = await tier_client.results(near.frontend, jobs["near"][0])
            for name, (job_id, items) in jobs.items():
                assert sorted(result["instanceId"] for result in listed[name]) == sorted(items)
                for proxy in (near, far):
                    assert await tier_client.results(proxy.frontend, job_id) == listed[name]

    asyncio.run(story())
