"""Real processes: connections from a proxy to its brokers that are reset, or give no response.

A request that may have run is retried only if its route allows it. Otherwise the client gets an error that
says so.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
import attrs
import pytest
from linked_operator import Operator, change_request
from linked_tier import LinkedTier
from links import OUTSIDE

from examples import tier_client
from examples.small_tier import CONFIGURATION_PATH
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker, echo

ONCE, AGAIN = "once", "again"
ROUTE_KINDS = {ONCE: "non_idempotent", AGAIN: "idempotent"}
RESET_AFTER, RESET_BEFORE, NO_RESPONSE = "reset after receipt", "reset before receipt", "no response"
MAY_HAVE_RUN = (502, 504)
DEADLINE_MS = 4000
MAX_ATTEMPTS = 3


def configuration_with_both_routes() -> bytes:
    """Return the examples' configuration with an idempotent and a non-idempotent route added."""
    document = json.loads(CONFIGURATION_PATH.read_text())
    routes = [
        {**document["routes"][0], "name": name, "pathPrefix": f"/{name}/", "routeKind": kind,
         "resumable": False, "maxAttempts": MAX_ATTEMPTS}
        for name, kind in ROUTE_KINDS.items()
    ]  # fmt: skip
    return json.dumps({**document, "routes": [*document["routes"], *routes]}).encode()


@attrs.frozen
class Client:
    proxy: Daemon

    async def request_status(self, route: str, body: bytes) -> int:
        """Send a request and return its status; a successful response must contain ``body``."""
        headers = {"Host": tier_client.HOST, "Request-Id": tier_client.new_id(),
                   "Deadline-Ms": str(DEADLINE_MS)}  # fmt: skip
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{self.proxy.frontend}/{route}/1", data=body, headers=headers) as response,
        ):
            assert response.status != 200 or await response.read() == body
            return response.status


def run_count(brokers: list[ToyBroker], body: bytes) -> int:
    """Return how often the brokers have received a request with ``body``."""
    return sum(request.body == body for broker in brokers for request in broker.received)


@pytest.mark.parametrize("fault", [RESET_AFTER, RESET_BEFORE, NO_RESPONSE])
def test_a_request_that_may_have_run_is_retried_only_where_its_route_allows_it(
    fault: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        brokers = [ToyBroker(instance_id=f"i-{number}", script=echo) for number in (1, 2)]
        sizes = Sizes(keepers=1, stores=0, proxies=1, machine_failures=0)
        async with LinkedTier(tmp_path, brokers, sizes) as tier:
            operator = Operator("operator", tier.links)
            assert (
                await operator.settle(tier.keepers, change_request(configuration_with_both_routes(), 0))
            ).status == 200
            await tier.ready()
            (proxy,) = tier.proxies
            client = Client(proxy)
            assert await client.request_status(AGAIN, b"first") == 200
            outbound, inbound = tier.links.flow(proxy.name, OUTSIDE), tier.links.flow(OUTSIDE, proxy.name)
            held = outbound if fault == RESET_BEFORE else inbound
            for route in (ONCE, AGAIN):
                body = f"{fault} {route}".encode()
                held.block(allow_connects=True)
                pending = asyncio.create_task(client.request_status(route, body))
                await held.wait_held()
                runs = run_count(brokers, body)
                assert runs == (0 if fault == RESET_BEFORE else 1)
                if fault == NO_RESPONSE:
                    assert await pending in MAY_HAVE_RUN
                    assert runs <= run_count(brokers, body) <= (1 if route == ONCE else MAX_ATTEMPTS)
                tier.links.reset(proxy.name, OUTSIDE)
                held.unblock()
                status = await pending
                if route == ONCE:
                    assert status in MAY_HAVE_RUN
                    assert run_count(brokers, body) == runs
                elif fault != NO_RESPONSE:
                    assert status == 200
                    assert run_count(brokers, body) == runs + 1

    asyncio.run(scenario())
