"""Real processes behind links: an isolated primary keeper, with operators and proxies on both sides.

LINKED_CUT_S is the minimum duration of each partition (seconds, 0 in CI). Otherwise a partition ends once all
expected events on both sides have been observed.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import pytest
from linked_operator import READ_REQUEST, Operator, Response, change_request
from linked_tier import LinkedTier, configuration, configuration_with_route, until
from links import Network

from examples import tier_client
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker, stream

CUT_S = float(os.environ.get("LINKED_CUT_S", "0"))
READERS = 2  # concurrent readers of the isolated keeper while the others decide
READ_PAUSE_S = 0.02  # between two reads of a reader
READS = 5  # from an isolated keeper
IN_DOUBT = (0, 307, 502, 503, 504)  # statuses that neither confirm a request nor reject it permanently
REFUSALS = 2  # rejected pulls at the only keeper that a proxy reaches
EVENTS = 2
MINORITY, MAJORITY = "minority", "majority"  # the sides: with the isolated keeper, and with the others


def block_both_directions(links: Network, some: set[str], others: set[str]) -> None:
    links.partition(some, others)


def block_inbound(links: Network, some: set[str], others: set[str]) -> None:
    for other in others:
        for one in some:
            links.flow(other, one).block()


def block_outbound(links: Network, some: set[str], others: set[str]) -> None:
    block_inbound(links, others, some)


Cut = Callable[[Network, set[str], set[str]], None]


async def status_of(proxy: Daemon, path: str) -> int:
    async with tier_client.open_stream(proxy.frontend, path) as response:
        if response.status == 200:
            await response.rest()
        return response.status


async def until_served(proxy: Daemon, path: str) -> None:
    async def served() -> bool:
        return await status_of(proxy, path) == 200

    await until(f"{proxy.name} serves {path}", served)


@pytest.mark.parametrize("cut", [block_both_directions, block_inbound, block_outbound])
def test_an_isolated_primary_keeper_decides_and_returns_nothing_while_the_others_continue(
    cut: Cut, tmp_path: Path
) -> None:
    async def scenario() -> None:
        sizes = Sizes(keepers=3, stores=0, proxies=2)
        async with LinkedTier(tmp_path, [ToyBroker(script=stream(EVENTS))], sizes) as tier:
            minority_operator, majority_operator = (
                Operator(f"operator-{side}", tier.links) for side in (MINORITY, MAJORITY)
            )
            assert (
                await minority_operator.settle(tier.keepers, change_request(configuration(1), 0))
            ).status == 200
            await tier.ready()
            isolated = await tier.primary_keeper(min_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not isolated]
            minority_proxy, majority_proxy = tier.proxies
            minority = {isolated.name, minority_operator.name, minority_proxy.name}
            majority = {majority_operator.name, majority_proxy.name, *(keeper.name for keeper in others)}
            decided = asyncio.Event()
            readers = [
                asyncio.create_task(keep_reading(minority_operator, isolated, decided))
                for _ in range(READERS)
            ]
            started_at = asyncio.get_running_loop().time()
            cut(tier.links, minority, majority)

            # Sent at once, while the lease may still be valid.
            requests = {
                name: change_request(configuration_with_route(7, name), 1) for name in (MINORITY, MAJORITY)
            }
            assert (await minority_operator.send(isolated, requests[MINORITY])).status in IN_DOUBT
            status = (await majority_operator.settle(others, requests[MAJORITY])).status
            decided.set()
            if cut is block_inbound and status == 412:
                # The request of unknown outcome reached the others and was accepted.
                accepted, rejected = MINORITY, MAJORITY
            else:
                assert status == 200
                accepted, rejected = MAJORITY, MINORITY
            assert (await majority_operator.settle(others, READ_REQUEST)).body == requests[accepted].body
            await until_served(majority_proxy, f"/{accepted}/1")

            # The majority has decided: the isolated keeper returns neither a configuration nor a rejection.
            for response in await asyncio.gather(*readers):
                assert response.status in IN_DOUBT, response
            for response in await send_reads_and_changes(minority_operator, isolated):
                assert response.status in IN_DOUBT, response
            assert await status_of(minority_proxy, f"/{accepted}/1") == 404  # it keeps its configuration
            assert await status_of(minority_proxy, "/chat/1") == 200
            reply = await tier.keeper_status(isolated)
            assert reply is not None and not reply.confirmed and reply.configuration_version == 1
            while asyncio.get_running_loop().time() < started_at + CUT_S:
                for response in await send_reads_and_changes(minority_operator, isolated):
                    assert response.status in IN_DOUBT, response

            tier.links.heal(minority, majority)
            await tier.until_version(7)
            await until_served(minority_proxy, f"/{accepted}/2")
            for keeper in tier.keepers:
                assert (await minority_operator.settle([keeper], requests[rejected])).status == 412
                assert (await majority_operator.settle([keeper], requests[accepted])).status == 200
                assert (await minority_operator.settle([keeper], READ_REQUEST)).body == requests[
                    accepted
                ].body
            last = change_request(configuration_with_route(8, "last"), 7)
            assert (await minority_operator.settle([isolated, *others], last)).status == 200

    asyncio.run(scenario())


async def keep_reading(operator: Operator, keeper: Daemon, decided: asyncio.Event) -> Response:
    """Read repeatedly until a read was sent after ``decided``, and return the response to it."""
    while True:
        is_last = decided.is_set()
        response = await operator.send(keeper, READ_REQUEST)
        if is_last:
            return response
        await asyncio.sleep(READ_PAUSE_S)


async def send_reads_and_changes(operator: Operator, keeper: Daemon) -> list[Response]:
    """Return the responses to reads, to a change of the current version, and to changes to be rejected."""
    requests = [
        change_request(configuration(9), 1),
        change_request(configuration(9), 5),
        change_request(b"no configuration", 1),
    ]
    return await asyncio.gather(
        *(operator.send(keeper, request) for request in [*requests, *[READ_REQUEST] * READS])
    )


def test_a_proxy_that_starts_beside_an_isolated_primary_gets_no_configuration(tmp_path: Path) -> None:
    async def scenario() -> None:
        sizes = Sizes(keepers=3, stores=0, proxies=1)
        async with LinkedTier(tmp_path, [ToyBroker(script=stream(EVENTS))], sizes) as tier:
            operator = Operator("operator", tier.links)
            (proxy,) = tier.proxies
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            await tier.ready()
            await proxy.terminate()
            isolated = await tier.primary_keeper(min_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not isolated]
            majority = {operator.name, *(keeper.name for keeper in others)}
            tier.links.partition({isolated.name, proxy.name}, majority)
            assert (
                await operator.settle(others, change_request(configuration_with_route(7, "majority"), 1))
            ).status == 200

            answered = tier.links.flow(isolated.name, proxy.name)
            await proxy.start()
            await answered.wait_forwarded(REFUSALS)
            assert not tier.events(proxy, "configuration_in_force")[1:]
            await tier.wait_for_readiness(proxy, 503)

            tier.links.heal({isolated.name, proxy.name}, majority)
            await tier.wait_for_readiness(proxy, 200)
            in_force = [line["version"] for line in tier.events(proxy, "configuration_in_force")]
            assert in_force == [1, 7]
            await until_served(proxy, "/majority/1")

    asyncio.run(scenario())
