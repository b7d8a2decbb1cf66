"""Real processes: connections from a proxy to its brokers that are reset, or bring no answer.

A request that may have run is not sent again unless its route says that it may; the client is told so.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
import attrs
import pytest
from linked_operator import Operator, change
from linked_tier import LinkedTier
from links import OUTSIDE

from examples import tier_client
from examples.small_tier import CONFIGURATION_PATH
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker, echo

ONCE, AGAIN = "once", "again"
ROUTE_KINDS = {ONCE: "non_idempotent", AGAIN: "idempotent"}
AT_THE_BROKER, ON_THE_WAY, NO_ANSWER = "reset behind it", "reset before it", "no answer"
MAY_HAVE_RUN = (502, 504)
DEADLINE_MS = 4000
MOST_ATTEMPTS = 3


def with_both_routes() -> bytes:
    document = json.loads(CONFIGURATION_PATH.read_text())
    routes = [
        {**document["routes"][0], "name": name, "pathPrefix": f"/{name}/", "routeKind": kind,
         "resumable": False, "maxAttempts": MOST_ATTEMPTS}
        for name, kind in ROUTE_KINDS.items()
    ]  # fmt: skip
    return json.dumps({**document, "routes": [*document["routes"], *routes]}).encode()


@attrs.frozen
class Client:
    proxy: Daemon

    async def ask(self, route: str, body: bytes) -> int:
        headers = {"Host": tier_client.HOST, "Request-Id": tier_client.new_id(),
                   "Deadline-Ms": str(DEADLINE_MS)}  # fmt: skip
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{self.proxy.frontend}/{route}/1", data=body, headers=headers) as answer,
        ):
            assert answer.status != 200 or await answer.read() == body
            return answer.status


def times_run(brokers: list[ToyBroker], body: bytes) -> int:
    return sum(request.body == body for broker in brokers for request in broker.received)


@pytest.mark.parametrize("trouble", [AT_THE_BROKER, ON_THE_WAY, NO_ANSWER])
def test_a_request_that_may_have_run_is_sent_again_only_where_it_may(trouble: str, tmp_path: Path) -> None:
    async def story() -> None:
        brokers = [ToyBroker(instance_id=f"i-{number}", script=echo) for number in (1, 2)]
        sizes = Sizes(keepers=1, stores=0, proxies=1, machine_failures=0)
        async with LinkedTier(tmp_path, brokers, sizes) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(with_both_routes(), 0))).status == 200
            await tier.ready()
            (proxy,) = tier.proxies
            client = Client(proxy)
            assert await client.ask(AGAIN, b"first") == 200
            there, back = tier.links.flow(proxy.name, OUTSIDE), tier.links.flow(OUTSIDE, proxy.name)
            held = there if trouble == ON_THE_WAY else back
            for route in (ONCE, AGAIN):
                body = f"{trouble} {route}".encode()
                held.shut(connects=True)
                asked = asyncio.create_task(client.ask(route, body))
                await held.wait_held()
                runs = times_run(brokers, body)
                assert runs == (0 if trouble == ON_THE_WAY else 1)
                if trouble == NO_ANSWER:
                    assert await asked in MAY_HAVE_RUN
                    assert runs <= times_run(brokers, body) <= (1 if route == ONCE else MOST_ATTEMPTS)
                tier.links.reset(proxy.name, OUTSIDE)
                held.open()
                status = await asked
                if route == ONCE:
                    assert status in MAY_HAVE_RUN
                    assert times_run(brokers, body) == runs
                elif trouble != NO_ANSWER:
                    assert status == 200
                    assert times_run(brokers, body) == runs + 1

    asyncio.run(story())
